//! Views that are agreed for so long that no vote under an earlier one can still be cast.

use std::sync::Arc;

use crate::id::ViewVersion;
use crate::time::{Instant, Now, WallTime};
use crate::view::View;

use super::timing::{CLOCK_DRIFT_ALLOWANCE, MAX_RETAINED_VIEWS, VIEW_RETENTION, VOTE_LEASE};

/// Time that stands for "not yet activated": later than every other time.
pub const NOT_ACTIVATED: WallTime = WallTime::from_millis(u64::MAX);

/// A view together with the moment since when this node treats it as agreed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ActivatedView {
    /// The view.
    pub view: Arc<View>,
    /// When a majority had confirmed it for longer than the vote lease, by this host's wall
    /// clock, or [`NOT_ACTIVATED`].
    pub activated_at: WallTime,
}

impl ActivatedView {
    /// Returns whether the view is activated.
    pub fn is_activated(&self) -> bool {
        self.activated_at < NOT_ACTIVATED
    }
}

/// The views of the longest key life, activated or waiting to be.
#[derive(Debug, Default)]
pub struct ViewHistory {
    views: Vec<ActivatedView>,
    /// When each of the views is activated, once it is agreed.
    activation_due: Vec<Option<Instant>>,
}

impl ViewHistory {
    /// Creates the history of a view that is never changed.
    pub fn fixed(view: Arc<View>) -> Self {
        let activated = ActivatedView {
            view,
            activated_at: WallTime::default(),
        };
        Self {
            views: vec![activated],
            activation_due: vec![None],
        }
    }

    /// Returns the views, the latest last.
    pub fn views(&self) -> &[ActivatedView] {
        &self.views
    }

    /// Takes in a view that came into force at this node.
    pub fn push(&mut self, view: Arc<View>) {
        self.views.push(ActivatedView {
            view,
            activated_at: NOT_ACTIVATED,
        });
        self.activation_due.push(None);
        if self.views.len() > MAX_RETAINED_VIEWS {
            self.drop_first();
        }
    }

    /// Takes in that joint majorities have confirmed views up to `agreed`.
    pub fn mark_agreed(&mut self, now: Instant, agreed: ViewVersion) {
        let waiting = self.views.iter().zip(&mut self.activation_due);
        for (entry, due) in waiting {
            if entry.view.version <= agreed {
                due.get_or_insert(now + VOTE_LEASE + CLOCK_DRIFT_ALLOWANCE);
            }
        }
    }

    /// Activates what is due and forgets what is too old to matter.
    pub fn poll(&mut self, now: Now) {
        for (entry, due) in self.views.iter_mut().zip(&self.activation_due) {
            let is_due = due.is_some_and(|due| due <= now.instant);
            if is_due && !entry.is_activated() {
                entry.activated_at = now.wall;
            }
        }
        let horizon = now.wall.minus(VIEW_RETENTION);
        let is_replaced = self
            .views
            .get(1)
            .is_some_and(|next| next.activated_at <= horizon);
        if is_replaced {
            self.drop_first();
        }
    }

    fn drop_first(&mut self) {
        self.views.remove(0);
        self.activation_due.remove(0);
    }
}
