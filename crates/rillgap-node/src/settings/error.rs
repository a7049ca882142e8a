//! Errors of settings, which name file, key, value and what is allowed.

use std::io;
use std::path::PathBuf;

use rillgap_core::code::ResultCode;

/// Why settings were refused.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// A file cannot be read.
    #[error("cannot read {}: {source}", file.display())]
    Unreadable {
        /// The file.
        file: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// A file is not TOML.
    #[error("{} is malformed: {detail}", file.display())]
    Malformed {
        /// The file.
        file: PathBuf,
        /// Where and why.
        detail: String,
    },
    /// A key is unknown.
    #[error("unknown key {key} in {}, allowed: {allowed}", file.display())]
    UnknownKey {
        /// The file.
        file: PathBuf,
        /// The key with its section.
        key: String,
        /// Keys of that section.
        allowed: String,
    },
    /// A key is missing.
    #[error("missing key {key} in {}", file.display())]
    MissingKey {
        /// The file.
        file: PathBuf,
        /// The key with its section.
        key: String,
    },
    /// A value is of the wrong type or out of range.
    #[error("{key} = {value} in {} is not allowed, allowed: {allowed}", file.display())]
    NotAllowed {
        /// The file.
        file: PathBuf,
        /// The key with its section.
        key: String,
        /// The value as read.
        value: String,
        /// Allowed values.
        allowed: String,
    },
}

impl SettingsError {
    /// Returns the numbered result code, with which the process exits.
    pub const fn code(&self) -> ResultCode {
        match self {
            Self::Unreadable { .. } => ResultCode::SettingsUnreadable,
            _ => ResultCode::SettingsInvalid,
        }
    }
}
