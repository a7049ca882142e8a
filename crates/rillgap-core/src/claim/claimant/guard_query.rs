//! Queries the dispatch guard of the attempt that holds a key.

use super::Claimant;
use super::pending::Stage;
use crate::claim::ClaimResult;
use crate::claim::electorate::Electorate;
use crate::claim::message::{ClaimMessage, GuardQuery, GuardReply, KeyHolder, KeyState};
use crate::claim::settings::{GUARD_RESEND_INTERVAL, GUARD_TIMEOUT};
use crate::code::ResultCode;
use crate::id::AttemptId;
use crate::time::Now;

impl Claimant {
    /// Handles the reply of a guard about the holder of a key.
    pub fn on_guard_reply(&mut self, now: Now, reply: GuardReply, electorate: &dyn Electorate) {
        let Some(pending) = self.pending.get_mut(&reply.claimant) else {
            return;
        };
        let Stage::QueryingGuard { holder, .. } = &pending.stage else {
            return;
        };
        if holder.attempt != reply.holder {
            return;
        }
        let completed = holder.completed;
        let code = match reply.state {
            KeyState::Barred => {
                pending.barred = Some(reply.holder);
                self.begin_round(now, reply.claimant, electorate);
                return;
            }
            KeyState::Completed(remembered) => {
                self.finish(reply.claimant, ClaimResult::Completed(remembered));
                return;
            }
            KeyState::NotStarted | KeyState::Running | KeyState::Full => ResultCode::InProgress,
            KeyState::AnswerForgotten => ResultCode::AnswerForgotten,
            KeyState::OtherIncarnation if completed => ResultCode::AnswerForgotten,
            KeyState::OtherIncarnation | KeyState::Failed => ResultCode::ResultLost,
            KeyState::OtherRequest => ResultCode::KeyReused,
        };
        self.refuse(now, reply.claimant, code);
    }

    pub(super) fn query_guard(
        &mut self,
        now: Now,
        attempt: AttemptId,
        holder: KeyHolder,
        electorate: &dyn Electorate,
    ) {
        if electorate.address(holder.guard.node).is_none() {
            self.refuse(now, attempt, ResultCode::AnswerLost);
            return;
        }
        let Some(pending) = self.pending.get_mut(&attempt) else {
            return;
        };
        pending.stage = Stage::QueryingGuard {
            holder,
            reply_deadline: now.instant + GUARD_TIMEOUT,
        };
        self.send_guard_query(now, attempt);
    }

    pub(super) fn send_guard_query(&mut self, now: Now, attempt: AttemptId) {
        let Some(pending) = self.pending.get(&attempt) else {
            return;
        };
        let Stage::QueryingGuard {
            holder,
            reply_deadline,
        } = &pending.stage
        else {
            return;
        };
        let query = GuardQuery {
            key: pending.request.keyed.key,
            fingerprint: pending.request.keyed.fingerprint,
            holder: holder.attempt,
            incarnation: holder.guard.incarnation,
            bar: !holder.protected && !holder.completed,
            claimant: attempt,
        };
        let to = holder.guard.node;
        let wake = (now.instant + GUARD_RESEND_INTERVAL).min(*reply_deadline);
        self.send(to, ClaimMessage::GuardQuery(query));
        self.schedule_timer(attempt, wake);
    }
}
