//! Proof that the node's configuration is recent enough.
//!
//! A key that an operator revokes must stop working everywhere within a bound, also at a node that
//! is partitioned from all others. A node therefore serves requests with keys only while it can
//! prove that its configuration was recently the newest one. Let `p` be the time of the proof: the
//! node has every configuration that was accepted before `p`. A request that is handled at `t` was
//! sent at `t` or earlier, so while `t - p` is below the bound, no key is accepted that was revoked
//! longer than the bound before the request was sent. The key is not checked again after that,
//! since the time at which the request was sent is what counts.
//!
//! A proof is either a read of the store or the statement of a peer. Both count from the moment at
//! which they were *requested*, since an answer may have waited in a socket for any time. The times
//! are those of the monotonic clock, which continues while the process is suspended.

use std::collections::BTreeMap;
use std::time::Duration;

use rillgap_core::time::Instant;

/// Fraction of the bound that is reserved for clock drift and the time steps of the driver.
const SAFETY_MARGIN_FRACTION: f64 = 0.05;
/// Fraction of the bound after which a proof is renewed by queries to peers; the rest of the bound
/// leaves time for several attempts.
const RENEW_FRACTION: f64 = 0.12;
/// Fraction of the bound after which more peers are queried at once.
const URGENT_FRACTION: f64 = 0.45;
/// Number of peers that are queried at a time: normally, and when the proof is old.
const QUERY_FANOUT: (usize, usize) = (1, 4);
/// Time after which another peer is queried.
const QUERY_INTERVAL: Duration = Duration::from_millis(250);
/// Time after which an answer is no longer accepted.
const QUERY_LIFETIME: Duration = Duration::from_secs(5);
/// Maximum wait of a watch of the store, as a fraction of the bound.
const MAX_WATCH_FRACTION: f64 = 0.14;

/// Number of a query to a peer; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueryNumber(pub u64);

/// Time of a proof in microseconds of the monotonic clock; negative before the start of the
/// process.
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

/// Proofs of the freshness of the node's configuration, and the queries to peers for them.
#[derive(Clone, Debug)]
pub struct Freshness {
    /// Age below which a proof is valid; `None` if no proof is required.
    max_proof_age: Option<Duration>,
    proven_at: Option<ProofTime>,
    /// Proof of a version that is not yet in force on this node.
    pending_proof: Option<(u64, ProofTime)>,
    queries: BTreeMap<QueryNumber, Instant>,
    next_query: u64,
    queried_at: Option<Instant>,
}

impl Freshness {
    /// Creates the state of a node that starts, which has no proof.
    ///
    /// `revocation` is the time within which a revoked key must have stopped working; `None` if no
    /// proof is required.
    pub fn new(revocation: Option<Duration>) -> Self {
        Self {
            max_proof_age: revocation
                .map(|revocation| revocation.mul_f64(1.0 - SAFETY_MARGIN_FRACTION)),
            proven_at: None,
            pending_proof: None,
            queries: BTreeMap::new(),
            next_query: 0,
            queried_at: None,
        }
    }

    /// Returns whether requests with keys may be served.
    pub fn is_proven(&self, now: Instant) -> bool {
        self.max_proof_age
            .is_none_or(|max_age| self.proof_age(now).is_some_and(|age| age < max_age))
    }

    /// Returns the age of the proof; `None` if there is none.
    pub fn proof_age(&self, now: Instant) -> Option<Duration> {
        self.proven_at.map(|at| at.age(now))
    }

    /// Returns the maximum wait of a watch of the store, whose answer proves nothing later than its
    /// start; `None` if no proof is required.
    pub fn max_watch_wait(&self) -> Option<Duration> {
        self.max_proof_age
            .map(|max_age| max_age.mul_f64(MAX_WATCH_FRACTION))
    }

    /// Records that `version` was the newest one at a time. `own_version` is the version in force
    /// on this node.
    pub fn record_proof(&mut self, at: Instant, version: u64, own_version: u64) {
        self.apply_proof(ProofTime::of(at, Duration::ZERO), version, own_version);
    }

    fn apply_proof(&mut self, at: ProofTime, version: u64, own_version: u64) {
        if own_version >= version {
            self.proven_at = self.proven_at.max(Some(at));
        } else if self
            .pending_proof
            .is_none_or(|(pending, _)| pending <= version)
        {
            self.pending_proof = Some((version, at));
        }
    }

    /// Records that a version is in force on this node.
    pub fn on_configuration_in_force(&mut self, own_version: u64) {
        if let Some((version, at)) = self
            .pending_proof
            .filter(|(version, _)| *version <= own_version)
        {
            self.pending_proof = None;
            self.apply_proof(at, version, own_version);
        }
    }

    /// Drops all proofs, since the store was restored from a backup: what it or peers have stated
    /// before may no longer hold.
    pub fn on_store_restored(&mut self) {
        self.proven_at = None;
        self.pending_proof = None;
        self.queries.clear();
        self.queried_at = None;
    }

    /// Returns how many peers to query now; `None` if no query is due.
    pub fn queries_due(&self, now: Instant) -> Option<usize> {
        let max_proof_age = self.max_proof_age?;
        let is_queried = self
            .queried_at
            .is_some_and(|at| now.saturating_since(at) < QUERY_INTERVAL);
        if is_queried {
            return None;
        }
        match self.proof_age(now) {
            Some(age) if age < max_proof_age.mul_f64(RENEW_FRACTION) => None,
            Some(age) if age < max_proof_age.mul_f64(URGENT_FRACTION) => Some(QUERY_FANOUT.0),
            _ => Some(QUERY_FANOUT.1),
        }
    }

    /// Records a new query and returns its number, which is part of the message.
    pub fn begin_query(&mut self, now: Instant) -> QueryNumber {
        self.queried_at = Some(now);
        self.queries
            .retain(|_, at| now.saturating_since(*at) < QUERY_LIFETIME);
        self.next_query += 1;
        let number = QueryNumber(self.next_query);
        self.queries.insert(number, now);
        number
    }

    /// Handles a peer's answer: `version` was the newest one `age` before the peer answered.
    pub fn on_answer(
        &mut self,
        number: QueryNumber,
        version: u64,
        age: Duration,
        own_version: u64,
    ) {
        let Some(sent_at) = self.queries.get(&number).copied() else {
            return;
        };
        // The peer answered after the query was sent, so its proof is at least this recent.
        self.apply_proof(ProofTime::of(sent_at, age), version, own_version);
    }
}
