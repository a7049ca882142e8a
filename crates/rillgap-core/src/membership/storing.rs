//! Store access: store readers watch the view and write changes, a joining node may create the
//! view or add itself to it.

use crate::action::{Action, Observation, Outbox};
use crate::id::{NodeId, ViewVersion};
use crate::store::{ModifyIndex, StoreObject, StoreReply, StoreRequestId};
use crate::time::{Instant, Now};

use super::change::{Removal, StoredView, ViewChange, apply};
use super::message::{RemovalCause, RemovalRequest};
use super::protocol::Protocol;
use super::store_client::{Purpose, StoreClient, StoredVersion};
use super::timing::{MACHINE_LIST_INTERVAL, MAX_LOGGED_CHANGES, MAX_UNAGREED_CHANGES};

impl Protocol {
    /// Performs the store access that is due for a store reader or a joining node.
    pub fn tick_store(&mut self, now: Instant, out: &mut Outbox) {
        for purpose in self.store.take_expired(now) {
            self.store_failed(now, purpose);
        }
        if self.roles.region_relay {
            self.store.reading_since.get_or_insert(now);
            self.watch_store(now, out);
            self.propose_unlisted(now);
        } else {
            self.store.stop_reading(out);
            self.bootstrap(now, out);
        }
        self.permit_leaves(now, out);
        self.write_proposals(now, out);
    }

    fn watch_store(&mut self, now: Instant, out: &mut Outbox) {
        let views_due = self.store.watch_backoff.is_over(now);
        if views_due && !self.store.is_pending(Purpose::WatchView) {
            self.store.read_view(now, Purpose::WatchView, out);
        }
        let machines_due = self.store.machines_backoff.is_over(now);
        if machines_due && !self.store.is_pending(Purpose::WatchMachines) {
            self.store.watch_machines(now, out);
        }
    }

    /// Reads the view if no member has answered the join requests. The view is created if the store
    /// has none; otherwise the node adds itself after a delay.
    fn bootstrap(&mut self, now: Instant, out: &mut Outbox) {
        let is_due = now >= self.joining.store_fallback_at && self.store.write_backoff.is_over(now);
        if !self.should_join() || !is_due || self.is_busy() {
            return;
        }
        if self.joining.adds_itself {
            self.proposals.join(now, self.identity.member.clone());
        } else {
            self.store.read_view(now, Purpose::ReadView, out);
        }
    }

    fn is_busy(&self) -> bool {
        self.store.is_pending(Purpose::ReadView) || self.store.is_pending(Purpose::WriteView)
    }

    /// Proposes to remove the members of zones without a digest for a long time. Members in the
    /// machine list are kept.
    fn propose_unlisted(&mut self, now: Instant) {
        let Some(since) = self.store.reading_since else {
            return;
        };
        for zone in self.expired_zones(now, since) {
            for &node in self.topology.order(zone) {
                let Some(member) = self.view.member(node) else {
                    continue;
                };
                let request = RemovalRequest {
                    removal: Removal {
                        node,
                        incarnation: member.incarnation,
                        zone,
                        ended: true,
                    },
                    cause: RemovalCause::Unlisted,
                };
                self.proposals.remove(now, self.identity.id, request);
            }
        }
    }

    /// Writes the proposed changes if they are due and the stored view is the one in force here;
    /// reads the stored view first if it may differ.
    pub fn write_proposals(&mut self, now: Instant, out: &mut Outbox) {
        self.proposals.prune(now, &self.view);
        if self.proposals.awaits_permitted(now, &self.view) {
            return;
        }
        let may_write = self.roles.region_relay || self.joining.adds_itself;
        let is_due = self.proposals.is_due(now, self.batch_interval(now))
            && self.store.write_backoff.is_over(now);
        if !may_write || !is_due || self.is_busy() || self.has_left() {
            return;
        }
        let machines = self.store.listed_machines();
        let planned = self
            .proposals
            .to_change(&self.view, &self.topology, machines);
        let Some(planned) = planned else {
            return;
        };
        if self.view.version.0 >= self.agreed.0 + MAX_UNAGREED_CHANGES {
            return;
        }
        let is_current = self
            .store
            .stored
            .is_some_and(|stored| stored.version == self.view.version);
        if is_current {
            self.proposals.pending_since = Some(now);
            let record = Box::new(planned.record);
            out.push(Action::Observe(Observation::ViewWrite(record)));
            self.store
                .write_view(now, self.stored_after(planned.change), out);
        } else {
            self.store.read_view(now, Purpose::ReadView, out);
        }
    }

