//! Builders and a test node that the tests of this crate share.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::net::SocketAddr;
use std::time::Duration;

use rillgap_core::code::ResultCode;
use rillgap_core::time::Instant;
use rillgap_forward::action::{Action, Actions, CallerAnswer, Exchange};
use rillgap_forward::configuration::{
    CallerLimits, Configuration, Repeatability, Route, Service, WeightedService,
};
use rillgap_forward::credential::Credential;
use rillgap_forward::event::{
    AnnouncedState, CallerRequest, Event, ExchangeResult, Heartbeat, ProbeResult,
};
use rillgap_forward::id::{
    AnnouncementId, ConnectionId, ExchangeId, LinkId, PipelineIndex, ProbeId, Sequence,
};
use rillgap_forward::incarnation::Incarnation;
use rillgap_forward::log_record::LogRecord;
use rillgap_forward::message::{
    ForwardResponse, ForwardResult, ForwardedAnswer, ForwardedRequest, Hello, LinkMessage, Load,
    NodeRecord, ServiceAdmissionLevel, Status, Timing, level_of,
};
use rillgap_forward::node::{Node, PROTOCOL_VERSION};
use rillgap_forward::settings::{ForwardSettings, RetryBound};
use rillgap_forward::store_epoch::{StoreEpoch, StorePosition};
use rillgap_forward::store_sync::{
    NodeList, StoreFailure, StoreReply, StoreRequest, StoreRequestId,
};
use rillgap_forward::watch_relay::ContactReport;

pub const SERVICE: &str = "takst";
pub const INSTANCE: &str = "i-1";
/// Write calls per second that the store accepts.
pub const STORE_WRITES_PER_SECOND: f64 = 400.0;

/// Milliseconds within which a node without a configuration must read it from the store.
const MAX_READ_DELAY_MILLIS: u64 = 4_000;

pub const HOST: &str = "fares.example";

pub fn at(millis: u64) -> Instant {
    Instant::from_micros(millis * 1_000)
}

pub fn address(last: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, last], 7_000))
}

pub fn back_end_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9_000))
}

pub fn settings(name: &str, service: &str) -> ForwardSettings {
    ForwardSettings {
        record: NodeRecord {
            name: name.to_owned(),
            address: address(1),
            zone: "hall-a".to_owned(),
            service: service.to_owned(),
        },
        is_first_start: true,
        store_writes_per_second: STORE_WRITES_PER_SECOND,
        incarnation: 1,
        random_seed: 7,
        back_end_address: back_end_address(),
        heartbeat_interval: Duration::from_millis(1_500),
        grace: Duration::from_secs(6),
        retry_bound: RetryBound {
            ratio: 0.2,
            slack: 50,
            window: Duration::from_secs(10),
        },
        revocation: None,
    }
}

pub fn route(path: &str, service: &str, repeatability: Repeatability) -> Route {
    Route {
        name: path.to_owned(),
        host: HOST.to_owned(),
        path_prefix: path.to_owned(),
        repeatability,
        timeout_millis: 1_000,
        target_latency_millis: 500,
        priority: 1,
        services: vec![WeightedService {
            service: service.to_owned(),
            weight: 1,
        }],
        max_attempts: 3,
        is_public: false,
    }
}

/// Service that the back ends of [`SERVICE`] call.
pub const DEEP_SERVICE: &str = "sone";

/// Another service whose back ends call [`DEEP_SERVICE`].
pub const OTHER_SERVICE: &str = "oppgjor";

/// Returns a configuration that routes `/safe/` and `/once/` to [`SERVICE`], `/deep/` to
/// [`DEEP_SERVICE`] and `/settlement/` to [`OTHER_SERVICE`].
pub fn configuration(version: u64) -> Configuration {
    Configuration {
        version,
        routes: vec![
            route("/safe/", SERVICE, Repeatability::Idempotent),
            route("/once/", SERVICE, Repeatability::AtMostOnce),
            route("/deep/", DEEP_SERVICE, Repeatability::Idempotent),
            route("/settlement/", OTHER_SERVICE, Repeatability::Idempotent),
        ],
        services: vec![Service {
            name: SERVICE.to_owned(),
            health_path: "/health".to_owned(),
            max_connections: 100,
        }],
        tenants: Vec::new(),
        limits: CallerLimits::default(),
    }
}

pub fn heartbeat(instance: &str, sequence: u64, state: AnnouncedState) -> Heartbeat {
    Heartbeat {
        incarnation: Incarnation::without_start(instance),
        service: SERVICE.to_owned(),
        address: back_end_address().to_string(),
        slots: 4,
        state,
        sequence,
    }
}

