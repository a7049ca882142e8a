//! Admission of tenants' requests on the entry node, by tokens.
//!
//! A request of a tenant with a limit needs a token. Tokens are prefetched from the owner of the
//! tenant's bucket, based on the rate at which this node receives the tenant's requests. A request
//! that finds no token waits for a reply of the owner, which takes a round trip, or a few if the owner
//! has few tokens. While the tenant is short of tokens, the owner states a level; requests below it
//! are refused at once.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use rillgap_core::admission::Level;
use rillgap_core::time::Instant;

use super::TOKEN_LIFETIME;
use super::bucket::Grant;
use super::demand::{Bin, LevelDemand};
use super::known_level::KnownLevel;

/// Maximum time for which a request waits for tokens: several round trips between zones and the
/// time to open a link.
const MAX_HOLD: Duration = Duration::from_millis(250);
/// Time after which an unanswered query is sent again.
const QUERY_TIMEOUT: Duration = Duration::from_millis(80);
/// Period of expected demand for which tokens are prefetched; shorter than their lifetime, so that
/// few expire unused.
const PREFETCH_HORIZON: Duration = Duration::from_millis(200);
/// The same while the tenant has a level: tokens that expire unused are missing elsewhere, and
/// requests may wait for theirs.
const SHORT_PREFETCH_HORIZON: Duration = Duration::from_millis(100);
/// Time constant of the decaying average of a tenant's request rate.
const RATE_TIME_CONSTANT: Duration = Duration::from_secs(1);
/// Time without requests after which the account of a tenant is dropped.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum time between two queries while requests arrive: the owner must know the demand of entry
/// nodes that refuse all requests.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);

/// Unused tokens of one grant.
#[derive(Clone, Copy, Debug)]
struct TokenBatch {
    expires_at: Instant,
    remaining: u32,
}

/// A request that waits for a token.
#[derive(Clone, Copy, Debug)]
struct WaitingRequest<K> {
    key: K,
    level: Level,
    until: Instant,
}

/// A query that the owner has not answered.
#[derive(Clone, Copy, Debug)]
struct Query {
    sent_at: Instant,
    tokens: u32,
}

/// State of one tenant on this node.
#[derive(Clone, Debug)]
struct Account<K> {
    tokens: VecDeque<TokenBatch>,
    waiting: Vec<WaitingRequest<K>>,
    /// Time before which the wait of no request ends.
    next_overdue: Instant,
    /// Unanswered queries by number. Those older than the lifetime of a token are dropped.
    queries: BTreeMap<u64, Query>,
    /// When a query was first repeated because its predecessors had no answer; `None` once an
    /// answer has arrived.
    unanswered_since: Option<Instant>,
    /// Time before which the owner has no tokens to grant.
    exhausted_until: Instant,
    /// Number of requests that can expect a token within the maximum wait.
    max_waiting: usize,
    /// When the last query was sent; `None` if none was.
    queried_at: Option<Instant>,
    known_level: KnownLevel,
    /// Requests by bin of levels since the last query.
    seen: BTreeMap<Bin, u32>,
    demand: LevelDemand,
    requested_at: Instant,
}

impl<K: Copy> Account<K> {
    fn new(now: Instant) -> Self {
        Self {
            tokens: VecDeque::new(),
            waiting: Vec::new(),
            next_overdue: now,
            queries: BTreeMap::new(),
            unanswered_since: None,
            exhausted_until: now,
            max_waiting: usize::MAX,
            queried_at: None,
            known_level: KnownLevel::default(),
            seen: BTreeMap::new(),
            demand: LevelDemand::new(now, RATE_TIME_CONSTANT),
            requested_at: now,
        }
    }

    fn count_request(&mut self, now: Instant, level: Level) {
        let bin = Bin::of(level);
        let seen = self.seen.entry(bin).or_default();
        *seen = seen.saturating_add(1);
        self.demand.add(now, bin, 1);
        self.requested_at = now;
    }

    /// Drops expired tokens wherever they are in the queue: grants may arrive in another order than
    /// their queries were sent.
    fn drop_expired(&mut self, now: Instant) {
        self.tokens.retain(|tokens| tokens.expires_at > now);
    }

    fn take(&mut self, now: Instant) -> bool {
        self.drop_expired(now);
        // Used-up grants are kept until they expire, since a token may be returned to them.
        let Some(tokens) = self.tokens.iter_mut().find(|tokens| tokens.remaining > 0) else {
            return false;
        };
        tokens.remaining -= 1;
        true
    }

