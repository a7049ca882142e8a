//! Proof of how fresh the node's configuration is.
//!
//! A key that an operator takes away must stop working everywhere within a bound, also at a node that
//! is cut off. A node therefore serves requests with keys only while it can prove that its
//! configuration was the newest one not long ago. Let `p` be the time of the proof: every
//! configuration that was accepted before `p` is known here. A request that is handled at `t` was sent
//! at `t` or earlier, so while `t - p` is below the bound no key that was taken away longer than the
//! bound before the request was sent is accepted. Nothing need be checked again after that: what
//! counts is when the request was sent.
//!
//! A proof is either a read of the store, or the word of a peer. Both count from the moment at which
//! they were *asked for*: an answer may have lain in a socket for any time. The time is that of the
//! steady clock, which goes on while the process stands still.

use std::collections::BTreeMap;
use std::time::Duration;

use rillgap_core::time::Instant;

/// Share of the bound that is kept for the drift of clocks and the driver's own steps.
const MARGIN_SHARE: f64 = 0.05;
/// Share of the bound after which a proof is renewed from peers: several tries fit into the rest.
const RENEW_SHARE: f64 = 0.12;
/// Share of the bound after which more peers are asked at once.
const URGENT_SHARE: f64 = 0.45;
/// Peers that are asked at a time, usually and when the proof is getting old.
const WIDTH: (usize, usize) = (1, 4);
/// Time after which another peer is asked.
const QUERY_PATIENCE: Duration = Duration::from_millis(250);
/// Time after which an answer is not expected any more.
const QUERY_LIFE: Duration = Duration::from_secs(5);
/// Share of the bound for which a watch of the store waits at most.
const WATCH_SHARE: f64 = 0.14;

/// Number of a query to a peer, used once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueryNumber(pub u64);

/// Time of a proof: microseconds of the steady clock, negative before the process started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ProofTime(i64);

impl ProofTime {
    fn of(at: Instant, age: Duration) -> Self {
        let micros = |micros: u64| i64::try_from(micros).unwrap_or(i64::MAX);
        let age = u64::try_from(age.as_micros()).unwrap_or(u64::MAX);
        Self(micros(at.as_micros()).saturating_sub(micros(age)))
    }

    fn age(self, now: Instant) -> Duration {
        let now = i64::try_from(now.as_micros()).unwrap_or(i64::MAX);
        let micros = now.saturating_sub(self.0);
        Duration::from_micros(u64::try_from(micros).unwrap_or(0))
    }
}

/// What is known of the freshness of the node's configuration.
#[derive(Clone, Debug)]
pub struct Freshness {
    /// Age up to which a proof is good; `None` if no proof is needed.
    bound: Option<Duration>,
    proven_at: Option<ProofTime>,
    /// Proof of a version that the node does not have yet.
    ahead: Option<(u64, ProofTime)>,
    queries: BTreeMap<QueryNumber, Instant>,
    next_query: u64,
    queried_at: Option<Instant>,
}

impl Freshness {
    /// Creates the state of a fresh node, which has no proof.
    ///
    /// `revocation` is the time within which a key that was taken away must have stopped working.
    pub fn new(revocation: Option<Duration>) -> Self {
        Self {
            bound: revocation.map(|revocation| revocation.mul_f64(1.0 - MARGIN_SHARE)),
            proven_at: None,
            ahead: None,
            queries: BTreeMap::new(),
            next_query: 0,
            queried_at: None,
        }
    }

    /// Returns whether requests with keys may be served.
    pub fn is_proven(&self, now: Instant) -> bool {
        self.bound
            .is_none_or(|bound| self.proof_age(now).is_some_and(|age| age < bound))
    }

    /// Returns the age of the proof.
    pub fn proof_age(&self, now: Instant) -> Option<Duration> {
        self.proven_at.map(|at| at.age(now))
    }

    /// Returns for how long a watch of the store may wait: its answer proves nothing later than its
    /// start.
    pub fn max_watch_wait(&self) -> Option<Duration> {
        self.bound.map(|bound| bound.mul_f64(WATCH_SHARE))
    }

    /// Takes in that `version` was the newest one at a time. `own` is the version in force here.
    pub fn record_proof(&mut self, at: Instant, version: u64, own: u64) {
        self.take(ProofTime::of(at, Duration::ZERO), version, own);
    }

    fn take(&mut self, at: ProofTime, version: u64, own: u64) {
        if own >= version {
            self.proven_at = self.proven_at.max(Some(at));
        } else if self.ahead.is_none_or(|(ahead, _)| ahead <= version) {
            self.ahead = Some((version, at));
        }
    }

    /// Takes in that a version is in force here.
    pub fn on_configuration_in_force(&mut self, own: u64) {
        if let Some((version, at)) = self.ahead.filter(|(version, _)| *version <= own) {
            self.ahead = None;
            self.take(at, version, own);
        }
    }

    /// Takes in that the store has come back from a copy: what it has said before, itself or through peers, may
    /// not hold any more, so a new proof is needed.
    pub fn on_store_restored(&mut self) {
        self.proven_at = None;
        self.ahead = None;
        self.queries.clear();
        self.queried_at = None;
    }

    /// Returns how many peers are to be asked now, if any.
    pub fn queries_due(&self, now: Instant) -> Option<usize> {
        let bound = self.bound?;
        let is_asked = self
            .queried_at
            .is_some_and(|at| now.saturating_since(at) < QUERY_PATIENCE);
        if is_asked {
            return None;
        }
        match self.proof_age(now) {
            Some(age) if age < bound.mul_f64(RENEW_SHARE) => None,
            Some(age) if age < bound.mul_f64(URGENT_SHARE) => Some(WIDTH.0),
            _ => Some(WIDTH.1),
        }
    }

    /// Begins a query; its number belongs into the message.
    pub fn begin_query(&mut self, now: Instant) -> QueryNumber {
        self.queried_at = Some(now);
        self.queries
            .retain(|_, at| now.saturating_since(*at) < QUERY_LIFE);
        self.next_query += 1;
        let number = QueryNumber(self.next_query);
        self.queries.insert(number, now);
        number
    }

    /// Takes in a peer's answer: `version` was the newest one `age` before the peer answered.
    pub fn on_answer(&mut self, number: QueryNumber, version: u64, age: Duration, own: u64) {
        let Some(asked_at) = self.queries.get(&number).copied() else {
            return;
        };
        // The peer answered after it was asked, so its proof is at least this young.
        self.take(ProofTime::of(asked_at, age), version, own);
    }
}
