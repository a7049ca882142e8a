//! `rillgap-lab compare`: compare overload control with the baselines.

use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use argh::FromArgs;

use super::CommandError;
use crate::compare::CompareError;
use crate::compare::figures::RunFigures;
use crate::compare::report::Comparison;
use crate::compare::variant::Variant;
use crate::compare::{layering, plan, plot, summary};
use crate::model::scenario::Scenario;

/// compare overload control with no control and with fixed limits, on one or more scenarios
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "compare")]
pub struct CompareCommand {
    /// scenario files
    #[argh(positional)]
    scenarios: Vec<PathBuf>,

    /// seeds, first and last; default 1..20
    #[argh(option, default = "1..=20", from_str_fn(parse_seeds))]
    seeds: RangeInclusive<u64>,

    /// only rillgap, without the baselines
    #[argh(switch)]
    only_rillgap: bool,

    /// form of the result, text or json; default text
    #[argh(option, default = "OutputForm::Text", from_str_fn(parse_output))]
    output: OutputForm,

    /// directory for plots over time (SVG) of the first seed and for the figures of all runs
    #[argh(option)]
    report: Option<PathBuf>,
}

/// Form of the result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OutputForm {
    Text,
    Json,
}

impl CompareCommand {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Returns what made the command fail.
    pub fn run(self) -> Result<(), CommandError> {
        if self.scenarios.is_empty() {
            return Err(CompareError::NoScenario.into());
        }
        let mut comparisons = Vec::new();
        for path in &self.scenarios {
            let comparison = self.compare(path)?;
            if self.output == OutputForm::Text {
                println!("{}", comparison.table());
            }
            comparisons.push(comparison);
        }
        if self.output == OutputForm::Json {
            println!("{}", to_json(&comparisons)?);
        }
        Ok(())
    }

    fn compare(&self, path: &Path) -> Result<Comparison, CompareError> {
        let scenario = Arc::new(layering::load(path)?);
        let variants: &[Variant] = if self.only_rillgap {
            &[Variant::Rillgap]
        } else {
            &Variant::ALL
        };
        log::info!("compare: scenario {} begins", scenario.name);
        let runs = plan::run(&scenario, variants, self.seeds.clone())?;
        if let Some(directory) = &self.report {
            write_report(directory, &scenario, &runs)?;
        }
        Ok(Comparison {
            scenario: scenario.name.clone(),
            seeds: (*self.seeds.start(), *self.seeds.end()),
            variants: variants
                .iter()
                .filter_map(|variant| summary::summarize(*variant, &runs))
                .collect(),
        })
    }
}

fn write_report(
    directory: &Path,
    scenario: &Scenario,
    runs: &[RunFigures],
) -> Result<(), CompareError> {
    std::fs::create_dir_all(directory)?;
    let first_seed = runs.iter().map(|run| run.seed).min();
    let first: Vec<&RunFigures> = runs
        .iter()
        .filter(|run| Some(run.seed) == first_seed)
        .collect();
    let plot = plot::draw(directory, scenario, &first)?;
    let figures = directory.join(format!("{}.json", scenario.name));
    std::fs::write(&figures, to_json(&runs)?)?;
    log::info!(
        "compare: wrote {} and {}",
        plot.display(),
        figures.display()
    );
    Ok(())
}

fn to_json(value: &impl serde::Serialize) -> Result<String, CompareError> {
    Ok(serde_json::to_string_pretty(value)?)
}

/// Parses `A..B`, both included, or a single seed.
fn parse_seeds(text: &str) -> Result<RangeInclusive<u64>, String> {
    let (first, last) = text.split_once("..").unwrap_or((text, text));
    let parse = |part: &str| {
        part.trim_start_matches('=')
            .parse::<u64>()
            .map_err(|error| format!("seeds {text}: {error}"))
    };
    let (first, last) = (parse(first)?, parse(last)?);
    if first > last {
        return Err(format!("seeds {text}: the first is above the last"));
    }
    Ok(first..=last)
}

fn parse_output(text: &str) -> Result<OutputForm, String> {
    match text {
        "text" => Ok(OutputForm::Text),
        "json" => Ok(OutputForm::Json),
        other => Err(format!("output {other}: must be text or json")),
    }
}
