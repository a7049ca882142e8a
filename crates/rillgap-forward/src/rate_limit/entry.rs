//! Tokens at the node where requests come in.
//!
//! A request of a tenant with a limit needs a token. Tokens are asked for ahead of need, by the rate at
//! which the tenant's requests have come in here; a request that finds none waits for the answer of
//! the bucket's owner, which takes a round trip.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use rillgap_core::time::Instant;

use super::TOKEN_LIFE;

/// Longest time for which a request waits for tokens: several round trips between zones and the
/// opening of a link.
const LONGEST_HOLD: Duration = Duration::from_millis(250);
/// Time after which a query without an answer is made again.
const QUERY_PATIENCE: Duration = Duration::from_millis(80);
/// Time of demand for which tokens are asked ahead; below their life, so that few are void.
const AHEAD: Duration = Duration::from_millis(200);
/// Time over which the rate of a tenant's requests is averaged.
const RATE_MEMORY: Duration = Duration::from_secs(1);
/// Time without requests after which a tenant is forgotten.
const IDLE: Duration = Duration::from_secs(30);
/// Shortest time after which a refused caller is asked back, in milliseconds.
const LEAST_RETRY_MILLIS: u64 = 200;

/// Tokens of one grant that are left.
#[derive(Clone, Copy, Debug)]
struct Tokens {
    void_at: Instant,
    left: u32,
}

/// What a node knows of one tenant.
#[derive(Clone, Debug)]
struct Account<K> {
    tokens: VecDeque<Tokens>,
    waiting: VecDeque<(K, Instant)>,
    /// Queries without an answer, by their numbers; those older than the life of a token are dropped.
    queries: BTreeMap<u64, Instant>,
    /// Since when queries have to be repeated.
    silent_since: Option<Instant>,
    /// The owner has nothing before this time.
    empty_until: Instant,
    rate: f64,
    requested_at: Instant,
}

impl<K> Account<K> {
    fn new(now: Instant) -> Self {
        Self {
            tokens: VecDeque::new(),
            waiting: VecDeque::new(),
            queries: BTreeMap::new(),
            silent_since: None,
            empty_until: now,
            rate: 0.0,
            requested_at: now,
        }
    }

    fn count_request(&mut self, now: Instant) {
        let memory = RATE_MEMORY.as_secs_f64();
        let elapsed = now.saturating_since(self.requested_at).as_secs_f64();
        self.rate = self.rate * (-elapsed / memory).exp() + 1.0 / memory;
        self.requested_at = now;
    }

    /// Grants may come out of the order in which they were asked for.
    fn drop_void(&mut self, now: Instant) {
        self.tokens.retain(|tokens| tokens.void_at > now);
    }

    fn take(&mut self, now: Instant) -> bool {
        self.drop_void(now);
        // Grants that are used up stay until they are void: a token may be given back.
        let Some(tokens) = self.tokens.iter_mut().find(|tokens| tokens.left > 0) else {
            return false;
        };
        tokens.left -= 1;
        true
    }

    /// Notes that the owner is asked; returns whether an earlier query has no answer yet.
    fn ask(&mut self, now: Instant, number: u64) -> bool {
        let is_repeated = !self.queries.is_empty();
        if is_repeated {
            self.silent_since.get_or_insert(now);
        }
        self.queries
            .retain(|_, at| now.saturating_since(*at) < TOKEN_LIFE);
        self.queries.insert(number, now);
        is_repeated
    }

    /// Returns how long a request may wait for tokens: once the owner has been silent for a while,
    /// only as long as it takes to hear of another one.
    fn longest_hold(&self, now: Instant) -> Duration {
        let silence = self.silent_since.map(|since| now.saturating_since(since));
        match silence {
            Some(silence) if silence >= LONGEST_HOLD => QUERY_PATIENCE,
            _ => LONGEST_HOLD,
        }
    }

    fn left(&self) -> u32 {
        self.tokens.iter().map(|tokens| tokens.left).sum()
    }

    /// Returns how many tokens to ask for now, if any.
    fn wanted(&mut self, now: Instant) -> Option<u32> {
        let last = self.queries.values().next_back();
        let is_asked = last.is_some_and(|at| now.saturating_since(*at) < QUERY_PATIENCE);
        if is_asked || now < self.empty_until {
            return None;
        }
        self.drop_void(now);
        let waiting = u32::try_from(self.waiting.len()).unwrap_or(u32::MAX);
        let ahead = (self.rate * AHEAD.as_secs_f64()) as u32;
        let left = self.left();
        let is_due = waiting > 0 || left * 2 < ahead;
        is_due.then(|| (waiting + ahead).saturating_sub(left).max(1))
    }
}

/// Whether a request may go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It has its token.
    Granted,
    /// It waits for the owner's answer.
    Waiting,
    /// The limit is reached.
    Refused {
        /// Time after which there may be room, in milliseconds.
        retry_after_millis: u32,
    },
}

/// Tokens to ask the owner for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TokenDemand {
    /// Number of the query, used once.
    pub number: u64,
    /// Tenant.
    pub tenant: String,
    /// Tokens.
    pub tokens: u32,
    /// Whether an earlier query has no answer yet.
    pub is_repeated: bool,
}

/// Requests that have waited and may go on, or are refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Released<K> {
    /// May go on.
    pub granted: Vec<K>,
    /// Are refused: the limit is reached.
    pub refused: Vec<K>,
    /// Time after which there may be room for those, in milliseconds.
    pub retry_after_millis: u32,
}