pub fn caller_request(id: &str, target: &str) -> CallerRequest {
    CallerRequest {
        request_id: id.to_owned(),
        method: "GET".to_owned(),
        target: target.to_owned(),
        host: HOST.to_owned(),
        fields: Vec::new(),
        body: Vec::new(),
        credential: Credential::Absent,
        deadline: Some(Duration::from_millis(800)),
        parent_id: id.rsplit_once('.').map(|(parent, _)| parent.to_owned()),
    }
}

pub fn forwarded_request(id: &str, is_idempotent: bool) -> ForwardedRequest {
    ForwardedRequest {
        request_id: id.to_owned(),
        method: "GET".to_owned(),
        target: "/safe/1".to_owned(),
        fields: Vec::new(),
        body: Vec::new(),
        caller_service: "logbok".to_owned(),
        service: SERVICE.to_owned(),
        route: "/safe/".to_owned(),
        is_idempotent,
        tenant: None,
        level: level_of(1, id),
        is_call: false,
        is_retry: false,
        remaining_micros: 800_000,
        queue_limit_micros: 100_000,
        answer_grace_micros: 1_000_000,
        remembered_rate_limit: None,
    }
}

/// Returns a list reply with the record of the node itself and those of others.
pub fn nodes(own: NodeRecord, mut lowest: Vec<NodeRecord>) -> StoreReply {
    lowest.push(own);
    StoreReply::Nodes {
        epoch: StoreEpoch::default(),
        list: NodeList {
            lowest,
            ..NodeList::default()
        },
    }
}

/// Returns the reply that stands for a store that cannot be reached.
pub fn store_failure(detail: &str) -> StoreReply {
    StoreReply::Failed(StoreFailure {
        code: ResultCode::StoreUnavailable,
        detail: detail.to_owned(),
    })
}

/// Returns the code of a result, or `None` if a back end has answered.
pub fn code_of(result: &ForwardResult) -> Option<ResultCode> {
    match result {
        ForwardResult::Answered(_) => None,
        ForwardResult::NotRun { code, .. } | ForwardResult::Unknown { code } => Some(*code),
    }
}

pub fn answer(status: u16) -> ForwardedAnswer {
    ForwardedAnswer {
        status,
        fields: Vec::new(),
        body: b"body".to_vec(),
    }
}

pub fn serving(service: &str) -> Status {
    Status {
        service: service.to_owned(),
        instance: Some(Incarnation::without_start(INSTANCE).fingerprint()),
        has_left: false,
        is_serving: true,
        is_stopping: false,
        is_watching: false,
        can_own_buckets: false,
        load: Load {
            limit: 10,
            ..Load::default()
        },
    }
}

pub fn hello(name: &str, last: u8, status: Status, version: u64) -> Hello {
    Hello {
        protocol: PROTOCOL_VERSION,
        node: NodeRecord {
            name: name.to_owned(),
            address: address(last),
            zone: "hall-b".to_owned(),
            service: status.service.clone(),
        },
        incarnation: 1,
        status,
        configuration_version: version,
        store_epoch: None,
    }
}

/// A node under test, with the actions that it has returned.
pub struct TestNode {
    pub node: Node,
    /// Current time in milliseconds.
    pub now: u64,
    pub actions: Actions,
}

impl TestNode {
    /// Creates a node without a configuration and without contact with other nodes or the store.
    pub fn unconfigured(service: &str) -> Self {
        Self::with_settings(settings("own", service))
    }

    /// Creates a node with the given settings and without a configuration.
    pub fn with_settings(settings: ForwardSettings) -> Self {
        let mut test = Self {
            node: Node::new(at(0), settings),
            now: 0,
            actions: Vec::new(),
        };
        test.event(Event::Wake);
        test
    }

    /// Creates a node with a configuration whose back end is not serving yet.
    pub fn configured(service: &str) -> Self {
        let mut test = Self::unconfigured(service);
        test.configure(configuration(1));
        test
    }

    /// Creates a node whose back end serves [`SERVICE`].
    pub fn serving() -> Self {
        Self::serving_with(settings("own", SERVICE))
    }

    /// Creates a node with the given settings whose back end serves [`SERVICE`].
    pub fn serving_with(settings: ForwardSettings) -> Self {
        let mut test = Self::with_settings(settings);
        test.configure(configuration(1));
        test.heartbeat(1, AnnouncedState::Ready);
        test.confirm(INSTANCE);
        test.actions.clear();
        test
    }

    /// Delivers the report of a peer that its last contact with the store is so old; `None` if it has no
    /// recent one.
    pub fn report_store_contact(&mut self, link: LinkId, age_micros: Option<u64>) {
        let message = LinkMessage::StoreContact(ContactReport {
            sent_at_micros: at(self.now).as_micros(),
            age_micros,
        });
        self.event(Event::Link { link, message });
    }

