//! Handles the restart of a back end: ends the requests of its earlier incarnation and resets the
//! measurements.

use rillgap_core::time::Instant;

use super::failure_rate::FailureRate;
use super::{Inbound, Running};
use crate::action::{Action, Actions};
use crate::event::ExchangeResult;
use crate::id::ExchangeId;

impl Inbound {
    /// Ends the requests that an earlier incarnation of the back end was working on. It has ended,
    /// and whether it completed them is unknown. Connections that have died silently would hold
    /// them until their deadlines.
    pub(super) fn end_requests_of_earlier_runs(&mut self, now: Instant, out: &mut Actions) {
        let back_end = &self.back_end;
        let has_ended = |running: &Running| back_end.has_ended(&running.incarnation);
        let ended = self
            .running
            .iter()
            .filter(|(_, running)| has_ended(running));
        let ended: Vec<ExchangeId> = ended.map(|(exchange, _)| *exchange).collect();
        for exchange in ended {
            self.end_request_of_earlier_run(now, exchange, out);
        }
    }

    fn end_request_of_earlier_run(
        &mut self,
        now: Instant,
        exchange: ExchangeId,
        out: &mut Actions,
    ) {
        let Some(running) = self.take_running(exchange) else {
            return;
        };
        out.push(Action::CancelExchange(exchange));
        // An incarnation that has left as planned has not crashed.
        if self.back_end.has_departed(&running.incarnation) {
            self.answer_completed(now, running, ExchangeResult::Lost, out);
        } else {
            self.hold_lost_request(now, running);
        }
    }

    /// Starts new measurements for a new incarnation. Those of the earlier one may not apply to it:
    /// it may be cold, or no longer faulty.
    pub(super) fn reset_measurements(&mut self) {
        let serving = self.back_end.incarnation();
        if !self.back_end.is_serving() || self.measured_incarnation.as_ref() == serving {
            return;
        }
        self.measured_incarnation = serving.cloned();
        self.service_times.on_restart();
        self.speed.on_restart();
        self.failure_rate = FailureRate::default();
    }
}
