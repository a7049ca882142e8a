//! Forwards calls to back ends: attempts, claims, answers, retries and deadlines.

use std::collections::{BTreeMap, BTreeSet};

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};

use crate::admission::{EntryAdmission, RetryBudget};
use crate::call::attempt_runner::AttemptRunner;
use crate::call::deadlines::Deadlines;
use crate::call::outgoing::OutgoingCall;
use crate::call::ports::Ports;
use crate::call::retry_pool::RetryPool;
use crate::code::ResultCode;
use crate::event::InboundId;
use crate::id::{AttemptId, CallId};
use crate::node::NodeSettings;
use crate::request::{Refusal, RetryAfter};
use crate::routing::Router;
use crate::time::{Instant, Now};

mod answers;
mod attempts;
mod budget;
mod claims;
mod completion;

/// XORed with the node's seed, so that identifiers come from a random sequence of their own.
const IDENTIFIER_SEED_SALT: u64 = 0x726f_6f74_7321;

/// XORed with the node's seed, so that routing has a random sequence of its own.
const ROUTER_SEED_SALT: u64 = 0x726f_7574_6572;

/// Totals that are sent with the end of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerTrailer {
    /// Number of parts of the body.
    pub parts: u32,
    /// Extra attempts that were not spent.
    pub unspent: u8,
}

/// Root requests that a node accepts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Intake {
    /// All.
    Open,
    /// Requests with an idempotency key only: a stop was requested. Others can be refused as not
    /// run and sent to another entry node. Whether a keyed request has run is known only once its
    /// key was looked up, and a caller that meets only stopping nodes would never find out.
    Keyed,
    /// None: the node has left the view.
    Closed,
}

/// Calls in flight that this node forwards to back ends.
#[derive(Debug)]
pub struct Sender {
    /// Admission of root requests.
    pub entry_admission: EntryAdmission,
    calls: BTreeMap<CallId, OutgoingCall>,
    pools: BTreeMap<CallId, RetryPool>,
    by_inbound: BTreeMap<InboundId, CallId>,
    by_parent: BTreeMap<AttemptId, BTreeSet<CallId>>,
    deadlines: Deadlines<CallId>,
    /// Times until which answers are held.
    held_until: Deadlines<CallId>,
    router: Router,
    retry_budget: RetryBudget,
    random: ChaCha8Rng,
    next_sequence: u64,
    intake: Intake,
    has_unbounded_chain: bool,
}

impl Sender {
    /// Creates a sender without calls.
    pub fn new(settings: &NodeSettings) -> Self {
        Self {
            entry_admission: EntryAdmission::new(settings.admission),
            calls: BTreeMap::new(),
            pools: BTreeMap::new(),
            by_inbound: BTreeMap::new(),
            by_parent: BTreeMap::new(),
            deadlines: Deadlines::default(),
            held_until: Deadlines::default(),
            router: Router::new(settings.random_seed ^ ROUTER_SEED_SALT),
            retry_budget: RetryBudget::new(settings.admission),
            random: ChaCha8Rng::seed_from_u64(settings.random_seed ^ IDENTIFIER_SEED_SALT),
            next_sequence: 0,
            intake: Intake::Open,
            has_unbounded_chain: settings.admission.has_unbounded_chain(),
        }
    }

    /// Returns whether no call is in flight.
    pub fn is_idle(&self) -> bool {
        self.calls.is_empty()
    }

    /// Returns the number of calls in flight.
    pub fn in_flight(&self) -> usize {
        self.calls.len()
    }

    /// Returns whether all calls in flight were accepted after a stop was requested.
    pub fn has_only_late_calls(&self) -> bool {
        self.calls.values().all(|call| call.is_late)
    }

    /// Returns which root requests are accepted.
    pub const fn intake(&self) -> Intake {
        self.intake
    }

    /// Returns whether the settings select a baseline that does not limit the retries of a chain.
    pub const fn is_unbounded(&self) -> bool {
        self.has_unbounded_chain
    }

    /// Sets which root requests are accepted from now on.
    pub const fn set_intake(&mut self, intake: Intake) {
        self.intake = intake;
    }

    /// Returns when [`Self::expire`] must be called next.
    pub fn next_wake(&self) -> Option<Instant> {
        [self.deadlines.next(), self.held_until.next()]
            .into_iter()
            .flatten()
            .min()
    }

    /// Generates a random identifier.
    pub fn draw_identifier(&mut self) -> u128 {
        u128::from(self.random.next_u64()) << 64 | u128::from(self.random.next_u64())
    }

    /// Returns the identifier for a new call.
    pub fn next_call_id(&mut self, settings: &NodeSettings) -> CallId {
        self.next_sequence += 1;
        CallId {
            node: settings.id(),
            incarnation: settings.incarnation,
            sequence: self.next_sequence,
        }
    }

    /// Registers the retry pool of a root request.
    pub fn open_pool(&mut self, call: CallId, pool: RetryPool) {
        self.pools.insert(call, pool);
    }

    /// Registers an admitted call and starts its first attempt.
    pub fn begin(
        &mut self,
        now: Now,
        call: OutgoingCall,
        runner: &mut AttemptRunner,
        ports: &mut Ports<'_, '_>,
    ) {
        let id = call.id;
        self.retry_budget.configure(retry_percent(ports));
        self.by_inbound.insert(call.inbound, id);
        if let Some(link) = call.parent {
            self.by_parent.entry(link.attempt).or_default().insert(id);
        }
        self.deadlines.insert(call.deadline, id);
        self.calls.insert(id, call);
        self.begin_attempt(now, id, None, ResultCode::NoBackEnd, runner, ports);
    }
}

fn retry_percent(ports: &Ports<'_, '_>) -> u8 {
    let policy = ports.context.configuration.policy();
    policy.map_or(0, |policy| policy.bounds.retry_percent)
}

const fn refusal_for(code: ResultCode) -> Refusal {
    Refusal {
        code,
        retry_after: RetryAfter::DEFAULT,
    }
}
