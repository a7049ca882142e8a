//! Errors of the command line.

use std::path::PathBuf;

use rillgap_core::code::ResultCode;
use rillgap_core::policy::InvalidPolicy;
use rillgap_operator::error::OperatorError;
use thiserror::Error;

/// Why a command failed.
#[derive(Debug, Error)]
pub enum CommandError {
    /// A policy file cannot be read.
    #[error("{}: {source}", file.display())]
    Unreadable {
        /// The file.
        file: PathBuf,
        /// What the system says.
        source: std::io::Error,
    },
    /// A policy file is no TOML, or has unknown keys or values of another type.
    #[error("{}: {source}", file.display())]
    Syntax {
        /// The file.
        file: PathBuf,
        /// Position, key and what was expected.
        source: Box<toml::de::Error>,
    },
    /// A policy file has values that are not allowed.
    #[error("{}: {source}", file.display())]
    Invalid {
        /// The file.
        file: PathBuf,
        /// Keys, values and what is allowed.
        source: InvalidPolicy,
    },
    /// A call failed.
    #[error("{0}")]
    Call(#[from] OperatorError),
    /// A change was sent and no answer told of its effect.
    #[error("{source}; follow it with `rillgapctl change {change}`")]
    Unsettled {
        /// UUID of the change.
        change: String,
        /// Last failure.
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
    /// Returns the numbered result, with which the process exits.
    pub fn code(&self) -> ResultCode {
        match self {
            Self::Unreadable { .. } => ResultCode::SettingsUnreadable,
            Self::Syntax { .. } | Self::Invalid { .. } => ResultCode::PolicyInvalid,
            Self::Call(error) | Self::Unsettled { source: error, .. } => error.code(),
            Self::Output(_) | Self::Encode(_) => ResultCode::Internal,
        }
    }
}
