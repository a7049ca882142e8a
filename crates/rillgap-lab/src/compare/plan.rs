//! Runs every variant with every seed, in parallel.

use std::ops::RangeInclusive;
use std::sync::Arc;

use indicatif::{ProgressBar, ProgressStyle};
use rayon::prelude::*;

use super::figures::RunFigures;
use super::measure::measure;
use super::variant::Variant;
use crate::model::scenario::Scenario;
use crate::sim::engine::{self, EngineError};
use crate::sim::options::SimulationOptions;

/// Runs a scenario with all variants over the seeds.
///
/// # Errors
///
/// Returns the first simulation that could not run.
pub fn run(
    scenario: &Arc<Scenario>,
    variants: &[Variant],
    seeds: RangeInclusive<u64>,
) -> Result<Vec<RunFigures>, EngineError> {
    let runs: Vec<(Variant, u64)> = variants
        .iter()
        .flat_map(|variant| seeds.clone().map(|seed| (*variant, seed)))
        .collect();
    let progress = progress_bar(runs.len());
    let figures = runs
        .par_iter()
        .map(|(variant, seed)| run_one(scenario, *variant, *seed))
        .inspect(|_| progress.inc(1))
        .collect();
    progress.finish_and_clear();
    figures
}

fn run_one(
    scenario: &Arc<Scenario>,
    variant: Variant,
    seed: u64,
) -> Result<RunFigures, EngineError> {
    let options = SimulationOptions {
        admission: variant.admission(),
        ..SimulationOptions::default()
    };
    let outcome = engine::run(scenario, seed, options)?;
    Ok(measure(variant, &outcome))
}

fn progress_bar(length: usize) -> ProgressBar {
    let bar = ProgressBar::new(length as u64);
    let style = ProgressStyle::with_template("{bar:40} {pos}/{len} runs, {eta} left");
    if let Ok(style) = style {
        bar.set_style(style);
    }
    bar
}
