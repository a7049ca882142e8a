//! Mesh duty: links to and from other nodes.

use std::io;
use std::net::TcpListener;

use rillgap_core::event::Event;
use rillgap_mesh::accept::MeshReceiver;
use rillgap_mesh::hello::Hello;
use rillgap_mesh::mesh::{MeshSender, OutgoingMessage};
use rillgap_ring::{RingReceiver, RingSender};

/// What the duty needs.
#[derive(Debug)]
pub struct MeshDuty {
    /// Bound listener for other nodes.
    pub listener: TcpListener,
    /// How this node introduces itself.
    pub hello: Hello,
    /// Most links that peers may have open to this node.
    pub connections: usize,
    /// Events for the node.
    pub events: RingSender<Event>,
    /// Messages of the node.
    pub outgoing: RingReceiver<OutgoingMessage>,
}

/// Runs the duty until the process ends.
///
/// # Errors
///
/// Fails if the listener cannot be handed to the runtime or the supervisor cannot start.
pub async fn run(duty: MeshDuty) -> io::Result<()> {
    let listener = tokio::net::TcpListener::from_std(duty.listener)?;
    let receiver = MeshReceiver::new(duty.hello, duty.events.clone(), duty.connections);
    let accept_task = tokio::spawn(receiver.run(listener));
    let sender = MeshSender::start(duty.hello, duty.events)
        .await
        .map_err(io::Error::other)?;
    sender.run(duty.outgoing).await;
    accept_task.abort();
    Ok(())
}
