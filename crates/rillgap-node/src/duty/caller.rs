//! Caller duty: serves callers and the local back end's own calls.

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

/// A listener with those whom it serves.
#[derive(Debug)]
pub struct CallerListener {
    /// Bound listener.
    pub listener: TcpListener,
    /// Who is served.
    pub audience: Audience,
}

/// What the duty needs.
#[derive(Debug)]
pub struct CallerDuty {
    /// Listeners for callers and for the local back end.
    pub listeners: Vec<CallerListener>,
    /// Limits of each listener.
    pub limits: HttpLimits,
    /// Events for the node.
    pub events: RingSender<Event>,
    /// Answers of the node.
    pub answers: RingReceiver<Answer>,
    /// Cancelled when the listeners shall close.
    pub stop: CancellationToken,
    /// Told when every connection has ended after that.
    pub stopped: oneshot::Sender<()>,
}

/// Runs the duty until the process ends.
///
/// # Errors
///
/// Fails if a listener cannot be handed to the runtime.
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
        // A listener that panicked has ended the process.
        let _ = listener.await;
    }
    // Nobody listens if the process is already ending.
    let _ = duty.stopped.send(());
    let _ = answers.await;
    Ok(())
}
