//! Planned stops.

use std::time::Duration;

use rillgap_core::time::Instant;

use super::Node;
use crate::action::{Action, Actions};
use crate::log_record::LogRecord;

/// Time after the begin of a planned stop before which the node does not exit and takes callers'
/// requests: they learn by then that it is not ready. Where too few nodes are ready they keep coming, and
/// what is taken later could be cut by the end of the grace.
const STOP_NOTICE: Duration = Duration::from_millis(2_500);
/// Share of the grace for which the back end beside a stopping node still gets requests: nobody
/// else can reach it, so every moment it gets none is capacity lost.
const INBOUND_SHARE: f64 = 0.25;
/// Time before the end of the grace at which a planned stop ends whatever is in flight.
const STOP_MARGIN: Duration = Duration::from_millis(400);

impl Node {
    pub(super) fn begin_stop(&mut self, now: Instant, out: &mut Actions) {
        if self.stopping_since.is_some() {
            return;
        }
        self.stopping_since = Some(now);
        self.note_lifecycle("stopping", out);
        if self.inbound.has_left() {
            self.store.unregister(now);
        }
        self.inbound_stops_at = Some(now + self.settings.grace.mul_f64(INBOUND_SHARE));
    }

    pub(super) fn stop_inbound_when_due(&mut self, now: Instant) {
        if self.inbound_stops_at.is_some_and(|at| at <= now) {
            self.inbound_stops_at = None;
            self.inbound.stop();
        }
    }

    pub(super) fn exit_when_done(&mut self, now: Instant, out: &mut Actions) {
        let Some(since) = self.stopping_since else {
            return;
        };
        let elapsed = now.saturating_since(since);
        let in_flight = self.inbound.in_flight() + self.outbound.in_flight();
        let is_done = self.notice_is_over(now) && in_flight == 0;
        let is_late = elapsed + STOP_MARGIN >= self.settings.grace;
        if self.exited || !(is_done || is_late) {
            return;
        }
        self.exited = true;
        self.note_lifecycle("exiting", out);
        out.push(Action::Exit);
    }

    /// Returns whether a planned stop has begun long enough ago for callers to have noticed.
    pub(super) fn notice_is_over(&self, now: Instant) -> bool {
        self.stopping_since
            .is_some_and(|since| now.saturating_since(since) >= STOP_NOTICE)
    }

    pub(super) fn note_lifecycle(&self, state: &'static str, out: &mut Actions) {
        out.push(Action::Log(LogRecord::Lifecycle {
            state,
            in_flight: self.inbound.in_flight() + self.outbound.in_flight(),
        }));
    }
}
