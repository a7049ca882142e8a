//! Forwards answers of the local back end to the entry node.

use bytes::Bytes;

use super::{AttemptRunner, Phase};
use crate::action::{Action, Observation};
use crate::admission::Completion;
use crate::call::ports::Ports;
use crate::code::ResultCode;
use crate::event::BackEndFailure;
use crate::id::AttemptId;
use crate::message::CallMessage;
use crate::request::AnswerHead;
use crate::time::Now;

impl AttemptRunner {
    /// Reads more of an attempt's answer after the entry node has granted credit.
    pub fn on_credit(&mut self, attempt: AttemptId, bytes: u32, ports: &mut Ports<'_, '_>) {
        if self.attempts.contains_key(&attempt) {
            ports.emit(Action::ReadBackEnd { attempt, bytes });
        }
    }

    /// Forwards the head of the back end's answer.
    pub fn on_head(&mut self, attempt: AttemptId, head: AnswerHead, ports: &mut Ports<'_, '_>) {
        let load = self.admission.load();
        let Some(local) = self.attempts.get_mut(&attempt) else {
            return;
        };
        local.recorder.record_head(&head);
        ports.send(
            local.entry,
            CallMessage::AnswerHead {
                attempt,
                head,
                load,
            },
        );
    }

    /// Forwards a part of the back end's answer.
    pub fn on_body(&mut self, attempt: AttemptId, chunk: Bytes, ports: &mut Ports<'_, '_>) {
        let Some(local) = self.attempts.get_mut(&attempt) else {
            return;
        };
        let Phase::Running { parts, .. } = &mut local.phase else {
            return;
        };
        local.recorder.record_body(&chunk);
        let sequence = *parts;
        *parts += 1;
        let chunk = Vec::from(chunk);
        ports.send(
            local.entry,
            CallMessage::AnswerBody {
                attempt,
                sequence,
                chunk,
            },
        );
    }

    /// Completes an attempt whose answer has been read to its end.
    pub fn on_end(&mut self, now: Now, attempt: AttemptId, ports: &mut Ports<'_, '_>) {
        let Some((local, load)) = self.finish(now, attempt, Completion::Answered) else {
            return;
        };
        let Phase::Running { parts, .. } = local.phase else {
            return;
        };
        self.outage.on_answered();
        if let Some(keyed) = local.dispatch.key {
            self.guard
                .complete(now, keyed.key, local.recorder.into_answer());
        }
        let unspent = local.pool.available();
        ports.send(
            local.entry,
            CallMessage::AnswerEnd {
                attempt,
                parts,
                unspent,
                load,
            },
        );
    }

    /// Ends an attempt for which the back end gave no complete answer.
    pub fn on_failed(
        &mut self,
        now: Now,
        attempt: AttemptId,
        failure: BackEndFailure,
        ports: &mut Ports<'_, '_>,
    ) {
        let was_down = self.outage.is_down(now.instant);
        match failure {
            BackEndFailure::NotConnected => {
                self.end_not_run(now, attempt, ResultCode::BackEndUnreachable, ports);
                self.outage.on_unreachable(now.instant, self.running());
            }
            BackEndFailure::Shed => {
                self.end_not_run(now, attempt, ResultCode::BackEndShed, ports);
                self.outage.on_answered();
            }
            BackEndFailure::Broken => {
                self.end_failed(now, attempt, ResultCode::AnswerLost, ports);
                self.outage.on_broken(now.instant, self.running());
            }
        }
        if !was_down && self.outage.is_down(now.instant) {
            ports.emit(Action::Observe(Observation::BackEndDown { failure }));
        }
    }
}
