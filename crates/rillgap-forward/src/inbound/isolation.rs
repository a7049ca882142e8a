//! Isolates suspect requests and attributes crashes of the local back end to requests.

use std::collections::BTreeSet;

use rillgap_core::code::ResultCode;
use rillgap_core::time::Instant;

use super::completion::{Ended, INTERNAL_SERVER_ERROR};
use super::lost_requests::{Crash, HeldRequest, LossAction};
use super::{Arrival, Inbound, Running};
use crate::action::{Action, Actions};
use crate::crash::{Suspect, Suspicion};
use crate::event::{ExchangeResult, ProbeResult};
use crate::incarnation::Incarnation;
use crate::log_record::{LogRecord, LostRequest};
use crate::message::{ForwardResult, ForwardedRequest};

/// Maximum body size, in bytes, of an answered request that is remembered while there is no crash
/// evidence: the fingerprint of a longer one costs more than it is worth.
const MAX_REMEMBERED_BODY_BYTES: usize = 4_096;

impl Inbound {
    /// Returns the suspicion against the content of a request.
    pub fn suspicion(&self, now: Instant, request: &ForwardedRequest) -> Suspicion {
        if self.crashes.is_empty() {
            return Suspicion::Clear;
        }
        self.crashes.suspicion(now, request.content())
    }

    /// Starts requests that wait for isolation while no isolated request runs.
    pub(super) fn start_isolated(&mut self, now: Instant, out: &mut Actions) {
        while self.isolated.is_none() && self.has_capacity(now) {
            let Some(arrival) = self.isolated_queue.pop() else {
                return;
            };
            self.start_or_refuse(now, arrival, out);
        }
    }

    /// Starts a request whose wait for isolation has reached its cutoff, or refuses it. It is not
    /// refused for one crash, which another request may have caused. From the second crash on it
    /// runs alone or not at all: recurrent requests that run together crash the back end once more,
    /// and the crash does not show which of them it was.
    pub(super) fn start_unisolated(&mut self, now: Instant, arrival: Arrival, out: &mut Actions) {
        let is_recurrent = self.suspicion(now, &arrival.request) >= Suspicion::Recurrent;
        if self.has_capacity(now) && !is_recurrent {
            self.start_or_refuse(now, arrival, out);
        } else {
            let code = self.shed_code(now);
            self.refuse(now, &arrival, code, out);
        }
    }

    /// Starts a queued request, or refuses it if it was quarantined meanwhile or cannot meet its
    /// deadline any more.
    pub(super) fn start_or_refuse(
        &mut self,
        now: Instant,
        mut arrival: Arrival,
        out: &mut Actions,
    ) {
        let suspicion = self.suspicion(now, &arrival.request);
        if suspicion == Suspicion::Quarantined {
            self.refuse(now, &arrival, ResultCode::Quarantined, out);
        } else if self.cannot_meet_deadline(now, &arrival) {
            self.refuse(now, &arrival, ResultCode::DeadlineUnmet, out);
        } else {
            arrival.is_isolated = suspicion.is_isolated() && self.isolated.is_none();
            self.start(now, arrival, out);
        }
    }

    /// Holds a request whose answer was lost until it is known whether the back end has crashed.
    pub(super) fn hold_lost_request(&mut self, now: Instant, running: Running) {
        let incarnation = running.incarnation.clone();
        let lost = LostRequest {
            instance: incarnation.to_string(),
            content: running.request.content(),
        };
        self.lost_requests.push(now, incarnation, running, lost);
    }

    /// Answers a request whose result does not depend on whether the back end has crashed.
    pub(super) fn answer_completed(
        &mut self,
        now: Instant,
        running: Running,
        result: ExchangeResult,
        out: &mut Actions,
    ) {
        if let ExchangeResult::Answered(answer) = &result {
            self.lost_requests.on_answer(now, &running.incarnation);
            if answer.status < INTERNAL_SERVER_ERROR {
                self.exonerate(now, &running.request);
                let route = &running.request.route;
                self.call_profile.record(route, &running.calls);
            }
        }
        let result = self.forward_result(now, result);
        if running.is_awaited {
            self.log_failure(now, &running, &result, out);
            self.respond_running(now, running, result, out);
        }
    }

    /// Exonerates the content of a request that the back end answered completely and without a
    /// server error. A back end that fails some of its requests, or runs out of time, may have
    /// answered before it reached the code that crashes it.
    fn exonerate(&mut self, now: Instant, request: &ForwardedRequest) {
        let is_short = request.body.len() <= MAX_REMEMBERED_BODY_BYTES;
        if is_short || !self.crashes.is_empty() {
            self.crashes.on_answer(now, request.content());
        }
    }

    /// Requests a health probe if the losses may mean that the back end has crashed.
    pub(super) fn poll_lost_requests(&mut self, now: Instant) {
        let Some(began_at) = self.lost_requests.began_at() else {
            return;
        };
        let others_run = self
            .running
            .values()
            .any(|running| running.started < began_at);
        if self.lost_requests.poll(now, others_run) == LossAction::Probe {
            self.back_end.request_probe();
        }
    }

    /// Determines from the result of a health probe whether the back end has crashed.
    pub(super) fn resolve_losses(&mut self, now: Instant, result: &ProbeResult, out: &mut Actions) {
        let crash = match result {
            ProbeResult::Refused => self.lost_requests.on_process_ended(None),
            ProbeResult::Healthy { instance } => {
                let named = self
                    .back_end
                    .resolve_incarnation(&Incarnation::without_start(instance));
                let crash = self.lost_requests.on_process_ended(Some(&named));
                self.lost_requests.on_alive(&named);
                crash
            }
            ProbeResult::Unhealthy => {
                if let Some(incarnation) = self.back_end.incarnation() {
                    self.lost_requests.on_alive(incarnation);
                }
                None
            }
            ProbeResult::Unreachable => None,
        };
        if let Some(crash) = crash {
            self.record_crash(now, &crash, out);
        }
    }

    fn record_crash(&mut self, now: Instant, crash: &Crash, out: &mut Actions) {
        let known: BTreeSet<_> = crash
            .suspects
            .iter()
            .map(|suspect| suspect.content)
            .filter(|content| self.crashes.suspicion(now, *content) >= Suspicion::Suspected)
            .collect();
        let is_only_one = known.len() == 1;
        let suspects: Vec<Suspect> = crash
            .suspects
            .iter()
            .map(|suspect| Suspect {
                was_only_suspect: suspect.was_only_suspect && is_only_one,
                ..*suspect
            })
            .collect();
        self.crashes.on_crash(now, &crash.incarnation, &suspects);
        out.push(Action::Log(LogRecord::BackEndCrashed {
            instance: crash.incarnation.to_string(),
            in_flight: suspects.len(),
            previously_suspected: known.len(),
        }));
    }

    /// Answers the lost requests for which it is known whether the back end has crashed, or whose
    /// hold timeout has passed.
    pub(crate) fn release_lost_requests(&mut self, now: Instant, out: &mut Actions) {
        let (code, released) = self.lost_requests.take_released();
        for HeldRequest { running, lost } in released {
            self.log_not_answered(
                now,
                &Ended::without_answer(&running, &lost),
                code,
                None,
                out,
            );
            let result = ForwardResult::Unknown { code };
            self.respond_running(now, running, result, out);
        }
    }
}
