//! Implements the caller duty, which serves callers and calls made by the local back end.

use std::io;
use std::net::TcpListener;

use rillgap_caller::exchange::{Answer, Exchange};
use rillgap_caller::handler::Handler;
use rillgap_caller::listener::Listener;
use rillgap_caller::settings::{Audience, HttpLimits};
use rillgap_core::event::Event;
use rillgap_ring::{RingReceiver, RingSender};
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;

/// A listener and the clients that it serves.
#[derive(Debug)]
pub struct CallerListener {
    /// Bound socket on which connections are accepted.
    pub listener: TcpListener,
    /// Clients that are served, by source address.
    pub audience: Audience,
}

/// Resources of the caller duty.
#[derive(Debug)]
pub struct CallerDuty {
    /// Listeners for callers and for the local back end.
    pub listeners: Vec<CallerListener>,
    /// HTTP limits, applied to each listener separately.
    pub limits: HttpLimits,
    /// Sends events to the node.
    pub events: RingSender<Event>,
    /// Receives answers from the node.
    pub answers: RingReceiver<Answer>,
    /// Cancelled to close the listeners.
    pub stop: CancellationToken,
    /// Receives a value when every connection has ended after `stop` was cancelled.
    pub stopped: oneshot::Sender<()>,
}

/// Runs the duty until the process ends.
///
/// # Errors
///
/// Fails if a listener cannot be registered with the runtime.
pub async fn run(duty: CallerDuty) -> io::Result<()> {
    let exchange = Exchange::default();
    let answers = tokio::spawn(exchange.clone().run(duty.answers));
    let mut listener_tasks = Vec::new();
    for CallerListener { listener, audience } in duty.listeners {
        let listener = tokio::net::TcpListener::from_std(listener)?;
        let handler = Handler::new(audience, duty.limits, exchange.clone(), duty.events.clone());
        let server = Listener::new(handler, duty.stop.clone());
        listener_tasks.push(tokio::spawn(server.run(listener)));
    }
    for listener in listener_tasks {
        // The task cannot return an error: a panic in it ends the process.
        let _ = listener.await;
    }
    // The receiver is gone if the process is already ending.
    let _ = duty.stopped.send(());
    let _ = answers.await;
    Ok(())
}
