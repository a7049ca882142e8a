//! The ground truth of a run: what back ends executed and what callers were told.

use std::ops::Range;

use rillgap_core::code::{Outcome, ResultCode};
use rillgap_core::event::InboundId;
use rillgap_core::id::{AttemptId, IdempotencyKey, PolicyVersion};
use rillgap_core::operator::OperatorReply;
use rillgap_core::policy::Class;
use rillgap_core::time::Instant;

use super::body::BodyFault;
use super::event::{BackEndIndex, ExecutionIndex, HostIndex, RootIndex, SubmissionIndex};

/// Everything that observers may look at.
#[derive(Debug, Default)]
pub struct Ledger {
    /// What callers wanted, in the order of arrival.
    pub roots: Vec<Root>,
    /// Requests that callers sent, repeats included.
    pub submissions: Vec<Submission>,
    /// Requests that back ends took in.
    pub executions: Vec<Execution>,
    /// Calls that back ends made, repeats included.
    pub calls: Vec<Call>,
    /// Attempts that nodes refused beside their back ends.
    pub gate_refusals: Vec<GateRefusal>,
    /// Changes of operators.
    pub changes: Vec<Change>,
    /// Happenings at hosts.
    pub host_records: Vec<HostRecord>,
    /// Times from which back ends are leaving.
    pub leavings: Vec<Leaving>,
    /// Request messages between nodes and their bytes, by kind.
    pub traffic: Traffic,
}

/// What a caller wanted.
#[derive(Clone, Debug)]
pub struct Root {
    /// Group of callers, by position in the scenario.
    pub group: usize,
    /// Number of the caller in its group.
    pub caller: u32,
    /// True class, by the policy of the entry.
    pub class: Class,
    /// Route, by position in the scenario.
    pub route: usize,
    /// Key, for requests that may run at most once.
    pub key: Option<IdempotencyKey>,
    /// Time of the first submission.
    pub created: Instant,
    /// Submissions, in order.
    pub submissions: Vec<SubmissionIndex>,
    /// When a whole answer with a status of success came, if one did.
    pub completed: Option<Instant>,
}

/// What a caller was told about one submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Told {
    /// Nothing yet.
    Nothing,
    /// A whole answer.
    Answer {
        /// HTTP status.
        status: u16,
        /// What is wrong with the body, if anything.
        fault: Option<BodyFault>,
    },
    /// A refusal or failure with a numbered code.
    Refused(ResultCode),
    /// A transfer broken off in the middle.
    Broken,
    /// The connection was lost, or refused by a dead host.
    Lost,
    /// The caller gave up first.
    GaveUp,
}

impl Told {
    /// Returns whether the caller was told that the request was not run.
    pub fn not_run(self) -> bool {
        matches!(self, Self::Refused(code) if code.outcome() == Outcome::NotRun)
    }

    /// Returns whether a whole answer of success came.
    pub fn succeeded(self) -> bool {
        matches!(self, Self::Answer { status, .. } if status < 300)
    }
}

/// One request as a caller sent it.
#[derive(Clone, Debug)]
pub struct Submission {
    /// What the caller wanted.
    pub root: RootIndex,
    /// Node that it was sent to.
    pub host: HostIndex,
    /// Run of that node when the request reached it.
    pub run: Option<u32>,
    /// Identifier at that node.
    pub inbound: Option<InboundId>,
    /// Time of sending.
    pub sent: Instant,
    /// What the caller was told, and when.
    pub told: Told,
    /// When it was told.
    pub told_at: Instant,
    /// Body received so far.
    pub(super) received: Vec<u8>,
    /// Status received.
    pub(super) status: u16,
}

/// Who asked for an execution.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Asker {
    /// A submission of a caller.
    Caller(SubmissionIndex),
    /// A call of a back end.
    BackEnd(CallIndex),
}

/// Position of a call in the ledger.
pub type CallIndex = usize;

