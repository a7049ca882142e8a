//! Planned stops of the node.

use std::time::Duration;

use rillgap_core::time::Instant;

use super::Node;
use crate::action::{Action, Actions};
use crate::log_record::LogRecord;

/// Time after the start of a planned stop during which the node does not exit and still accepts
/// callers' requests: callers detect within it that the node is not ready. Requests that arrive
/// later, because too few nodes are ready, are rejected: the end of the grace period could cut them
/// off.
const STOP_NOTICE_PERIOD: Duration = Duration::from_millis(2_500);
/// Fraction of the grace period for which the back end beside a stopping node still receives
/// requests. No other node can reach it, so a shorter time would waste its capacity.
const INBOUND_GRACE_FRACTION: f64 = 0.25;
/// Time before the end of the grace period at which the node exits even if requests are in flight or
/// callers are reading their answers.
const STOP_MARGIN: Duration = Duration::from_millis(400);

impl Node {
    pub(super) fn begin_stop(&mut self, now: Instant, out: &mut Actions) {
        if self.stopping_since.is_some() {
            return;
        }
        self.stopping_since = Some(now);
        self.log_lifecycle("stopping", out);
        if self.inbound.has_left() {
            self.store.unregister(now);
        }
        self.inbound_stops_at = Some(now + self.settings.grace.mul_f64(INBOUND_GRACE_FRACTION));
    }

    pub(super) fn stop_inbound_when_due(&mut self, now: Instant) {
        if self.inbound_stops_at.is_some_and(|at| at <= now) {
            self.inbound_stops_at = None;
            self.inbound.stop();
        }
    }

    /// Ends all connections once no request is in flight. A request counts as in flight until its
    /// answer is handed to the connection, which may need much longer to send it: the node exits
    /// only when all connections have ended.
    pub(super) fn advance_stop(&mut self, now: Instant, out: &mut Actions) {
        let Some(since) = self.stopping_since else {
            return;
        };
        let elapsed = now.saturating_since(since);
        if elapsed + STOP_MARGIN >= self.settings.grace {
            self.exit(out);
            return;
        }
        let is_done = self.stop_notice_elapsed(now) && self.requests_in_flight() == 0;
        if is_done && !self.ends_connections {
            self.ends_connections = true;
            self.log_lifecycle("ending connections", out);
            out.push(Action::EndConnections);
        }
    }

    /// Exits the process.
    pub(super) fn exit(&mut self, out: &mut Actions) {
        if std::mem::replace(&mut self.exited, true) {
            return;
        }
        self.ends_connections = true;
        self.log_lifecycle("exiting", out);
        out.push(Action::Exit);
    }

    /// Returns whether a planned stop began long enough ago for callers to have noticed it.
    pub(super) fn stop_notice_elapsed(&self, now: Instant) -> bool {
        self.stopping_since
            .is_some_and(|since| now.saturating_since(since) >= STOP_NOTICE_PERIOD)
    }

    pub(super) fn log_lifecycle(&self, state: &'static str, out: &mut Actions) {
        out.push(Action::Log(LogRecord::Lifecycle {
            state,
            in_flight: self.requests_in_flight(),
        }));
    }

    fn requests_in_flight(&self) -> usize {
        self.inbound.in_flight() + self.outbound.in_flight()
    }
}
