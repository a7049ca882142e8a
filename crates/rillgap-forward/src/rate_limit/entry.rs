//! Admission of tenants' requests on the entry node, by tokens.
//!
//! A request of a tenant with a limit needs a token. Tokens are prefetched from the owner of the
//! tenant's bucket, based on the rate at which this node receives the tenant's requests. A request
//! that finds no token waits for a reply of the owner, which takes a round trip.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use rillgap_core::time::Instant;

use super::TOKEN_LIFETIME;

/// Maximum time for which a request waits for tokens: several round trips between zones and the
/// time to open a link.
const MAX_HOLD: Duration = Duration::from_millis(250);
/// Time after which an unanswered query is sent again.
const QUERY_TIMEOUT: Duration = Duration::from_millis(80);
/// Period of expected demand for which tokens are prefetched; shorter than their lifetime, so that
/// few expire unused.
const PREFETCH_HORIZON: Duration = Duration::from_millis(200);
/// Time constant of the decaying average of a tenant's request rate.
const RATE_TIME_CONSTANT: Duration = Duration::from_secs(1);
/// Time without requests after which the account of a tenant is dropped.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Minimum retry delay that is returned to a rejected caller, in milliseconds.
const MIN_RETRY_AFTER_MILLIS: u64 = 200;

/// Unused tokens of one grant.
#[derive(Clone, Copy, Debug)]
struct TokenBatch {
    expires_at: Instant,
    remaining: u32,
}

/// State of one tenant on this node.
#[derive(Clone, Debug)]
struct Account<K> {
    tokens: VecDeque<TokenBatch>,
    waiting: VecDeque<(K, Instant)>,
    /// When each unanswered query was sent, by number. Queries older than the lifetime of a token
    /// are dropped.
    queries: BTreeMap<u64, Instant>,
    /// When a query was first repeated because its predecessors had no answer; `None` once an
    /// answer has arrived.
    unanswered_since: Option<Instant>,
    /// Time before which the owner has no tokens to grant.
    exhausted_until: Instant,
    rate: f64,
    requested_at: Instant,
}

impl<K> Account<K> {
    fn new(now: Instant) -> Self {
        Self {
            tokens: VecDeque::new(),
            waiting: VecDeque::new(),
            queries: BTreeMap::new(),
            unanswered_since: None,
            exhausted_until: now,
            rate: 0.0,
            requested_at: now,
        }
    }

