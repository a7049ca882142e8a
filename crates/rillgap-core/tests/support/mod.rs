//! Nodes connected in memory: messages are delivered immediately and in order, and tests advance
//! the time.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use bytes::Bytes;
use rillgap_core::action::{Action, BackEndRequest};
use rillgap_core::event::{Event, InboundId};
use rillgap_core::id::{
    BackEndName, CallToken, IdempotencyKey, Incarnation, NodeId, NodeName, RegionName, ServiceName,
    ZoneName,
};
use rillgap_core::node::{LocalBackEnd, Node, NodeSettings};
use rillgap_core::policy::{
    BackEndPolicy, BackEndState, Bounds, Class, Policy, RoutePolicy, ServicePolicy,
};
use rillgap_core::request::{AnswerHead, InboundRequest, Origin, Refusal, RequestHead};
use rillgap_core::time::{Instant, Now, WallTime};
use rillgap_core::view::{Member, View};

/// Response that a caller has received.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Response {
    pub refusal: Option<Refusal>,
    pub status: Option<u16>,
    pub body: Vec<u8>,
    pub is_complete: bool,
    pub is_aborted: bool,
}

/// The nodes `entry`, `node-front-1`, `node-front-2`, `node-deep-1` and `node-deep-2` with their back
/// ends; the policy leaves out the last one.
pub struct Cluster {
    pub now: Now,
    pub nodes: BTreeMap<NodeId, Node>,
    pub calls: Vec<(NodeId, BackEndRequest)>,
    pub responses: BTreeMap<InboundId, Response>,
    next_inbound: u64,
    queue: VecDeque<(NodeId, Event)>,
}

const BACK_ENDS: [(&str, &str); 3] = [
    ("front-1", "front"),
    ("front-2", "front"),
    ("deep-1", "deep"),
];

pub fn policy() -> Policy {
    let service = |name: &str| ServicePolicy {
        name: ServiceName::new(name),
        slots: 4,
        connections: 100,
        queue_millis: 50,
    };
    let route = |service: &str, method: &str, class, repeatable| RoutePolicy {
        service: ServiceName::new(service),
        method: method.to_owned(),
        path: "/".to_owned(),
        class,
        repeatable,
        deadline_millis: 1_000,
    };
    Policy {
        version: rillgap_core::id::PolicyVersion(1),
        bounds: Bounds::default(),
        services: vec![service("front"), service("deep")],
        routes: vec![
            route("front", "GET", Class::Sheddable, true),
            route("front", "POST", Class::Critical, false),
            route("deep", "", Class::Standard, true),
        ],
        back_ends: BACK_ENDS
            .iter()
            .map(|(name, service)| BackEndPolicy {
                name: BackEndName::new(*name),
                service: ServiceName::new(*service),
                node: NodeName::new(format!("node-{name}")),
                state: BackEndState::Serving,
            })
            .collect(),
        ..Policy::default()
    }
}

fn member(name: &str, position: u16) -> Member {
    Member {
        name: NodeName::new(name),
        zone: ZoneName::new(format!("zone-{}", position % 3)),
        region: RegionName::new("region"),
        incarnation: Incarnation(1),
        mesh_address: ([127, 0, 0, 1], 9_000 + position).into(),
    }
}

fn view() -> View {
    let names = [
        "entry",
        "node-front-1",
        "node-front-2",
        "node-deep-1",
        "node-deep-2",
    ];
    let members = names
        .into_iter()
        .zip(0..)
        .map(|(name, position)| member(name, position));
    View::new(rillgap_core::id::ViewVersion(1), members)
}

impl Cluster {
    pub fn new(policy: &Policy) -> Self {
        let now = Now {
            instant: Instant::from_micros(1_000_000),
            wall: WallTime::from_millis(1_800_000_000_000),
        };
        let mut cluster = Self {
            now,
            nodes: BTreeMap::new(),
            calls: Vec::new(),
            responses: BTreeMap::new(),
            next_inbound: 0,
            queue: VecDeque::new(),
        };
        for member in view().members.iter().map(|member| Member::clone(member)) {
            let back_end = member
                .name
                .as_str()
                .strip_prefix("node-")
                .map(|name| LocalBackEnd {
                    name: BackEndName::new(name),
                    service: ServiceName::new(name.split('-').next().unwrap_or_default()),
                });
            let settings = NodeSettings {
                zone: member.zone.clone(),
                region: member.region.clone(),
                incarnation: member.incarnation,
                random_seed: member.id().0,
                mesh_address: member.mesh_address,
                back_end,
                initial_view: Some(view()),
                initial_policy: Some(policy.clone()),
                ..NodeSettings::new(member.name.clone())
            };
            cluster.nodes.insert(member.id(), Node::new(now, settings));
        }
        cluster
    }

