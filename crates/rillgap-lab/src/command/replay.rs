//! `rillgap-lab replay`: replay a seed or a recorded trace.

use std::path::PathBuf;
use std::sync::Arc;

use argh::FromArgs;

use super::CommandError;
use crate::model::deployment::Deployment;
use crate::model::exploration;
use crate::model::recorded::RecordedTrace;
use crate::observe;
use crate::sim::engine;
use crate::sim::options::SimulationOptions;
use crate::sim::outcome::RunOutcome;

/// replay a seed or a recorded trace
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "replay")]
pub struct ReplayCommand {
    /// trondheim or jylland
    #[argh(option)]
    deployment: Option<Deployment>,
    /// seed that explore has printed
    #[argh(option)]
    seed: Option<u64>,
    /// file of a recorded trace, instead of a deployment and a seed
    #[argh(option)]
    trace: Option<PathBuf>,
    /// print only faults, violations and lines that contain this text
    #[argh(option)]
    filter: Option<String>,
}

impl ReplayCommand {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Returns that a condition was broken, or why the run was not possible.
    pub fn run(self) -> Result<(), CommandError> {
        let options = SimulationOptions {
            timeline: true,
            ..SimulationOptions::default()
        };
        let outcome = match (&self.trace, self.deployment, self.seed) {
            (Some(path), None, None) => {
                let trace = RecordedTrace::load(path)?;
                engine::run(&Arc::new(trace.scenario()?), trace.seed, options)?
            }
            (None, Some(deployment), Some(seed)) => {
                let scenario = exploration::draw(deployment, seed)?;
                engine::run(&Arc::new(scenario), seed, options)?
            }
            _ => return Err(CommandError::ReplayTarget),
        };
        self.print(&outcome)
    }

    fn print(&self, outcome: &RunOutcome) -> Result<(), CommandError> {
        for line in outcome.timeline.lines() {
            let wanted = self
                .filter
                .as_ref()
                .is_none_or(|filter| line.contains(filter) || line.contains(" fault "));
            if wanted {
                println!("{line}");
            }
        }
        let violations = observe::check(outcome);
        for violation in &violations {
            println!("{violation}");
        }
        let (digest, events) = (outcome.digest, outcome.node_events);
        println!("digest {digest:016x}, {events} node events");
        if violations.is_empty() {
            Ok(())
        } else {
            Err(CommandError::ConditionsBroken { seeds: 1 })
        }
    }
}
