//! Entry nodes and the owner of the buckets, connected by links with delays, in steps of 1 ms.

use std::collections::BTreeMap;

use rillgap_core::admission::Level;
use rillgap_core::time::Instant;
use rillgap_forward::configuration::RateLimit;
use rillgap_forward::message::level_of;
use rillgap_forward::rate_limit::bucket::{Buckets, Grant};
use rillgap_forward::rate_limit::entry::{Admission, EntryLimiter, TokenDemand};

/// Number of entry nodes.
const ENTRIES: usize = 40;
/// Maximum time that a message takes in one direction, in milliseconds.
const MAX_DELAY_MILLIS: u64 = 3;
/// Number of priorities.
pub const PRIORITIES: usize = 3;

/// Returns the time after this number of milliseconds.
pub const fn at(millis: u64) -> Instant {
    Instant::from_micros(millis * 1_000)
}

/// Deterministic random numbers from a seed.
#[derive(Clone, Debug)]
struct SeededRandom(u64);

impl SeededRandom {
    fn next(&mut self) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        self.0 >> 33
    }

    fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound
    }

    fn unit(&mut self) -> f64 {
        self.next() as f64 / (1_u64 << 31) as f64
    }
}

/// Requests of one tenant.
#[derive(Clone, Debug)]
pub struct Traffic {
    /// Name of the tenant.
    pub tenant: &'static str,
    /// Limit of the tenant.
    pub limit: RateLimit,
    /// Usual number of requests per second of each priority.
    pub usual: [f64; PRIORITIES],
    /// Factor of the usual number in the hot period.
    pub factor: f64,
    /// Begin and end of the hot period, in milliseconds.
    pub hot: (u64, u64),
}

impl Traffic {
    fn rate(&self, now: u64, priority: usize) -> f64 {
        let is_hot = (self.hot.0..self.hot.1).contains(&now);
        self.usual[priority] * if is_hot { self.factor } else { 1.0 }
    }
}

/// What the owner states instead of its own level.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatedLevel {
    /// The level that it has computed.
    Own,
    /// No level, as if it knew no demand.
    None,
    /// A random number.
    Random,
}

/// Fate of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// It got a token.
    Passed,
    /// It was refused because its tenant is at its limit.
    Refused,
    /// It has waited for the maximum time.
    Overdue,
}

/// A decided request.
#[derive(Clone, Copy, Debug)]
pub struct Decided {
    /// When it arrived, in milliseconds.
    pub arrived: u64,
    /// When it was decided, in milliseconds.
    pub decided: u64,
    /// Name of its tenant.
    pub tenant: &'static str,
    /// Its priority.
    pub priority: usize,
    /// Its fate.
    pub fate: Fate,
}

#[derive(Clone, Debug)]
struct Pending {
    arrived: u64,
    tenant: &'static str,
    priority: usize,
}

#[derive(Debug)]
enum Message {
    Query(TokenDemand),
    Answer {
        tenant: String,
        number: u64,
        grant: Grant,
    },
}

/// Entry nodes, the owner, and messages between them.
pub struct World {
    random: SeededRandom,
    entries: Vec<EntryLimiter<u64>>,
    buckets: Buckets,
    owned_since: u64,
    /// Messages by time of arrival and order of sending, with the number of the entry node.
    messages: BTreeMap<(u64, u64), (usize, Message)>,
    sent: u64,
    traffic: Vec<Traffic>,
    pending: BTreeMap<u64, Pending>,
    next_request: u64,
    stated: StatedLevel,
    /// All decided requests.
    pub decided: Vec<Decided>,
    /// When queries were sent, in milliseconds.
    pub queries: Vec<u64>,
    /// Level that the owner has computed for the first tenant, every millisecond.
    pub levels: Vec<Level>,
}

impl World {
    /// Creates a world without requests so far.
    pub fn new(seed: u64, stated: StatedLevel, traffic: Vec<Traffic>) -> Self {
        Self {
            random: SeededRandom(seed),
            entries: (0..ENTRIES).map(|_| EntryLimiter::default()).collect(),
            buckets: Buckets::default(),
            owned_since: 0,
            messages: BTreeMap::new(),
            sent: 0,
            traffic,
            pending: BTreeMap::new(),
            next_request: 0,
            stated,
            decided: Vec::new(),
            queries: Vec::new(),
            levels: Vec::new(),
        }
    }

