//! `rillgap-lab serve`: serve a stand-in of the platform or of a back end.

use std::net::SocketAddr;
use std::time::Duration;

use argh::FromArgs;

use super::CommandError;
use crate::serve::backend::{self, BackEnd, BackEndSettings, DownstreamCall};
use crate::serve::platform::{self, MachineEntry, Platform, PlatformSettings};
use crate::serve::{ServeError, bind};

/// serve a stand-in of the platform or of a back end
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "serve")]
pub struct ServeCommand {
    #[argh(subcommand)]
    stand_in: StandIn,
}

#[derive(FromArgs, Debug)]
#[argh(subcommand)]
enum StandIn {
    Platform(ServePlatform),
    BackEnd(ServeBackEnd),
}

/// serve the platform's object store and machine list, until the process is ended
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "platform")]
struct ServePlatform {
    /// address to listen on, as IP:PORT
    #[argh(option)]
    listen: SocketAddr,
    /// time by which the machine list lags, in milliseconds (default 2000)
    #[argh(option, default = "2000")]
    machine_lag_ms: u64,
    /// names of the machines listed at the start, separated by commas
    #[argh(option, default = "String::new()")]
    machines: String,
}

/// serve a back end, until the process is ended
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "backend")]
struct ServeBackEnd {
    /// address to listen on, as IP:PORT
    #[argh(option)]
    listen: SocketAddr,
    /// name of the back end, such as takst-1
    #[argh(option)]
    name: String,
    /// service that it runs, such as takst
    #[argh(option)]
    service: String,
    /// requests that it runs at once (default 20)
    #[argh(option, default = "20")]
    slots: usize,
    /// requests that may wait for a slot (default: as many as slots)
    #[argh(option)]
    queue: Option<usize>,
    /// time for which a request holds its slot, in milliseconds (default 5)
    #[argh(option, default = "5.0")]
    service_time_ms: f64,
    /// outbound listener of the node beside it, as IP:PORT (default: no own calls)
    #[argh(option)]
    node: Option<SocketAddr>,
    /// own calls for every short request, as SERVICE:/PATH separated by commas
    #[argh(option, default = "String::new()")]
    calls: String,
    /// attempts for each own call (default 1)
    #[argh(option, default = "1")]
    call_attempts: u32,
    /// time after the start during which it is slower, in milliseconds (default 0)
    #[argh(option, default = "0")]
    cold_start_ms: u64,
    /// time by which its health and load reports lag, in milliseconds (default 500)
    #[argh(option, default = "500")]
    report_lag_ms: u64,
}

impl ServeCommand {
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
        match self.stand_in {
            StandIn::Platform(command) => runtime.block_on(command.serve()),
            StandIn::BackEnd(command) => runtime.block_on(command.serve()),
        }
    }
}

/// Threads that serve a stand-in's connections.
const WORKER_THREADS: usize = 2;

impl ServePlatform {
    async fn serve(self) -> Result<(), CommandError> {
        let listener = bind(self.listen).await?;
        let settings = PlatformSettings {
            machine_lag: Duration::from_millis(self.machine_lag_ms),
            machines: list(&self.machines).map(machine).collect(),
        };
        log::info!(address:% = self.listen; "stand-in: platform serves");
        platform::serve(listener, Platform::new(settings)).await;
        Ok(())
    }
}

impl ServeBackEnd {
    async fn serve(self) -> Result<(), CommandError> {
        let listener = bind(self.listen).await?;
        let calls: Result<Vec<DownstreamCall>, _> = list(&self.calls).map(str::parse).collect();
        let settings = BackEndSettings {
            name: self.name,
            service: self.service,
            slots: self.slots,
            queue: self.queue.unwrap_or(self.slots),
            service_time: Duration::from_secs_f64(self.service_time_ms / 1_000.0),
            node: self.node,
            source: self.listen.ip(),
            calls: calls?,
            call_attempts: self.call_attempts,
            cold_start: Duration::from_millis(self.cold_start_ms),
            report_lag: Duration::from_millis(self.report_lag_ms),
        };
        log::info!(address:% = self.listen, name = settings.name.as_str(); "stand-in: back end serves");
        backend::serve(listener, BackEnd::new(settings)).await;
        Ok(())
    }
}

fn list(text: &str) -> impl Iterator<Item = &str> {
    text.split(',').filter(|part| !part.is_empty())
}

fn machine(name: &str) -> MachineEntry {
    MachineEntry {
        node: name.to_owned(),
        leaving: false,
    }
}
