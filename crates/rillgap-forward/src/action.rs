//! Actions that the driver executes for a node.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rillgap_core::time::Instant;

use crate::id::{AnnouncementId, ConnectionId, ExchangeId, LinkId, PipelineIndex, ProbeId};
use crate::incarnation::Incarnation;
use crate::log_record::LogRecord;
use crate::message::{ForwardedRequest, LinkMessage};
use crate::store_sync::{StoreRequest, StoreRequestId};

/// Answer to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerAnswer {
    /// HTTP status code.
    pub status: u16,
    /// End-to-end header fields, encoded.
    pub fields: Vec<u8>,
    /// Whole body.
    pub body: Vec<u8>,
    /// Whether the connection is closed after this answer.
    pub close: bool,
}

/// A request to the back end.
#[derive(Clone, Debug)]
pub struct Exchange {
    /// Identifier of the exchange.
    pub id: ExchangeId,
    /// The request.
    pub request: Arc<ForwardedRequest>,
    /// Incarnation of the back end that the request is for.
    pub incarnation: Incarnation,
    /// Time left until the deadline of the request.
    pub remaining: Duration,
}

/// An action that the driver executes for a node.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send the answer to a caller's request.
    Answer {
        /// Connection of the caller.
        connection: ConnectionId,
        /// Position on the connection.
        pipeline_index: PipelineIndex,
        /// The answer.
        answer: CallerAnswer,
        /// Until when the caller waits for it; `None` for a request that was not accepted.
        wanted_until: Option<Instant>,
    },
    /// Open a link to a peer.
    OpenLink {
        /// Identifier for the new link.
        link: LinkId,
        /// Address of the peer.
        address: SocketAddr,
    },
    /// Send a message on a link.
    SendOnLink {
        /// Identifier of the link.
        link: LinkId,
        /// The message.
        message: LinkMessage,
    },
    /// Close a link.
    CloseLink(LinkId),
    /// Send a request to the back end.
    StartExchange(Exchange),
    /// Close the connection on which a request runs at the back end.
    CancelExchange(ExchangeId),
    /// Acknowledge or reject an announcement of the back end.
    Acknowledge {
        /// Identifies the acknowledgement that the back end waits for.
        announcement: AnnouncementId,
        /// Whether the announcement is accepted.
        is_accepted: bool,
    },
    /// Probe the health endpoint of the back end.
    Probe {
        /// Identifier for the result.
        probe: ProbeId,
        /// Path of the health endpoint.
        path: String,
    },
    /// Call the store.
    CallStore {
        /// Identifier for the reply.
        id: StoreRequestId,
        /// The request to the store.
        request: StoreRequest,
    },
    /// Write a log record.
    Log(LogRecord),
    /// Accept no further connections, end those of callers once they have their answers, and then
    /// the links. [`Event::ConnectionsEnded`](crate::event::Event::ConnectionsEnded) reports the end.
    EndConnections,
    /// Exit the process.
    Exit,
}

/// Actions in the order in which they are to be executed.
pub type Actions = Vec<Action>;