    pub fn event(&mut self, event: Event) {
        self.node.handle(at(self.now), event, &mut self.actions);
    }

    pub fn advance(&mut self, millis: u64) {
        for _ in 0..millis {
            self.now += 1;
            if self.node.next_wake() <= at(self.now) {
                self.event(Event::Wake);
            }
        }
    }

    /// Answers the read of the configuration, which the node makes after it has listed the other
    /// nodes.
    pub fn configure(&mut self, configuration: Configuration) {
        let position = StorePosition::new(StoreEpoch::default(), configuration.version);
        self.join();
        let request = self.read_of_configuration();
        self.actions
            .retain(|action| !matches!(action, Action::CallStore { .. }));
        self.event(Event::Store {
            request,
            reply: StoreReply::Configuration {
                position,
                configuration: Some(configuration),
            },
        });
    }

    /// Returns the node record that the node sends to peers.
    pub fn record(&self) -> NodeRecord {
        self.node.hello().node
    }

    /// Answers a pending registration and a pending list of nodes; the list holds only the node
    /// itself.
    fn join(&mut self) {
        if let Some(request) = self.store_call(|call| matches!(call, StoreRequest::Register(_))) {
            let reply = StoreReply::Registered {
                epoch: StoreEpoch::default(),
                is_new: false,
            };
            self.event(Event::Store { request, reply });
        }
        if let Some(request) =
            self.store_call(|call| matches!(call, StoreRequest::ListNodes { .. }))
        {
            let reply = nodes(self.record(), Vec::new());
            self.event(Event::Store { request, reply });
        }
    }

    /// Advances the time until the node reads or watches the configuration, and returns this call.
    fn read_of_configuration(&mut self) -> StoreRequestId {
        let is_read = |call: &StoreRequest| {
            matches!(
                call,
                StoreRequest::ReadConfiguration | StoreRequest::WatchConfiguration { .. }
            )
        };
        for _ in 0..MAX_READ_DELAY_MILLIS {
            if let Some(request) = self.store_call(is_read) {
                return request;
            }
            self.advance(1);
        }
        panic!("the node has not read the configuration in {MAX_READ_DELAY_MILLIS} ms");
    }

    /// Returns the latest call to the store that matches `fits`.
    fn store_call(&self, fits: impl Fn(&StoreRequest) -> bool) -> Option<StoreRequestId> {
        self.actions.iter().rev().find_map(|action| match action {
            Action::CallStore { id, request } if fits(request) => Some(*id),
            _ => None,
        })
    }

    /// Answers the latest call to the store that matches `fits`.
    pub fn answer_store(&mut self, fits: impl Fn(&StoreRequest) -> bool, reply: StoreReply) {
        let request = self.store_call(fits).expect("a matching call to the store");
        self.event(Event::Store { request, reply });
    }

    pub fn heartbeat(&mut self, sequence: u64, state: AnnouncedState) -> bool {
        self.heartbeat_of(INSTANCE, sequence, state)
    }

    pub fn heartbeat_of(&mut self, instance: &str, sequence: u64, state: AnnouncedState) -> bool {
        self.announce(heartbeat(instance, sequence, state))
    }

    /// Passes a heartbeat to the node and returns whether the node accepts it.
    pub fn announce(&mut self, heartbeat: Heartbeat) -> bool {
        let announcement = AnnouncementId(heartbeat.sequence);
        self.event(Event::Heartbeat {
            announcement,
            heartbeat,
        });
        let acknowledged = self.actions.iter().rev().find_map(|action| match action {
            Action::Acknowledge {
                announcement: answered,
                is_accepted,
            } if *answered == announcement => Some(*is_accepted),
            _ => None,
        });
        acknowledged.expect("an acknowledgement or rejection of the heartbeat")
    }

    pub fn leave(&mut self, instance: &str) {
        self.event(Event::BackEndLeft {
            announcement: AnnouncementId(0),
            incarnation: Incarnation::without_start(instance),
        });
    }

    /// Returns the latest probe that the node has requested.
    pub fn probe(&self) -> Option<ProbeId> {
        self.actions.iter().rev().find_map(|action| match action {
            Action::Probe { probe, .. } => Some(*probe),
            _ => None,
        })
    }

    /// Ends the latest probe: the health endpoint reports an instance as healthy.
    pub fn confirm(&mut self, instance: &str) {
        let probe = self.probe().expect("a requested probe");
        let instance = instance.to_owned();
        self.end_probe(probe, ProbeResult::Healthy { instance });
    }

    pub fn end_probe(&mut self, probe: ProbeId, result: ProbeResult) {
        self.event(Event::ProbeEnded { probe, result });
    }

