//! `rillgap-lab explore`: draw faults at random and check the eight conditions.

use argh::FromArgs;

use super::CommandError;

/// draw faults at random and check the eight conditions
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "explore")]
pub struct ExploreCommand {}

impl ExploreCommand {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Returns what made the command fail.
    pub fn run(self) -> Result<(), CommandError> {
        Err(CommandError::NotBuiltYet)
    }
}