    /// Returns the content of the view object after a change.
    fn stored_after(&self, change: ViewChange) -> StoredView {
        let view = apply(&self.view, &change);
        let mut changes = self.log.to_vec();
        changes.push(change);
        let surplus = changes.len().saturating_sub(MAX_LOGGED_CHANGES);
        changes.drain(..surplus);
        StoredView {
            view,
            changes,
            agreed: self.agreed,
        }
    }

    /// Handles a reply of the store; returns false if the request belongs to configuration.
    pub fn on_store(
        &mut self,
        now: Now,
        request: StoreRequestId,
        reply: &StoreReply,
        out: &mut Outbox,
    ) -> bool {
        if !StoreClient::is_own(request) {
            return false;
        }
        let now = now.instant;
        let Some(purpose) = self.store.take(request) else {
            return true;
        };
        match reply {
            StoreReply::Object(object) => self.on_object(now, purpose, object, out),
            StoreReply::Written(index) => self.on_written(now, *index, out),
            StoreReply::Conflict => {
                self.store.write_backoff.failed(now, &mut self.random);
                self.store.read_view(now, Purpose::ReadView, out);
            }
            StoreReply::Machines { index, machines } => {
                self.store
                    .machines_backoff
                    .pause(now, MACHINE_LIST_INTERVAL);
                self.store.record_machines(*index, machines);
            }
            StoreReply::Failed => self.store_failed(now, purpose),
        }
        true
    }

    fn on_written(&mut self, now: Instant, index: ModifyIndex, out: &mut Outbox) {
        self.store.write_backoff.succeeded();
        let Some(written) = self.store.writing.take() else {
            return;
        };
        self.store.stored = Some(StoredVersion {
            index,
            version: written.view.version,
        });
        self.on_full_view(now, None, written, out);
    }

    /// Handles the view object read from the store. This also resolves a write whose answer was
    /// lost, because proposals that the view already contains are dropped.
    fn on_object(
        &mut self,
        now: Instant,
        purpose: Purpose,
        object: &StoreObject,
        out: &mut Outbox,
    ) {
        let Some(value) = &object.value else {
            self.on_no_view(now, out);
            return;
        };
        let Some(stored) = StoredView::decode(value) else {
            self.store_failed(now, purpose);
            return;
        };
        self.store.watch_backoff.succeeded();
        self.store.stored = Some(StoredVersion {
            index: object.index,
            version: stored.view.version,
        });
        if stored.view.version < self.view.version {
            self.store.write_backoff.failed(now, &mut self.random);
        }
        self.on_full_view(now, None, stored, out);
        if !self.roles.region_relay && self.should_join() {
            self.joining.schedule_self_add(now, &mut self.random);
        }
    }

    /// Handles a store without a view: a joining node that has no view creates one with itself as
    /// its only member.
    fn on_no_view(&mut self, now: Instant, out: &mut Outbox) {
        let is_first = self.view.version == ViewVersion::default();
        if !is_first || !self.should_join() || self.store.is_pending(Purpose::WriteView) {
            self.store.watch_backoff.failed(now, &mut self.random);
            return;
        }
        self.store.stored = Some(StoredVersion {
            index: ModifyIndex::default(),
            version: ViewVersion::default(),
        });
        let change = ViewChange {
            version: ViewVersion(1),
            removed: Vec::new(),
            added: vec![self.identity.member.clone()],
        };
        self.store.write_view(now, self.stored_after(change), out);
    }

    /// Handles a failed request. Whether a failed write took effect is unknown until the next read.
    fn store_failed(&mut self, now: Instant, purpose: Purpose) {
        match purpose {
            Purpose::WatchView => self.store.watch_backoff.failed(now, &mut self.random),
            Purpose::WatchMachines => self.store.machines_backoff.failed(now, &mut self.random),
            Purpose::ReadView => self.store.write_backoff.failed(now, &mut self.random),
            Purpose::WriteView => {
                self.store.stored = None;
                self.store.write_backoff.failed(now, &mut self.random);
            }
        }
    }

    /// Records the machines that are marked as leaving, unless this node reads the list itself.
    pub fn record_leaving(&mut self, leaving: &[NodeId]) {
        if self.roles.region_relay {
            return;
        }
        self.store.machines = leaving
            .iter()
            .filter_map(|node| self.view.member(*node))
            .map(|member| crate::store::Machine {
                node: member.name.clone(),
                leaving: true,
            })
            .collect();
    }

    /// Returns the members that the machine list marks as leaving, at most twice
    /// [`MAX_LISTED_NODES`](super::timing::MAX_LISTED_NODES).
    pub fn leaving_hints(&self) -> Vec<NodeId> {
        let limit = 2 * super::timing::MAX_LISTED_NODES;
        self.store.leaving().take(limit).collect()
    }
}