/// How an execution ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// A whole answer was sent.
    Answered,
    /// Cancelled, or cut off by the loss of its node.
    Cancelled,
    /// Lost with its back end.
    Killed,
    /// Shed or cancelled before it was started.
    NotStarted,
}

/// A request at a back end.
#[derive(Clone, Debug)]
pub struct Execution {
    /// What it serves.
    pub root: RootIndex,
    /// Who asked for it.
    pub asker: Asker,
    /// Where it runs.
    pub back_end: BackEndIndex,
    /// Attempt under which the node sent it.
    pub attempt: AttemptId,
    /// Route, by position in the scenario.
    pub route: usize,
    /// When it reached the back end.
    pub arrived: Instant,
    /// When it was started, if it was.
    pub started: Option<Instant>,
    /// When and how it ended.
    pub ended: Option<(Instant, Ending)>,
    /// Time in a slot.
    pub slot_micros: u64,
}

/// A call that a back end made.
#[derive(Clone, Debug)]
pub struct Call {
    /// Execution that made it.
    pub execution: ExecutionIndex,
    /// Position of the call in its route.
    pub position: usize,
    /// Number of earlier tries of the same call.
    pub repeat: u8,
    /// Whether a valid token was sent.
    pub token_valid: bool,
    /// Time of sending.
    pub sent: Instant,
    /// What the back end was told.
    pub told: Told,
}

/// An attempt that a node refused beside its back end.
#[derive(Clone, Debug)]
pub struct GateRefusal {
    /// Back end beside which it was refused.
    pub back_end: BackEndIndex,
    /// Time of the refusal.
    pub at: Instant,
    /// Executions that were recorded from its arrival at the node to its refusal.
    pub executions: Range<ExecutionIndex>,
    /// The attempt.
    pub attempt: AttemptId,
    /// True class of its root.
    pub class: Class,
    /// Reason.
    pub code: ResultCode,
}

/// A change that an operator asked for.
#[derive(Clone, Debug)]
pub struct Change {
    /// Node through which it was asked.
    pub host: HostIndex,
    /// Time of the request.
    pub asked: Instant,
    /// When the operator was told that it is accepted, with its version.
    pub accepted: Option<(Instant, PolicyVersion)>,
    /// Last reply.
    pub reply: Option<OperatorReply>,
}

/// Something that happened at a host.
#[derive(Clone, Copy, Debug)]
pub struct HostRecord {
    /// The host.
    pub host: HostIndex,
    /// Run of the host.
    pub run: u32,
    /// When.
    pub at: Instant,
    /// What.
    pub kind: HostRecordKind,
}

/// Kinds of happenings at a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostRecordKind {
    /// Started with empty memory.
    Started,
    /// Killed.
    Killed,
    /// Frozen.
    Frozen,
    /// Thawed.
    Thawed,
    /// Asked to stop as planned.
    Stopping,
    /// Ended by itself after a planned stop.
    Exited {
        /// Requests of callers that were still open.
        open_inbounds: usize,
        /// Requests that the back end was still running for it.
        running: usize,
    },
    /// Serves requests, or no longer does.
    Serving(bool),
    /// A policy came into force.
    Policy(PolicyVersion),
    /// A request was sent to the back end under a policy older than one already accepted.
    StaleDispatch(PolicyVersion),
}

/// A time from which a back end is leaving.
#[derive(Clone, Copy, Debug)]
pub struct Leaving {
    /// The back end.
    pub back_end: BackEndIndex,
    /// From when on.
    pub from: Instant,
    /// Until when; `None` while it lasts.
    pub until: Option<Instant>,
}

/// Messages and bytes between nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Messages of the data path.
    pub call_messages: u64,
    /// Messages about claims.
    pub claim_messages: u64,
    /// Bytes of messages about claims, without framing.
    pub claim_bytes: u64,
    /// Messages of membership.
    pub membership_messages: u64,
    /// Messages about the policy.
    pub configuration_messages: u64,
}
