//! Starts each key at most once at a back end's node, and never starts a barred attempt.

use std::collections::BTreeMap;

use crate::claim::answer::RememberedAnswer;
use crate::claim::message::{GuardQuery, KeyState};
use crate::claim::settings::{
    ClaimFaults, ClaimSettings, MAX_ANSWER_BYTES, MAX_ANSWER_STORE_BYTES, MAX_DEAD_ATTEMPTS,
    MAX_GUARDED_KEYS,
};
use crate::id::{AttemptId, Fingerprint, IdempotencyKey};
use crate::message::KeyedAttempt;
use crate::policy::Bounds;
use crate::time::{Now, WallTime};

/// Decision of the dispatch guard on a keyed attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GuardVerdict {
    /// The attempt may start and is now recorded as started.
    Start,
    /// The attempt was barred, or its key may have been dropped: it has not run and never will.
    Barred,
    /// The key was already started here. This attempt has not run and never will, but the key has.
    AlreadyStarted,
    /// The guard has no room for another key: the attempt has not run and never will.
    Full,
}

/// Guard of a back end's node that starts each key at most once.
///
/// It records every key that was started in this incarnation for as long as the key can be used.
/// A full table rejects new keys instead of evicting recorded ones. Only answers are evicted early.
#[derive(Debug, Default)]
pub struct DispatchGuard {
    settings: ClaimSettings,
    keys: BTreeMap<IdempotencyKey, GuardedKey>,
    answers: AnswerStore,
    /// Keys created at this time or earlier may have been dropped; `None` if none was dropped.
    dropped_until: Option<WallTime>,
}

/// State of one key at the guard.
#[derive(Debug, Default)]
struct GuardedKey {
    started: Option<StartedAttempt>,
    barred: Vec<AttemptId>,
}

/// Attempt that started a key.
#[derive(Debug)]
struct StartedAttempt {
    attempt: AttemptId,
    fingerprint: Fingerprint,
    progress: Progress,
}

/// Progress of a started attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    Running,
    Completed,
    Failed,
}

impl DispatchGuard {
    /// Applies the bounds of the policy in force.
    pub const fn configure(&mut self, bounds: &Bounds) {
        self.settings.configure(bounds);
    }

    /// Injects faults, to prove that tests detect them.
    pub const fn inject_faults(&mut self, faults: ClaimFaults) {
        self.settings.faults = faults;
    }

    /// Returns the number of recorded keys.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Returns whether no key is recorded.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Returns the total size of the stored answers in bytes.
    pub const fn answer_bytes(&self) -> usize {
        self.answers.bytes
    }

    /// Decides whether a keyed attempt may start, and records its start.
    pub fn start(&mut self, now: Now, attempt: AttemptId, keyed: KeyedAttempt) -> GuardVerdict {
        self.expire(now);
        let faults = self.settings.faults;
        if self.is_forgotten(keyed.key) {
            return GuardVerdict::Barred;
        }
        if !self.has_room_for(keyed.key) {
            return GuardVerdict::Full;
        }
        let key = self.keys.entry(keyed.key).or_default();
        if key.started.is_some() && !faults.ignore_started {
            return GuardVerdict::AlreadyStarted;
        }
        if key.barred.contains(&attempt) && !faults.ignore_bars {
            return GuardVerdict::Barred;
        }
        key.started = Some(StartedAttempt {
            attempt,
            fingerprint: keyed.fingerprint,
            progress: Progress::Running,
        });
        GuardVerdict::Start
    }

    /// Records that a keyed attempt was refused here and must never start.
    ///
    /// If the attempt was started and the back end refused it before running it, the key counts as
    /// not started again, so that another attempt may start it.
    pub fn bar(&mut self, now: Now, attempt: AttemptId, keyed: KeyedAttempt) {
        self.expire(now);
        if self.is_forgotten(keyed.key) || !self.has_room_for(keyed.key) {
            return;
        }
        let key = self.keys.entry(keyed.key).or_default();
        let refused = key.started.as_ref().is_some_and(|started| {
            started.attempt == attempt && started.progress == Progress::Running
        });
        if refused {
            key.started = None;
        }
        key.bar(attempt);
    }

    /// Records that a started key has completed, and stores its complete answer.
    ///
    /// `None`, or an answer above [`MAX_ANSWER_BYTES`], records the completion only.
    pub fn complete(&mut self, _now: Now, key: IdempotencyKey, answer: Option<RememberedAnswer>) {
        if !self.record_end(key, Progress::Completed) {
            return;
        }
        if let Some(answer) = answer.filter(|answer| answer.bytes() <= MAX_ANSWER_BYTES) {
            self.answers.insert(key, answer);
        }
    }

