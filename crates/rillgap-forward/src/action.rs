//! What a node wants done.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::id::{AnnouncementId, ConnectionId, ExchangeId, LinkId, PipelineIndex, ProbeId};
use crate::incarnation::Incarnation;
use crate::log_record::LogRecord;
use crate::message::{ForwardedRequest, LinkMessage};
use crate::store_sync::{StoreRequest, StoreRequestId};

/// Answer for a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerAnswer {
    /// Status code.
    pub status: u16,
    /// End-to-end fields, encoded.
    pub fields: Vec<u8>,
    /// Whole body.
    pub body: Vec<u8>,
    /// Whether the connection ends with this answer.
    pub close: bool,
}

/// A request for the back end.
#[derive(Clone, Debug)]
pub struct Exchange {
    /// Identifier.
    pub id: ExchangeId,
    /// The request.
    pub request: Arc<ForwardedRequest>,
    /// Incarnation of the back end that is meant.
    pub incarnation: Incarnation,
    /// Time that is left for the request.
    pub remaining: Duration,
}

/// What a node wants done.
#[derive(Clone, Debug)]
pub enum Action {
    /// Answer a request.
    Answer {
        /// Connection.
        connection: ConnectionId,
        /// Place on the connection.
        pipeline_index: PipelineIndex,
        /// Answer.
        answer: CallerAnswer,
    },
    /// Open a link.
    OpenLink {
        /// Identifier for the link.
        link: LinkId,
        /// Address of the peer.
        address: SocketAddr,
    },
    /// Send a message on a link.
    SendOnLink {
        /// Link.
        link: LinkId,
        /// Message.
        message: LinkMessage,
    },
    /// Close a link.
    CloseLink(LinkId),
    /// Hand a request to the back end.
    StartExchange(Exchange),
    /// Close the connection on which a request runs at the back end.
    CancelExchange(ExchangeId),
    /// Answer what the back end has announced.
    Acknowledge {
        /// What waits.
        announcement: AnnouncementId,
        /// Whether it is acknowledged.
        is_accepted: bool,
    },
    /// Ask the back end's health endpoint.
    Probe {
        /// Identifier.
        probe: ProbeId,
        /// Path of the health endpoint.
        path: String,
    },
    /// Call the store.
    CallStore {
        /// Identifier.
        id: StoreRequestId,
        /// Request.
        request: StoreRequest,
    },
    /// Write a line to the log.
    Log(LogRecord),
    /// End the process.
    Exit,
}

/// Actions in the order in which they are to be carried out.
pub type Actions = Vec<Action>;
