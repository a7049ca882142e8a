//! `rillgap-lab scale`: measure control cost with hollow nodes.

use argh::FromArgs;

use super::CommandError;

/// measure control cost with hollow nodes
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "scale")]
pub struct ScaleCommand {}

impl ScaleCommand {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Returns what made the command fail.
    pub fn run(self) -> Result<(), CommandError> {
        Err(CommandError::NotBuiltYet)
    }
}
