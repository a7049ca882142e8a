//! `rillgap-lab scale`: measure control cost with hollow nodes.

use std::collections::BTreeSet;
use std::time::Duration;

use argh::FromArgs;

use super::CommandError;
use crate::scale::experiment::{self, ExperimentOptions, ExperimentPart};
use crate::scale::report::ScaleReport;

/// measure control cost with hollow nodes
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "scale")]
pub struct ScaleCommand {
    /// numbers of nodes, separated by commas (default: 100,400,1900)
    #[argh(option, default = "String::from(\"100,400,1900\")")]
    nodes: String,
    /// seed of the runs (default: 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// seconds for which the platform's store is away (default: 3600)
    #[argh(option, default = "3600")]
    store_away: u64,
    /// seconds over which the steady state is measured (default: 60)
    #[argh(option, default = "60")]
    steady: u64,
    /// parts to run, separated by commas (default: steady,slow,restart,zone,region,store)
    #[argh(
        option,
        default = "String::from(\"steady,slow,restart,zone,region,store\")"
    )]
    parts: String,
    /// text or json (default: text)
    #[argh(option, default = "String::from(\"text\")")]
    output: String,
}

impl ScaleCommand {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Returns what made the command fail.
    pub fn run(self) -> Result<(), CommandError> {
        let mut report = ScaleReport {
            seed: self.seed,
            sizes: Vec::new(),
        };
        let parts = self.parts()?;
        for nodes in self.sizes()? {
            let options = ExperimentOptions {
                nodes,
                seed: self.seed,
                store_away: Duration::from_secs(self.store_away),
                steady: Duration::from_secs(self.steady),
                parts: parts.clone(),
            };
            report.sizes.push(experiment::run(&options));
        }
        self.print(&report)
    }

    fn parts(&self) -> Result<BTreeSet<ExperimentPart>, CommandError> {
        let allowed = ExperimentPart::ALL.map(|(name, _)| name).join(", ");
        self.parts
            .split(',')
            .map(|name| {
                ExperimentPart::from_name(name.trim())
                    .ok_or_else(|| invalid("parts", name, &allowed))
            })
            .collect()
    }

    fn sizes(&self) -> Result<Vec<usize>, CommandError> {
        self.nodes
            .split(',')
            .map(|number| {
                let size = number.trim().parse().ok();
                size.filter(|size| (44..=10_000).contains(size))
                    .ok_or_else(|| invalid("nodes", number, "numbers from 44 to 10000"))
            })
            .collect()
    }

    fn print(&self, report: &ScaleReport) -> Result<(), CommandError> {
        match self.output.as_str() {
            "text" => print!("{report}"),
            "json" => {
                let json = serde_json::to_string_pretty(report)
                    .map_err(|error| invalid("output", "json", &error.to_string()))?;
                println!("{json}");
            }
            other => return Err(invalid("output", other, "text or json")),
        }
        Ok(())
    }
}

fn invalid(option: &'static str, value: &str, detail: &str) -> CommandError {
    CommandError::InvalidOption {
        option,
        value: value.to_owned(),
        detail: detail.to_owned(),
    }
}
