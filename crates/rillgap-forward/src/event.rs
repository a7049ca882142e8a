//! Events that a node handles.

use std::time::Duration;

use crate::back_end_notice::{BackEndNotice, LoadNotice};
use crate::credential::Credential;
use crate::id::{AnnouncementId, ConnectionId, ExchangeId, LinkId, PipelineIndex, ProbeId};
use crate::incarnation::Incarnation;
use crate::message::{ForwardedAnswer, Hello, LinkMessage};
use crate::store_sync::{StoreReply, StoreRequestId};

/// A request of a caller, received completely.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Identifier that the caller has given the request.
    pub request_id: String,
    /// HTTP method.
    pub method: String,
    /// Request target.
    pub target: String,
    /// Value of the `Host` header.
    pub host: String,
    /// End-to-end header fields, encoded.
    pub fields: Vec<u8>,
    /// Whole body.
    pub body: Vec<u8>,
    /// Key that the caller has presented, if any.
    pub credential: Credential,
    /// Time for which the caller waits; `None` if the request does not state it.
    pub deadline: Option<Duration>,
    /// Identifier of the parent if the request is a call of the back end beside the node, taken
    /// from the request's own identifier; `None` if that names no parent.
    pub parent_id: Option<String>,
}

/// Result of a request that was sent to the back end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExchangeResult {
    /// The back end sent a complete answer. A success counts only with the response signature and
    /// the identifier of the request.
    Answered(ForwardedAnswer),
    /// The back end reports that it did not run the request.
    NotExecuted,
    /// Another back end has the address; the request was not run.
    WrongInstance,
    /// No byte of the request was sent.
    NotSent,
    /// The request was sent, but no complete and authentic answer was received.
    Lost,
}

/// State that a back end announces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnnouncedState {
    /// The back end accepts requests.
    Ready,
    /// The back end is leaving service.
    Draining,
}

/// A heartbeat of a back end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// Incarnation of the back end.
    pub incarnation: Incarnation,
    /// Service that the back end runs.
    pub service: String,
    /// Address of the back end, as text.
    pub address: String,
    /// Number of requests that the back end runs at the same time.
    pub slots: u32,
    /// Announced state.
    pub state: AnnouncedState,
    /// Sequence number, increases with every heartbeat of the incarnation.
    pub sequence: u64,
}

/// Result of a probe of the health endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// Healthy and not leaving service.
    Healthy {
        /// Identifier of the back end that answered; several incarnations may share it.
        instance: String,
    },
    /// Failing or leaving service.
    Unhealthy,
    /// Nothing listens at the address: the process has ended.
    Refused,
    /// No answer was received.
    Unreachable,
}

/// An event that a node handles.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller's request was received completely.
    Request {
        /// Connection of the caller.
        connection: ConnectionId,
        /// Position on the connection.
        pipeline_index: PipelineIndex,
        /// The request.
        request: CallerRequest,
    },
    /// The node has no room for further requests of callers, or has room again.
    BufferShortage {
        /// Whether room is short from now on.
        is_short: bool,
        /// Number of bytes that are held.
        held: usize,
        /// Maximum number of bytes.
        limit: usize,
    },
    /// A caller's connection has ended; answers to its requests are no longer needed.
    CallerDisconnected(ConnectionId),
    /// A link that this node opened is up.
    LinkOpened {
        /// Identifier of the link.
        link: LinkId,
        /// First message of the peer.
        hello: Hello,
    },
    /// A peer has opened a link to this node.
    LinkAccepted {
        /// Identifier of the link.
        link: LinkId,
        /// First message of the peer.
        hello: Hello,
    },
    /// A message was received on a link.
    Link {
        /// Identifier of the link.
        link: LinkId,
        /// The message.
        message: LinkMessage,
    },
    /// A link has ended or could not be opened.
    LinkClosed(LinkId),
    /// A link could not be opened since nothing listens at the peer's address.
    LinkRefused(LinkId),
    /// An answer of the back end to a request that has not ended yet contained these notices.
    BackEndNotice {
        /// Identifier of the request at the back end.
        exchange: ExchangeId,
        /// The notices.
        notice: BackEndNotice,
    },
    /// The answer of the back end to a request has begun and is not whole although it is overdue.
    AnswerOverdue(ExchangeId),
    /// An answer of the health endpoint stated the load of the back end.
    HealthNotice {
        /// Identifier of the back end that answered.
        instance: String,
        /// The load.
        notice: LoadNotice,
    },
    /// A request at the back end has ended.
    ExchangeEnded {
        /// Identifier of the request at the back end.
        exchange: ExchangeId,
        /// Its result.
        result: ExchangeResult,
    },
    /// The back end has sent a heartbeat.
    Heartbeat {
        /// Identifies the acknowledgement that the back end waits for.
        announcement: AnnouncementId,
        /// The heartbeat.
        heartbeat: Heartbeat,
    },
    /// The back end has announced that it leaves.
    BackEndLeft {
        /// Identifies the acknowledgement that the back end waits for.
        announcement: AnnouncementId,
        /// Incarnation that leaves. Without a start time it denotes the latest incarnation with its
        /// identifier.
        incarnation: Incarnation,
    },
    /// A probe of the health endpoint has ended.
    ProbeEnded {
        /// Identifier of the probe.
        probe: ProbeId,
        /// Result of the probe.
        result: ProbeResult,
    },
    /// A call to the store has ended.
    Store {
        /// Identifier of the call.
        request: StoreRequestId,
        /// Reply of the store.
        reply: StoreReply,
    },
    /// A planned stop begins.
    Stop,
    /// After [`Action::EndConnections`](crate::action::Action::EndConnections), all connections of
    /// callers and peers have ended.
    ConnectionsEnded,
    /// The time given by [`Node::next_wake`](crate::node::Node::next_wake) has been reached.
    Wake,
}
