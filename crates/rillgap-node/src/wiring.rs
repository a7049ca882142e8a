//! Creates the duties of a node and their rings, and starts them.

use std::io;
use std::net::TcpListener;
use std::sync::Arc;

use rillgap_caller::settings::Audience;
use rillgap_core::admission::AdmissionSettings;
use rillgap_core::code::ResultCode;
use rillgap_core::event::Event;
use rillgap_core::id::ViewVersion;
use rillgap_core::node::NodeSettings;
use rillgap_core::view::{Member, View};
use rillgap_mesh::hello::Hello;
use rillgap_ring::RingSender;
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;

use crate::actions::ActionPorts;
use crate::clock::Clock;
use crate::duty::caller::{CallerDuty, CallerListener};
use crate::duty::mesh::MeshDuty;
use crate::duty::operator::OperatorDuty;
use crate::duty::{back_end, caller, mesh, metrics, node, operator, platform};
use crate::identity;
use crate::listeners::Listeners;
use crate::metrics::Metrics;
use crate::rings;
use crate::settings::{FixedDeployment, Settings};
use crate::threads::{self, Duty, DutyFuture};

/// Handle to a running node.
#[derive(Debug)]
pub struct RunningNode {
    /// Sends events to the node.
    pub events: RingSender<Event>,
    /// Cancelled by the operator duty when an operator requests a stop.
    pub stop_requested: CancellationToken,
    /// Cancelled by the node when a stop was requested and no request is in flight.
    pub idle: CancellationToken,
    /// Cancelled by the holder of this handle to close the listeners.
    pub close: CancellationToken,
    /// Completes when all connections of callers have ended after `close` was cancelled.
    pub connections_ended: oneshot::Receiver<()>,
}

/// Starts the duties of a node.
///
/// # Errors
///
/// Fails if a runtime or a thread cannot be created.
pub fn start(settings: Settings, listeners: Listeners) -> io::Result<RunningNode> {
    let clock = Clock::start();
    let metrics = Metrics::new();
    let (events, event_receiver) = rings::event_ring();
    let (outputs, inputs) = rings::output_rings();
    let (stopped, connections_ended) = oneshot::channel();
    let running = RunningNode {
        events: events.clone(),
        stop_requested: CancellationToken::new(),
        idle: CancellationToken::new(),
        close: CancellationToken::new(),
        connections_ended,
    };
    let node_settings = node_settings(&settings, clock);
    let hello = Hello::new(node_settings.id(), node_settings.incarnation);
    let ports = ActionPorts::new(outputs, metrics.clone(), running.idle.clone());
    let caller = CallerDuty {
        listeners: caller_listeners(&settings, listeners.callers, listeners.outbound),
        limits: settings.http,
        events: events.clone(),
        answers: inputs.answers,
        stop: running.close.clone(),
        stopped,
    };
    let mesh = MeshDuty {
        listener: listeners.mesh,
        hello,
        connections: settings.mesh_connections,
        events: events.clone(),
        outgoing: inputs.mesh,
    };
    let operator = OperatorDuty {
        listener: listeners.operator,
        events: events.clone(),
        replies: inputs.operator,
        stop_requested: running.stop_requested.clone(),
        stop: running.close.clone(),
    };
    let back_end = settings.back_end.map(|back_end| back_end.client);
    let back_end = back_end::run(back_end, events.clone(), inputs.back_end);
    let platform = platform::run(settings.store_endpoints, events, inputs.store);
    let metrics = metrics::run(listeners.metrics, metrics);
    let duties = vec![
        data_path(
            "node",
            node::run(node_settings, clock, event_receiver, ports),
        ),
        data_path("caller", exit_on_error("caller", caller::run(caller))),
        data_path("back-end", back_end),
        data_path("mesh", exit_on_error("mesh", mesh::run(mesh))),
        control("platform", platform),
        control(
            "operator",
            exit_on_error("operator", operator::run(operator)),
        ),
        control("metrics", exit_on_error("metrics", metrics)),
    ];
    threads::start(duties, settings.threads)?;
    Ok(running)
}

fn node_settings(settings: &Settings, clock: Clock) -> NodeSettings {
    let fixed = settings.fixed.as_ref();
    NodeSettings {
        name: settings.name.clone(),
        zone: settings.zone.clone(),
        region: settings.region.clone(),
        incarnation: fixed.map_or_else(
            || identity::generate_incarnation(clock.now().wall),
            |fixed| fixed.incarnation,
        ),
        random_seed: identity::generate_seed(),
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
    callers: TcpListener,
    outbound: Option<TcpListener>,
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

/// Ends the process if a duty fails, because a node must not continue without one of its duties.
async fn exit_on_error(name: &'static str, duty: impl Future<Output = io::Result<()>>) {
    if let Err(error) = duty.await {
        let code = ResultCode::Internal.number();
        log::error!(duty = name, code = code; "node: a duty failed, ending the process: {error}");
        std::process::exit(i32::from(code));
    }
}