    /// Sends a request of a caller to the node `entry`.
    pub fn call(&mut self, method: &str, path: &str, key: Option<IdempotencyKey>) -> InboundId {
        self.request("entry", Origin::Caller, "front", method, path, key)
    }

    /// Sends a request of the back end beside `node` to the service `deep`.
    pub fn child_call(&mut self, node: &str, token: Option<CallToken>, path: &str) -> InboundId {
        self.request(
            node,
            Origin::LocalBackEnd { token },
            "deep",
            "GET",
            path,
            None,
        )
    }

    fn request(
        &mut self,
        node: &str,
        origin: Origin,
        service: &str,
        method: &str,
        path: &str,
        key: Option<IdempotencyKey>,
    ) -> InboundId {
        self.next_inbound += 1;
        let inbound = InboundId(self.next_inbound);
        let head = RequestHead {
            method: method.into(),
            path: path.into(),
            headers: Vec::new(),
        };
        let request = InboundRequest {
            origin,
            service: ServiceName::new(service),
            head,
            body: Bytes::new(),
            key,
            timeout: None,
        };
        self.event(node, Event::Inbound { inbound, request });
        inbound
    }

    /// Passes an event to a node and processes all events that result from it.
    pub fn event(&mut self, node: &str, event: Event) {
        self.queue.push_back((NodeId::from_name(node), event));
        self.run();
    }

    /// Advances the time in steps of ten milliseconds and wakes all nodes after each step.
    pub fn advance(&mut self, duration: Duration) {
        const STEP: Duration = Duration::from_millis(10);
        let end = self.now.instant + duration;
        while self.now.instant < end {
            self.now.instant = self.now.instant + STEP;
            self.now.wall = self.now.wall.plus(STEP);
            let nodes: Vec<NodeId> = self.nodes.keys().copied().collect();
            self.queue
                .extend(nodes.into_iter().map(|node| (node, Event::Wake)));
            self.run();
        }
    }

    /// Answers a running request at a back end with status 200 and a body.
    pub fn answer(&mut self, position: usize, body: &'static str) {
        let (node, request) = self.calls.remove(position);
        let attempt = request.attempt;
        let head = AnswerHead {
            status: 200,
            headers: Vec::new(),
        };
        let chunk = Bytes::from_static(body.as_bytes());
        for event in [
            Event::BackEndHead { attempt, head },
            Event::BackEndBody { attempt, chunk },
            Event::BackEndEnd { attempt },
        ] {
            self.queue.push_back((node, event));
        }
        self.run();
    }

    /// Returns the response that the caller of a request has received.
    pub fn response(&self, inbound: InboundId) -> &Response {
        self.responses
            .get(&inbound)
            .unwrap_or(const { &Response::EMPTY })
    }

    fn run(&mut self) {
        while let Some((id, event)) = self.queue.pop_front() {
            let mut actions = Vec::new();
            let node = self.nodes.get_mut(&id).expect("a known node");
            node.handle(self.now, event, &mut actions);
            for action in actions {
                self.apply_action(id, action);
            }
        }
    }

    fn apply_action(&mut self, from: NodeId, action: Action) {
        match action {
            Action::Send { to, message, .. } => {
                let incarnation = Incarnation(1);
                self.queue.push_back((
                    to,
                    Event::Peer {
                        from,
                        incarnation,
                        message,
                    },
                ));
            }
            Action::CallBackEnd(request) => self.calls.push((from, *request)),
            Action::CancelBackEnd { attempt } => {
                self.calls.retain(|(_, request)| request.attempt != attempt);
            }
            Action::Refuse { inbound, refusal } => {
                self.responses.entry(inbound).or_default().refusal = Some(refusal);
            }
            Action::AnswerHead { inbound, head } => {
                self.responses.entry(inbound).or_default().status = Some(head.status);
            }
            Action::AnswerBody { inbound, chunk } => {
                self.responses
                    .entry(inbound)
                    .or_default()
                    .body
                    .extend_from_slice(&chunk);
            }
            Action::AnswerEnd { inbound } => {
                self.responses.entry(inbound).or_default().is_complete = true
            }
            Action::AnswerAbort { inbound } => {
                self.responses.entry(inbound).or_default().is_aborted = true
            }
            _ => {}
        }
    }
}

impl Response {
    const EMPTY: Self = Self {
        refusal: None,
        status: None,
        body: Vec::new(),
        is_complete: false,
        is_aborted: false,
    };
}
