//! Runs a sidecar node from its start to the orderly end of the process.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use rillgap_core::code::ResultCode;
use rillgap_forward::event::Event;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::LocalSet;

use crate::control::{self, ControlService};
use crate::dialect::Dialect;
use crate::hub::Hub;
use crate::logging::{self, RequestLog};
use crate::metrics::Metrics;
use crate::settings::{SettingsError, SidecarSettings};
use crate::store::Store;
use crate::{caller, link};

/// Delay of the exit, in which the last answers and log lines are written; longer than the interval
/// at which the log is written.
const EXIT_DELAY: Duration = Duration::from_millis(150);

/// Error that ends the daemon.
#[derive(Debug, thiserror::Error)]
pub enum DaemonError {
    /// The settings file cannot be read or is invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// An address cannot be bound.
    #[error("cannot listen on {address}: {cause}")]
    Bind {
        /// Address from the settings.
        address: SocketAddr,
        /// Error of the operating system.
        cause: io::Error,
    },
    /// The operating system refused a thread, a runtime or a signal handler.
    #[error("cannot start: {0}")]
    Start(#[from] io::Error),
}

impl DaemonError {
    /// Returns the numbered result code, with which the process exits.
    pub const fn code(&self) -> ResultCode {
        match self {
            Self::Settings(error) => error.code(),
            Self::Bind { .. } => ResultCode::AddressInUse,
            Self::Start(_) => ResultCode::Internal,
        }
    }
}

/// Implementations that a platform provides for a node.
pub struct Platform {
    /// Names and formats that the platform uses over HTTP.
    pub dialect: Rc<dyn Dialect>,
    /// Client of the platform's store.
    pub store: Rc<dyn Store>,
}

/// Runs a node until a signal stops it and no request is in flight any more.
///
/// # Errors
///
/// Fails if the node cannot start.
pub fn run(
    path: &Path,
    platform: impl FnOnce(&SidecarSettings) -> Platform,
) -> Result<(), DaemonError> {
    let settings = SidecarSettings::load(path)?;
    let platform = platform(&settings);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let tasks = LocalSet::new();
    // The supervisor has a task of its own, so that it is polled only when it is woken and not
    // whenever another task is.
    let supervisor = tasks.spawn_local(supervise(path.to_owned(), settings, platform));
    tasks
        .block_on(&runtime, supervisor)
        .unwrap_or_else(|error| Err(DaemonError::Start(error.into())))
}

async fn supervise(
    path: PathBuf,
    settings: SidecarSettings,
    platform: Platform,
) -> Result<(), DaemonError> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let metrics = Metrics::new();
    logging::start(metrics.log_lines_dropped.clone())?;
    let hub = start(&settings, platform, metrics).await?;
    log::info!(node = settings.node.name.as_str(), zone = settings.node.zone.as_str(),
        service = settings.back_end.service.as_str(); "node: started");
    let mut current = settings;
    loop {
        tokio::select! {
            biased;
            () = hub.exited() => break,
            _ = terminate.recv() => hub.dispatch(Event::Stop),
            _ = interrupt.recv() => hub.dispatch(Event::Stop),
            _ = hangup.recv() => current = reload(&path, current),
        }
    }
    log::info!(callers = hub.caller_count() as u64, unsent_answer_bytes = hub.unsent_answer_bytes() as u64;
        "node: exiting");
    tokio::time::sleep(EXIT_DELAY).await;
    Ok(())
}

/// Starts the tasks of a node on the current [`LocalSet`].
///
/// # Errors
///
/// Fails if an address cannot be bound.
pub async fn start(
    settings: &SidecarSettings,
    platform: Platform,
    metrics: Metrics,
) -> Result<Rc<Hub>, DaemonError> {
    let (incarnation, random_seed) = uuid::Uuid::new_v4().as_u64_pair();
    let forward = settings.forward_settings(incarnation, random_seed);
    let log = RequestLog::new(settings.log.clone());
    let listen = &settings.listen;
    let callers = bind(listen.callers).await?;
    let control = bind(listen.control).await?;
    let readiness = bind(listen.readiness).await?;
    let mesh = bind(listen.mesh).await?;
    let hub = Hub::new(
        forward,
        platform.dialect,
        platform.store,
        log,
        metrics,
        settings.buffer_limits(),
    );
    tokio::task::spawn_local(caller::accept(hub.clone(), callers));
    tokio::task::spawn_local(link::accept(hub.clone(), mesh));
    let calls = ControlService::Calls;
    tokio::task::spawn_local(control::serve(hub.clone(), control, calls));
    tokio::task::spawn_local(control::serve(hub.clone(), readiness, calls));
    if let Some(address) = listen.metrics {
        let listener = bind(address).await?;
        let service = ControlService::Metrics;
        tokio::task::spawn_local(control::serve(hub.clone(), listener, service));
    }
    tokio::task::spawn_local(hub.clone().run_timer());
    hub.dispatch(Event::Wake);
    Ok(hub)
}

async fn bind(address: SocketAddr) -> Result<TcpListener, DaemonError> {
    TcpListener::bind(address)
        .await
        .map_err(|cause| DaemonError::Bind { address, cause })
}

/// Reads the settings again and logs whether they have changed; changes take effect at the next
/// start.
fn reload(path: &Path, current: SidecarSettings) -> SidecarSettings {
    match SidecarSettings::load(path) {
        Ok(settings) if settings == current => {
            log::info!("settings: read again, unchanged");
            current
        }
        Ok(settings) => {
            log::warn!("settings: changed, in force with the next start");
            settings
        }
        Err(error) => {
            log::error!(code = error.code().number();
                "settings: {error}; the previous settings stay in force");
            current
        }
    }
}