    /// Records a query to the owner; returns whether an earlier query is still unanswered.
    fn record_query(&mut self, now: Instant, number: u64, tokens: u32) -> bool {
        let is_repeated = !self.queries.is_empty();
        if is_repeated {
            self.unanswered_since.get_or_insert(now);
        }
        self.queries
            .retain(|_, query| now.saturating_since(query.sent_at) < TOKEN_LIFETIME);
        let query = Query {
            sent_at: now,
            tokens,
        };
        self.queries.insert(number, query);
        self.queried_at = Some(now);
        is_repeated
    }

    /// Returns how long a request may wait for tokens. If the owner has not answered for a while,
    /// it is just long enough for an answer that names another owner.
    fn max_hold(&self, now: Instant) -> Duration {
        let unanswered_for = self
            .unanswered_since
            .map(|since| now.saturating_since(since));
        match unanswered_for {
            Some(unanswered_for) if unanswered_for >= MAX_HOLD => QUERY_TIMEOUT,
            _ => MAX_HOLD,
        }
    }

    fn record_grant(&mut self, now: Instant, query: Query, grant: Grant) {
        self.unanswered_since = None;
        let shortage = Duration::from_millis(u64::from(grant.shortage_millis));
        self.known_level
            .record(query.sent_at, grant.level, shortage);
        if grant.tokens > 0 {
            self.tokens.push_back(TokenBatch {
                expires_at: query.sent_at + TOKEN_LIFETIME,
                remaining: grant.tokens,
            });
        }
        let wait = Duration::from_millis(u64::from(grant.wait_millis));
        if !wait.is_zero() {
            self.exhausted_until = now + wait;
            let missing = query.tokens.saturating_sub(grant.tokens);
            let expected = f64::from(missing) * MAX_HOLD.as_secs_f64() / wait.as_secs_f64();
            self.max_waiting = expected.max(1.0) as usize;
        } else if query.tokens > 0 {
            self.max_waiting = usize::MAX;
        }
    }

    fn refusal(&self, now: Instant) -> Admission {
        Admission::Refused {
            shortage: self.known_level.shortage(now),
        }
    }

    /// Returns whether a request that waits until this time can expect an answer with a token.
    fn is_token_expected(&self, now: Instant, until: Instant) -> bool {
        let is_exhausted = now < self.exhausted_until;
        !is_exhausted || self.exhausted_until + QUERY_TIMEOUT <= until
    }

    fn wait(&mut self, key: K, level: Level, until: Instant) {
        if self.waiting.is_empty() || until < self.next_overdue {
            self.next_overdue = until;
        }
        self.waiting.push(WaitingRequest { key, level, until });
    }

    /// Removes and returns the waiting requests that get a token: those of the highest levels.
    fn release_granted(&mut self, now: Instant) -> Vec<K> {
        self.drop_expired(now);
        let tokens = self.remaining() as usize;
        if tokens < self.waiting.len() {
            self.waiting.sort_by_key(|waiting| Reverse(waiting.level));
        }
        let count = tokens.min(self.waiting.len());
        let granted: Vec<K> = self
            .waiting
            .drain(..count)
            .map(|waiting| waiting.key)
            .collect();
        for _ in &granted {
            self.take(now);
        }
        granted
    }

    /// Removes and returns the waiting requests that have no chance of a token any more.
    fn release_refused(&mut self, now: Instant) -> Vec<K> {
        let min_level = self.known_level.in_force(now);
        let waiting = std::mem::take(&mut self.waiting);
        let (mut remaining, mut refused): (Vec<_>, Vec<_>) =
            waiting.into_iter().partition(|waiting| {
                waiting.level >= min_level && self.is_token_expected(now, waiting.until)
            });
        if remaining.len() > self.max_waiting {
            remaining.sort_by_key(|waiting| Reverse(waiting.level));
            refused.extend(remaining.drain(self.max_waiting..));
        }
        self.waiting = remaining;
        refused.into_iter().map(|waiting| waiting.key).collect()
    }

    /// Removes and returns the requests that have waited for the maximum time.
    fn release_overdue(&mut self, now: Instant) -> Vec<K> {
        if now < self.next_overdue {
            return Vec::new();
        }
        let overdue = self.waiting.extract_if(.., |waiting| waiting.until <= now);
        let overdue = overdue.map(|waiting| waiting.key).collect();
        let next_overdue = self.waiting.iter().map(|waiting| waiting.until).min();
        self.next_overdue = next_overdue.unwrap_or(now);
        overdue
    }

    /// Returns when the waiting requests need a call next, to be queried for or released.
    fn next_wake(&self) -> Instant {
        let latest_query = self.queries.values().next_back();
        let unanswered_until = latest_query.map(|query| query.sent_at + QUERY_TIMEOUT);
        let query_at = unanswered_until
            .unwrap_or_default()
            .max(self.exhausted_until);
        self.next_overdue.min(query_at)
    }