    /// Records that a started key failed with an unknown outcome.
    pub fn fail(&mut self, _now: Now, key: IdempotencyKey) {
        self.record_end(key, Progress::Failed);
    }

    /// Returns the state of a key in this incarnation, and bars its holder if the query requests it
    /// and the key was not started.
    pub(crate) fn answer_query(&mut self, now: Now, query: &GuardQuery) -> KeyState {
        self.expire(now);
        if let Some(started) = self
            .keys
            .get(&query.key)
            .and_then(|key| key.started.as_ref())
        {
            return self.state_of_started(query, started);
        }
        if !query.bar {
            return KeyState::NotStarted;
        }
        if self.is_forgotten(query.key) || !self.has_room_for(query.key) {
            return KeyState::Full;
        }
        let key = self.keys.entry(query.key).or_default();
        if key.bar(query.holder) {
            KeyState::Barred
        } else {
            KeyState::Full
        }
    }

    fn state_of_started(&self, query: &GuardQuery, started: &StartedAttempt) -> KeyState {
        if started.fingerprint != query.fingerprint {
            return KeyState::OtherRequest;
        }
        match started.progress {
            Progress::Running => KeyState::Running,
            Progress::Failed => KeyState::Failed,
            Progress::Completed => match self.answers.get(query.key) {
                Some(answer) => KeyState::Completed(answer.clone()),
                None => KeyState::AnswerForgotten,
            },
        }
    }

    fn record_end(&mut self, key: IdempotencyKey, progress: Progress) -> bool {
        let running = self
            .keys
            .get_mut(&key)
            .and_then(|key| key.started.as_mut())
            .filter(|started| started.progress == Progress::Running);
        match running {
            Some(started) => {
                started.progress = progress;
                true
            }
            None => false,
        }
    }

    fn has_room_for(&self, key: IdempotencyKey) -> bool {
        self.keys.len() < MAX_GUARDED_KEYS || self.keys.contains_key(&key)
    }

    fn is_forgotten(&self, key: IdempotencyKey) -> bool {
        self.dropped_until >= Some(key.created_at())
    }

    /// Drops keys that can no longer be used at any node.
    fn expire(&mut self, now: Now) {
        let cutoff = self.settings.oldest_usable_creation(now);
        while let Some(oldest) = self.keys.first_entry() {
            let key = *oldest.key();
            if key.created_at() >= cutoff {
                return;
            }
            oldest.remove();
            self.answers.remove(key);
            self.dropped_until = self.dropped_until.max(Some(key.created_at()));
        }
    }
}

impl GuardedKey {
    /// Bars an attempt; returns whether there was room to record it.
    fn bar(&mut self, attempt: AttemptId) -> bool {
        if self.barred.contains(&attempt) {
            return true;
        }
        if self.barred.len() >= MAX_DEAD_ATTEMPTS {
            return false;
        }
        self.barred.push(attempt);
        true
    }
}

/// Stores the answers of completed keys and evicts the least recently completed first.
#[derive(Debug, Default)]
struct AnswerStore {
    answers: BTreeMap<IdempotencyKey, StoredAnswer>,
    by_sequence: BTreeMap<u64, IdempotencyKey>,
    next_sequence: u64,
    bytes: usize,
}

/// Stored answer and its position in the order of completion.
#[derive(Debug)]
struct StoredAnswer {
    sequence: u64,
    answer: RememberedAnswer,
}

impl AnswerStore {
    fn get(&self, key: IdempotencyKey) -> Option<&RememberedAnswer> {
        self.answers.get(&key).map(|kept| &kept.answer)
    }

    fn insert(&mut self, key: IdempotencyKey, answer: RememberedAnswer) {
        self.remove(key);
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.bytes += answer.bytes();
        self.by_sequence.insert(sequence, key);
        self.answers.insert(key, StoredAnswer { sequence, answer });
        while self.bytes > MAX_ANSWER_STORE_BYTES {
            let Some((_, oldest)) = self.by_sequence.pop_first() else {
                return;
            };
            self.remove(oldest);
        }
    }

    fn remove(&mut self, key: IdempotencyKey) {
        if let Some(kept) = self.answers.remove(&key) {
            self.by_sequence.remove(&kept.sequence);
            self.bytes -= kept.answer.bytes();
        }
    }
}
