//! Channel that carries requests of operators to the node and replies back to the service.

use rillgap_core::operator::{OperatorReply, OperatorRequest};
use thiserror::Error;
use tokio::sync::{mpsc, oneshot};

/// Request to the node, with the channel for its reply.
#[derive(Debug)]
pub struct OperatorCall {
    /// Request of the operator.
    pub request: OperatorRequest,
    /// Sender of the reply. The send fails if the caller has been cancelled; ignore that error.
    pub reply: oneshot::Sender<OperatorReply>,
}

/// Receiver of the requests of operators, used by the node.
pub type OperatorCalls = mpsc::Receiver<OperatorCall>;

/// Error of a request to a node that has stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the node has stopped")]
pub struct NodeStopped;

/// Sends requests to the node; clones share one bounded channel.
#[derive(Clone, Debug)]
pub struct OperatorHandle {
    calls: mpsc::Sender<OperatorCall>,
}

impl OperatorHandle {
    /// Creates a handle and the receiver for the node; at most `capacity` requests are queued.
    pub fn channel(capacity: usize) -> (Self, OperatorCalls) {
        let (calls, receiver) = mpsc::channel(capacity);
        (Self { calls }, receiver)
    }

    /// Sends one request and waits for its reply.
    pub async fn call(&self, request: OperatorRequest) -> Result<OperatorReply, NodeStopped> {
        let (reply, answer) = oneshot::channel();
        self.calls
            .send(OperatorCall { request, reply })
            .await
            .map_err(|_| NodeStopped)?;
        answer.await.map_err(|_| NodeStopped)
    }
}
