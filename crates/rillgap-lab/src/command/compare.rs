//! `rillgap-lab compare`: compare overload control with the baselines.

use argh::FromArgs;

use super::CommandError;

/// compare overload control with the baselines
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "compare")]
pub struct CompareCommand {}

impl CompareCommand {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Returns what made the command fail.
    pub fn run(self) -> Result<(), CommandError> {
        Err(CommandError::NotBuiltYet)
    }
}
