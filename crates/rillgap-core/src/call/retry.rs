//! Classifies refusals and failures by whether they may be retried.

use crate::code::ResultCode;

/// Maximum retries of one call that are not charged to a retry budget.
pub const MAX_REROUTES: u8 = 3;

/// Whether an attempt may be retried, and which budgets the retry is charged to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retry {
    /// No retry, because it would end in the same way.
    Never,
    /// The node takes no attempts and no back end did any work: the retry at another back end
    /// is not charged, up to [`MAX_REROUTES`] times.
    Reroute,
    /// The retry is charged to the chain's retry pool and to the service's retry budget.
    Budgeted,
}

/// Returns how an attempt that ended with `code` may be retried.
pub const fn kind(code: ResultCode) -> Retry {
    match code {
        ResultCode::NodeStopping
        | ResultCode::NotReady
        | ResultCode::BackEndLeaving
        | ResultCode::BackEndDown
        | ResultCode::WrongIncarnation => Retry::Reroute,
        ResultCode::QueueFull
        | ResultCode::BackEndShed
        | ResultCode::BackEndUnreachable
        | ResultCode::NoBackEnd
        | ResultCode::AnswerLost
        | ResultCode::AnswerBroken => Retry::Budgeted,
        _ => Retry::Never,
    }
}
