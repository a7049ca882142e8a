//! `rillgap-lab load`: send requests as callers do.

use argh::FromArgs;

use super::CommandError;

/// send requests as callers do
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "load")]
pub struct LoadCommand {}

impl LoadCommand {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Returns what made the command fail.
    pub fn run(self) -> Result<(), CommandError> {
        Err(CommandError::NotBuiltYet)
    }
}
