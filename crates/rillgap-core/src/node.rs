//! One node: combines the subsystems into a single state machine.

use std::sync::Arc;
use std::time::Duration;

use crate::action::{Action, Observation, Outbox};
use crate::admission::AdmissionSettings;
use crate::call::CallPath;
use crate::claim::{ClaimCounters, ClaimFaults, Claims};
use crate::configuration::Configuration;
use crate::event::Event;
use crate::id::{BackEndName, Incarnation, NodeId, NodeName, RegionName, ServiceName, ZoneName};
use crate::membership::{Membership, ViewTransition};
use crate::message::PeerMessage;
use crate::operator::{OperatorReply, OperatorRequest, OperatorRequestId};
use crate::policy::Policy;
use crate::store::{StoreReply, StoreRequestId};
use crate::time::{Instant, Now};
use crate::view::View;

/// Time for which a node that has left the view still refuses messages of peers: long enough for
/// the new view to reach them.
const EXIT_DELAY: Duration = Duration::from_secs(1);

/// A peer that a node contacts at its start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SeedPeer {
    /// Configured name of the peer.
    pub name: NodeName,
    /// Address of its mesh listener.
    pub mesh_address: std::net::SocketAddr,
}

/// The back end beside a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LocalBackEnd {
    /// Name of the back end.
    pub name: BackEndName,
    /// Service that it runs.
    pub service: ServiceName,
}

/// Settings of a node, fixed at its start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeSettings {
    /// Configured name.
    pub name: NodeName,
    /// Zone in which the node runs.
    pub zone: ZoneName,
    /// Region of that zone.
    pub region: RegionName,
    /// Incarnation of the node; must differ from all earlier ones of the same name.
    pub incarnation: Incarnation,
    /// Seed of the node's random numbers.
    pub random_seed: u64,
    /// Address of the node's mesh listener.
    pub mesh_address: std::net::SocketAddr,
    /// Local back end; `None` for a node that only receives requests of callers.
    pub back_end: Option<LocalBackEnd>,
    /// Peers to contact at the start.
    pub seeds: Vec<SeedPeer>,
    /// Initial view if no store is used (benchmarks and unit tests); `None` otherwise.
    pub initial_view: Option<View>,
    /// Initial policy if no store is used (benchmarks and unit tests); `None` otherwise.
    pub initial_policy: Option<Policy>,
    /// Overload control; all values but the default are baselines for experiments.
    pub admission: AdmissionSettings,
}

impl NodeSettings {
    /// Creates settings with a name and defaults: no back end, no seed peers, random seed zero.
    pub fn new(name: NodeName) -> Self {
        Self {
            name,
            zone: ZoneName::new(""),
            region: RegionName::new(""),
            incarnation: Incarnation(0),
            random_seed: 0,
            mesh_address: ([127, 0, 0, 1], 0).into(),
            back_end: None,
            seeds: Vec::new(),
            initial_view: None,
            initial_policy: None,
            admission: AdmissionSettings::default(),
        }
    }

    /// Returns the identifier of the node.
    pub fn id(&self) -> NodeId {
        self.name.id()
    }
}

/// The subsystems that the data path uses.
#[derive(Debug)]
pub struct Context<'a> {
    /// Settings of the node.
    pub settings: &'a NodeSettings,
    /// Membership: the view, addresses of members, and whether the node may serve.
    pub membership: &'a mut Membership,
    /// Configuration: the policy in force.
    pub configuration: &'a Configuration,
    /// Claims on idempotency keys.
    pub claims: &'a mut Claims,
    /// Actions for the driver.
    pub out: &'a mut Outbox,
}

/// One node as a state machine.
#[derive(Debug)]
pub struct Node {
    settings: NodeSettings,
    membership: Membership,
    configuration: Configuration,
    claims: Claims,
    call_path: CallPath,
    policy_in_force: crate::id::PolicyVersion,
    view_in_force: Arc<View>,
    serving: bool,
    stopping: bool,
    leaving: bool,
    exit_at: Option<Instant>,
    exited: bool,
}

impl Node {
    /// Creates a node without state of an earlier incarnation.
    pub fn new(now: Now, settings: NodeSettings) -> Self {
        Self {
            membership: Membership::new(now, &settings),
            configuration: Configuration::new(now, &settings),
            claims: Claims::new(settings.id(), settings.incarnation),
            call_path: CallPath::new(&settings),
            policy_in_force: crate::id::PolicyVersion::default(),
            view_in_force: Arc::default(),
            serving: false,
            stopping: false,
            leaving: false,
            exit_at: None,
            exited: false,
            settings,
        }
    }

    /// Handles one event; actions for the driver are appended to `out`.
    pub fn handle(&mut self, now: Now, event: Event, out: &mut Outbox) {
        // A node whose process was paused must detect this before it handles events that were
        // queued in the meantime.
        self.poll_control_plane(now, out);
        self.configuration.record_step_time(now);
        match event {
            Event::Peer {
                from,
                incarnation,
                message,
            } => self.on_peer(now, from, incarnation, message, out),
            Event::Store { request, reply } => self.on_store(now, request, &reply, out),
            Event::Operator { request, body } => self.on_operator(now, request, body, out),
            Event::Stop => self.begin_stop(),
            Event::Wake => {}
            event => {
                let (call_path, mut context) = self.split(out);
                call_path.handle(now, event, &mut context);
            }
        }
        self.poll_subsystems(now, out);
    }

    /// Returns when [`Event::Wake`] is due next; `None` if nothing is scheduled.
    pub fn next_wake(&self) -> Option<Instant> {
        [
            self.membership.next_wake(),
            self.configuration.next_wake(),
            self.claims.next_wake(),
            self.call_path.next_wake(),
            self.exit_at.filter(|_| !self.exited),
        ]
        .into_iter()
        .flatten()
        .min()
    }

