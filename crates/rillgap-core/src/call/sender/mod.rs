//! Sends calls on to back ends: attempts, claims, answers, retries and deadlines.

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

/// Mixed into the node's seed, so that identifiers share no random numbers with other parts.
const IDENTIFIER_SEED_SALT: u64 = 0x726f_6f74_7321;

/// Mixed into the node's seed, so that routing shares no random numbers with other parts.
const ROUTER_SEED_SALT: u64 = 0x726f_7574_6572;

/// What the end of an answer states about the whole of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerTrailer {
    /// Number of parts of the body.
    pub parts: u32,
    /// Extra attempts that were not spent.
    pub unspent: u8,
}

/// Calls that this node sends on.
#[derive(Debug)]
pub struct Sender {
    /// Admission of root requests.
    pub entry_admission: EntryAdmission,
    calls: BTreeMap<CallId, OutgoingCall>,
    pools: BTreeMap<CallId, RetryPool>,
    by_inbound: BTreeMap<InboundId, CallId>,
    by_parent: BTreeMap<AttemptId, BTreeSet<CallId>>,
    deadlines: Deadlines<CallId>,
    router: Router,
    retry_budget: RetryBudget,
    random: ChaCha8Rng,
    next_sequence: u64,
    stopping: bool,
    has_unbounded_chain: bool,
}

impl Sender {
    /// Creates the sender of a fresh node.
    pub fn new(settings: &NodeSettings) -> Self {
        Self {
            entry_admission: EntryAdmission::new(settings.admission),
            calls: BTreeMap::new(),
            pools: BTreeMap::new(),
            by_inbound: BTreeMap::new(),
            by_parent: BTreeMap::new(),
            deadlines: Deadlines::default(),
            router: Router::new(settings.random_seed ^ ROUTER_SEED_SALT),
            retry_budget: RetryBudget::new(settings.admission),
            random: ChaCha8Rng::seed_from_u64(settings.random_seed ^ IDENTIFIER_SEED_SALT),
            next_sequence: 0,
            stopping: false,
            has_unbounded_chain: settings.admission.has_unbounded_chain(),
        }
    }

    /// Returns whether no call is under way.
    pub fn is_idle(&self) -> bool {
        self.calls.is_empty()
    }

    /// Returns the number of calls under way.
    pub fn in_flight(&self) -> usize {
        self.calls.len()
    }

    /// Returns whether the node is stopping.
    pub const fn is_stopping(&self) -> bool {
        self.stopping
    }

    /// Returns whether a baseline is run that does not bound the attempts of a chain.
    pub const fn is_unbounded(&self) -> bool {
        self.has_unbounded_chain
    }

    /// Takes no new root requests from now on.
    pub const fn begin_stop(&mut self) {
        self.stopping = true;
    }

    /// Returns when [`Self::expire`] must be called next.
    pub fn next_wake(&self) -> Option<Instant> {
        self.deadlines.next()
    }

    /// Draws a random identifier.
    pub fn draw_identifier(&mut self) -> u128 {
        u128::from(self.random.next_u64()) << 64 | u128::from(self.random.next_u64())
    }

    /// Draws the identifier of a new call.
    pub fn next_call_id(&mut self, settings: &NodeSettings) -> CallId {
        self.next_sequence += 1;
        CallId {
            node: settings.id(),
            incarnation: settings.incarnation,
            sequence: self.next_sequence,
        }
    }

    /// Gives a root call its extra attempts.
    pub fn open_pool(&mut self, call: CallId, pool: RetryPool) {
        self.pools.insert(call, pool);
    }

    /// Begins a call that was admitted.
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
