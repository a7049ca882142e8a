//! Events that a driver feeds into a node.

use bytes::Bytes;

use crate::id::{AttemptId, Incarnation, NodeId};
use crate::message::PeerMessage;
use crate::operator::{OperatorRequest, OperatorRequestId};
use crate::request::{AnswerHead, InboundRequest};
use crate::store::{StoreReply, StoreRequestId};

/// Identifies one inbound request at this node, drawn by the driver and never reused in a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct InboundId(pub u64);

/// Why an attempt at the local back end broke off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackEndFailure {
    /// No connection was made, so nothing was sent.
    NotConnected,
    /// The back end refused the request before running it, by its published convention.
    Shed,
    /// The connection was lost, or the body ended early, after the request was sent.
    Broken,
}

/// Something that happened outside the node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A whole request arrived.
    Inbound {
        /// Identifies it in later events and actions.
        inbound: InboundId,
        /// The request.
        request: InboundRequest,
    },
    /// The caller of an inbound request went away.
    InboundGone {
        /// The request.
        inbound: InboundId,
    },
    /// The caller took in a part of the answer's body.
    InboundConsumed {
        /// The request.
        inbound: InboundId,
        /// Bytes taken in.
        bytes: u32,
    },
    /// The local back end's answer begins.
    BackEndHead {
        /// Attempt that is answered.
        attempt: AttemptId,
        /// Status and headers.
        head: AnswerHead,
    },
    /// A part of the local back end's answer.
    BackEndBody {
        /// Attempt that is answered.
        attempt: AttemptId,
        /// The part.
        chunk: Bytes,
    },
    /// The local back end's answer is whole.
    BackEndEnd {
        /// Attempt that is answered.
        attempt: AttemptId,
    },
    /// The local back end's answer broke off.
    BackEndFailed {
        /// Attempt that failed.
        attempt: AttemptId,
        /// Why.
        failure: BackEndFailure,
    },
    /// The local back end says of itself that it is leaving (or serving again).
    BackEndAnnounced {
        /// Whether it is leaving.
        leaving: bool,
    },
    /// A message of a peer.
    Peer {
        /// Sender.
        from: NodeId,
        /// Run of the sender.
        incarnation: Incarnation,
        /// The message.
        message: PeerMessage,
    },
    /// The link to a peer was lost; messages in flight may be lost with it.
    PeerLost {
        /// The peer.
        peer: NodeId,
    },
    /// The platform replied.
    Store {
        /// Request that is answered.
        request: StoreRequestId,
        /// The reply.
        reply: StoreReply,
    },
    /// An operator asks for something.
    Operator {
        /// Identifies the request in the reply.
        request: OperatorRequestId,
        /// What is asked.
        body: OperatorRequest,
    },
    /// The time that [`crate::node::Node::next_wake`] named has come.
    Wake,
    /// The process was asked to stop.
    Stop,
}
