//! What the back end states about itself in its answers: a rate limit, its load, its departure.

use rillgap_core::time::Instant;

use super::{Inbound, count};
use crate::action::{Action, Actions};
use crate::back_end_notice::{BackEndNotice, RequestRate};
use crate::id::ExchangeId;
use crate::incarnation::Incarnation;
use crate::log_record::LogRecord;
use crate::message::ForwardedRequest;

impl Inbound {
    /// Returns the rate of requests that the back end accepts; `None` if it states no limit.
    pub fn rate_limit(&self) -> Option<RequestRate> {
        self.stated_rate.rate(self.back_end.incarnation())
    }

    /// Processes the notices in an answer of the back end.
    pub fn on_notice(
        &mut self,
        now: Instant,
        exchange: ExchangeId,
        notice: BackEndNotice,
        out: &mut Actions,
    ) {
        let Some(running) = self.running.get(&exchange) else {
            return;
        };
        let incarnation = &running.incarnation;
        self.speed.on_notice(now, incarnation, notice.load);
        let before = self.stated_rate.rate(Some(incarnation));
        let has_changed = self
            .stated_rate
            .observe(now, incarnation, notice.rate_limit);
        if !has_changed && !notice.is_leaving {
            return;
        }
        let incarnation = incarnation.clone();
        let request_id = running.request.request_id.clone();
        if has_changed {
            self.on_rate_limit_changed(&incarnation, before, &request_id, "answer", out);
        }
        if notice.is_leaving {
            let effect = self
                .back_end
                .on_leave(&incarnation, "states that it leaves");
            self.lost_requests.on_alive(&incarnation);
            self.apply_effect(now, effect, None, out);
        }
        self.start_queued(now, out);
    }

    /// Adopts the rate limit that the sender of a request remembers of the back end.
    pub(super) fn adopt_rate_limit(
        &mut self,
        now: Instant,
        request: &ForwardedRequest,
        out: &mut Actions,
    ) {
        let remembered = request.remembered_rate_limit;
        let (Some(remembered), Some(incarnation)) = (remembered, self.back_end.incarnation())
        else {
            return;
        };
        if incarnation.fingerprint() != remembered.instance {
            return;
        }
        let incarnation = incarnation.clone();
        let before = self.stated_rate.rate(Some(&incarnation));
        if self.stated_rate.adopt(now, &incarnation, remembered.rate) {
            let request_id = &request.request_id;
            self.on_rate_limit_changed(&incarnation, before, request_id, "peer", out);
        }
    }

    /// Logs a change of the rate limit of the back end. Peers are informed at once when a limit
    /// begins or ends; its value is part of each load report.
    fn on_rate_limit_changed(
        &mut self,
        incarnation: &Incarnation,
        before: Option<RequestRate>,
        request_id: &str,
        source: &'static str,
        out: &mut Actions,
    ) {
        let rate = self.stated_rate.rate(Some(incarnation));
        self.load_changed |= before.is_some() != rate.is_some();
        out.push(Action::Log(LogRecord::BackEndRateLimit {
            instance: incarnation.to_string(),
            before,
            rate,
            request_id: request_id.to_owned(),
            source,
            running: count(self.running.len()),
            queued: count(self.queue.len()),
        }));
    }
}
