//! Defines the rings between duties and their capacities.
//!
//! If a ring is full, the sender decides what happens:
//!
//! - A new request of a caller is refused at once.
//! - The task of a connection, link or attempt waits, which applies backpressure to that peer only.
//! - The node duty waits. This cannot deadlock, because the loop of the receiving duty waits for
//!   nothing but its ring.

use rillgap_backend::client::BackEndCommand;
use rillgap_caller::exchange::Answer;
use rillgap_core::event::Event;
use rillgap_core::operator::{OperatorReply, OperatorRequestId};
use rillgap_core::store::{StoreRequest, StoreRequestId};
use rillgap_mesh::mesh::OutgoingMessage;
use rillgap_ring::{RingReceiver, RingSender, ring};

/// Capacity of the ring of events for the node.
const EVENT_RING_CAPACITY: usize = 1_024;

/// Capacity of each ring on the data path.
const DATA_RING_CAPACITY: usize = 1_024;

/// Capacity of each ring that carries no requests of callers.
const CONTROL_RING_CAPACITY: usize = 64;

/// A command for the platform duty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreCommand {
    /// Sends a request to the platform.
    Request {
        /// Identifier of the request, repeated in its reply.
        request: StoreRequestId,
        /// The request itself.
        body: StoreRequest,
    },
    /// Cancels a request whose reply is no longer needed.
    Cancel(StoreRequestId),
}

/// The node's reply to an operator's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OperatorAnswer {
    /// Request that the reply belongs to.
    pub request: OperatorRequestId,
    /// Result of the request.
    pub reply: OperatorReply,
}

/// Sending ends of the rings from the node duty to other duties.
#[derive(Clone, Debug)]
pub struct NodeOutputs {
    /// Answers to callers, for the caller duty.
    pub answers: RingSender<Answer>,
    /// Commands for the back-end duty.
    pub back_end: RingSender<BackEndCommand>,
    /// Messages to other nodes, for the mesh duty.
    pub mesh: RingSender<OutgoingMessage>,
    /// Commands for the platform duty.
    pub store: RingSender<StoreCommand>,
    /// Replies to operators, for the operator duty.
    pub operator: RingSender<OperatorAnswer>,
}

/// Receiving ends of the rings from the node duty to other duties.
#[derive(Debug)]
pub struct NodeInputs {
    /// Answers to callers, received by the caller duty.
    pub answers: RingReceiver<Answer>,
    /// Commands received by the back-end duty.
    pub back_end: RingReceiver<BackEndCommand>,
    /// Messages to other nodes, received by the mesh duty.
    pub mesh: RingReceiver<OutgoingMessage>,
    /// Commands received by the platform duty.
    pub store: RingReceiver<StoreCommand>,
    /// Replies to operators, received by the operator duty.
    pub operator: RingReceiver<OperatorAnswer>,
}

/// Creates the ring of events for the node.
pub fn event_ring() -> (RingSender<Event>, RingReceiver<Event>) {
    ring(EVENT_RING_CAPACITY)
}

/// Creates the rings from the node duty to other duties.
pub fn output_rings() -> (NodeOutputs, NodeInputs) {
    let (answers, answers_receiver) = ring(DATA_RING_CAPACITY);
    let (back_end, back_end_receiver) = ring(DATA_RING_CAPACITY);
    let (mesh, mesh_receiver) = ring(DATA_RING_CAPACITY);
    let (store, store_receiver) = ring(CONTROL_RING_CAPACITY);
    let (operator, operator_receiver) = ring(CONTROL_RING_CAPACITY);
    let outputs = NodeOutputs {
        answers,
        back_end,
        mesh,
        store,
        operator,
    };
    let inputs = NodeInputs {
        answers: answers_receiver,
        back_end: back_end_receiver,
        mesh: mesh_receiver,
        store: store_receiver,
        operator: operator_receiver,
    };
    (outputs, inputs)
}
