//! Hands the requests of operators to the node and its replies back.

use rillgap_core::operator::{OperatorReply, OperatorRequest};
use thiserror::Error;
use tokio::sync::{mpsc, oneshot};

/// A request on its way to the node, with the place for its reply.
#[derive(Debug)]
pub struct OperatorCall {
    /// What is asked.
    pub request: OperatorRequest,
    /// Takes the reply; it fails if nobody waits for it any more, which is no error.
    pub reply: oneshot::Sender<OperatorReply>,
}

/// Receives the requests of operators on the side of the node.
pub type OperatorCalls = mpsc::Receiver<OperatorCall>;

/// The node takes no requests any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the node has stopped")]
pub struct NodeStopped;

/// Sends requests to the node; clones share one bounded channel.
#[derive(Clone, Debug)]
pub struct OperatorHandle {
    calls: mpsc::Sender<OperatorCall>,
}

impl OperatorHandle {
    /// Creates a handle and the node's side of it; at most `capacity` requests wait in between.
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
