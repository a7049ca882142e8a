//! Membership as claims are promised it: views change one by one, and a view is activated only
//! once every lease on the one before it has ended.

use std::sync::Arc;

use rillgap_core::claim::Electorate;
use rillgap_core::membership::ActivatedView;
use rillgap_core::time::{Instant, Now, WallTime};
use rillgap_core::view::View;

/// Time for which a node may go on voting after a later view was agreed.
pub const LEASE_MICROS: u64 = 500_000;

/// What one node knows of the membership.
#[derive(Debug)]
pub struct ModelMembership {
    view: Arc<View>,
    history: Vec<ActivatedView>,
    lease_ends: Option<Instant>,
}

impl ModelMembership {
    /// Knows a view that was agreed long ago.
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

    /// Knows the latest view and remembers nothing.
    pub fn without_history(view: Arc<View>) -> Self {
        Self {
            view,
            history: Vec::new(),
            lease_ends: None,
        }
    }

    /// A later view was agreed: the lease on this one runs out.
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
        self.lease_ends.is_none_or(|ends| now.instant < ends)
    }

    fn history(&self) -> &[ActivatedView] {
        &self.history
    }
}
