//! The rings between duties, with their sizes.
//!
//! What happens when a ring is full: a request of a caller is refused at once; tasks of a
//! connection, link or attempt wait, which holds back that one peer; the node duty waits, and
//! that is safe because the receiving duty's loop never waits for anything but its ring.

use rillgap_backend::client::BackEndCommand;
use rillgap_caller::exchange::Answer;
use rillgap_core::event::Event;
use rillgap_core::operator::{OperatorReply, OperatorRequestId};
use rillgap_core::store::{StoreRequest, StoreRequestId};
use rillgap_mesh::mesh::OutgoingMessage;
use rillgap_ring::{RingReceiver, RingSender, ring};

/// Slots for events on their way to the node.
const EVENT_RING_CAPACITY: usize = 1_024;

/// Slots of each ring of the data path.
const DATA_RING_CAPACITY: usize = 1_024;

/// Slots of each ring off the data path.
const CONTROL_RING_CAPACITY: usize = 64;

/// An order on its way to the platform duty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreCommand {
    /// Send a request to the platform.
    Request {
        /// Identifies the reply.
        request: StoreRequestId,
        /// What is asked.
        body: StoreRequest,
    },
    /// Give up a request.
    Cancel(StoreRequestId),
}

/// A reply on its way to the operator duty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OperatorAnswer {
    /// Request that is answered.
    pub request: OperatorRequestId,
    /// The reply.
    pub reply: OperatorReply,
}

/// Sending ends of the rings that lead away from the node duty.
#[derive(Clone, Debug)]
pub struct NodeOutputs {
    /// To the caller duty.
    pub answers: RingSender<Answer>,
    /// To the back-end duty.
    pub back_end: RingSender<BackEndCommand>,
    /// To the mesh duty.
    pub mesh: RingSender<OutgoingMessage>,
    /// To the platform duty.
    pub store: RingSender<StoreCommand>,
    /// To the operator duty.
    pub operator: RingSender<OperatorAnswer>,
}

/// Receiving ends of the rings that lead away from the node duty.
#[derive(Debug)]
pub struct NodeInputs {
    /// Of the caller duty.
    pub answers: RingReceiver<Answer>,
    /// Of the back-end duty.
    pub back_end: RingReceiver<BackEndCommand>,
    /// Of the mesh duty.
    pub mesh: RingReceiver<OutgoingMessage>,
    /// Of the platform duty.
    pub store: RingReceiver<StoreCommand>,
    /// Of the operator duty.
    pub operator: RingReceiver<OperatorAnswer>,
}

/// Creates the ring of events.
pub fn event_ring() -> (RingSender<Event>, RingReceiver<Event>) {
    ring(EVENT_RING_CAPACITY)
}

/// Creates the rings that lead away from the node duty.
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
