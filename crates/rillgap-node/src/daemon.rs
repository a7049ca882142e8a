//! Runs a node from its start to its graceful shutdown.

use std::io;
use std::time::Duration;

use rillgap_core::code::ResultCode;
use rillgap_core::event::Event;
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::timeout;

use crate::listeners::{BindError, Listeners};
use crate::settings::Settings;
use crate::wiring::{self, RunningNode};

/// Time limit for callers' connections to close once no request is in flight.
const CONNECTION_END_TIMEOUT: Duration = Duration::from_secs(5);

/// Reason why the daemon ended without completing a graceful shutdown.
#[derive(Debug, thiserror::Error)]
pub enum DaemonError {
    /// A listen address could not be bound.
    #[error(transparent)]
    Bind(#[from] BindError),
    /// The operating system failed to provide a thread, a runtime or a signal handler.
    #[error("cannot start: {0}")]
    Start(#[from] io::Error),
    /// The shutdown exceeded its timeout; requests still in flight were aborted.
    #[error("stop took longer than {} s, requests in flight were aborted", .0.as_secs())]
    StopTimeout(Duration),
}

impl DaemonError {
    /// Returns the result code that the process exits with.
    pub const fn code(&self) -> ResultCode {
        match self {
            Self::Bind(_) => ResultCode::AddressInUse,
            Self::Start(_) => ResultCode::Internal,
            Self::StopTimeout(_) => ResultCode::NodeStopping,
        }
    }
}

/// Runs a node until a stop is requested and no request is in flight.
///
/// # Errors
///
/// Fails if the node cannot start, or if the shutdown exceeds the configured stop timeout.
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
    /// Requests a stop and waits until no request is in flight.
    ///
    /// Requesting a stop again, after an operator has requested one, has no effect.
    async fn stop(&self, stop_timeout: Duration) -> Result<(), DaemonError> {
        log::info!("node: stopping, finishing requests in flight");
        // Sending cannot fail: the node duty receives events until the process ends.
        let _ = self.events.send(Event::Stop).await;
        timeout(stop_timeout, self.idle.cancelled())
            .await
            .map_err(|_| DaemonError::StopTimeout(stop_timeout))
    }

    /// Closes the listeners and waits for open connections to send their remaining data.
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
