//! Errors of the operator service and its client.

use rillgap_core::code::ResultCode;
use rillgap_core::id::PolicyVersion;
use thiserror::Error;

/// Error in a message of the schema.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum MessageError {
    /// A required field is missing.
    #[error("`{field}` is missing")]
    Missing {
        /// Path of the field.
        field: String,
    },
    /// A number exceeds the range of its field.
    #[error("`{field}` = {value} is out of range; allowed are 0 to {maximum}")]
    OutOfRange {
        /// Path of the field.
        field: String,
        /// Value that was received.
        value: u32,
        /// Maximum value of the field.
        maximum: u32,
    },
    /// An enum field is unspecified or has a value that is unknown to this version.
    #[error("`{field}` = {value} is not a known value")]
    UnknownValue {
        /// Path of the field.
        field: String,
        /// Number that was received.
        value: i32,
    },
    /// A change identifier is not a UUID.
    #[error("`change_id` = `{value}` is not a UUID")]
    ChangeId {
        /// Text that was received.
        value: String,
    },
}

/// Error of a call, as returned by the client.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum OperatorError {
    /// No answer was received. The call may or may not have taken effect.
    #[error("no answer from the node: {detail}")]
    Unreachable {
        /// Message of the transport.
        detail: String,
    },
    /// The node answered with a result code of a failure.
    #[error("{}: {detail}", code.title())]
    Failed {
        /// Result code.
        code: ResultCode,
        /// Policy version in force at the node; zero if there is none or the failure did not
        /// come from the node.
        version: PolicyVersion,
        /// Description of the failure.
        detail: String,
    },
    /// The answer does not follow the schema.
    #[error("malformed answer: {0}")]
    Malformed(#[from] MessageError),
}

impl OperatorError {
    /// Returns the result code of the call.
    pub fn code(&self) -> ResultCode {
        match self {
            Self::Unreachable { .. } => ResultCode::OperatorUnreachable,
            Self::Failed { code, .. } => *code,
            Self::Malformed(_) => ResultCode::Internal,
        }
    }
}
