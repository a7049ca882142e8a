//! Which refusals and failures are worth another attempt.

use crate::code::ResultCode;

/// Most attempts of one call that are moved to another back end without charge.
pub const MAX_REROUTES: u8 = 3;

/// Whether and at whose cost another attempt may be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retry {
    /// Another attempt would fare no better.
    Never,
    /// The attempt met a node that takes nothing and cost no back end any work: it is moved
    /// without charge, at most [`MAX_REROUTES`] times.
    Reroute,
    /// Another attempt is charged to the chain's pool and to the service's retry budget.
    Budgeted,
}

/// Returns whether another attempt may follow one that ended with `code`.
pub const fn kind(code: ResultCode) -> Retry {
    match code {
        ResultCode::NodeStopping
        | ResultCode::NotReady
        | ResultCode::BackEndLeaving
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
