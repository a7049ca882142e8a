//! Views that are agreed for so long that no vote under an earlier one can still be cast.

use std::sync::Arc;

use crate::id::ViewVersion;
use crate::time::{Instant, Now, WallTime};
use crate::view::View;

use super::timing::{CLOCK_SKEW, HISTORY_LIFE, HISTORY_LIMIT, VOTE_LEASE};

/// A view together with the moment since when this node treats it as agreed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ActivatedView {
    /// The view.
    pub view: Arc<View>,
    /// When a majority had confirmed it for longer than the vote lease, by this host's wall clock.
    pub activated_at: WallTime,
}

#[derive(Debug)]
struct Activation {
    view: Arc<View>,
    due: Instant,
}

/// Activated views, and those that wait to be activated.
#[derive(Debug, Default)]
pub struct ViewHistory {
    activated: Vec<ActivatedView>,
    waiting: Vec<Activation>,
    known: Vec<Arc<View>>,
}

impl ViewHistory {
    /// Creates the history of a view that is never changed.
    pub fn fixed(view: Arc<View>) -> Self {
        Self {
            activated: vec![ActivatedView {
                view,
                activated_at: WallTime::default(),
            }],
            ..Self::default()
        }
    }

    /// Returns the activated views, the latest last.
    pub fn activated(&self) -> &[ActivatedView] {
        &self.activated
    }

    /// Takes in a view that came into force at this node.
    pub fn adopted(&mut self, view: Arc<View>) {
        self.known.push(view);
        if self.known.len() > HISTORY_LIMIT {
            self.known.remove(0);
        }
    }

    /// Takes in that joint majorities have confirmed views up to `agreed`.
    pub fn agreed(&mut self, now: Instant, agreed: ViewVersion) {
        let Some(position) = self.known.iter().rposition(|view| view.version <= agreed) else {
            return;
        };
        let view = self.known.drain(..=position).next_back();
        self.waiting.extend(view.map(|view| Activation {
            view,
            due: now + VOTE_LEASE + CLOCK_SKEW,
        }));
    }

    /// Activates what is due and forgets what is too old to matter.
    pub fn poll(&mut self, now: Now) {
        while self
            .waiting
            .first()
            .is_some_and(|first| first.due <= now.instant)
        {
            let activation = self.waiting.remove(0);
            self.activated.push(ActivatedView {
                view: activation.view,
                activated_at: now.wall,
            });
        }
        self.forget(now.wall.minus(HISTORY_LIFE));
    }

    /// Forgets views that were already replaced at `horizon`.
    fn forget(&mut self, horizon: WallTime) {
        let replaced = self
            .activated
            .get(1)
            .is_some_and(|next| next.activated_at <= horizon);
        if replaced || self.activated.len() > HISTORY_LIMIT {
            self.activated.remove(0);
        }
    }
}
