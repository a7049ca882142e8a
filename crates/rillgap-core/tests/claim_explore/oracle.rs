//! Compares the requests that ran with the results that callers received.

use std::collections::BTreeMap;

use rillgap_core::claim::settings::UNCHARGED_ATTEMPTS;
use rillgap_core::code::{Outcome, ResultCode};
use rillgap_core::id::{AttemptId, CallId, IdempotencyKey};
use rillgap_core::message::KeyedAttempt;

use crate::world::EXTRA_ATTEMPTS;

const MAX_ATTEMPTS_OF_KEY: usize = 1 + EXTRA_ATTEMPTS as usize + UNCHARGED_ATTEMPTS;

/// Execution of a request at a back end.
#[derive(Clone, Copy, Debug)]
pub struct Execution {
    pub keyed: KeyedAttempt,
    pub attempt: AttemptId,
    pub at: u64,
}

/// Result that a caller received.
#[derive(Clone, Copy, Debug)]
pub struct Reply {
    pub keyed: KeyedAttempt,
    pub call: CallId,
    pub code: ResultCode,
    pub at: u64,
}

/// Executions, dispatches and replies of one run.
#[derive(Debug, Default)]
pub struct Oracle {
    pub executions: Vec<Execution>,
    pub replies: Vec<Reply>,
    pub wrong_answers: u32,
    pub dispatched: BTreeMap<IdempotencyKey, usize>,
}

impl Oracle {
    /// Returns a description of the first violation.
    pub fn violation(&self) -> Option<String> {
        self.ran_twice()
            .or_else(|| self.false_not_run())
            .or_else(|| self.too_many_attempts())
            .or_else(|| (self.wrong_answers > 0).then(|| "another request's answer".to_owned()))
    }

    /// Returns how many callers received `outcome` from the claim protocol itself.
    pub fn claim_replies(&self, outcome: Outcome) -> usize {
        self.replies
            .iter()
            .filter(|reply| reply.code.outcome() == outcome)
            .filter(|reply| {
                !matches!(
                    reply.code,
                    ResultCode::AnswerLost | ResultCode::AnswerTimeout
                )
            })
            .count()
    }

    fn ran_twice(&self) -> Option<String> {
        self.executions
            .iter()
            .enumerate()
            .find_map(|(index, first)| {
                let second = self.executions[index + 1..]
                    .iter()
                    .find(|other| other.keyed.key == first.keyed.key)?;
                Some(format!("ran twice: {first:?} and {second:?}"))
            })
    }

    fn too_many_attempts(&self) -> Option<String> {
        self.dispatched
            .iter()
            .find(|(_, count)| **count > MAX_ATTEMPTS_OF_KEY)
            .map(|(key, count)| format!("{count} attempts: {key:?}"))
    }

    /// Detects false "not run" results: the request itself ran at any time, or the same request
    /// with the same key ran before the reply.
    fn false_not_run(&self) -> Option<String> {
        self.replies
            .iter()
            .filter(|reply| reply.code.outcome() == Outcome::NotRun)
            .find_map(|reply| {
                let execution = self.executions.iter().find(|execution| {
                    let same_call = execution.attempt.call == reply.call;
                    same_call || execution.keyed == reply.keyed && execution.at < reply.at
                })?;
                Some(format!(
                    "reported as not run: {reply:?}, but ran: {execution:?}"
                ))
            })
    }
}