/// Tokens of a node, by tenant. `K` identifies a request.
#[derive(Clone, Debug)]
pub struct EntryLimiter<K> {
    accounts: BTreeMap<String, Account<K>>,
    /// Tenants whose account has changed since the last look.
    touched: BTreeSet<String>,
    /// Tenants with requests that wait.
    waiting: BTreeSet<String>,
    next_query: u64,
    next_sweep: Instant,
}

impl<K> Default for EntryLimiter<K> {
    fn default() -> Self {
        Self {
            accounts: BTreeMap::new(),
            touched: BTreeSet::new(),
            waiting: BTreeSet::new(),
            next_query: 0,
            next_sweep: Instant::default(),
        }
    }
}

impl<K: Copy> EntryLimiter<K> {
    /// Takes a token for a request of a tenant.
    pub fn admit(&mut self, now: Instant, tenant: &str, key: K) -> Admission {
        if !self.accounts.contains_key(tenant) {
            self.accounts.insert(tenant.to_owned(), Account::new(now));
        }
        let Some(account) = self.accounts.get_mut(tenant) else {
            return Admission::Waiting;
        };
        account.count_request(now);
        let is_granted = account.waiting.is_empty() && account.take(now);
        if !is_granted && now < account.empty_until {
            return Admission::Refused {
                retry_after_millis: retry_after(now, account.empty_until),
            };
        }
        if !is_granted {
            let until = now + account.longest_hold(now);
            account.waiting.push_back((key, until));
            insert(&mut self.waiting, tenant);
        }
        insert(&mut self.touched, tenant);
        if is_granted {
            Admission::Granted
        } else {
            Admission::Waiting
        }
    }

    /// Gives back the token of a request that has not run and never will.
    pub fn return_token(&mut self, now: Instant, tenant: &str) {
        if let Some(account) = self.accounts.get_mut(tenant) {
            // It was taken out of the youngest grant or an older one; its life is not made longer.
            if let Some(tokens) = account
                .tokens
                .back_mut()
                .filter(|tokens| tokens.void_at > now)
            {
                tokens.left += 1;
            }
        }
    }

    /// Returns what to ask the owners for.
    pub fn queries_due(&mut self, now: Instant) -> Vec<TokenDemand> {
        let mut due: BTreeSet<String> = std::mem::take(&mut self.touched);
        due.extend(self.waiting.iter().cloned());
        let mut wanted = Vec::new();
        for tenant in due {
            let Some(account) = self.accounts.get_mut(&tenant) else {
                continue;
            };
            if let Some(tokens) = account.wanted(now) {
                self.next_query += 1;
                let number = self.next_query;
                let is_repeated = account.ask(now, number);
                wanted.push(TokenDemand {
                    number,
                    tenant,
                    tokens,
                    is_repeated,
                });
            }
        }
        wanted
    }

    /// Takes in the owner's answer; returns the requests that need not wait any more.
    pub fn on_grant(
        &mut self,
        now: Instant,
        tenant: &str,
        number: u64,
        tokens: u32,
        wait_millis: u32,
    ) -> Option<Released<K>> {
        let account = self.accounts.get_mut(tenant)?;
        // Of an answer that took longer than a token lives, the query is forgotten.
        let asked_at = account.queries.remove(&number)?;
        account.silent_since = None;
        if tokens > 0 {
            account.tokens.push_back(Tokens {
                void_at: asked_at + TOKEN_LIFE,
                left: tokens,
            });
        }
        if wait_millis > 0 {
            account.empty_until = now + Duration::from_millis(u64::from(wait_millis));
        }
        let mut released = Released {
            granted: Vec::new(),
            refused: Vec::new(),
            retry_after_millis: retry_after(now, account.empty_until),
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
        insert(&mut self.touched, tenant);
        Some(released)
    }

    /// Returns the requests of a tenant that wait, and lets them go: there is no owner.
    pub fn release_all(&mut self, tenant: &str) -> Vec<K> {
        self.waiting.remove(tenant);
        let Some(account) = self.accounts.get_mut(tenant) else {
            return Vec::new();
        };
        account.queries.clear();
        account.waiting.drain(..).map(|(key, _)| key).collect()
    }

    /// Returns the requests that have waited for too long.
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
        self.forget_idle(now);
        overdue
    }

    /// Returns when [`Self::queries_due`] or [`Self::take_overdue`] must be called next.
    pub fn next_wake(&self) -> Option<Instant> {
        let wakes = self.waiting.iter().filter_map(|tenant| {
            let account = self.accounts.get(tenant)?;
            let overdue = account.waiting.front().map(|(_, until)| *until);
            let last = account.queries.values().next_back();
            let again = last.map(|at| *at + QUERY_PATIENCE);
            overdue.into_iter().chain(again).min()
        });
        wakes.min()
    }

    fn forget_idle(&mut self, now: Instant) {
        if now < self.next_sweep {
            return;
        }
        self.next_sweep = now + IDLE;
        self.accounts.retain(|_, account| {
            !account.waiting.is_empty() || now.saturating_since(account.requested_at) < IDLE
        });
    }
}

fn insert(set: &mut BTreeSet<String>, tenant: &str) {
    if !set.contains(tenant) {
        set.insert(tenant.to_owned());
    }
}

fn retry_after(now: Instant, empty_until: Instant) -> u32 {
    let millis = empty_until.saturating_since(now).as_millis();
    let millis = u64::try_from(millis).unwrap_or(u64::MAX);
    u32::try_from(millis.max(LEAST_RETRY_MILLIS)).unwrap_or(u32::MAX)
}
