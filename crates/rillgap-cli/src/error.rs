//! Errors of commands and their exit codes.

use std::path::PathBuf;

use rillgap_core::code::ResultCode;
use rillgap_core::policy::InvalidPolicy;
use rillgap_operator::error::OperatorError;
use thiserror::Error;

/// Why a command failed.
#[derive(Debug, Error)]
pub enum CommandError {
    /// A policy file or a log cannot be read.
    #[error("{}: {source}", file.display())]
    Unreadable {
        /// Path of the file.
        file: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A policy file is not valid TOML, or has unknown keys or values of a wrong type.
    #[error("{}: {source}", file.display())]
    Syntax {
        /// Path of the file.
        file: PathBuf,
        /// Position, key and expected value.
        source: Box<toml::de::Error>,
    },
    /// A policy file has values that are not allowed.
    #[error("{}: {source}", file.display())]
    Invalid {
        /// Path of the file.
        file: PathBuf,
        /// Keys, their values and the allowed ranges.
        source: InvalidPolicy,
    },
    /// A call to a node failed.
    #[error("{0}")]
    Call(#[from] OperatorError),
    /// A change was sent, but its answers were lost, so its effect is not known.
    #[error("{source}; follow it with `rillgapctl change {change}`")]
    Unsettled {
        /// UUID of the change.
        change: String,
        /// Error of the last call.
        source: OperatorError,
    },
    /// The output cannot be written.
    #[error("cannot write the output: {0}")]
    Output(#[from] std::io::Error),
    /// The output cannot be encoded.
    #[error("cannot encode the output: {0}")]
    Encode(String),
}

impl CommandError {
    /// Returns the result code, which is also the exit code of the process.
    pub fn code(&self) -> ResultCode {
        match self {
            Self::Unreadable { .. } => ResultCode::SettingsUnreadable,
            Self::Syntax { .. } | Self::Invalid { .. } => ResultCode::PolicyInvalid,
            Self::Call(error) | Self::Unsettled { source: error, .. } => error.code(),
            Self::Output(_) | Self::Encode(_) => ResultCode::Internal,
        }
    }
}
