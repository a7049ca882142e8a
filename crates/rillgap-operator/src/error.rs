//! Errors of the operators' interface.

use rillgap_core::code::ResultCode;
use rillgap_core::id::PolicyVersion;
use thiserror::Error;

/// A message of the schema that does not state what it must.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum MessageError {
    /// A field that must be there is absent.
    #[error("`{field}` is missing")]
    Missing {
        /// Path of the field.
        field: String,
    },
    /// A number does not fit.
    #[error("`{field}` = {value} is out of range; allowed are 0 to {maximum}")]
    OutOfRange {
        /// Path of the field.
        field: String,
        /// The value as sent.
        value: u32,
        /// Largest value that fits.
        maximum: u32,
    },
    /// An enumeration has a value that this version does not know, or none.
    #[error("`{field}` = {value} is not a known value")]
    UnknownValue {
        /// Path of the field.
        field: String,
        /// The number as sent.
        value: i32,
    },
    /// A change identifier is not a UUID.
    #[error("`change_id` = `{value}` is not a UUID")]
    ChangeId {
        /// The value as sent.
        value: String,
    },
}

/// Failure of a call, as its client sees it.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum OperatorError {
    /// No answer came. The call may or may not have taken effect.
    #[error("no answer from the node: {detail}")]
    Unreachable {
        /// What the transport says.
        detail: String,
    },
    /// The node answered with a numbered failure.
    #[error("{}: {detail}", code.title())]
    Failed {
        /// Numbered reason.
        code: ResultCode,
        /// Policy version in force at the node.
        version: PolicyVersion,
        /// What exactly is wrong.
        detail: String,
    },
    /// The answer is not what the schema asks for.
    #[error("malformed answer: {0}")]
    Malformed(#[from] MessageError),
}

impl OperatorError {
    /// Returns the numbered result of the call.
    pub fn code(&self) -> ResultCode {
        match self {
            Self::Unreachable { .. } => ResultCode::OperatorUnreachable,
            Self::Failed { code, .. } => *code,
            Self::Malformed(_) => ResultCode::Internal,
        }
    }
}
