//! What the back end says of itself: serving or leaving.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use rillgap_core::event::Event;
use rillgap_ring::RingSender;
use tokio::time::Instant;

/// Time for which an answer that says "leaving" outweighs a health endpoint that says "serving".
///
/// The health endpoint lags behind; answers do not.
const ANSWER_PRECEDENCE: Duration = Duration::from_secs(10);

/// Passes on to the node when the back end begins or ceases to leave.
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
    /// Creates the announcement of a back end that is taken to be serving.
    pub fn new(events: RingSender<Event>) -> Self {
        Self {
            events,
            state: Arc::default(),
        }
    }

    /// Takes in that an answer said "leaving".
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

    /// Takes in what the health endpoint says.
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
        // A closed ring means that the process ends.
        let _ = self.events.send(Event::BackEndAnnounced { leaving }).await;
    }
}