    /// Returns the settings of the node.
    pub fn settings(&self) -> &NodeSettings {
        &self.settings
    }

    /// Returns the node's membership.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Returns the node's configuration.
    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// Returns the node's data path.
    pub fn call_path(&self) -> &CallPath {
        &self.call_path
    }

    /// Injects faults into the claim protocol, to test that an observer detects their effects.
    pub fn inject_claim_faults(&mut self, faults: ClaimFaults) {
        self.claims.inject_faults(faults);
        self.call_path.guard_mut().inject_faults(faults);
    }

    /// Returns the counters of the claim protocol since the start of the node.
    pub const fn claim_counters(&self) -> ClaimCounters {
        self.claims.counters()
    }

    fn split<'a>(&'a mut self, out: &'a mut Outbox) -> (&'a mut CallPath, Context<'a>) {
        let context = Context {
            settings: &self.settings,
            membership: &mut self.membership,
            configuration: &self.configuration,
            claims: &mut self.claims,
            out,
        };
        (&mut self.call_path, context)
    }

    fn on_peer(
        &mut self,
        now: Now,
        from: NodeId,
        incarnation: Incarnation,
        message: PeerMessage,
        out: &mut Outbox,
    ) {
        match message {
            PeerMessage::Call(message) => {
                let (call_path, mut context) = self.split(out);
                call_path.on_message(now, from, message, &mut context);
            }
            PeerMessage::Claim(message) => {
                let guard = self.call_path.guard_mut();
                self.claims
                    .on_message(now, from, message, &self.membership, guard, out);
            }
            PeerMessage::Membership(message) => {
                self.membership
                    .on_message(now, from, incarnation, message, out);
            }
            PeerMessage::Configuration(message) => {
                self.configuration
                    .on_message(now, from, message, &self.membership, out);
            }
        }
    }

    fn on_store(
        &mut self,
        now: Now,
        request: StoreRequestId,
        reply: &StoreReply,
        out: &mut Outbox,
    ) {
        if !self.membership.on_store(now, request, reply, out) {
            self.configuration
                .on_store(now, request, reply, &self.membership, out);
        }
    }

    fn on_operator(
        &mut self,
        now: Now,
        request: OperatorRequestId,
        body: OperatorRequest,
        out: &mut Outbox,
    ) {
        if body == OperatorRequest::StopNode {
            out.push(Action::Reply {
                request,
                reply: OperatorReply::Stopping,
            });
            self.begin_stop();
            return;
        }
        self.configuration
            .on_operator(now, request, body, &self.membership, out);
    }

    fn begin_stop(&mut self) {
        if self.stopping {
            return;
        }
        self.stopping = true;
        self.call_path.begin_stop();
    }

    fn poll_control_plane(&mut self, now: Now, out: &mut Outbox) {
        self.membership.poll(now, out);
        self.configuration.poll(now, &self.membership, out);
    }

    /// Processes due work of all subsystems and exchanges results between them.
    fn poll_subsystems(&mut self, now: Now, out: &mut Outbox) {
        self.poll_control_plane(now, out);
        self.membership
            .set_policy_version(self.configuration.version());
        self.poll_claims(now, out);
        self.report_versions(out);
        self.report_serving(now, out);
        let (call_path, mut context) = self.split(out);
        call_path.poll(now, &mut context);
        self.leave_when_idle(now, out);
    }

    fn poll_claims(&mut self, now: Now, out: &mut Outbox) {
        let guard = self.call_path.guard_mut();
        if let Some(policy) = self.configuration.policy() {
            self.claims.configure(&policy.bounds);
            guard.configure(&policy.bounds);
        }
        self.claims.poll(now, &self.membership, guard, out);
    }

    fn report_versions(&mut self, out: &mut Outbox) {
        let policy = self.configuration.version();
        if policy != self.policy_in_force {
            self.policy_in_force = policy;
            out.push(Action::Observe(Observation::PolicyInForce(policy)));
        }
        let view = self.membership.view();
        if view.version != self.view_in_force.version {
            let transition = ViewTransition::between(&self.view_in_force, view);
            self.view_in_force = Arc::clone(view);
            out.push(Action::Observe(Observation::ViewInForce(Box::new(
                transition,
            ))));
        }
    }

    fn report_serving(&mut self, now: Now, out: &mut Outbox) {
        let serving = !self.stopping
            && self.configuration.policy().is_some()
            && self.membership.may_serve(now);
        if serving != self.serving {
            self.serving = serving;
            out.push(Action::Observe(Observation::Serving(serving)));
        }
    }

    /// Completes a planned stop: leaves the view once nothing is in flight that was accepted before
    /// the stop was requested, then refuses messages of peers that do not have the new view yet for
    /// [`EXIT_DELAY`], then exits. Keyed requests are accepted until the node has left; their answers
    /// arrive after it, too, since peers remember the address of a removed member.
    fn leave_when_idle(&mut self, now: Now, out: &mut Outbox) {
        if !self.stopping || self.exited || !self.call_path.may_leave() {
            return;
        }
        if !self.leaving {
            self.leaving = true;
            out.push(Action::Observe(Observation::Leaving));
        }
        self.membership.leave(now, out);
        if !self.membership.has_left() {
            return;
        }
        self.call_path.close();
        let exit_at = *self.exit_at.get_or_insert(now.instant + EXIT_DELAY);
        if exit_at <= now.instant && self.call_path.is_idle() {
            self.exited = true;
            out.push(Action::Exit);
        }
    }
}
