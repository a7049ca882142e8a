//! `rillgap-lab load`: send requests as callers do.

use std::net::SocketAddr;
use std::time::Duration;

use argh::FromArgs;

use super::CommandError;
use crate::load::{self, BulkShape, FailureCondition, LoadReport, LoadSettings, Mix};
use crate::serve::ServeError;

/// Threads that send calls.
const WORKER_THREADS: usize = 4;

/// send requests as callers do, at a steady rate, and check every answer
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "load")]
pub struct LoadCommand {
    /// listeners for callers, as IP:PORT separated by commas, asked in turn
    #[argh(option)]
    target: String,
    /// calls begun per second (default 100)
    #[argh(option, default = "100.0")]
    rate: f64,
    /// seconds for which calls are begun (default 5)
    #[argh(option, default = "5.0")]
    seconds: f64,
    /// kinds booking, settlement, browse, trips, bulk with weights (default booking=1,browse=1)
    #[argh(option, default = "String::from(\"booking=1,browse=1\")")]
    mix: String,
    /// length of a long download in bytes (default 262144)
    #[argh(option, default = "262144")]
    bulk_bytes: u64,
    /// pause of the back end before each 16 KiB of a long download, in milliseconds (default 0)
    #[argh(option, default = "0")]
    bulk_pause_ms: u64,
    /// time for which a caller waits, in milliseconds (default 10000)
    #[argh(option, default = "10000")]
    timeout_ms: u64,
    /// attempts for a call that was refused as not run, or that carries a key (default 1)
    #[argh(option, default = "1")]
    attempts: u32,
    /// seed of the order of kinds (default 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// conditions cut, unknown, refused, separated by commas, that make the command fail
    #[argh(option, default = "String::new()")]
    fail_on: String,
    /// form of the report, text or json (default text)
    #[argh(option, default = "super::OutputForm::Text")]
    output: super::OutputForm,
}

impl LoadCommand {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Returns what made the command fail.
    pub fn run(self) -> Result<(), CommandError> {
        let settings = self.settings()?;
        let conditions = self.conditions()?;
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(WORKER_THREADS)
            .enable_all()
            .build()
            .map_err(ServeError::Runtime)?;
        let report = runtime.block_on(load::run(&settings));
        self.output.print(&report);
        check(&report, &conditions)
    }

    fn settings(&self) -> Result<LoadSettings, CommandError> {
        let targets: Vec<SocketAddr> = self
            .target
            .split(',')
            .map(|target| parse("target", target))
            .collect::<Result<_, _>>()?;
        if !(self.rate > 0.0 && self.rate <= 1_000_000.0) {
            return Err(invalid("rate", &self.rate.to_string(), "1 to 1000000"));
        }
        if !(0.0..=86_400.0).contains(&self.seconds) {
            return Err(invalid("seconds", &self.seconds.to_string(), "0 to 86400"));
        }
        Ok(LoadSettings {
            targets,
            rate: self.rate,
            duration: Duration::from_secs_f64(self.seconds),
            mix: parse::<Mix>("mix", &self.mix)?,
            bulk: BulkShape {
                bytes: self.bulk_bytes,
                pause: Duration::from_millis(self.bulk_pause_ms),
            },
            timeout: Duration::from_millis(self.timeout_ms),
            attempts: self.attempts,
            seed: self.seed,
        })
    }

    fn conditions(&self) -> Result<Vec<FailureCondition>, CommandError> {
        self.fail_on
            .split(',')
            .filter(|condition| !condition.is_empty())
            .map(|condition| parse("fail-on", condition))
            .collect()
    }
}

fn check(report: &LoadReport, conditions: &[FailureCondition]) -> Result<(), CommandError> {
    for condition in conditions {
        let calls = report.failures(*condition);
        if calls > 0 {
            return Err(CommandError::LoadFailed {
                condition: *condition,
                calls,
            });
        }
    }
    Ok(())
}

fn parse<T: std::str::FromStr>(option: &'static str, text: &str) -> Result<T, CommandError>
where
    T::Err: std::fmt::Display,
{
    text.parse()
        .map_err(|error: T::Err| invalid(option, text, &error.to_string()))
}

fn invalid(option: &'static str, value: &str, detail: &str) -> CommandError {
    CommandError::InvalidOption {
        option,
        value: value.to_owned(),
        detail: detail.to_owned(),
    }
}
