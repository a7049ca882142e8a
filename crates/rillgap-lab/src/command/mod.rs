//! Commands of `rillgap-lab`, one module each.

use argh::FromArgs;

pub mod bench;
pub mod compare;
pub mod explore;
pub mod load;
mod output;
pub mod replay;
pub mod seed_range;
pub mod serve;

pub use output::OutputForm;

/// Model, stand-ins, load and experiments for rillgap.
#[derive(FromArgs, Debug)]
pub struct LabArguments {
    #[argh(subcommand)]
    command: LabCommand,
}

#[derive(FromArgs, Debug)]
#[argh(subcommand)]
enum LabCommand {
    Bench(bench::BenchCommand),
    Compare(compare::CompareCommand),
    Explore(explore::ExploreCommand),
    Load(load::LoadCommand),
    Replay(replay::ReplayCommand),
    Serve(serve::ServeCommand),
}

impl LabArguments {
    /// Runs the command that was asked for.
    ///
    /// # Errors
    ///
    /// Returns what made the command fail.
    pub fn run(self) -> Result<(), CommandError> {
        match self.command {
            LabCommand::Bench(command) => command.run(),
            LabCommand::Compare(command) => command.run(),
            LabCommand::Explore(command) => command.run(),
            LabCommand::Load(command) => command.run(),
            LabCommand::Replay(command) => command.run(),
            LabCommand::Serve(command) => command.run(),
        }
    }
}

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// A stand-in could not be served.
    #[error(transparent)]
    Serve(#[from] crate::serve::ServeError),
    /// A back end's own call is malformed.
    #[error(transparent)]
    DownstreamCall(#[from] crate::serve::backend::DownstreamCallError),
    /// An option has a value that is not allowed.
    #[error("--{option} {value:?} is not allowed: {detail}")]
    InvalidOption {
        /// Name of the option.
        option: &'static str,
        /// Its value.
        value: String,
        /// What is allowed.
        detail: String,
    },
    /// Calls of a load met a condition of failure.
    #[error("{calls} calls failed on {condition:?}")]
    LoadFailed {
        /// The condition.
        condition: crate::load::FailureCondition,
        /// Number of calls.
        calls: u64,
    },
    /// The usage of a node's process cannot be read.
    #[error(transparent)]
    Process(#[from] crate::bench::ProcessError),
    /// A comparison could not be made.
    #[error(transparent)]
    Compare(#[from] crate::compare::CompareError),
    /// A scenario cannot be used.
    #[error(transparent)]
    Scenario(#[from] crate::model::scenario::ScenarioError),
    /// A simulation could not run.
    #[error(transparent)]
    Engine(#[from] crate::sim::engine::EngineError),
    /// Threads could not be started.
    #[error("threads cannot be started: {0}")]
    Threads(String),
    /// Runs broke a condition.
    #[error("{seeds} seeds broke a condition")]
    ConditionsBroken {
        /// Number of such runs.
        seeds: u64,
    },
    /// It is not clear what to replay.
    #[error("give either --deployment and --seed, or --trace")]
    ReplayTarget,
    /// The command is not built yet.
    #[error("this command is not built yet")]
    NotBuiltYet,
}
