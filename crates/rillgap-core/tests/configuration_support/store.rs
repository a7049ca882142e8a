//! Simulates the platform's store, with the faults of [`StoreMode`].

use std::collections::BTreeMap;
use std::time::Duration;

use rillgap_core::store::{
    Machine, ModifyIndex, StoreKey, StoreObject, StoreReply, StoreRequest, StoreRequestId,
};

use super::NodeRun;

/// How the store handles requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreMode {
    /// Replies to all requests.
    #[default]
    Up,
    /// Replies to all requests with a failure.
    Down,
    /// Replies to no request.
    Silent,
    /// Executes writes of the policy, but reports them as failed.
    LosesReplies,
    /// Reports writes of the policy as failed, but executes them later.
    WritesLate,
}

/// A reply and the delay after which the node receives it.
#[derive(Debug)]
pub struct DelayedReply {
    pub run: NodeRun,
    pub request: StoreRequestId,
    pub reply: StoreReply,
    pub delay: Duration,
}

#[derive(Debug)]
struct Watcher {
    run: NodeRun,
    request: StoreRequestId,
    key: Option<StoreKey>,
    after: ModifyIndex,
}

/// The simulated store: versioned objects and the blocking reads that wait for a change.
#[derive(Debug)]
pub struct Store {
    pub mode: StoreMode,
    pub delay: Duration,
    pub machines: Vec<Machine>,
    /// Number of writes that changed the value of the policy object.
    pub policy_changes: u64,
    objects: BTreeMap<StoreKey, StoreObject>,
    watchers: Vec<Watcher>,
    index: u64,
    snapshot: Option<StoreObject>,
    stale: Option<StoreObject>,
    is_last_write_late: bool,
}

impl Default for Store {
    fn default() -> Self {
        Self {
            mode: StoreMode::Up,
            delay: Duration::from_millis(3),
            machines: Vec::new(),
            policy_changes: 0,
            objects: BTreeMap::new(),
            watchers: Vec::new(),
            index: 1,
            snapshot: None,
            stale: None,
            is_last_write_late: false,
        }
    }
}

impl Store {
    /// Takes a snapshot of the policy object for [`Self::begin_stale_reads`].
    pub fn snapshot_policy(&mut self) {
        self.snapshot = Some(self.object(&policy_key()));
    }

    /// Makes reads of the policy return the snapshot.
    pub fn begin_stale_reads(&mut self) {
        self.stale = self.snapshot.clone();
    }

    pub fn end_stale_reads(&mut self) {
        self.stale = None;
    }

    /// Returns whether the last request is a write to execute later, and clears that mark.
    pub fn takes_effect_late(&mut self) -> bool {
        std::mem::take(&mut self.is_last_write_late)
    }

    pub fn request(
        &mut self,
        run: NodeRun,
        request: StoreRequestId,
        body: StoreRequest,
    ) -> Vec<DelayedReply> {
        if self.mode == StoreMode::Silent {
            return Vec::new();
        }
        if self.mode == StoreMode::Down {
            return vec![self.reply(run, request, StoreReply::Failed)];
        }
        match body {
            StoreRequest::Read { key, after } => self.read(run, request, Some(key), after),
            StoreRequest::Machines { after } => self.read(run, request, None, after),
            StoreRequest::CompareAndSet {
                key,
                expected,
                value,
            } => self.compare_and_set(run, request, key, expected, value),
        }
    }

    /// Executes a write that was reported as failed.
    pub fn write_late(&mut self, body: StoreRequest) -> Vec<DelayedReply> {
        if let StoreRequest::CompareAndSet {
            key,
            expected,
            value,
        } = body
        {
            self.write(key, expected, value);
        }
        self.answer_watchers()
    }

    fn read(
        &mut self,
        run: NodeRun,
        request: StoreRequestId,
        key: Option<StoreKey>,
        after: Option<ModifyIndex>,
    ) -> Vec<DelayedReply> {
        let after = after.unwrap_or_default();
        if after > ModifyIndex(0) && self.index_of(key.as_ref()) <= after {
            self.watchers.push(Watcher {
                run,
                request,
                key,
                after,
            });
            return Vec::new();
        }
        let reply = self.current(key.as_ref());
        vec![self.reply(run, request, reply)]
    }

    fn compare_and_set(
        &mut self,
        run: NodeRun,
        request: StoreRequestId,
        key: StoreKey,
        expected: ModifyIndex,
        value: Vec<u8>,
    ) -> Vec<DelayedReply> {
        let is_policy = key == policy_key();
        if is_policy && self.mode == StoreMode::WritesLate {
            self.is_last_write_late = true;
            return vec![self.reply(run, request, StoreReply::Failed)];
        }
        let mut reply = self.write(key, expected, value);
        if is_policy && self.mode == StoreMode::LosesReplies {
            reply = StoreReply::Failed;
        }
        let mut replies = vec![self.reply(run, request, reply)];
        replies.extend(self.answer_watchers());
        replies
    }

    fn write(&mut self, key: StoreKey, expected: ModifyIndex, value: Vec<u8>) -> StoreReply {
        if self.object(&key).index != expected {
            return StoreReply::Conflict;
        }
        if key == policy_key() && self.object(&key).value.as_ref() != Some(&value) {
            self.policy_changes += 1;
        }
        self.index += 1;
        let index = ModifyIndex(self.index);
        let value = Some(value);
        self.objects.insert(key, StoreObject { index, value });
        StoreReply::Written(index)
    }

    fn answer_watchers(&mut self) -> Vec<DelayedReply> {
        let watchers = std::mem::take(&mut self.watchers);
        let (due, waiting) = watchers
            .into_iter()
            .partition(|watcher| self.index_of(watcher.key.as_ref()) > watcher.after);
        self.watchers = waiting;
        let due: Vec<Watcher> = due;
        due.into_iter()
            .map(|watcher| {
                let reply = self.current(watcher.key.as_ref());
                self.reply(watcher.run, watcher.request, reply)
            })
            .collect()
    }

    fn reply(&self, run: NodeRun, request: StoreRequestId, reply: StoreReply) -> DelayedReply {
        DelayedReply {
            run,
            request,
            reply,
            delay: self.delay,
        }
    }

    fn index_of(&self, key: Option<&StoreKey>) -> ModifyIndex {
        key.map_or(ModifyIndex(1), |key| self.readable(key).index)
    }

    fn current(&self, key: Option<&StoreKey>) -> StoreReply {
        match key {
            Some(key) => StoreReply::Object(self.readable(key)),
            None => StoreReply::Machines {
                index: ModifyIndex(1),
                machines: self.machines.clone(),
            },
        }
    }

    fn readable(&self, key: &StoreKey) -> StoreObject {
        match &self.stale {
            Some(stale) if *key == policy_key() => stale.clone(),
            _ => self.object(key),
        }
    }

    fn object(&self, key: &StoreKey) -> StoreObject {
        self.objects.get(key).cloned().unwrap_or(StoreObject {
            index: ModifyIndex(0),
            value: None,
        })
    }
}

fn policy_key() -> StoreKey {
    StoreKey(rillgap_core::configuration::context::POLICY_KEY.to_owned())
}
