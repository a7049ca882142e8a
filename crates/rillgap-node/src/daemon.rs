//! Wires the duties together, starts them and ends the process in order.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use rillgap_caller::settings::Audience;
use rillgap_core::admission::AdmissionSettings;
use rillgap_core::code::ResultCode;
use rillgap_core::event::Event;
use rillgap_core::id::ViewVersion;
use rillgap_core::node::NodeSettings;
use rillgap_core::view::{Member, View};
use rillgap_mesh::hello::Hello;
use rillgap_ring::RingSender;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::oneshot;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use crate::actions::ActionPorts;
use crate::clock::Clock;
use crate::duty::caller::{CallerDuty, CallerListener};
use crate::duty::mesh::MeshDuty;
use crate::duty::operator::OperatorDuty;
use crate::duty::{back_end, caller, mesh, metrics, node, operator, platform};
use crate::identity;
use crate::listeners::{BindError, Listeners};
use crate::metrics::Metrics;
use crate::rings::{self, NodeInputs};
use crate::settings::{FixedDeployment, Settings};
use crate::threads::{self, Duty, DutyFuture};

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
    let running = start(settings, listeners)?;
    log::info!(node = name.as_str(); "node: started");
    tokio::select! {
        biased;
        // An operator asked for the stop, and it is complete.
        () = running.idle.cancelled() => {}
        _ = terminate.recv() => running.stop(stop_timeout).await?,
        _ = interrupt.recv() => running.stop(stop_timeout).await?,
    }
    running.end_connections().await;
    log::info!(node = name.as_str(); "node: stopped");
    Ok(())
}

/// A node whose duties run.
struct RunningNode {
    events: RingSender<Event>,
    /// Cancelled by the node when nothing is in flight after a stop.
    idle: CancellationToken,
    /// Cancelled to close the listeners.
    close: CancellationToken,
    connections_ended: oneshot::Receiver<()>,
}

impl RunningNode {
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

fn start(settings: Settings, listeners: Listeners) -> io::Result<RunningNode> {
    let clock = Clock::start();
    let metrics = Metrics::new();
    let idle = CancellationToken::new();
    let close = CancellationToken::new();
    let (events, event_receiver) = rings::event_ring();
    let (outputs, inputs) = rings::output_rings();
    let (stopped, connections_ended) = oneshot::channel();
    let node_settings = node_settings(&settings, clock);
    let hello = Hello::new(node_settings.id(), node_settings.incarnation);
    let ports = ActionPorts::new(outputs, metrics.clone(), idle.clone());
    let NodeInputs {
        answers,
        back_end: back_end_commands,
        mesh: outgoing,
        store,
        operator: replies,
    } = inputs;
    let callers = caller_listeners(&settings, listeners.callers, listeners.outbound);
    let layout = settings.threads;
    let duties = vec![
        data_path(
            "node",
            node::run(node_settings, clock, event_receiver, ports),
        ),
        data_path(
            "caller",
            exit_on_error(
                "caller",
                caller::run(CallerDuty {
                    listeners: callers,
                    limits: settings.http,
                    events: events.clone(),
                    answers,
                    stop: close.clone(),
                    stopped,
                }),
            ),
        ),
        data_path(
            "back-end",
            back_end::run(
                settings.back_end.map(|back_end| back_end.client),
                events.clone(),
                back_end_commands,
            ),
        ),
        data_path(
            "mesh",
            exit_on_error(
                "mesh",
                mesh::run(MeshDuty {
                    listener: listeners.mesh,
                    hello,
                    connections: settings.mesh_connections,
                    events: events.clone(),
                    outgoing,
                }),
            ),
        ),
        control(
            "platform",
            platform::run(settings.store_endpoints, events.clone(), store),
        ),
        control(
            "operator",
            exit_on_error(
                "operator",
                operator::run(OperatorDuty {
                    listener: listeners.operator,
                    events: events.clone(),
                    replies,
                    stop: close.clone(),
                }),
            ),
        ),
        control(
            "metrics",
            exit_on_error("metrics", metrics::run(listeners.metrics, metrics)),
        ),
    ];
    threads::start(duties, layout)?;
    Ok(RunningNode {
        events,
        idle,
        close,
        connections_ended,
    })
}

fn node_settings(settings: &Settings, clock: Clock) -> NodeSettings {
    let fixed = settings.fixed.as_ref();
    NodeSettings {
        name: settings.name.clone(),
        zone: settings.zone.clone(),
        region: settings.region.clone(),
        incarnation: fixed.map_or_else(
            || identity::draw_incarnation(clock.now().wall),
            |fixed| fixed.incarnation,
        ),
        random_seed: identity::draw_seed(),
        mesh_address: settings.listen.mesh,
        back_end: settings
            .back_end
            .as_ref()
            .map(|back_end| back_end.identity.clone()),
        seeds: settings.seeds.clone(),
        initial_view: fixed.map(fixed_view),
        initial_policy: fixed.map(|fixed| fixed.policy.clone()),
        admission: AdmissionSettings::default(),
    }
}

fn fixed_view(fixed: &FixedDeployment) -> View {
    let mut members = fixed.members.clone();
    members.sort_by_key(Member::id);
    View {
        version: ViewVersion(1),
        members: members.into_iter().map(Arc::new).collect(),
    }
}

fn caller_listeners(
    settings: &Settings,
    callers: std::net::TcpListener,
    outbound: Option<std::net::TcpListener>,
) -> Vec<CallerListener> {
    let back_end_addresses = settings
        .back_end
        .as_ref()
        .map_or_else(Vec::new, |back_end| back_end.source_addresses.clone());
    let mut listeners = vec![CallerListener {
        listener: callers,
        audience: Audience::Callers {
            except: back_end_addresses.clone(),
        },
    }];
    listeners.extend(outbound.map(|listener| CallerListener {
        listener,
        audience: Audience::LocalBackEnd {
            from: back_end_addresses,
        },
    }));
    listeners
}

fn data_path(name: &'static str, future: impl Future<Output = ()> + Send + 'static) -> Duty {
    duty(name, true, Box::pin(future))
}

fn control(name: &'static str, future: impl Future<Output = ()> + Send + 'static) -> Duty {
    duty(name, false, Box::pin(future))
}

fn duty(name: &'static str, is_on_data_path: bool, future: DutyFuture) -> Duty {
    Duty {
        name,
        is_on_data_path,
        future,
    }
}

/// Ends the process if a duty cannot run: a node must not go on without it.
async fn exit_on_error(name: &'static str, duty: impl Future<Output = io::Result<()>>) {
    if let Err(error) = duty.await {
        let code = ResultCode::Internal.number();
        log::error!(duty = name, code = code; "node: a duty failed, ending the process: {error}");
        std::process::exit(i32::from(code));
    }
}
