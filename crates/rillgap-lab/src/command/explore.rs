//! `rillgap-lab explore`: draw faults at random and check the eight conditions.

use std::collections::BTreeMap;
use std::num::NonZeroUsize;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use argh::FromArgs;
use indicatif::{ProgressBar, ProgressStyle};
use rayon::prelude::*;

use super::CommandError;
use super::seed_range::SeedRange;
use crate::model::deployment::Deployment;
use crate::model::exploration;
use crate::observe::usability::{self, KeyedUsability};
use crate::observe::{self, Condition, Violation};
use crate::sim::engine;
use crate::sim::options::SimulationOptions;

/// Threads that are used unless another number is asked for.
const DEFAULT_THREADS: usize = 4;

/// draw faults at random and check the eight conditions
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "explore")]
pub struct ExploreCommand {
    /// seeds to run, such as 0..1000
    #[argh(option)]
    seeds: SeedRange,
    /// trondheim or jylland; both if absent
    #[argh(option)]
    deployment: Option<Deployment>,
    /// runs at the same time (default 4)
    #[argh(option)]
    threads: Option<NonZeroUsize>,
}

/// What a seed showed.
struct SeedResult {
    seed: u64,
    violations: Vec<Violation>,
    usability: KeyedUsability,
    node_events: u64,
}

impl ExploreCommand {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Returns how many seeds broke a condition, or why a run was not possible.
    pub fn run(self) -> Result<(), CommandError> {
        let deployments = match self.deployment {
            Some(deployment) => vec![deployment],
            None => Deployment::ALL.to_vec(),
        };
        let mut failed = 0;
        for deployment in deployments {
            failed += self.explore(deployment)?;
        }
        if failed > 0 {
            return Err(CommandError::ConditionsBroken { seeds: failed });
        }
        Ok(())
    }

    fn explore(&self, deployment: Deployment) -> Result<u64, CommandError> {
        let threads = self.threads.map_or(DEFAULT_THREADS, NonZeroUsize::get);
        let pool = rayon::ThreadPoolBuilder::new()
            .num_threads(threads)
            .build()
            .map_err(|error| CommandError::Threads(error.to_string()))?;
        let progress = progress_bar(self.seeds.0.end - self.seeds.0.start);
        let failed = AtomicU64::new(0);
        let results: Vec<SeedResult> = pool.install(|| {
            self.seeds
                .0
                .clone()
                .into_par_iter()
                .map(|seed| {
                    let result = run_seed(deployment, seed)?;
                    if !result.violations.is_empty() {
                        failed.fetch_add(1, Ordering::Relaxed);
                        progress.suspend(|| report_failure(deployment, &result));
                    }
                    progress.inc(1);
                    Ok(result)
                })
                .collect::<Result<_, CommandError>>()
        })?;
        progress.finish_and_clear();
        report(deployment, &results);
        Ok(failed.into_inner())
    }
}

fn progress_bar(length: u64) -> ProgressBar {
    let style = ProgressStyle::with_template("{bar:40} {pos}/{len} seeds, {eta} left")
        .unwrap_or_else(|_| ProgressStyle::default_bar());
    ProgressBar::new(length).with_style(style)
}

fn run_seed(deployment: Deployment, seed: u64) -> Result<SeedResult, CommandError> {
    let scenario = Arc::new(exploration::draw(deployment, seed)?);
    let outcome = engine::run(&scenario, seed, SimulationOptions::default())?;
    Ok(SeedResult {
        seed,
        violations: observe::check(&outcome),
        usability: usability::measure(&outcome),
        node_events: outcome.node_events,
    })
}

fn report_failure(deployment: Deployment, result: &SeedResult) {
    for violation in &result.violations {
        println!("{} seed {}: {violation}", deployment.name(), result.seed);
    }
    println!(
        "replay: rillgap-lab replay --deployment {} --seed {}",
        deployment.name(),
        result.seed
    );
}

fn report(deployment: Deployment, results: &[SeedResult]) {
    let mut broken: BTreeMap<Condition, u64> = BTreeMap::new();
    let mut usability = KeyedUsability::default();
    let mut node_events = 0;
    for result in results {
        let mut conditions: Vec<Condition> = result
            .violations
            .iter()
            .map(|found| found.condition)
            .collect();
        conditions.sort_unstable();
        conditions.dedup();
        for condition in conditions {
            *broken.entry(condition).or_default() += 1;
        }
        usability.add(result.usability);
        node_events += result.node_events;
    }
    let name = deployment.name();
    println!("{name}: {} seeds, {node_events} node events", results.len());
    for condition in Condition::ALL {
        let seeds = broken.get(&condition).copied().unwrap_or(0);
        let number = condition.number();
        println!("{name}: condition {number} ({condition:?}) broken in {seeds} seeds");
    }
    println!("{name}: requests with a key: {usability:?}");
}
