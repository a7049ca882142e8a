//! Operator duty: serves operators' remote procedure calls.

use std::collections::BTreeMap;
use std::io;
use std::net::TcpListener;
use std::sync::{Arc, Mutex, PoisonError};

use rillgap_core::event::Event;
use rillgap_core::operator::{OperatorReply, OperatorRequest, OperatorRequestId};
use rillgap_operator::handle::{OperatorCalls, OperatorHandle};
use rillgap_operator::service;
use rillgap_ring::{RingReceiver, RingSender};
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;

use crate::rings::OperatorAnswer;

/// Requests of operators that may wait for the node.
const CALL_QUEUE_CAPACITY: usize = 16;

type PendingCalls = Arc<Mutex<BTreeMap<OperatorRequestId, oneshot::Sender<OperatorReply>>>>;

/// What the duty needs.
#[derive(Debug)]
pub struct OperatorDuty {
    /// Bound listener for operators, if there is one.
    pub listener: Option<TcpListener>,
    /// Events for the node.
    pub events: RingSender<Event>,
    /// Replies of the node.
    pub replies: RingReceiver<OperatorAnswer>,
    /// To be cancelled when an operator asks the node to stop.
    pub stop_requested: CancellationToken,
    /// Cancelled when the listener shall close.
    pub stop: CancellationToken,
}

/// Runs the duty until the process ends.
///
/// # Errors
///
/// Fails if the listener cannot be handed to the runtime or the server fails.
pub async fn run(duty: OperatorDuty) -> io::Result<()> {
    let pending_calls = PendingCalls::default();
    let reply_task = tokio::spawn(reply(duty.replies, Arc::clone(&pending_calls)));
    if let Some(listener) = duty.listener {
        let listener = tokio::net::TcpListener::from_std(listener)?;
        let (handle, calls) = OperatorHandle::channel(CALL_QUEUE_CAPACITY);
        let forward_task = tokio::spawn(forward(
            calls,
            duty.events,
            pending_calls,
            duty.stop_requested,
        ));
        service::serve(listener, handle, duty.stop.cancelled_owned())
            .await
            .map_err(io::Error::other)?;
        forward_task.abort();
    }
    let _ = reply_task.await;
    Ok(())
}

/// Passes requests on to the node; a full ring holds back the operators.
async fn forward(
    mut calls: OperatorCalls,
    events: RingSender<Event>,
    pending_calls: PendingCalls,
    stop_requested: CancellationToken,
) {
    let mut next = 0;
    while let Some(call) = calls.recv().await {
        let request = OperatorRequestId(next);
        next += 1;
        {
            let mut pending_calls = pending_calls.lock().unwrap_or_else(PoisonError::into_inner);
            pending_calls.retain(|_, reply| !reply.is_closed());
            pending_calls.insert(request, call.reply);
        }
        let is_stop = call.request == OperatorRequest::StopNode;
        let event = Event::Operator {
            request,
            body: call.request,
        };
        if events.send(event).await.is_err() {
            return;
        }
        if is_stop {
            stop_requested.cancel();
        }
    }
}

/// Passes replies of the node on to the operators that still wait.
async fn reply(replies: RingReceiver<OperatorAnswer>, pending_calls: PendingCalls) {
    while let Some(answer) = replies.recv().await {
        let call = pending_calls
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .remove(&answer.request);
        if let Some(call) = call {
            // The operator may have gone away.
            let _ = call.send(answer.reply);
        }
    }
}
