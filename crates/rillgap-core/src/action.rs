//! Actions that a node requests from its driver: the code that performs its input and output.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;

use crate::admission::{LevelChange, ShedRequest};
use crate::claim::{DelayedClaim, RefusedClaim};
use crate::code::ResultCode;
use crate::event::{BackEndFailure, InboundId};
use crate::id::{AttemptId, BackEndName, CallToken, NodeId, NodeName};
use crate::membership::{RemovalRecord, ViewTransition, ViewWrite};
use crate::message::PeerMessage;
use crate::operator::{OperatorReply, OperatorRequestId};
use crate::request::{AnswerHead, Refusal, RequestHead};
use crate::store::{StoreRequest, StoreRequestId};

/// List to which a node appends its actions.
pub type Outbox = Vec<Action>;

/// A request for the local back end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackEndRequest {
    /// Attempt to which the request belongs.
    pub attempt: AttemptId,
    /// Back end that is to run the request.
    pub back_end: BackEndName,
    /// Token that the back end must send with the calls that it makes for this request.
    pub token: CallToken,
    /// Time until the deadline.
    pub timeout: Duration,
    /// Method, target and headers.
    pub head: RequestHead,
    /// Complete body.
    pub body: Bytes,
}

/// An operation for the driver.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Refuse an inbound request.
    Refuse {
        /// Identifier of the inbound request.
        inbound: InboundId,
        /// Refusal to send to the caller.
        refusal: Refusal,
    },
    /// Begin the answer to an inbound request.
    AnswerHead {
        /// Identifier of the inbound request.
        inbound: InboundId,
        /// Status and headers.
        head: AnswerHead,
    },
    /// Continue the answer to an inbound request.
    AnswerBody {
        /// Identifier of the inbound request.
        inbound: InboundId,
        /// Next part of the body.
        chunk: Bytes,
    },
    /// End the answer to an inbound request: it is complete.
    AnswerEnd {
        /// Identifier of the inbound request.
        inbound: InboundId,
    },
    /// Abort the answer to an inbound request, so that the caller detects that it is incomplete.
    AnswerAbort {
        /// Identifier of the inbound request.
        inbound: InboundId,
    },
    /// Send a request to the local back end.
    CallBackEnd(Box<BackEndRequest>),
    /// Cancel a request at the local back end.
    CancelBackEnd {
        /// Attempt to cancel.
        attempt: AttemptId,
    },
    /// Read more of the local back end's answer.
    ReadBackEnd {
        /// Attempt whose answer is to be read.
        attempt: AttemptId,
        /// Additional bytes that may be read; the amounts of all actions are added up.
        bytes: u32,
    },
    /// Send a message to a peer; connect first if there is no link.
    Send {
        /// Receiver.
        to: NodeId,
        /// Address of the receiver's mesh listener.
        address: SocketAddr,
        /// The message.
        message: PeerMessage,
    },
    /// Send a request to the platform's store.
    Store {
        /// Identifier that the reply carries.
        request: StoreRequestId,
        /// The request.
        body: StoreRequest,
    },
    /// Cancel a request to the store: its reply is no longer needed.
    CancelStore {
        /// Request to cancel.
        request: StoreRequestId,
    },
    /// Reply to an operator.
    Reply {
        /// Request that is answered.
        request: OperatorRequestId,
        /// The reply.
        reply: OperatorReply,
    },
    /// Record an event in logs or metrics.
    Observe(Observation),
    /// End the process: a stop was requested, nothing is in flight any more, and the node has left
    /// the membership view.
    Exit,
}

/// An event that is recorded in logs or metrics.
#[derive(Clone, Debug, PartialEq)]
pub enum Observation {
    /// An inbound request was answered in full.
    Answered {
        /// Time from arrival to the end of the answer.
        latency: Duration,
    },
    /// An inbound request was refused.
    Refused {
        /// Refusal that was sent.
        refusal: Refusal,
    },
    /// A request was sent again in a further attempt.
    Retried,
    /// The node started (true) or stopped (false) serving requests.
    Serving(bool),
    /// A policy came into force.
    PolicyInForce(crate::id::PolicyVersion),
    /// A membership view came into force.
    ViewInForce(Box<ViewTransition>),
    /// This node writes a change of the view to the store.
    ViewWrite(Box<ViewWrite>),
    /// This node requests the removal of a member.
    RemovalRequested(RemovalRecord),
    /// This node permits members that announced a planned stop to ask for their removal.
    LeavesPermitted {
        /// View from which they may be removed.
        view: crate::id::ViewVersion,
        /// Names of the members.
        nodes: Vec<NodeName>,
    },
    /// A request for the removal of an incarnation that is not in the view was ignored.
    RemovalIgnored(RemovalRecord),
    /// Nothing is in flight any more after a requested stop: the node leaves the view.
    Leaving,
    /// The node waits to leave until earlier changes of the view have settled.
    LeaveDeferred {
        /// View in force.
        view: crate::id::ViewVersion,
    },
    /// A root request was shed at the entry.
    Shed(Box<ShedRequest>),
    /// The local back end began or ended to ask for requests to be shed.
    LevelChanged(LevelChange),
    /// The node announces that it is leaving, and votes until it is permitted to.
    LeaveAnnounced {
        /// View in force.
        view: crate::id::ViewVersion,
    },
    /// The local back end counts as ended for a short time, in which no attempts are sent to it.
    BackEndDown {
        /// How its last request ended.
        failure: BackEndFailure,
    },
    /// A claim ended without a majority of its replicas.
    ClaimRefused(Box<RefusedClaim>),
    /// A claim was granted after it had waited for replicas to vote again.
    ClaimDelayed(Box<DelayedClaim>),
    /// A keyed request was refused before its key was looked up.
    KeyUnchecked {
        /// Identifier of the inbound request.
        inbound: InboundId,
        /// What prevents this node from accepting it.
        reason: ResultCode,
    },
}