    /// Accepts a link from a peer without a back end.
    pub fn accept(&mut self, link: u64) -> LinkId {
        let link = LinkId(link);
        let hello = hello("caller-side", 9, Status::default(), 0);
        self.event(Event::LinkAccepted { link, hello });
        link
    }

    /// Accepts a link from a peer whose back end serves `service`, 250 ms later; both ends can send
    /// requests on it.
    pub fn connect(&mut self, name: &str, last: u8, service: &str) -> LinkId {
        let link = LinkId(1_000 + u64::from(last));
        let hello = hello(name, last, serving(service), 0);
        self.advance(250);
        self.event(Event::LinkAccepted { link, hello });
        link
    }

    /// Passes a request of a peer to the inbound side of the node.
    pub fn forward(&mut self, link: LinkId, sequence: u64, request: ForwardedRequest) {
        self.event(Event::Link {
            link,
            message: LinkMessage::Request {
                sequence: Sequence(sequence),
                request: request.into(),
            },
        });
    }

    pub fn request(&mut self, pipeline_index: u64, request: CallerRequest) {
        self.event(Event::Request {
            connection: ConnectionId(1),
            pipeline_index: PipelineIndex(pipeline_index),
            request,
        });
    }

    /// Returns the exchanges that the node has started with its back end, in order.
    pub fn exchanges(&self) -> Vec<Exchange> {
        let exchange = |action: &Action| match action {
            Action::StartExchange(exchange) => Some(exchange.clone()),
            _ => None,
        };
        self.actions.iter().filter_map(exchange).collect()
    }

    pub fn end_exchange(&mut self, exchange: ExchangeId, result: ExchangeResult) {
        self.event(Event::ExchangeEnded { exchange, result });
    }

    /// Returns the results that the inbound side has sent on links, with their sequence numbers.
    pub fn results(&self) -> Vec<(u64, ForwardResult)> {
        let result = |action: &Action| match action {
            Action::SendOnLink {
                message: LinkMessage::Response(response),
                ..
            } => Some((response.sequence.0, response.result.clone())),
            _ => None,
        };
        self.actions.iter().filter_map(result).collect()
    }

    /// Returns the admission levels of downstream services in the latest response of the inbound
    /// side.
    pub fn downstream_levels(&self) -> Vec<ServiceAdmissionLevel> {
        let levels = self.actions.iter().rev().find_map(|action| match action {
            Action::SendOnLink {
                message: LinkMessage::Response(response),
                ..
            } => Some(response.downstream_levels.clone()),
            _ => None,
        });
        levels.unwrap_or_default()
    }

    /// Returns the log records that the node has emitted.
    pub fn log_records(&self) -> Vec<LogRecord> {
        let record = |action: &Action| match action {
            Action::Log(record) => Some(record.clone()),
            _ => None,
        };
        self.actions.iter().filter_map(record).collect()
    }

    /// Returns the requests that were sent to peers, with their links and sequence numbers.
    pub fn sent(&self) -> Vec<(LinkId, Sequence, ForwardedRequest)> {
        let sent = |action: &Action| match action {
            Action::SendOnLink {
                link,
                message: LinkMessage::Request { sequence, request },
            } => Some((*link, *sequence, (**request).clone())),
            _ => None,
        };
        self.actions.iter().filter_map(sent).collect()
    }

    /// Passes a response of a peer to the latest request sent.
    pub fn respond(&mut self, result: ForwardResult) {
        self.respond_with(serving(SERVICE).load, Vec::new(), result);
    }

    /// Passes a response of a peer to the latest request sent, with the load of the peer and the
    /// admission levels of the services that its calls went to.
    pub fn respond_with(
        &mut self,
        load: Load,
        downstream_levels: Vec<ServiceAdmissionLevel>,
        result: ForwardResult,
    ) {
        let (link, sequence, _) = self.sent().pop().expect("a request sent to a peer");
        self.event(Event::Link {
            link,
            message: LinkMessage::Response(ForwardResponse {
                sequence,
                load,
                downstream_levels,
                has_failed_call: false,
                timing: Timing::default(),
                result,
            }),
        });
    }

    /// Returns the answers that the node has sent to callers.
    pub fn answers(&self) -> Vec<CallerAnswer> {
        let answer = |action: &Action| match action {
            Action::Answer { answer, .. } => Some(answer.clone()),
            _ => None,
        };
        self.actions.iter().filter_map(answer).collect()
    }

    pub fn statuses(&self) -> Vec<u16> {
        self.answers().iter().map(|answer| answer.status).collect()
    }

    pub fn has_cancelled(&self, exchange: ExchangeId) -> bool {
        self.actions.iter().any(
            |action| matches!(action, Action::CancelExchange(cancelled) if *cancelled == exchange),
        )
    }
}
