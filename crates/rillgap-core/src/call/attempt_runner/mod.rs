//! Runs the attempts that entry nodes dispatch to the local back end.

use std::collections::BTreeMap;

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

use crate::action::{Action, Observation};
use crate::admission::{BackEndAdmission, LoadReport, QueueDecision};
use crate::call::answer_recorder::AnswerRecorder;
use crate::call::children::Children;
use crate::call::deadlines::Deadlines;
use crate::call::ports::Ports;
use crate::call::retry_pool::RetryPool;
use crate::claim::DispatchGuard;
use crate::code::ResultCode;
use crate::id::{AttemptId, CallToken, NodeId};
use crate::message::Dispatch;
use crate::node::NodeSettings;
use crate::request::{Refusal, RetryAfter};
use crate::time::{Instant, Now};

mod admission;
mod answers;
mod completion;
mod outage;

use outage::Outage;

/// Flow-control window: bytes of an answer's body that may be in flight to its reader.
pub const ANSWER_WINDOW_BYTES: u32 = 64 * 1024;

/// XORed with the node's seed, so that tokens come from a random sequence of their own.
const TOKEN_SEED_SALT: u64 = 0x746f_6b65_6e73;

#[derive(Debug)]
enum Phase {
    Queued,
    Running {
        token: CallToken,
        started_at: Instant,
        parts: u32,
    },
}

/// One attempt at the local back end.
#[derive(Debug)]
struct LocalAttempt {
    entry: NodeId,
    dispatch: Dispatch,
    deadline: Instant,
    phase: Phase,
    pool: RetryPool,
    children: Children,
    recorder: AnswerRecorder,
}

/// An attempt at the local back end, with the state that calls made for it inherit or use up.
#[derive(Debug)]
pub struct Parent<'a> {
    /// Identifier of the attempt.
    pub attempt: AttemptId,
    /// Its dispatch message, with root request and class.
    pub dispatch: &'a Dispatch,
    /// Its deadline, which also limits the deadlines of its calls.
    pub deadline: Instant,
    /// Extra attempts that it holds; retries of its calls are charged to them.
    pub pool: &'a mut RetryPool,
    /// The calls made for it so far.
    pub children: &'a mut Children,
}

/// Queued and running attempts at the local back end.
#[derive(Debug)]
pub struct AttemptRunner {
    attempts: BTreeMap<AttemptId, LocalAttempt>,
    tokens: BTreeMap<CallToken, AttemptId>,
    deadlines: Deadlines<AttemptId>,
    admission: BackEndAdmission,
    guard: DispatchGuard,
    outage: Outage,
    random: ChaCha8Rng,
    announced_leaving: bool,
    stopping: bool,
    cancels_abandoned_work: bool,
    ended: Vec<AttemptId>,
}

impl AttemptRunner {
    /// Creates a runner without attempts.
    pub fn new(settings: &NodeSettings) -> Self {
        Self {
            attempts: BTreeMap::new(),
            tokens: BTreeMap::new(),
            deadlines: Deadlines::default(),
            admission: BackEndAdmission::new(settings.admission, settings.id()),
            guard: DispatchGuard::default(),
            outage: Outage::default(),
            random: ChaCha8Rng::seed_from_u64(settings.random_seed ^ TOKEN_SEED_SALT),
            announced_leaving: false,
            stopping: false,
            cancels_abandoned_work: settings.admission.cancels_abandoned_work(),
            ended: Vec::new(),
        }
    }

    /// Returns the guard that prevents a second start of a keyed request.
    pub fn guard_mut(&mut self) -> &mut DispatchGuard {
        &mut self.guard
    }

    /// Returns whether no attempt is queued or running.
    pub fn is_idle(&self) -> bool {
        self.attempts.is_empty()
    }

    /// Returns the number of attempts that are queued or running.
    pub fn in_flight(&self) -> usize {
        self.attempts.len()
    }

    /// Refuses new attempts from now on.
    pub fn begin_stop(&mut self) {
        self.stopping = true;
    }

    /// Returns when [`Self::poll`] must be called next.
    pub fn next_wake(&self) -> Option<Instant> {
        [self.deadlines.next(), self.admission.next_wake()]
            .into_iter()
            .flatten()
            .min()
    }

    /// Records whether the back end has announced that it is leaving.
    pub fn set_leaving(&mut self, leaving: bool) {
        self.announced_leaving = leaving;
    }

    /// Returns the number of attempts that were sent to the back end and have not ended.
    fn running(&self) -> usize {
        self.tokens.len()
    }

    /// Returns the load of the back end.
    pub fn load(&self) -> LoadReport {
        self.admission.load()
    }

    /// Records the load report that came with the answer to a call of a running attempt.
    pub fn record_nested_load(&mut self, attempt: AttemptId, load: &LoadReport) {
        self.admission.record_nested_load(attempt, load);
    }

    /// Removes and returns the attempts that have ended since the last invocation. The calls made
    /// for them are no longer needed.
    pub fn take_ended(&mut self) -> Vec<AttemptId> {
        std::mem::take(&mut self.ended)
    }

    /// Returns the running attempt with this token.
    pub fn parent(&mut self, token: CallToken) -> Option<Parent<'_>> {
        let attempt = *self.tokens.get(&token)?;
        self.parent_by_attempt(attempt)
    }

    /// Returns a queued or running attempt.
    pub fn parent_by_attempt(&mut self, attempt: AttemptId) -> Option<Parent<'_>> {
        let local = self.attempts.get_mut(&attempt)?;
        Some(Parent {
            attempt,
            dispatch: &local.dispatch,
            deadline: local.deadline,
            pool: &mut local.pool,
            children: &mut local.children,
        })
    }

    /// Processes passed deadlines and queue decisions, and refuses queued attempts while the back
    /// end is leaving.
    pub fn poll(&mut self, now: Now, ports: &mut Ports<'_, '_>) {
        self.configure(ports);
        while let Some(attempt) = self.deadlines.pop_passed(now.instant) {
            self.expire(now, attempt, ports);
        }
        self.refuse_queued_while_closed(now, ports);
        for decision in self.admission.poll(now.instant) {
            match decision {
                QueueDecision::Start(attempt) => self.start(now, attempt, ports),
                QueueDecision::Refuse(attempt, refusal) => {
                    self.refuse_queued(now, attempt, refusal, ports);
                }
            }
        }
        if let Some(change) = self.admission.take_level_change() {
            ports.emit(Action::Observe(Observation::LevelChanged(change)));
        }
    }
}

const fn refusal_for(code: ResultCode) -> Refusal {
    Refusal {
        code,
        retry_after: RetryAfter::DEFAULT,
    }
}
