//! Requests to the platform's store and what is known of its state.

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

/// Key of the view in the store.
pub const VIEW_KEY: &str = "rillgap/view";

/// Identifiers with this bit set belong to configuration.
const CONFIGURATION_BIT: u64 = 1 << 63;

/// What a request is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Purpose {
    /// Waits for the next view.
    WatchView,
    /// Reads the view at once.
    ReadView,
    /// Writes a view.
    WriteView,
    /// Waits for the next machine list.
    WatchMachines,
}

/// Version of the view that the store holds at an index.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct StoredVersion {
    pub index: ModifyIndex,
    pub version: ViewVersion,
}

/// Delays between failing requests, doubled up to a limit, with jitter.
#[derive(Debug, Default)]
pub(super) struct Backoff {
    delay: Duration,
    until: Option<Instant>,
}

impl Backoff {
    pub fn is_over(&self, now: Instant) -> bool {
        self.until.is_none_or(|until| now >= until)
    }

    pub fn failed(&mut self, now: Instant, random: &mut ChaCha8Rng) {
        self.delay = (self.delay * 2).clamp(MIN_STORE_BACKOFF, MAX_STORE_BACKOFF);
        self.until = Some(now + self.delay.mul_f64(random.random_range(0.5..1.0)));
    }

    pub fn succeeded(&mut self) {
        *self = Self::default();
    }

    /// Records a success after which nothing is asked for a while.
    pub fn pause(&mut self, now: Instant, pause: Duration) {
        self.delay = Duration::ZERO;
        self.until = Some(now + pause);
    }
}

/// Client side of the store at one node.
#[derive(Debug, Default)]
pub(super) struct StoreClient {
    next_request: u64,
    pending: BTreeMap<StoreRequestId, (Purpose, Instant)>,
    /// What the store is known to hold, by the last read or write.
    pub stored: Option<StoredVersion>,
    pub watch_backoff: Backoff,
    pub machines_backoff: Backoff,
    pub write_backoff: Backoff,
    machines_index: Option<ModifyIndex>,
    pub machines: Vec<Machine>,
    /// Since when this node reads the store.
    pub reading_since: Option<Instant>,
    /// What the write under way would store.
    pub writing: Option<StoredView>,
}

impl StoreClient {
    /// Returns whether a reply is to a request of membership.
    pub fn is_own(request: StoreRequestId) -> bool {
        request.0 & CONFIGURATION_BIT == 0
    }

    /// Returns whether a request for `purpose` is under way.
    pub fn is_pending(&self, purpose: Purpose) -> bool {
        self.pending
            .values()
            .any(|(pending, _)| *pending == purpose)
    }

    /// Ends the request that is answered and returns what it was for.
    pub fn take(&mut self, request: StoreRequestId) -> Option<Purpose> {
        self.pending.remove(&request).map(|(purpose, _)| purpose)
    }

    /// Ends the requests whose time is over and returns what they were for.
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

    /// Reads the view, at once or when it is later than the one stored last.
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

    /// Writes a view if the store still holds what was last read.
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

    /// Reads the machine list, when it is later than the one read last.
    pub fn watch_machines(&mut self, now: Instant, out: &mut Outbox) {
        let body = StoreRequest::Machines {
            after: self.machines_index,
        };
        self.request(now, Purpose::WatchMachines, body, out);
    }

    /// Takes in the machine list.
    pub fn record_machines(&mut self, index: ModifyIndex, machines: &[Machine]) {
        self.machines_index = Some(index);
        self.machines = machines.to_vec();
    }

    /// Returns the machine list if this node has read it.
    pub fn listed_machines(&self) -> Option<&[Machine]> {
        self.machines_index.map(|_| self.machines.as_slice())
    }

    /// Returns the machines that are marked as leaving.
    pub fn leaving(&self) -> impl Iterator<Item = NodeId> {
        self.machines
            .iter()
            .filter(|machine| machine.leaving)
            .map(|machine| machine.node.id())
    }

    /// Forgets the machine list and gives up the reads that wait: this node reads no longer.
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
