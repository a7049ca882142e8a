//! Implements the mesh duty, which opens links to other nodes and accepts links from them.

use std::io;
use std::net::TcpListener;

use rillgap_core::event::Event;
use rillgap_mesh::accept::MeshReceiver;
use rillgap_mesh::hello::Hello;
use rillgap_mesh::mesh::{MeshSender, OutgoingMessage};
use rillgap_ring::{RingReceiver, RingSender};

/// Resources of the mesh duty.
#[derive(Debug)]
pub struct MeshDuty {
    /// Bound listener for other nodes.
    pub listener: TcpListener,
    /// Hello by which this node identifies itself on a link.
    pub hello: Hello,
    /// Maximum number of open links from peers to this node.
    pub connections: usize,
    /// Sends events to the node.
    pub events: RingSender<Event>,
    /// Receives the messages that the node sends to peers.
    pub outgoing: RingReceiver<OutgoingMessage>,
}

/// Runs the duty until the process ends.
///
/// # Errors
///
/// Fails if the listener cannot be registered with the runtime or the supervisor of the links
/// cannot start.
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
