//! Holds requests whose answers were lost until it is known whether the back end has crashed.
//!
//! When a process ends, all its connections close within milliseconds and its address refuses new
//! ones. When an answer is lost for another reason, other requests stay in flight. The health
//! endpoint distinguishes the two cases. Responses to lost requests are held until it has answered,
//! for a short time at most, so that peers receive the crash evidence before they decide whether to
//! retry the requests.

use std::time::Duration;

use rillgap_core::code::ResultCode;
use rillgap_core::time::Instant;

use super::Running;
use crate::crash::Suspect;
use crate::incarnation::Incarnation;
use crate::log_record::LostRequest;

/// Time within which all connections of a process that has ended are seen to close.
const CONNECTION_CLOSE_WINDOW: Duration = Duration::from_millis(5);
/// Maximum time for which responses to lost requests are held until the health endpoint, which is
/// on the same machine, answers.
const HOLD_TIMEOUT: Duration = Duration::from_millis(60);
/// Maximum time between the first and the last loss of one crash.
const CRASH_LOSS_WINDOW: Duration = Duration::from_millis(300);
/// Time after the first loss beyond which losses are not attributed to a crash that is detected
/// only when the next incarnation starts.
const UNEXPLAINED_LOSS_TTL: Duration = Duration::from_secs(10);

/// An unexpected end of a back end.
#[derive(Clone, Debug)]
pub(super) struct Crash {
    /// Incarnation that has ended.
    pub incarnation: Incarnation,
    /// Requests that were in flight.
    pub suspects: Vec<Suspect>,
}

/// The loss of an answer.
#[derive(Clone, Copy, Debug)]
struct Loss {
    at: Instant,
    suspect: Suspect,
}

/// A request whose answer was lost and whose response is held.
#[derive(Clone, Debug)]
pub(super) struct HeldRequest {
    /// The request.
    pub running: Running,
    /// Incarnation and content of the request, for the log.
    pub lost: LostRequest,
}

/// Losses at one incarnation whose cause is not known yet.
#[derive(Clone, Debug)]
struct UnexplainedLosses {
    incarnation: Incarnation,
    began_at: Instant,
    last_at: Instant,
    lost: Vec<Loss>,
    is_close_window_over: bool,
    is_probe_requested: bool,
}

/// What the node must do about losses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LossAction {
    /// No action.
    Nothing,
    /// Probe the health endpoint.
    Probe,
}

/// Requests whose answers were lost.
#[derive(Clone, Debug, Default)]
pub(super) struct LostRequests {
    unexplained: Option<UnexplainedLosses>,
    held: Vec<HeldRequest>,
    /// Whether the held requests may be answered.
    is_released: bool,
    /// Whether the held requests were lost because the back end crashed.
    has_crashed: bool,
}

impl LostRequests {
    /// Returns the number of held requests.
    pub const fn held(&self) -> usize {
        self.held.len()
    }

    /// Records a lost request, and holds it if its sender still waits.
    pub fn push(
        &mut self,
        now: Instant,
        incarnation: Incarnation,
        running: Running,
        lost: LostRequest,
    ) {
        let suspect = Suspect {
            content: lost.content,
            was_only_suspect: running.is_isolated,
        };
        let unexplained = self.unexplained.get_or_insert_with(|| UnexplainedLosses {
            incarnation,
            began_at: now,
            last_at: now,
            lost: Vec::new(),
            is_close_window_over: false,
            is_probe_requested: false,
        });
        unexplained.last_at = now;
        unexplained.lost.push(Loss { at: now, suspect });
        if running.is_awaited {
            self.held.push(HeldRequest { running, lost });
        }
    }

    /// Records that an incarnation is alive or has ended as planned, so that its losses are not
    /// attributed to a crash.
    pub fn on_alive(&mut self, incarnation: &Incarnation) {
        if self.are_losses_of(incarnation) {
            self.unexplained = None;
            self.is_released = true;
        }
    }

    /// Records an answer of an incarnation, which shows that it is alive. An answer that was in
    /// flight when the process ended may be read after the losses, so answers right after the last
    /// loss do not count.
    pub fn on_answer(&mut self, now: Instant, incarnation: &Incarnation) {
        let last_loss = self.unexplained.as_ref().map(|losses| losses.last_at);
        if last_loss.is_some_and(|at| now > at + CONNECTION_CLOSE_WINDOW) {
            self.on_alive(incarnation);
        }
    }

    /// Records that the back end's address refuses connections, or belongs to another incarnation
    /// (`successor`). Returns the crash if there are unexplained losses.
    pub fn on_process_ended(&mut self, successor: Option<&Incarnation>) -> Option<Crash> {
        if successor.is_some_and(|incarnation| self.are_losses_of(incarnation)) {
            return None;
        }
        let unexplained = self.unexplained.take()?;
        self.is_released = true;
        self.has_crashed = true;
        let last_at = unexplained.last_at;
        let belongs = |lost: &&Loss| last_at.saturating_since(lost.at) <= CRASH_LOSS_WINDOW;
        let suspects = unexplained.lost.iter().filter(belongs);
        Some(Crash {
            suspects: suspects.map(|lost| lost.suspect).collect(),
            incarnation: unexplained.incarnation,
        })
    }

    /// Releases the held requests or drops the losses when their time is over, and returns the next
    /// action. `others_run` says whether requests that were started before the losses still run.
    pub fn poll(&mut self, now: Instant, others_run: bool) -> LossAction {
        let Some(unexplained) = &mut self.unexplained else {
            return LossAction::Nothing;
        };
        let since = now.saturating_since(unexplained.began_at);
        if since >= UNEXPLAINED_LOSS_TTL {
            self.unexplained = None;
            self.is_released = true;
            return LossAction::Nothing;
        }
        unexplained.is_close_window_over = since >= CONNECTION_CLOSE_WINDOW;
        self.is_released |= unexplained.is_close_window_over && others_run || since >= HOLD_TIMEOUT;
        let is_due =
            unexplained.is_close_window_over && !others_run && !unexplained.is_probe_requested;
        unexplained.is_probe_requested |= is_due;
        if is_due {
            LossAction::Probe
        } else {
            LossAction::Nothing
        }
    }

    /// Returns when [`Self::poll`] must be called next.
    pub fn next_wake(&self) -> Option<Instant> {
        let unexplained = self.unexplained.as_ref()?;
        if !unexplained.is_close_window_over {
            return Some(unexplained.began_at + CONNECTION_CLOSE_WINDOW);
        }
        (!self.held.is_empty()).then(|| unexplained.began_at + HOLD_TIMEOUT)
    }

    /// Returns the time of the first unexplained loss.
    pub fn began_at(&self) -> Option<Instant> {
        self.unexplained.as_ref().map(|losses| losses.began_at)
    }

    /// Takes the held requests that may be answered now, with the result code for their loss.
    pub fn take_released(&mut self) -> (ResultCode, Vec<HeldRequest>) {
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

    fn are_losses_of(&self, incarnation: &Incarnation) -> bool {
        let unexplained = self.unexplained.as_ref();
        unexplained.is_some_and(|losses| losses.incarnation == *incarnation)
    }
}
