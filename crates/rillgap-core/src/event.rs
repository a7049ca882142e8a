//! Events that a driver passes to a node.

use bytes::Bytes;

use crate::id::{AttemptId, Incarnation, NodeId};
use crate::message::PeerMessage;
use crate::operator::{OperatorRequest, OperatorRequestId};
use crate::request::{AnswerHead, InboundRequest};
use crate::store::{StoreReply, StoreRequestId};

/// Identifier of an inbound request at this node, assigned by the driver and not reused within
/// an incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct InboundId(pub u64);

/// Reason for which an attempt at the local back end got no complete answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackEndFailure {
    /// No connection was made, so nothing was sent.
    NotConnected,
    /// The back end refused the request without running it, marked as its conventions define.
    Shed,
    /// The connection was lost, or the body ended early, after the request was sent.
    Broken,
}

/// An input of the node's state machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A complete request was received.
    Inbound {
        /// Identifier of the request in later events and actions.
        inbound: InboundId,
        /// The request.
        request: InboundRequest,
    },
    /// The caller of an inbound request disconnected.
    InboundGone {
        /// The request.
        inbound: InboundId,
    },
    /// The caller consumed a part of the answer's body.
    InboundConsumed {
        /// The request.
        inbound: InboundId,
        /// Number of bytes consumed.
        bytes: u32,
    },
    /// The local back end's answer begins.
    BackEndHead {
        /// Attempt that is answered.
        attempt: AttemptId,
        /// Status and headers.
        head: AnswerHead,
    },
    /// A part of the local back end's answer was received.
    BackEndBody {
        /// Attempt that is answered.
        attempt: AttemptId,
        /// The part.
        chunk: Bytes,
    },
    /// The local back end's answer is complete.
    BackEndEnd {
        /// Attempt that is answered.
        attempt: AttemptId,
    },
    /// The local back end gave no complete answer.
    BackEndFailed {
        /// Attempt that failed.
        attempt: AttemptId,
        /// Reason of the failure.
        failure: BackEndFailure,
    },
    /// The local back end announced that it is leaving or serving again.
    BackEndAnnounced {
        /// True if it is leaving, false if it is serving.
        leaving: bool,
    },
    /// A message of a peer was received.
    Peer {
        /// Sender.
        from: NodeId,
        /// Incarnation of the sender.
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
    /// A request of an operator was received.
    Operator {
        /// Identifier that the reply carries.
        request: OperatorRequestId,
        /// The request.
        body: OperatorRequest,
    },
    /// The time returned by [`crate::node::Node::next_wake`] has been reached.
    Wake,
    /// The process was requested to stop.
    Stop,
}