    fn remaining(&self) -> u32 {
        self.tokens.iter().map(|tokens| tokens.remaining).sum()
    }

    /// Returns how many tokens to query now, 0 to report the demand only; `None` if no query is
    /// due.
    fn tokens_to_query(&mut self, now: Instant) -> Option<u32> {
        let latest_query = self.queries.values().next_back();
        let is_query_outstanding =
            latest_query.is_some_and(|query| now.saturating_since(query.sent_at) < QUERY_TIMEOUT);
        if is_query_outstanding {
            return None;
        }
        let missing = self.missing_tokens(now);
        (missing > 0 || self.is_report_due(now)).then_some(missing)
    }

    fn missing_tokens(&mut self, now: Instant) -> u32 {
        if now < self.exhausted_until {
            return 0;
        }
        self.drop_expired(now);
        let waiting = u32::try_from(self.waiting.len()).unwrap_or(u32::MAX);
        let prefetch_target = self.prefetch_target(now);
        let remaining = self.remaining();
        if waiting > 0 || remaining * 2 < prefetch_target {
            (waiting + prefetch_target).saturating_sub(remaining).max(1)
        } else {
            0
        }
    }

    fn prefetch_target(&self, now: Instant) -> u32 {
        let level = self.known_level.in_force(now);
        let horizon = if level > Level(0) {
            SHORT_PREFETCH_HORIZON
        } else {
            PREFETCH_HORIZON
        };
        (self.demand.rate_from(level) * horizon.as_secs_f64()) as u32
    }

    fn is_report_due(&self, now: Instant) -> bool {
        let is_recent = |at: Instant| now.saturating_since(at) < REPORT_INTERVAL;
        !self.seen.is_empty() && !self.queried_at.is_some_and(is_recent)
    }

    fn take_seen(&mut self) -> Vec<(u8, u32)> {
        let seen = std::mem::take(&mut self.seen);
        seen.into_iter()
            .map(|(bin, count)| (bin.number(), count))
            .collect()
    }
}

/// Admission decision for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request has its token.
    Granted,
    /// The request waits for the owner's answer.
    Waiting,
    /// The tenant is at its limit.
    Refused {
        /// Time for which the tenant has been short of tokens; zero if that is not known.
        shortage: Duration,
    },
}

/// A demand for tokens, to be sent to the owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TokenDemand {
    /// Number of the query; never reused.
    pub number: u64,
    /// Name of the tenant.
    pub tenant: String,
    /// Number of tokens requested; 0 to report the demand only.
    pub tokens: u32,
    /// Requests since the last query: numbers of bins of levels, each with a number of requests.
    pub seen: Vec<(u8, u32)>,
    /// Whether an earlier query for this tenant is still unanswered.
    pub is_repeated: bool,
}

/// Waiting requests for which an answer of the owner has decided the admission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReleasedRequests<K> {
    /// Requests that have their token.
    pub granted: Vec<K>,
    /// Requests that are rejected: the tenant is at its limit.
    pub refused: Vec<K>,
    /// Time for which the tenant has been short of tokens; zero if that is not known.
    pub shortage: Duration,
}

/// Admits requests on an entry node by their tenants' tokens. `K` identifies a request.
#[derive(Clone, Debug)]
pub struct EntryLimiter<K> {
    accounts: BTreeMap<String, Account<K>>,
    /// Tenants whose account has changed since the last call of [`Self::queries_due`].
    changed: BTreeSet<String>,
    /// Tenants with waiting requests.
    waiting: BTreeSet<String>,
    next_query: u64,
    next_sweep: Instant,
    /// Number of requests that were refused by the level of their tenant.
    refused_by_level: u64,
}

impl<K> Default for EntryLimiter<K> {
    fn default() -> Self {
        Self {
            accounts: BTreeMap::new(),
            changed: BTreeSet::new(),
            waiting: BTreeSet::new(),
            next_query: 0,
            next_sweep: Instant::default(),
            refused_by_level: 0,
        }
    }
}

