//! Requests to the platform's store, their timeouts and backoff, and the last known store state.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::action::{Action, Outbox};
use crate::id::{NodeId, ViewVersion};
use crate::store::{Machine, ModifyIndex, StoreKey, StoreRequest, StoreRequestId};
use crate::time::Instant;

use super::change::StoredView;
use super::timing::{MAX_STORE_BACKOFF, MIN_STORE_BACKOFF, STORE_TIMEOUT, STORE_WATCH_TIMEOUT};

/// Key of the view object in the store.
pub const VIEW_KEY: &str = "rillgap/view";

/// Request identifiers with this bit set belong to configuration, all others to membership.
const CONFIGURATION_BIT: u64 = 1 << 63;

/// Purpose of a store request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Purpose {
    /// Waits for the next change of the view.
    WatchView,
    /// Reads the view at once.
    ReadView,
    /// Writes a view.
    WriteView,
    /// Waits for the next change of the machine list.
    WatchMachines,
}

/// Modify index and version of the view in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct StoredVersion {
    pub index: ModifyIndex,
    pub version: ViewVersion,
}

/// Exponential backoff with jitter between failing requests, from [`MIN_STORE_BACKOFF`] to
/// [`MAX_STORE_BACKOFF`].
#[derive(Debug, Default)]
pub(super) struct Backoff {
    delay: Duration,
    until: Option<Instant>,
}

impl Backoff {
    /// Returns whether the next request may be sent.
    pub fn is_over(&self, now: Instant) -> bool {
        self.until.is_none_or(|until| now >= until)
    }

    /// Records a failure and doubles the delay.
    pub fn failed(&mut self, now: Instant, random: &mut ChaCha8Rng) {
        self.delay = (self.delay * 2).clamp(MIN_STORE_BACKOFF, MAX_STORE_BACKOFF);
        self.until = Some(now + self.delay.mul_f64(random.random_range(0.5..1.0)));
    }

    /// Records a success, after which the next request may be sent at once.
    pub fn succeeded(&mut self) {
        *self = Self::default();
    }

    /// Records a success after which the next request may be sent after `pause`.
    pub fn pause(&mut self, now: Instant, pause: Duration) {
        self.delay = Duration::ZERO;
        self.until = Some(now + pause);
    }
}

/// Store client of membership at one node.
#[derive(Debug, Default)]
pub(super) struct StoreClient {
    next_request: u64,
    /// Purpose and deadline of each request in flight.
    pending: BTreeMap<StoreRequestId, (Purpose, Instant)>,
    /// Last known state of the view in the store; `None` before the first read and after a write
    /// whose result is unknown.
    pub stored: Option<StoredVersion>,
    pub watch_backoff: Backoff,
    pub machines_backoff: Backoff,
    pub write_backoff: Backoff,
    machines_index: Option<ModifyIndex>,
    /// Last known machine list; only the leaving machines at a node that does not read the list.
    pub machines: Vec<Machine>,
    /// Time since when this node has been a store reader; `None` if it is not one.
    pub reading_since: Option<Instant>,
    /// Content of the write in flight.
    pub writing: Option<StoredView>,
}

impl StoreClient {
    /// Returns whether a request belongs to membership.
    pub fn is_own(request: StoreRequestId) -> bool {
        request.0 & CONFIGURATION_BIT == 0
    }

    /// Returns whether a request for `purpose` is in flight.
    pub fn is_pending(&self, purpose: Purpose) -> bool {
        self.pending
            .values()
            .any(|(pending, _)| *pending == purpose)
    }

    /// Removes an answered request and returns its purpose.
    pub fn take(&mut self, request: StoreRequestId) -> Option<Purpose> {
        self.pending.remove(&request).map(|(purpose, _)| purpose)
    }

    /// Removes the requests that have timed out and returns their purposes.
    pub fn take_expired(&mut self, now: Instant) -> Vec<Purpose> {
        let expired = |deadline: Instant| now >= deadline;
        let purposes = self
            .pending
            .values()
            .filter(|(_, deadline)| expired(*deadline))
            .map(|(purpose, _)| *purpose)
            .collect();
        self.pending.retain(|_, (_, deadline)| !expired(*deadline));
        purposes
    }

    /// Reads the view: at once, or for [`Purpose::WatchView`] when it changes after the last known
    /// modify index.
    pub fn read_view(&mut self, now: Instant, purpose: Purpose, out: &mut Outbox) {
        let after = self
            .stored
            .filter(|_| purpose == Purpose::WatchView)
            .map(|stored| stored.index);
        let body = StoreRequest::Read {
            key: view_key(),
            after,
        };
        self.request(now, purpose, body, out);
    }

    /// Writes a view by compare-and-set against the last known modify index.
    pub fn write_view(&mut self, now: Instant, stored: StoredView, out: &mut Outbox) {
        let expected = self.stored.map_or(ModifyIndex(0), |stored| stored.index);
        let body = StoreRequest::CompareAndSet {
            key: view_key(),
            expected,
            value: stored.encode(),
        };
        self.writing = Some(stored);
        self.request(now, Purpose::WriteView, body, out);
    }

    /// Reads the machine list as soon as it is later than the last one read.
    pub fn watch_machines(&mut self, now: Instant, out: &mut Outbox) {
        let body = StoreRequest::Machines {
            after: self.machines_index,
        };
        self.request(now, Purpose::WatchMachines, body, out);
    }

    /// Records the machine list.
    pub fn record_machines(&mut self, index: ModifyIndex, machines: &[Machine]) {
        self.machines_index = Some(index);
        self.machines = machines.to_vec();
    }

    /// Returns the machine list; `None` if this node has not read it from the store.
    pub fn listed_machines(&self) -> Option<&[Machine]> {
        self.machines_index.map(|_| self.machines.as_slice())
    }

    /// Returns the nodes of the machines that are marked as leaving.
    pub fn leaving(&self) -> impl Iterator<Item = NodeId> {
        self.machines
            .iter()
            .filter(|machine| machine.leaving)
            .map(|machine| machine.node.id())
    }

    /// Cancels the reads that wait for a change and marks the machine list as not read, because
    /// this node is no longer a store reader.
    pub fn stop_reading(&mut self, out: &mut Outbox) {
        let waits =
            |purpose: Purpose| matches!(purpose, Purpose::WatchView | Purpose::WatchMachines);
        let cancelled = self
            .pending
            .extract_if(.., |_, (purpose, _)| waits(*purpose));
        out.extend(cancelled.map(|(request, _)| Action::CancelStore { request }));
        self.machines_index = None;
        self.reading_since = None;
    }

    fn request(&mut self, now: Instant, purpose: Purpose, body: StoreRequest, out: &mut Outbox) {
        let timeout = match purpose {
            Purpose::WatchView | Purpose::WatchMachines => STORE_WATCH_TIMEOUT,
            Purpose::ReadView | Purpose::WriteView => STORE_TIMEOUT,
        };
        let request = StoreRequestId(self.next_request);
        self.next_request += 1;
        self.pending.insert(request, (purpose, now + timeout));
        out.push(Action::Store { request, body });
    }
}

fn view_key() -> StoreKey {
    StoreKey(VIEW_KEY.to_owned())
}
