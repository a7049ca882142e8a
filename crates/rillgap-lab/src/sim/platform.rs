//! The platform's store and machine list.

use std::collections::BTreeMap;

use rillgap_core::id::NodeName;
use rillgap_core::store::{
    Machine, ModifyIndex, StoreKey, StoreObject, StoreReply, StoreRequest, StoreRequestId,
};

use super::event::HostIndex;

/// Key under which queries of the machine list wait.
const MACHINES_KEY: &str = "machines";

/// A blocking query that waits for a change.
#[derive(Clone, Debug)]
pub struct Waiter {
    /// Identifies the query.
    pub id: u64,
    /// Who asked.
    pub host: HostIndex,
    /// Run of who asked.
    pub run: u32,
    /// Identifies the reply.
    pub request: StoreRequestId,
    /// What was asked.
    pub body: StoreRequest,
}

/// What the platform makes of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Handling {
    /// It replies at once.
    Reply(StoreReply),
    /// The query waits.
    Waits,
}

/// State of the platform.
#[derive(Debug, Default)]
pub struct Platform {
    objects: BTreeMap<StoreKey, StoreObject>,
    stale: Option<BTreeMap<StoreKey, StoreObject>>,
    machines: BTreeMap<NodeName, bool>,
    machines_index: ModifyIndex,
    last_index: u64,
    waiters: Vec<Waiter>,
    next_waiter: u64,
    /// Number of faults that keep the store from answering.
    pub down: u16,
    /// Additional latency in microseconds.
    pub extra_micros: u64,
    /// Number of faults that lose the answers of writes.
    pub loses_answers: u16,
    /// Number of faults that hold the machine list.
    pub list_stuck: u16,
    /// Changes of the machine list that wait for such a fault's end.
    pub held_entries: Vec<(NodeName, Option<bool>)>,
}

impl Platform {
    /// Serves reads from a copy of this moment, or from the truth again.
    pub fn set_stale(&mut self, stale: bool) {
        self.stale = stale.then(|| self.objects.clone());
    }

    /// Handles a request; a query that waits is recorded with [`Self::wait`].
    pub fn handle(&mut self, request: &StoreRequest) -> Handling {
        match request {
            StoreRequest::Read { key, after } => {
                let object = self.read(key);
                match after {
                    Some(index) if object.index <= *index => Handling::Waits,
                    _ => Handling::Reply(StoreReply::Object(object)),
                }
            }
            StoreRequest::CompareAndSet {
                key,
                expected,
                value,
            } => Handling::Reply(self.compare_and_set(key, *expected, value)),
            StoreRequest::Machines { after } => match after {
                Some(index) if self.machines_index <= *index => Handling::Waits,
                _ => Handling::Reply(self.list_machines()),
            },
        }
    }

    /// Answers a query whose wait is over with the present state.
    pub fn answer_now(&self, request: &StoreRequest) -> StoreReply {
        match request {
            StoreRequest::Read { key, .. } => StoreReply::Object(self.read(key)),
            StoreRequest::Machines { .. } => self.list_machines(),
            StoreRequest::CompareAndSet { .. } => StoreReply::Failed,
        }
    }

    /// Lets a query wait; returns its identifier.
    pub fn wait(
        &mut self,
        host: HostIndex,
        run: u32,
        request: StoreRequestId,
        body: StoreRequest,
    ) -> u64 {
        self.next_waiter += 1;
        self.waiters.push(Waiter {
            id: self.next_waiter,
            host,
            run,
            request,
            body,
        });
        self.next_waiter
    }

    /// Ends the wait of one query.
    pub fn take_waiter(&mut self, id: u64) -> Option<Waiter> {
        let position = self.waiters.iter().position(|waiter| waiter.id == id)?;
        Some(self.waiters.remove(position))
    }

    /// Ends the wait of a query that its node has given up.
    pub fn take_waiter_of(
        &mut self,
        host: HostIndex,
        run: u32,
        request: StoreRequestId,
    ) -> Option<Waiter> {
        let is_it =
            |waiter: &Waiter| waiter.host == host && waiter.run == run && waiter.request == request;
        let position = self.waiters.iter().position(is_it)?;
        Some(self.waiters.remove(position))
    }

    /// Takes out all queries whose wait has an answer now.
    pub fn take_ready(&mut self) -> Vec<(Waiter, StoreReply)> {
        let waiters = std::mem::take(&mut self.waiters);
        let mut ready = Vec::new();
        for waiter in waiters {
            match self.handle(&waiter.body) {
                Handling::Reply(reply) => ready.push((waiter, reply)),
                Handling::Waits => self.waiters.push(waiter),
            }
        }
        ready
    }

    /// Changes an entry of the machine list; `None` removes it.
    pub fn set_machine(&mut self, node: NodeName, leaving: Option<bool>) {
        if self.list_stuck > 0 {
            self.held_entries.push((node, leaving));
            return;
        }
        match leaving {
            Some(leaving) => self.machines.insert(node, leaving),
            None => self.machines.remove(&node),
        };
        self.machines_index = self.next_index();
    }

    /// Returns the value of an object as it truly is.
    pub fn value(&self, key: &StoreKey) -> Option<&[u8]> {
        self.objects.get(key)?.value.as_deref()
    }

    fn read(&self, key: &StoreKey) -> StoreObject {
        let objects = self.stale.as_ref().unwrap_or(&self.objects);
        objects.get(key).cloned().unwrap_or(StoreObject {
            index: ModifyIndex(0),
            value: None,
        })
    }

    fn compare_and_set(
        &mut self,
        key: &StoreKey,
        expected: ModifyIndex,
        value: &[u8],
    ) -> StoreReply {
        let present = self
            .objects
            .get(key)
            .map_or(ModifyIndex(0), |object| object.index);
        if present != expected {
            return StoreReply::Conflict;
        }
        let index = self.next_index();
        let object = StoreObject {
            index,
            value: Some(value.to_vec()),
        };
        self.objects.insert(key.clone(), object);
        StoreReply::Written(index)
    }

    fn list_machines(&self) -> StoreReply {
        let machines = self.machines.iter().map(|(node, leaving)| Machine {
            node: node.clone(),
            leaving: *leaving,
        });
        StoreReply::Machines {
            index: self.machines_index,
            machines: machines.collect(),
        }
    }

    fn next_index(&mut self) -> ModifyIndex {
        self.last_index += 1;
        ModifyIndex(self.last_index)
    }
}

/// Returns a short description of a request, for the timeline.
pub fn describe(request: &StoreRequest) -> String {
    match request {
        StoreRequest::Read { key, after } => format!("read {} after {after:?}", key.0),
        StoreRequest::CompareAndSet { key, expected, .. } => {
            format!("compare-and-set {} at {}", key.0, expected.0)
        }
        StoreRequest::Machines { after } => format!("{MACHINES_KEY} after {after:?}"),
    }
}
