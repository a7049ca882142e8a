//! Events of the simulation, as they wait in the scheduler.

use rillgap_core::event::Event;
use rillgap_core::message::PeerMessage;
use rillgap_core::request::{AnswerHead, InboundRequest, Refusal};
use rillgap_core::store::{StoreRequest, StoreRequestId};

use bytes::Bytes;

/// Position of a host in [`super::world::World::hosts`].
pub type HostIndex = usize;
/// Position of a back end in [`super::world::World::back_ends`].
pub type BackEndIndex = usize;
/// Position of an execution in the ledger.
pub type ExecutionIndex = usize;
/// Position of a submission in the ledger.
pub type SubmissionIndex = usize;
/// Position of a root request in the ledger.
pub type RootIndex = usize;

/// A part of an answer, on its way from a node to whoever asked.
#[derive(Clone, Debug)]
pub enum AnswerPart {
    /// Status and headers.
    Head(AnswerHead),
    /// Next part of the body.
    Body(Bytes),
    /// The answer is whole.
    End,
    /// The transfer was broken off.
    Abort,
    /// The request was refused.
    Refused(Refusal),
    /// The connection was lost.
    Lost,
}

/// One scheduled event.
#[derive(Clone, Debug)]
pub enum SimulationEvent {
    /// Something reaches a node from its own machine or from a caller.
    Node {
        /// Receiver.
        host: HostIndex,
        /// Run of the receiver for which it is meant.
        run: u32,
        /// What happened.
        event: Event,
    },
    /// A request of a caller reaches a node.
    Submit {
        /// Receiver.
        host: HostIndex,
        /// The submission.
        submission: SubmissionIndex,
        /// The request.
        request: Box<InboundRequest>,
    },
    /// A message reaches a peer.
    Peer {
        /// Sender.
        from: HostIndex,
        /// Run of the sender.
        run: u32,
        /// Receiver.
        to: HostIndex,
        /// Connection over which it was sent.
        connection: u32,
        /// The message.
        message: Box<PeerMessage>,
    },
    /// A node notices that the link to a peer is lost.
    PeerLost {
        /// Host that notices.
        host: HostIndex,
        /// Its run.
        run: u32,
        /// The peer.
        peer: HostIndex,
    },
    /// A link has been without acknowledgement for its whole timeout.
    LinkTimeout {
        /// One end.
        from: HostIndex,
        /// The other end.
        to: HostIndex,
        /// Connection that is meant.
        connection: u32,
    },
    /// A node asked to be woken.
    Wake {
        /// The host.
        host: HostIndex,
        /// Its run.
        run: u32,
    },
    /// A request reaches the platform.
    Store {
        /// Sender.
        host: HostIndex,
        /// Run of the sender.
        run: u32,
        /// Identifies the reply.
        request: StoreRequestId,
        /// What is asked.
        body: StoreRequest,
    },
    /// The wait of a blocking query is over.
    StoreWaitOver {
        /// Identifies the waiting query.
        waiter: u64,
    },
    /// The machine list takes in what happened earlier.
    MachineList {
        /// Host whose entry changes.
        host: HostIndex,
        /// Whether it is listed.
        listed: bool,
        /// Whether it is leaving.
        leaving: bool,
    },
    /// A request reaches a back end.
    BackEndReceive {
        /// Receiver.
        back_end: BackEndIndex,
        /// The execution.
        execution: ExecutionIndex,
    },
    /// A cancellation reaches a back end.
    BackEndCancel {
        /// The execution.
        execution: ExecutionIndex,
    },
    /// A back end may send more of an answer.
    BackEndCredit {
        /// The execution.
        execution: ExecutionIndex,
        /// Bytes in addition.
        bytes: u32,
    },
    /// A back end has done a part of its work.
    WorkDone {
        /// The execution.
        execution: ExecutionIndex,
    },
    /// A part of the answer to a back end's own call arrives.
    CallAnswer {
        /// The execution that called.
        execution: ExecutionIndex,
        /// Number of the call among all that it made.
        call: u32,
        /// What arrives.
        part: AnswerPart,
    },
    /// A back end no longer waits for the answer to its own call.
    CallTimeout {
        /// The execution that called.
        execution: ExecutionIndex,
        /// Number of the call among all that it made.
        call: u32,
    },
    /// A group of callers begins to send.
    CallersStart {
        /// Position of the group in the scenario.
        group: usize,
    },
    /// A new request of a group of callers is due.
    Arrival {
        /// Position of the group in the scenario.
        group: usize,
        /// Distinguishes the group's arrival processes after a change of rate.
        generation: u32,
    },
    /// A caller sends a request, for the first time or again.
    Attempt {
        /// The root request.
        root: RootIndex,
    },
    /// A part of an answer reaches a caller.
    Answer {
        /// The submission.
        submission: SubmissionIndex,
        /// What arrives.
        part: AnswerPart,
    },
    /// A caller no longer waits for an answer.
    Patience {
        /// The submission.
        submission: SubmissionIndex,
    },
    /// A fault of the scenario begins.
    FaultBegin {
        /// Position in the scenario.
        index: usize,
    },
    /// A fault of the scenario ends.
    FaultEnd {
        /// Position in the scenario.
        index: usize,
    },
    /// An operator does the next step of a change.
    OperatorStep {
        /// Position among the operators' tasks.
        task: usize,
    },
}
