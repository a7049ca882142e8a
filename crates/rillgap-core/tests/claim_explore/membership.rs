//! Models the membership guarantees that claims rely on: views change one at a time, and a view is
//! activated only after every lease on the previous view has ended.

use std::sync::Arc;

use rillgap_core::claim::Electorate;
use rillgap_core::membership::ActivatedView;
use rillgap_core::time::{Instant, Now, WallTime};
use rillgap_core::view::View;

/// Time in microseconds for which a node may still vote after a later view was agreed.
pub const LEASE_MICROS: u64 = 500_000;

/// Membership state of one node.
#[derive(Debug)]
pub struct ModelMembership {
    view: Arc<View>,
    history: Vec<ActivatedView>,
    lease_ends: Option<Instant>,
}

impl ModelMembership {
    /// Creates the state of a node whose view was activated long ago.
    pub fn with_active_view(view: Arc<View>) -> Self {
        let history = vec![ActivatedView {
            view: Arc::clone(&view),
            activated_at: WallTime::default(),
        }];
        Self {
            view,
            history,
            lease_ends: None,
        }
    }

    /// Creates the state of a newly started node: the latest view, and no activated ones.
    pub fn without_history(view: Arc<View>) -> Self {
        Self {
            view,
            history: Vec::new(),
            lease_ends: None,
        }
    }

    /// Records that a later view was agreed: the lease on the current view ends at `lease_ends`.
    pub fn on_superseded(&mut self, lease_ends: Instant) {
        self.lease_ends.get_or_insert(lease_ends);
    }

    pub fn adopt(&mut self, view: &Arc<View>, latest: bool) {
        if view.version <= self.view.version {
            return;
        }
        self.view = Arc::clone(view);
        if latest {
            self.lease_ends = None;
        }
    }

    pub fn activate(&mut self, now: Now, view: &Arc<View>) {
        let activated = self.history.last().map(|last| last.view.version);
        if view.version != self.view.version || activated >= Some(view.version) {
            return;
        }
        self.history.push(ActivatedView {
            view: Arc::clone(view),
            activated_at: now.wall,
        });
    }
}

impl Electorate for ModelMembership {
    fn view(&self) -> &Arc<View> {
        &self.view
    }

    fn may_vote(&self, now: Now) -> bool {
        self.lease_ends
            .is_none_or(|lease_ends| now.instant < lease_ends)
    }

    fn history(&self) -> &[ActivatedView] {
        &self.history
    }
}
