//! History of views and the times of their activation.
//!
//! A view is activated once no vote under an earlier view can be cast any more: when all members
//! have confirmed it, or when it has been agreed for longer than the vote lease.

use std::sync::Arc;

use crate::id::ViewVersion;
use crate::time::{Instant, Now, WallTime};
use crate::view::View;

use super::timing::{
    CLOCK_DRIFT_ALLOWANCE, MAX_RETAINED_VIEWS, SETTLING_TIME, VIEW_RETENTION, VOTE_LEASE,
};

/// Activation time of a view that is not activated yet; later than every other time.
pub const NOT_ACTIVATED: WallTime = WallTime::from_millis(u64::MAX);

/// A view and the time since when this node treats it as activated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ActivatedView {
    /// The view.
    pub view: Arc<View>,
    /// Time of activation by this host's wall clock, or [`NOT_ACTIVATED`].
    pub activated_at: WallTime,
}

impl ActivatedView {
    /// Returns whether this node has activated the view.
    pub fn is_activated(&self) -> bool {
        self.activated_at < NOT_ACTIVATED
    }
}

/// Views that may matter to keys still alive, activated or not, in ascending order.
#[derive(Debug, Default)]
pub struct ViewHistory {
    views: Vec<ActivatedView>,
    /// Activation time of each view by the monotonic clock; `None` until the view is agreed.
    activation_due: Vec<Option<Instant>>,
}

impl ViewHistory {
    /// Creates the history of a fixed view, which is activated from the beginning.
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

    /// Appends a view that came into force at this node, and drops the oldest one beyond
    /// [`MAX_RETAINED_VIEWS`].
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

    /// Schedules the activation of all views up to `agreed`, which joint majorities have confirmed.
    pub fn mark_agreed(&mut self, now: Instant, agreed: ViewVersion) {
        let waiting = self.views.iter().zip(&mut self.activation_due);
        for (entry, due) in waiting {
            if entry.view.version <= agreed {
                due.get_or_insert(now + VOTE_LEASE + CLOCK_DRIFT_ALLOWANCE);
            }
        }
    }

    /// Schedules the activation of all views up to `confirmed`, which all their members that have
    /// not ended have confirmed, for the next poll.
    pub fn mark_confirmed_by_all(&mut self, now: Instant, confirmed: ViewVersion) {
        let entries = self.views.iter().zip(&mut self.activation_due);
        for (entry, due) in entries {
            if entry.view.version <= confirmed {
                *due = Some(due.map_or(now, |due| due.min(now)));
            }
        }
    }

    /// Returns the latest view that is activated; `None` if there is none.
    pub fn latest_activated(&self) -> Option<ViewVersion> {
        let mut entries = self.views.iter().rev();
        let activated = entries.find(|entry| entry.is_activated());
        activated.map(|entry| entry.view.version)
    }

    /// Returns the latest view that has been activated for so long that all its replicas vote on new
    /// keys; `None` if there is none.
    pub fn settled(&self, now: Instant) -> Option<ViewVersion> {
        let mut entries = self.views.iter().zip(&self.activation_due).rev();
        let settled = entries.find(|(_, due)| due.is_some_and(|due| due + SETTLING_TIME <= now));
        settled.map(|(entry, _)| entry.view.version)
    }

    /// Activates the views that are due, and drops the oldest view if its successor was activated
    /// more than [`VIEW_RETENTION`] ago.
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