    fn count_request(&mut self, now: Instant) {
        let time_constant = RATE_TIME_CONSTANT.as_secs_f64();
        let elapsed = now.saturating_since(self.requested_at).as_secs_f64();
        self.rate = self.rate * (-elapsed / time_constant).exp() + 1.0 / time_constant;
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
    fn record_query(&mut self, now: Instant, number: u64) -> bool {
        let is_repeated = !self.queries.is_empty();
        if is_repeated {
            self.unanswered_since.get_or_insert(now);
        }
        self.queries
            .retain(|_, at| now.saturating_since(*at) < TOKEN_LIFETIME);
        self.queries.insert(number, now);
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

    fn remaining(&self) -> u32 {
        self.tokens.iter().map(|tokens| tokens.remaining).sum()
    }

    /// Returns how many tokens to query now; `None` if no query is due.
    fn tokens_to_query(&mut self, now: Instant) -> Option<u32> {
        let latest_query = self.queries.values().next_back();
        let is_query_outstanding =
            latest_query.is_some_and(|at| now.saturating_since(*at) < QUERY_TIMEOUT);
        if is_query_outstanding || now < self.exhausted_until {
            return None;
        }
        self.drop_expired(now);
        let waiting = u32::try_from(self.waiting.len()).unwrap_or(u32::MAX);
        let prefetch_target = (self.rate * PREFETCH_HORIZON.as_secs_f64()) as u32;
        let remaining = self.remaining();
        let is_due = waiting > 0 || remaining * 2 < prefetch_target;
        is_due.then(|| (waiting + prefetch_target).saturating_sub(remaining).max(1))
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
        /// Time after which tokens may be available again, in milliseconds.
        retry_after_millis: u32,
    },
}

/// A demand for tokens, to be sent to the owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TokenDemand {
    /// Number of the query; never reused.
    pub number: u64,
    /// Name of the tenant.
    pub tenant: String,
    /// Number of tokens requested.
    pub tokens: u32,
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
    /// Time after which tokens may be available again for the rejected requests, in milliseconds.
    pub retry_after_millis: u32,
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
}

impl<K> Default for EntryLimiter<K> {
    fn default() -> Self {
        Self {
            accounts: BTreeMap::new(),
            changed: BTreeSet::new(),
            waiting: BTreeSet::new(),
            next_query: 0,
            next_sweep: Instant::default(),
        }
    }
}

impl<K: Copy> EntryLimiter<K> {
    /// Takes a token for a request of a tenant. A request without a token waits, or is rejected
    /// while the owner has none to grant.
    pub fn admit(&mut self, now: Instant, tenant: &str, key: K) -> Admission {
        if !self.accounts.contains_key(tenant) {
            self.accounts.insert(tenant.to_owned(), Account::new(now));
        }
        let Some(account) = self.accounts.get_mut(tenant) else {
            return Admission::Waiting;
        };
        account.count_request(now);
        let is_granted = account.waiting.is_empty() && account.take(now);
        if !is_granted && now < account.exhausted_until {
            return Admission::Refused {
                retry_after_millis: retry_after(now, account.exhausted_until),
            };
        }
        if !is_granted {
            let until = now + account.max_hold(now);
            account.waiting.push_back((key, until));
            insert(&mut self.waiting, tenant);
        }
        insert(&mut self.changed, tenant);
        if is_granted {
            Admission::Granted
        } else {
            Admission::Waiting
        }
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
                let is_repeated = account.record_query(now, number);
                demands.push(TokenDemand {
                    number,
                    tenant,
                    tokens,
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
        tokens: u32,
        wait_millis: u32,
    ) -> Option<ReleasedRequests<K>> {
        let account = self.accounts.get_mut(tenant)?;
        // The query is no longer recorded if its answer took longer than the lifetime of a token.
        let queried_at = account.queries.remove(&number)?;
        account.unanswered_since = None;
        if tokens > 0 {
            account.tokens.push_back(TokenBatch {
                expires_at: queried_at + TOKEN_LIFETIME,
                remaining: tokens,
            });
        }
        if wait_millis > 0 {
            account.exhausted_until = now + Duration::from_millis(u64::from(wait_millis));
        }
        let mut released = ReleasedRequests {
            granted: Vec::new(),
            refused: Vec::new(),
            retry_after_millis: retry_after(now, account.exhausted_until),
        };
        while !account.waiting.is_empty() && account.take(now) {
            released
                .granted
                .extend(account.waiting.pop_front().map(|(key, _)| key));
        }
        if wait_millis > 0 {
            let refused = account.waiting.drain(..).map(|(key, _)| key);
            released.refused.extend(refused);
        }
        if account.waiting.is_empty() {
            self.waiting.remove(tenant);
        }
        insert(&mut self.changed, tenant);
        Some(released)
    }

    /// Removes and returns the waiting requests of a tenant: there is no owner.
    pub fn release_all(&mut self, tenant: &str) -> Vec<K> {
        self.waiting.remove(tenant);
        let Some(account) = self.accounts.get_mut(tenant) else {
            return Vec::new();
        };
        account.queries.clear();
        account.waiting.drain(..).map(|(key, _)| key).collect()
    }

    /// Removes and returns the requests that have waited for the maximum time.
    pub fn take_overdue(&mut self, now: Instant) -> Vec<K> {
        let mut overdue = Vec::new();
        let accounts = &mut self.accounts;
        self.waiting.retain(|tenant| {
            let Some(account) = accounts.get_mut(tenant) else {
                return false;
            };
            while let Some((key, _)) = account.waiting.pop_front_if(|(_, until)| *until <= now) {
                overdue.push(key);
            }
            !account.waiting.is_empty()
        });
        self.drop_idle_accounts(now);
        overdue
    }

    /// Returns when [`Self::queries_due`] or [`Self::take_overdue`] must be called next.
    pub fn next_wake(&self) -> Option<Instant> {
        let wakes = self.waiting.iter().filter_map(|tenant| {
            let account = self.accounts.get(tenant)?;
            let overdue = account.waiting.front().map(|(_, until)| *until);
            let latest_query = account.queries.values().next_back();
            let query_again_at = latest_query.map(|at| *at + QUERY_TIMEOUT);
            overdue.into_iter().chain(query_again_at).min()
        });
        wakes.min()
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

fn retry_after(now: Instant, exhausted_until: Instant) -> u32 {
    let millis = exhausted_until.saturating_since(now).as_millis();
    let millis = u64::try_from(millis).unwrap_or(u64::MAX);
    u32::try_from(millis.max(MIN_RETRY_AFTER_MILLIS)).unwrap_or(u32::MAX)
}
