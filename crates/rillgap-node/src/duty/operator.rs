//! Implements the operator duty, which serves the remote procedure calls of operators.

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

/// Maximum number of operator calls queued between the server and the node.
const CALL_QUEUE_CAPACITY: usize = 16;

type PendingCalls = Arc<Mutex<BTreeMap<OperatorRequestId, oneshot::Sender<OperatorReply>>>>;

/// Resources of the operator duty.
#[derive(Debug)]
pub struct OperatorDuty {
    /// Bound listener for operators; `None` if not configured.
    pub listener: Option<TcpListener>,
    /// Sends events to the node.
    pub events: RingSender<Event>,
    /// Receives replies from the node.
    pub replies: RingReceiver<OperatorAnswer>,
    /// Cancelled by the duty when an operator requests a stop of the node.
    pub stop_requested: CancellationToken,
    /// Cancelled to close the listener.
    pub stop: CancellationToken,
}

/// Runs the duty until the process ends.
///
/// # Errors
///
/// Fails if the listener cannot be registered with the runtime or the server fails.
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

/// Forwards calls to the node; a full ring applies backpressure to the operators.
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

/// Forwards replies of the node to the calls that are still pending.
async fn reply(replies: RingReceiver<OperatorAnswer>, pending_calls: PendingCalls) {
    while let Some(answer) = replies.recv().await {
        let call = pending_calls
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .remove(&answer.request);
        if let Some(call) = call {
            // Sending fails if the operator has cancelled the call or disconnected.
            let _ = call.send(answer.reply);
        }
    }
}