    /// Runs from one time to another, in milliseconds.
    pub fn run(&mut self, from: u64, until: u64) {
        for now in from..until {
            self.deliver(now);
            self.create_requests(now);
            for entry in 0..ENTRIES {
                self.poll_entry(now, entry);
            }
            if now % 100 == 0 {
                self.buckets.poll(at(now));
            }
        }
    }

    /// Replaces the owner by one that knows nothing; messages to the old one are lost.
    pub fn replace_owner(&mut self, now: u64) {
        self.buckets = Buckets::default();
        self.owned_since = now;
        self.messages.clear();
    }

    fn create_requests(&mut self, now: u64) {
        for index in 0..self.traffic.len() {
            for priority in 0..PRIORITIES {
                let traffic = &self.traffic[index];
                let expected = traffic.rate(now, priority) / 1_000.0;
                let tenant = traffic.tenant;
                let certain = expected as u64;
                let has_one_more = self.random.unit() < expected.fract();
                for _ in 0..certain + u64::from(has_one_more) {
                    self.create_request(now, tenant, priority);
                }
            }
        }
    }

    fn create_request(&mut self, now: u64, tenant: &'static str, priority: usize) {
        self.next_request += 1;
        let request = self.next_request;
        let level = level_of(priority as u8, &format!("request-{request}"));
        let pending = Pending {
            arrived: now,
            tenant,
            priority,
        };
        self.pending.insert(request, pending);
        let entry = self.random.below(ENTRIES as u64) as usize;
        match self.entries[entry].admit(at(now), tenant, level, request) {
            Admission::Granted => self.decide(now, request, Fate::Passed),
            Admission::Refused { .. } => self.decide(now, request, Fate::Refused),
            Admission::Waiting => {}
        }
    }

    fn decide(&mut self, now: u64, request: u64, fate: Fate) {
        let pending = self.pending.remove(&request).expect("a pending request");
        self.decided.push(Decided {
            arrived: pending.arrived,
            decided: now,
            tenant: pending.tenant,
            priority: pending.priority,
            fate,
        });
    }

    fn poll_entry(&mut self, now: u64, entry: usize) {
        for request in self.entries[entry].take_overdue(at(now)) {
            self.decide(now, request, Fate::Overdue);
        }
        for demand in self.entries[entry].queries_due(at(now)) {
            self.queries.push(now);
            self.send(now, entry, Message::Query(demand));
        }
    }

    fn send(&mut self, now: u64, entry: usize, message: Message) {
        self.sent += 1;
        let arrives = now + 1 + self.random.below(MAX_DELAY_MILLIS);
        self.messages.insert((arrives, self.sent), (entry, message));
    }

    fn deliver(&mut self, now: u64) {
        while let Some(first) = self.messages.first_entry() {
            if first.key().0 > now {
                return;
            }
            let (entry, message) = first.remove();
            match message {
                Message::Query(demand) => self.answer(now, entry, demand),
                Message::Answer {
                    tenant,
                    number,
                    grant,
                } => self.receive(now, entry, &tenant, number, grant),
            }
        }
    }

    fn answer(&mut self, now: u64, entry: usize, demand: TokenDemand) {
        let traffic = self
            .traffic
            .iter()
            .find(|traffic| traffic.tenant == demand.tenant);
        let limit = traffic.expect("a known tenant").limit;
        let since = at(self.owned_since);
        let TokenDemand {
            number,
            tenant,
            tokens,
            seen,
            ..
        } = demand;
        let mut grant = self
            .buckets
            .grant(at(now), &tenant, limit, since, tokens, &seen);
        if tenant == self.traffic[0].tenant {
            self.levels.push(grant.level);
        }
        match self.stated {
            StatedLevel::Own => {}
            StatedLevel::None => grant.level = Level(0),
            StatedLevel::Random => grant.level = Level(self.random.next() as u32),
        }
        let answer = Message::Answer {
            tenant,
            number,
            grant,
        };
        self.send(now, entry, answer);
    }

    fn receive(&mut self, now: u64, entry: usize, tenant: &str, number: u64, grant: Grant) {
        let released = self.entries[entry].on_grant(at(now), tenant, number, grant);
        let Some(released) = released else {
            return;
        };
        for request in released.granted {
            self.decide(now, request, Fate::Passed);
        }
        for request in released.refused {
            self.decide(now, request, Fate::Refused);
        }
    }
}
