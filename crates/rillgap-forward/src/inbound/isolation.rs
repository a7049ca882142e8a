//! What the node beside a back end does about requests under which back ends end.

use std::collections::BTreeSet;

use rillgap_core::code::ResultCode;
use rillgap_core::time::Instant;

use super::ending::SERVER_ERROR;
use super::losses::{Crash, Due, Held};
use super::{Arrival, Inbound, Running};
use crate::action::{Action, Actions};
use crate::crash::{Suspect, Suspicion};
use crate::event::{ExchangeResult, ProbeResult};
use crate::incarnation::Incarnation;
use crate::log_record::{LogRecord, LostRequest};
use crate::message::{ForwardResult, ForwardedRequest};

/// Longest body with which an answered request is remembered although no back end has ended: the fingerprint of a long one
/// costs more than it is worth.
const LONGEST_REMEMBERED_BODY: usize = 4_096;

impl Inbound {
    /// Returns the standing of what a request asks for.
    pub fn suspicion(&self, now: Instant, request: &ForwardedRequest) -> Suspicion {
        if self.crashes.is_empty() {
            return Suspicion::Clear;
        }
        self.crashes.suspicion(now, request.content())
    }

    /// Starts the next request that waits for isolation, if none runs.
    pub(super) fn start_isolated(&mut self, now: Instant, out: &mut Actions) {
        while self.isolated.is_none() && self.has_room() {
            let Some(arrival) = self.isolated_queue.pop() else {
                return;
            };
            self.start_or_refuse(now, arrival, out);
        }
    }

    /// Starts a request that has waited for isolation long enough: it is not refused for what others may have done.
    pub(super) fn start_unisolated(&mut self, now: Instant, arrival: Arrival, out: &mut Actions) {
        if self.has_room() {
            self.start_or_refuse(now, arrival, out);
        } else {
            self.refuse(now, &arrival, ResultCode::QueueFull, out);
        }
    }

    /// Starts a request that has waited, by what is known of it now.
    pub(super) fn start_or_refuse(
        &mut self,
        now: Instant,
        mut arrival: Arrival,
        out: &mut Actions,
    ) {
        let suspicion = self.suspicion(now, &arrival.request);
        if suspicion == Suspicion::Quarantined {
            self.refuse(now, &arrival, ResultCode::Quarantined, out);
        } else if self.is_doomed(now, &arrival) {
            self.refuse(now, &arrival, ResultCode::DeadlineUnmet, out);
        } else {
            arrival.is_isolated = suspicion.is_isolated() && self.isolated.is_none();
            self.start(now, arrival, out);
        }
    }

    /// Keeps a request whose answer was lost until it is known whether the back end has ended.
    pub(super) fn hold_lost(&mut self, now: Instant, running: Running) {
        let incarnation = running.incarnation.clone();
        let lost = LostRequest {
            instance: incarnation.to_string(),
            content: running.request.content(),
        };
        self.losses.push(now, incarnation, running, lost);
    }

    /// Answers a request that has ended otherwise.
    pub(super) fn answer_ended(
        &mut self,
        now: Instant,
        running: Running,
        result: ExchangeResult,
        out: &mut Actions,
    ) {
        if let ExchangeResult::Answered(answer) = &result {
            self.losses.on_answer(now, &running.incarnation);
            if answer.status < SERVER_ERROR {
                self.exonerate(now, &running.request);
            }
        }
        let result = self.forward_result(result);
        if running.is_awaited {
            self.note_failure(now, &running, &result, out);
            self.respond_running(now, running, result, out);
        }
    }

    /// Takes in that the back end has answered a request whole and without a failure of its own: one that fails a part of its
    /// requests, or is out of time, may not have come to what ends it.
    fn exonerate(&mut self, now: Instant, request: &ForwardedRequest) {
        let is_short = request.body.len() <= LONGEST_REMEMBERED_BODY;
        if is_short || !self.crashes.is_empty() {
            self.crashes.on_answer(now, request.content());
        }
    }

    /// Asks the health endpoint if losses may mean that the back end has ended.
    pub(super) fn look_into_losses(&mut self, now: Instant) {
        let Some(began_at) = self.losses.began_at() else {
            return;
        };
        let others_run = self
            .running
            .values()
            .any(|running| running.started < began_at);
        if self.losses.poll(now, others_run) == Due::Ask {
            self.back_end.ask();
        }
    }

    /// Learns from an answer of the health endpoint what losses mean.
    pub(super) fn explain_losses(&mut self, now: Instant, result: &ProbeResult, out: &mut Actions) {
        let crash = match result {
            ProbeResult::Refused => self.losses.on_ended(None),
            ProbeResult::Healthy { instance } => {
                let named = self.back_end.meant(&Incarnation::without_start(instance));
                let crash = self.losses.on_ended(Some(&named));
                self.losses.on_alive(&named);
                crash
            }
            ProbeResult::Unhealthy => {
                if let Some(incarnation) = self.back_end.incarnation() {
                    self.losses.on_alive(incarnation);
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
                was_alone: suspect.was_alone && is_only_one,
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

    /// Answers the lost requests of which it is known whether the back end has ended, or that have waited
    /// for it long enough.
    pub(crate) fn release_lost_requests(&mut self, now: Instant, out: &mut Actions) {
        let (code, released) = self.losses.take_released();
        for Held { running, lost } in released {
            let Running {
                request, arrived, ..
            } = &running;
            self.note_not_answered(now, request, *arrived, code, Some(lost), out);
            let result = ForwardResult::Unknown { code };
            self.respond_running(now, running, result, out);
        }
    }
}
