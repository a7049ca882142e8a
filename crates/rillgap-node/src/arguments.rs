//! Parses the command line of `rillgapd`.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::{EarlyExit, FromArgs};
use rillgap_core::code::ResultCode;

use crate::settings::Overrides;

/// Command name shown in the help text.
const COMMAND: &str = "rillgapd";

/// One node of rillgap: it accepts requests from callers, sends them to its local back end or
/// forwards them to other nodes. Exits with the number of a result code (docs/ERRORS.md); 0 after a
/// planned stop.
#[derive(Clone, Debug, PartialEq, Eq, FromArgs)]
pub struct Arguments {
    /// settings file (TOML); docs/operators/settings.md describes every key
    #[argh(option)]
    pub settings: PathBuf,
    /// check the settings file and exit: 0 if it is valid
    #[argh(switch)]
    pub check_settings: bool,
    /// name of the node, in place of node.name
    #[argh(option)]
    pub name: Option<String>,
    /// failure zone of the node, in place of node.zone
    #[argh(option)]
    pub zone: Option<String>,
    /// address (IP:port) for callers, in place of listen.callers
    #[argh(option)]
    pub callers: Option<String>,
    /// address (IP:port) for other nodes, in place of listen.mesh
    #[argh(option)]
    pub mesh: Option<String>,
}

impl Arguments {
    /// Returns the values that override settings of the file.
    pub fn overrides(&self) -> Overrides {
        Overrides {
            name: self.name.clone(),
            zone: self.zone.clone(),
            callers: self.callers.clone(),
            mesh: self.mesh.clone(),
        }
    }
}

/// Parses the arguments of the process.
///
/// # Errors
///
/// Returns the exit code if help was requested or the command line is malformed.
pub fn from_environment() -> Result<Arguments, ExitCode> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    parse(&arguments).map_err(|early_exit| {
        if early_exit.status.is_ok() {
            println!("{}", early_exit.output);
            ExitCode::SUCCESS
        } else {
            eprintln!("{}", early_exit.output);
            ExitCode::from(ResultCode::Usage.number())
        }
    })
}

/// Parses arguments; `arguments` does not include the command name.
///
/// # Errors
///
/// Returns the text to print and whether it reports a failure.
pub fn parse(arguments: &[&str]) -> Result<Arguments, EarlyExit> {
    Arguments::from_args(&[COMMAND], arguments)
}
