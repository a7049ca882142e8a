//! The node beside a back end: runs attempts that entry nodes dispatch.

use std::collections::BTreeMap;

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

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

/// Bytes of an answer's body that may be on the way to its reader at any time.
pub const ANSWER_WINDOW_BYTES: u32 = 64 * 1024;

/// Mixed into the node's seed, so that tokens share no random numbers with other parts.
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

/// What a back end's own call inherits from the request that it serves.
#[derive(Debug)]
pub struct Parent<'a> {
    /// The attempt that is being served.
    pub attempt: AttemptId,
    /// Its root request and class.
    pub dispatch: &'a Dispatch,
    /// Its deadline.
    pub deadline: Instant,
    /// Its extra attempts.
    pub pool: &'a mut RetryPool,
    /// The calls made for it so far.
    pub children: &'a mut Children,
}

/// Attempts at the local back end.
#[derive(Debug)]
pub struct AttemptRunner {
    attempts: BTreeMap<AttemptId, LocalAttempt>,
    tokens: BTreeMap<CallToken, AttemptId>,
    deadlines: Deadlines<AttemptId>,
    admission: BackEndAdmission,
    guard: DispatchGuard,
    random: ChaCha8Rng,
    announced_leaving: bool,
    stopping: bool,
    cancels_abandoned_work: bool,
    ended: Vec<AttemptId>,
}

impl AttemptRunner {
    /// Creates the runner of a fresh node.
    pub fn new(settings: &NodeSettings) -> Self {
        Self {
            attempts: BTreeMap::new(),
            tokens: BTreeMap::new(),
            deadlines: Deadlines::default(),
            admission: BackEndAdmission::new(settings.admission, settings.id()),
            guard: DispatchGuard::default(),
            random: ChaCha8Rng::seed_from_u64(settings.random_seed ^ TOKEN_SEED_SALT),
            announced_leaving: false,
            stopping: false,
            cancels_abandoned_work: settings.admission.cancels_abandoned_work(),
            ended: Vec::new(),
        }
    }

    /// Returns the guard against second starts.
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

    /// Takes no new attempts from now on.
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

    /// Records what the back end says of itself.
    pub fn set_leaving(&mut self, leaving: bool) {
        self.announced_leaving = leaving;
    }

    /// Returns the load of the back end.
    pub fn load(&self) -> LoadReport {
        self.admission.load()
    }

    /// Takes in the load that the answer to a call of a running attempt carried.
    pub fn record_nested_load(&mut self, attempt: AttemptId, load: &LoadReport) {
        self.admission.record_nested_load(attempt, load);
    }

    /// Takes the attempts that ended since the last call, whose own calls nobody needs now.
    pub fn take_ended(&mut self) -> Vec<AttemptId> {
        std::mem::take(&mut self.ended)
    }

    /// Returns the running attempt that a back end's token names.
    pub fn parent(&mut self, token: CallToken) -> Option<Parent<'_>> {
        let attempt = *self.tokens.get(&token)?;
        self.parent_by_attempt(attempt)
    }

    /// Returns a running attempt.
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

    /// Does what is due: passed deadlines, queue decisions, refusals while leaving.
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
    }
}

const fn refusal_for(code: ResultCode) -> Refusal {
    Refusal {
        code,
        retry_after: RetryAfter::DEFAULT,
    }
}
