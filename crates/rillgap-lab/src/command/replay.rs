//! `rillgap-lab replay`: replay a seed or a recorded trace.

use argh::FromArgs;

use super::CommandError;

/// replay a seed or a recorded trace
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "replay")]
pub struct ReplayCommand {}

impl ReplayCommand {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Returns what made the command fail.
    pub fn run(self) -> Result<(), CommandError> {
        Err(CommandError::NotBuiltYet)
    }
}
