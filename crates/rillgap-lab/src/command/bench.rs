//! `rillgap-lab bench`: measure what the nodes add to a call.

use argh::FromArgs;

use super::CommandError;

/// measure what the nodes add to a call
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "bench")]
pub struct BenchCommand {}

impl BenchCommand {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Returns what made the command fail.
    pub fn run(self) -> Result<(), CommandError> {
        Err(CommandError::NotBuiltYet)
    }
}
