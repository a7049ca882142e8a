//! Tracks the state that the back end announces: serving or leaving.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use rillgap_core::event::Event;
use rillgap_ring::RingSender;
use tokio::time::Instant;

/// Time for which "leaving" in an answer overrides "serving" from the health endpoint.
///
/// The health endpoint lags behind; answers do not.
const ANSWER_PRECEDENCE: Duration = Duration::from_secs(10);

/// Announced state of the back end; sends an event to the node when it changes.
#[derive(Clone, Debug)]
pub struct Announcement {
    events: RingSender<Event>,
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    is_leaving: bool,
    answer_precedence_until: Option<Instant>,
}

impl Announcement {
    /// Creates the announcement of a back end that is assumed to be serving.
    pub fn new(events: RingSender<Event>) -> Self {
        Self {
            events,
            state: Arc::default(),
        }
    }

    /// Records that an answer announced "leaving".
    pub async fn on_answer_leaving(&self) {
        let has_changed = {
            let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
            state.answer_precedence_until = Some(Instant::now() + ANSWER_PRECEDENCE);
            !std::mem::replace(&mut state.is_leaving, true)
        };
        if has_changed {
            self.announce(true).await;
        }
    }

    /// Records the state reported by the health endpoint, unless a recent answer overrides it.
    pub async fn on_health(&self, leaving: bool) {
        let has_changed = {
            let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
            let has_precedence = state
                .answer_precedence_until
                .is_some_and(|until| Instant::now() < until);
            let is_overridden = has_precedence && !leaving;
            !is_overridden && std::mem::replace(&mut state.is_leaving, leaving) != leaving
        };
        if has_changed {
            self.announce(leaving).await;
        }
    }

    async fn announce(&self, leaving: bool) {
        log::info!(leaving = leaving; "back end: state announced");
        // The ring is closed only when the process exits.
        let _ = self.events.send(Event::BackEndAnnounced { leaving }).await;
    }
}
