//! Runs a node from its start to the orderly end of the process.

use std::io;
use std::time::Duration;

use rillgap_core::code::ResultCode;
use rillgap_core::event::Event;
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::timeout;

use crate::listeners::{BindError, Listeners};
use crate::settings::Settings;
use crate::wiring::{self, RunningNode};

/// Longest time that connections may take to end once nothing is in flight.
const CONNECTION_END_TIMEOUT: Duration = Duration::from_secs(5);

/// Why the daemon ended other than by a planned stop.
#[derive(Debug, thiserror::Error)]
pub enum DaemonError {
    /// An address cannot be bound.
    #[error(transparent)]
    Bind(#[from] BindError),
    /// The operating system refused a thread, a runtime or a signal handler.
    #[error("cannot start: {0}")]
    Start(#[from] io::Error),
    /// The planned stop took too long, and what was still in flight was cut.
    #[error("stop took longer than {} s, requests in flight were cut", .0.as_secs())]
    StopTimeout(Duration),
}

impl DaemonError {
    /// Returns the numbered result code, with which the process exits.
    pub const fn code(&self) -> ResultCode {
        match self {
            Self::Bind(_) => ResultCode::AddressInUse,
            Self::Start(_) => ResultCode::Internal,
            Self::StopTimeout(_) => ResultCode::NodeStopping,
        }
    }
}

/// Runs a node until it is asked to stop and nothing is in flight any more.
///
/// # Errors
///
/// Fails if the node cannot start, or if its stop takes longer than the settings allow.
pub fn run(settings: Settings) -> Result<(), DaemonError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(supervise(settings))
}

async fn supervise(settings: Settings) -> Result<(), DaemonError> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let listeners = Listeners::bind(&settings.listen)?;
    let stop_timeout = settings.stop_timeout;
    let name = settings.name.clone();
    let running = wiring::start(settings, listeners)?;
    log::info!(node = name.as_str(); "node: started");
    tokio::select! {
        biased;
        () = running.stop_requested.cancelled() => {}
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    running.stop(stop_timeout).await?;
    running.end_connections().await;
    log::info!(node = name.as_str(); "node: stopped");
    Ok(())
}

impl RunningNode {
    /// Lets the node finish what is in flight; asking it once more does no harm.
    async fn stop(&self, stop_timeout: Duration) -> Result<(), DaemonError> {
        log::info!("node: stopping, finishing requests in flight");
        // The node duty receives until the process ends.
        let _ = self.events.send(Event::Stop).await;
        timeout(stop_timeout, self.idle.cancelled())
            .await
            .map_err(|_| DaemonError::StopTimeout(stop_timeout))
    }

    /// Closes the listeners and lets connections send what they still hold.
    async fn end_connections(self) {
        self.close.cancel();
        if timeout(CONNECTION_END_TIMEOUT, self.connections_ended)
            .await
            .is_err()
        {
            log::warn!("node: connections still open at the end of the stop");
        }
    }
}
