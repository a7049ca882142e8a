//! Requests whose answers were lost, until it is known whether the back end has ended.
//!
//! When a process ends, all its connections end within milliseconds and its address refuses new ones. An answer that is
//! lost otherwise leaves the others under way. The health endpoint tells which it is; what is said of the lost requests waits
//! for it for a moment, so that the peers hear of the crash before they decide what becomes of the requests.

use std::time::Duration;

use rillgap_core::code::ResultCode;
use rillgap_core::time::Instant;

use super::Running;
use crate::crash::Suspect;
use crate::incarnation::Incarnation;
use crate::log_record::LostRequest;

/// Time in which all connections of a process that has ended are seen to end.
const SETTLE: Duration = Duration::from_millis(5);
/// Longest time for which the answers to lost requests wait for the health endpoint, which is on the same machine.
const PATIENCE: Duration = Duration::from_millis(60);
/// Time between the first and the last loss of one crash.
const SPREAD: Duration = Duration::from_millis(300);
/// Time after which losses do not belong to a crash any more that is seen only when the next incarnation starts.
const MEMORY: Duration = Duration::from_secs(10);

/// A back end that has ended unexpectedly.
#[derive(Clone, Debug)]
pub(super) struct Crash {
    /// Incarnation.
    pub incarnation: Incarnation,
    /// Requests that were under way.
    pub suspects: Vec<Suspect>,
}

/// A lost request.
#[derive(Clone, Copy, Debug)]
struct Lost {
    at: Instant,
    suspect: Suspect,
}

/// A lost request that is not answered yet.
#[derive(Clone, Debug)]
pub(super) struct Held {
    /// The request.
    pub running: Running,
    /// What was lost, and where.
    pub lost: LostRequest,
}

/// Losses at one incarnation that are not explained yet.
#[derive(Clone, Debug)]
struct Unexplained {
    incarnation: Incarnation,
    began_at: Instant,
    last_at: Instant,
    lost: Vec<Lost>,
    has_settled: bool,
    is_asked: bool,
}

/// What is to be done about losses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Due {
    /// Nothing.
    Nothing,
    /// Ask the health endpoint.
    Ask,
}

/// Requests whose answers were lost.
#[derive(Clone, Debug, Default)]
pub(super) struct Losses {
    unexplained: Option<Unexplained>,
    held: Vec<Held>,
    /// Whether the held ones may be answered.
    is_released: bool,
    /// Whether they were lost because the back end has ended.
    has_crashed: bool,
}

impl Losses {
    /// Returns the requests that are not answered yet.
    pub const fn held(&self) -> usize {
        self.held.len()
    }

    /// Takes in a lost request.
    pub fn push(
        &mut self,
        now: Instant,
        incarnation: Incarnation,
        running: Running,
        lost: LostRequest,
    ) {
        let suspect = Suspect {
            content: lost.content,
            was_alone: running.is_isolated,
        };
        let unexplained = self.unexplained.get_or_insert_with(|| Unexplained {
            incarnation,
            began_at: now,
            last_at: now,
            lost: Vec::new(),
            has_settled: false,
            is_asked: false,
        });
        unexplained.last_at = now;
        unexplained.lost.push(Lost { at: now, suspect });
        if running.is_awaited {
            self.held.push(Held { running, lost });
        }
    }

    /// Takes in that an incarnation lives, or has ended as planned: losses are no sign of a crash.
    pub fn on_alive(&mut self, incarnation: &Incarnation) {
        if self.is_of(incarnation) {
            self.unexplained = None;
            self.is_released = true;
        }
    }

    /// Takes in an answer of an incarnation. One that was under way when the process ended may be read after the
    /// losses.
    pub fn on_answer(&mut self, now: Instant, incarnation: &Incarnation) {
        let last_loss = self.unexplained.as_ref().map(|losses| losses.last_at);
        if last_loss.is_some_and(|at| now > at + SETTLE) {
            self.on_alive(incarnation);
        }
    }

    /// Takes in that the back end's address refuses connections, or that another incarnation (`successor`) has
    /// it. Returns the crash, if losses show one.
    pub fn on_ended(&mut self, successor: Option<&Incarnation>) -> Option<Crash> {
        if successor.is_some_and(|incarnation| self.is_of(incarnation)) {
            return None;
        }
        let unexplained = self.unexplained.take()?;
        self.is_released = true;
        self.has_crashed = true;
        let last_at = unexplained.last_at;
        let belongs = |lost: &&Lost| last_at.saturating_since(lost.at) <= SPREAD;
        let suspects = unexplained.lost.iter().filter(belongs);
        Some(Crash {
            suspects: suspects.map(|lost| lost.suspect).collect(),
            incarnation: unexplained.incarnation,
        })
    }

    /// Does what is due. `others_run` says whether requests still run that were started before the losses.
    pub fn poll(&mut self, now: Instant, others_run: bool) -> Due {
        let Some(unexplained) = &mut self.unexplained else {
            return Due::Nothing;
        };
        let since = now.saturating_since(unexplained.began_at);
        if since >= MEMORY {
            self.unexplained = None;
            self.is_released = true;
            return Due::Nothing;
        }
        unexplained.has_settled = since >= SETTLE;
        self.is_released |= unexplained.has_settled && others_run || since >= PATIENCE;
        let is_due = unexplained.has_settled && !others_run && !unexplained.is_asked;
        unexplained.is_asked |= is_due;
        if is_due { Due::Ask } else { Due::Nothing }
    }

    /// Returns when [`Self::poll`] must be called next.
    pub fn next_wake(&self) -> Option<Instant> {
        let unexplained = self.unexplained.as_ref()?;
        if !unexplained.has_settled {
            return Some(unexplained.began_at + SETTLE);
        }
        (!self.held.is_empty()).then(|| unexplained.began_at + PATIENCE)
    }

    /// Returns when the losses began.
    pub fn began_at(&self) -> Option<Instant> {
        self.unexplained.as_ref().map(|losses| losses.began_at)
    }

    /// Takes the requests that may be answered now, with the reason why their answers were lost.
    pub fn take_released(&mut self) -> (ResultCode, Vec<Held>) {
        let code = if std::mem::take(&mut self.has_crashed) {
            ResultCode::BackEndCrashed
        } else {
            ResultCode::AnswerLost
        };
        if !std::mem::take(&mut self.is_released) {
            return (code, Vec::new());
        }
        (code, std::mem::take(&mut self.held))
    }

    fn is_of(&self, incarnation: &Incarnation) -> bool {
        let unexplained = self.unexplained.as_ref();
        unexplained.is_some_and(|losses| losses.incarnation == *incarnation)
    }
}