impl<K: Copy> EntryLimiter<K> {
    /// Takes a token for a request of a tenant. A request without a token waits, or is refused if
    /// its level or the owner's last answer leaves it no chance.
    pub fn admit(&mut self, now: Instant, tenant: &str, level: Level, key: K) -> Admission {
        if !self.accounts.contains_key(tenant) {
            self.accounts.insert(tenant.to_owned(), Account::new(now));
        }
        let Some(account) = self.accounts.get_mut(tenant) else {
            return Admission::Waiting;
        };
        account.count_request(now, level);
        insert(&mut self.changed, tenant);
        if level < account.known_level.in_force(now) {
            self.refused_by_level += 1;
            return account.refusal(now);
        }
        if account.waiting.is_empty() && account.take(now) {
            return Admission::Granted;
        }
        let until = now + account.max_hold(now);
        let is_full = account.waiting.len() >= account.max_waiting;
        if is_full || !account.is_token_expected(now, until) {
            return account.refusal(now);
        }
        account.wait(key, level, until);
        insert(&mut self.waiting, tenant);
        Admission::Waiting
    }

    /// Returns the token of a request that was not executed and never will be.
    pub fn return_token(&mut self, now: Instant, tenant: &str) {
        if let Some(account) = self.accounts.get_mut(tenant) {
            // The token belonged to the latest grant or an earlier one. The expiry of the latest
            // grant, to which it is added, does not change.
            if let Some(tokens) = account
                .tokens
                .back_mut()
                .filter(|tokens| tokens.expires_at > now)
            {
                tokens.remaining += 1;
            }
        }
    }

    /// Returns the demands for tokens to send to the owners.
    pub fn queries_due(&mut self, now: Instant) -> Vec<TokenDemand> {
        let mut due: BTreeSet<String> = std::mem::take(&mut self.changed);
        due.extend(self.waiting.iter().cloned());
        let mut demands = Vec::new();
        for tenant in due {
            let Some(account) = self.accounts.get_mut(&tenant) else {
                continue;
            };
            if let Some(tokens) = account.tokens_to_query(now) {
                self.next_query += 1;
                let number = self.next_query;
                let is_repeated = account.record_query(now, number, tokens);
                demands.push(TokenDemand {
                    number,
                    tenant,
                    tokens,
                    seen: account.take_seen(),
                    is_repeated,
                });
            }
        }
        demands
    }

    /// Handles the owner's answer; returns the waiting requests for which it decides the admission.
    pub fn on_grant(
        &mut self,
        now: Instant,
        tenant: &str,
        number: u64,
        grant: Grant,
    ) -> Option<ReleasedRequests<K>> {
        let account = self.accounts.get_mut(tenant)?;
        // The query is no longer recorded if its answer took longer than the lifetime of a token.
        let query = account.queries.remove(&number)?;
        account.record_grant(now, query, grant);
        let granted = account.release_granted(now);
        let refused = account.release_refused(now);
        let shortage = account.known_level.shortage(now);
        if account.waiting.is_empty() {
            self.waiting.remove(tenant);
        }
        insert(&mut self.changed, tenant);
        Some(ReleasedRequests {
            granted,
            refused,
            shortage,
        })
    }

    /// Removes and returns the waiting requests of a tenant: there is no owner.
    pub fn release_all(&mut self, tenant: &str) -> Vec<K> {
        self.waiting.remove(tenant);
        let Some(account) = self.accounts.get_mut(tenant) else {
            return Vec::new();
        };
        account.queries.clear();
        let waiting = account.waiting.drain(..);
        waiting.map(|waiting| waiting.key).collect()
    }

    /// Removes and returns the requests that have waited for the maximum time.
    pub fn take_overdue(&mut self, now: Instant) -> Vec<K> {
        let mut overdue = Vec::new();
        let accounts = &mut self.accounts;
        self.waiting.retain(|tenant| {
            let Some(account) = accounts.get_mut(tenant) else {
                return false;
            };
            overdue.extend(account.release_overdue(now));
            !account.waiting.is_empty()
        });
        self.drop_idle_accounts(now);
        overdue
    }

    /// Returns when [`Self::queries_due`] or [`Self::take_overdue`] must be called next.
    pub fn next_wake(&self) -> Option<Instant> {
        let accounts = self.waiting.iter();
        let wakes = accounts.filter_map(|tenant| Some(self.accounts.get(tenant)?.next_wake()));
        wakes.min()
    }

    /// Returns the number of requests that were refused by the level of their tenant.
    pub const fn refused_by_level(&self) -> u64 {
        self.refused_by_level
    }

    fn drop_idle_accounts(&mut self, now: Instant) {
        if now < self.next_sweep {
            return;
        }
        self.next_sweep = now + IDLE_TIMEOUT;
        self.accounts.retain(|_, account| {
            !account.waiting.is_empty() || now.saturating_since(account.requested_at) < IDLE_TIMEOUT
        });
    }
}

fn insert(set: &mut BTreeSet<String>, tenant: &str) {
    if !set.contains(tenant) {
        set.insert(tenant.to_owned());
    }
}
