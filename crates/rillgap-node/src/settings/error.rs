//! Defines the errors of settings, which name the file, key, value and allowed values.

use std::io;
use std::path::PathBuf;

use rillgap_core::code::ResultCode;

/// Reason why settings were rejected.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The settings file or the policy file cannot be read.
    #[error("cannot read {}: {source}", file.display())]
    Unreadable {
        /// Path of the file.
        file: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A file is not valid TOML, or does not match the expected structure.
    #[error("{} is malformed: {detail}", file.display())]
    Malformed {
        /// Path of the file.
        file: PathBuf,
        /// Description of the error, with the section if it is known.
        detail: String,
    },
    /// A file contains an unknown key.
    #[error("unknown key {key} in {}, allowed: {allowed}", file.display())]
    UnknownKey {
        /// Path of the file.
        file: PathBuf,
        /// Key with its section, such as `limits.body-bytes`.
        key: String,
        /// Allowed keys of that section, separated by commas.
        allowed: String,
    },
    /// A required key is missing.
    #[error("missing key {key} in {}", file.display())]
    MissingKey {
        /// Path of the file.
        file: PathBuf,
        /// Key with its section, such as `limits.body-bytes`.
        key: String,
    },
    /// A value is of the wrong type or out of range.
    #[error("{key} = {value} in {} is not allowed, allowed: {allowed}", file.display())]
    NotAllowed {
        /// Path of the file.
        file: PathBuf,
        /// Key with its section, such as `limits.body-bytes`.
        key: String,
        /// Rejected value, as read from the file.
        value: String,
        /// Description of the allowed values.
        allowed: String,
    },
}

impl SettingsError {
    /// Returns the result code that the process exits with.
    pub const fn code(&self) -> ResultCode {
        match self {
            Self::Unreadable { .. } => ResultCode::SettingsUnreadable,
            _ => ResultCode::SettingsInvalid,
        }
    }
}
