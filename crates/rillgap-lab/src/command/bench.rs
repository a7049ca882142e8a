//! `rillgap-lab bench`: measure what the nodes add to a call.

use std::net::SocketAddr;
use std::time::Duration;

use argh::FromArgs;

use super::CommandError;
use crate::bench::{self, BenchSettings};
use crate::serve::ServeError;

/// Threads that send calls.
const WORKER_THREADS: usize = 4;

/// Length of the phases that warm up connections and code, not counted.
const WARM_UP: Duration = Duration::from_secs(1);

/// measure what the nodes add to a call, against calls straight to the same back end
/// (scripts/bench.sh starts the processes and calls this)
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "bench")]
pub struct BenchCommand {
    /// back end of bestilling that is called straight, as IP:PORT
    #[argh(option)]
    direct: SocketAddr,
    /// listener for callers of the entry node, as IP:PORT
    #[argh(option)]
    through: SocketAddr,
    /// process identifier of a node on the path; to be repeated
    #[argh(option)]
    pid: Vec<u32>,
    /// calls begun per second under steady load (default 500)
    #[argh(option, default = "500.0")]
    rate: f64,
    /// length of a phase of steady load in seconds; of full load, half of it (default 2)
    #[argh(option, default = "2.0")]
    phase_seconds: f64,
    /// pairs of phases for each sort of request (default 5)
    #[argh(option, default = "5")]
    rounds: u32,
    /// calls under way at any time under full load (default 12)
    #[argh(option, default = "12")]
    concurrency: u32,
    /// form of the report, text or json (default text)
    #[argh(option, default = "super::OutputForm::Text")]
    output: super::OutputForm,
}

impl BenchCommand {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Returns what made the command fail.
    pub fn run(self) -> Result<(), CommandError> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(WORKER_THREADS)
            .enable_all()
            .build()
            .map_err(ServeError::Runtime)?;
        let settings = BenchSettings {
            direct: self.direct,
            through: self.through,
            nodes: self.pid,
            rate: self.rate,
            warm_up: WARM_UP,
            phase: Duration::from_secs_f64(self.phase_seconds),
            rounds: self.rounds,
            concurrency: self.concurrency,
        };
        let report = runtime.block_on(bench::run(&settings))?;
        self.output.print(&report);
        Ok(())
    }
}
