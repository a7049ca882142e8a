//! Actions that a node asks its driver to carry out.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;

use crate::event::InboundId;
use crate::id::{AttemptId, BackEndName, CallToken, NodeId};
use crate::message::PeerMessage;
use crate::operator::{OperatorReply, OperatorRequestId};
use crate::request::{AnswerHead, Refusal, RequestHead};
use crate::store::{StoreRequest, StoreRequestId};

/// Where actions are collected.
pub type Outbox = Vec<Action>;

/// A request for the local back end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackEndRequest {
    /// Attempt that it serves.
    pub attempt: AttemptId,
    /// Back end that shall run it.
    pub back_end: BackEndName,
    /// Token that the back end returns with its own calls.
    pub token: CallToken,
    /// Time until the deadline.
    pub timeout: Duration,
    /// Method, target and headers.
    pub head: RequestHead,
    /// Whole body.
    pub body: Bytes,
}

/// Something that the driver shall do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Refuse an inbound request, at once.
    Refuse {
        /// The request.
        inbound: InboundId,
        /// What the caller is told.
        refusal: Refusal,
    },
    /// Begin the answer to an inbound request.
    AnswerHead {
        /// The request.
        inbound: InboundId,
        /// Status and headers.
        head: AnswerHead,
    },
    /// Continue the answer to an inbound request.
    AnswerBody {
        /// The request.
        inbound: InboundId,
        /// Next part of the body.
        chunk: Bytes,
    },
    /// End the answer to an inbound request: it is whole.
    AnswerEnd {
        /// The request.
        inbound: InboundId,
    },
    /// Break off the answer to an inbound request, so that its caller sees a broken transfer.
    AnswerAbort {
        /// The request.
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
        /// Attempt whose answer is meant.
        attempt: AttemptId,
        /// Bytes that may be read in addition.
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
    /// Send a request to the platform.
    Store {
        /// Identifies the reply.
        request: StoreRequestId,
        /// What is asked.
        body: StoreRequest,
    },
    /// Give up a request to the platform: its reply is of no use any more.
    CancelStore {
        /// Request.
        request: StoreRequestId,
    },
    /// Reply to an operator.
    Reply {
        /// Request that is answered.
        request: OperatorRequestId,
        /// The reply.
        reply: OperatorReply,
    },
    /// Report something worth logging or counting.
    Observe(Observation),
    /// Nothing is in flight any more after a stop was asked for: end the process.
    Exit,
}

/// Something worth logging or counting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Observation {
    /// An inbound request was answered in full.
    Answered {
        /// Time from arrival to the end of the answer.
        latency: Duration,
    },
    /// An inbound request was refused.
    Refused {
        /// Why.
        refusal: Refusal,
    },
    /// An extra attempt was made.
    Retried,
    /// The node began or ceased to serve requests.
    Serving(bool),
    /// A policy came into force.
    PolicyInForce(crate::id::PolicyVersion),
    /// A membership view came into force.
    ViewInForce(crate::id::ViewVersion),
}
