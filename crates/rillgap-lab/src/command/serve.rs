//! `rillgap-lab serve`: serve a stand-in of the platform or of a back end.

use argh::FromArgs;

use super::CommandError;

/// serve a stand-in of the platform or of a back end
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "serve")]
pub struct ServeCommand {}

impl ServeCommand {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Returns what made the command fail.
    pub fn run(self) -> Result<(), CommandError> {
        Err(CommandError::NotBuiltYet)
    }
}
