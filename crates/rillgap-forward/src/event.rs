//! What happens to a node.

use std::time::Duration;

use crate::credential::Credential;
use crate::id::{AnnouncementId, ConnectionId, ExchangeId, LinkId, PipelineIndex, ProbeId};
use crate::incarnation::Incarnation;
use crate::message::{ForwardedAnswer, Hello, LinkMessage};
use crate::store_sync::{StoreReply, StoreRequestId};

/// A request of a caller, received whole.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Identifier that the caller gave.
    pub request_id: String,
    /// Method.
    pub method: String,
    /// Target.
    pub target: String,
    /// Value of `Host`.
    pub host: String,
    /// End-to-end fields, encoded.
    pub fields: Vec<u8>,
    /// Whole body.
    pub body: Vec<u8>,
    /// What the request shows of its caller.
    pub credential: Credential,
    /// How long the caller waits, if it says so.
    pub deadline: Option<Duration>,
    /// Identifier of the request for which the back end beside the node would have made this one,
    /// as far as its own identifier tells.
    pub parent_id: Option<String>,
}

/// How a request that was handed to the back end ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExchangeResult {
    /// A whole and genuine answer.
    Answered(ForwardedAnswer),
    /// The back end says that it did not run the request.
    NotExecuted,
    /// Another back end has the address; the request was not run.
    WrongInstance,
    /// No byte was sent.
    NotSent,
    /// The request was sent and no whole or genuine answer came.
    Lost,
}

/// State that a back end announces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnnouncedState {
    /// Takes requests.
    Ready,
    /// Leaves service.
    Draining,
}

/// A heartbeat of a back end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// Incarnation of the back end.
    pub incarnation: Incarnation,
    /// Service.
    pub service: String,
    /// Address, as text.
    pub address: String,
    /// Requests that it works on at the same time.
    pub slots: u32,
    /// Announced state.
    pub state: AnnouncedState,
    /// Number that grows with every heartbeat of the incarnation.
    pub sequence: u64,
}

/// Answer of the health endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// Healthy and not leaving.
    Healthy {
        /// Identifier of the incarnation that answered, which runs of a back end may share.
        instance: String,
    },
    /// Failing or leaving.
    Unhealthy,
    /// Nothing listens at the address: the process has ended.
    Refused,
    /// No answer.
    Unreachable,
}

/// What happens to a node.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request has arrived whole.
    Request {
        /// Connection.
        connection: ConnectionId,
        /// Place on the connection.
        pipeline_index: PipelineIndex,
        /// The request.
        request: CallerRequest,
    },
    /// A connection has ended; nobody waits for its answers.
    CallerDisconnected(ConnectionId),
    /// A link that the node opened is up.
    LinkOpened {
        /// Link.
        link: LinkId,
        /// Introduction of the peer.
        hello: Hello,
    },
    /// A peer has opened a link.
    LinkAccepted {
        /// Link.
        link: LinkId,
        /// Introduction of the peer.
        hello: Hello,
    },
    /// A message on a link.
    Link {
        /// Link.
        link: LinkId,
        /// Message.
        message: LinkMessage,
    },
    /// A link has ended or could not be opened.
    LinkClosed(LinkId),
    /// A request at the back end has ended.
    ExchangeEnded {
        /// Request.
        exchange: ExchangeId,
        /// How.
        result: ExchangeResult,
    },
    /// The back end has sent a heartbeat.
    Heartbeat {
        /// What waits for the acknowledgement.
        announcement: AnnouncementId,
        /// The heartbeat.
        heartbeat: Heartbeat,
    },
    /// The back end leaves.
    BackEndLeft {
        /// What waits for the acknowledgement.
        announcement: AnnouncementId,
        /// Incarnation; the latest one of its identifier is meant if it does not tell when it has started.
        incarnation: Incarnation,
    },
    /// The health endpoint has answered.
    ProbeEnded {
        /// Probe.
        probe: ProbeId,
        /// Answer.
        result: ProbeResult,
    },
    /// The store has answered.
    Store {
        /// Request.
        request: StoreRequestId,
        /// Answer.
        reply: StoreReply,
    },
    /// A planned stop begins.
    Stop,
    /// Time has passed.
    Wake,
}
