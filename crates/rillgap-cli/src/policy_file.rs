//! Reading and writing of policy files in TOML.

use std::path::Path;

use rillgap_core::policy::Policy;

use crate::error::CommandError;

/// Reads and validates a policy file.
pub fn load(file: &Path) -> Result<Policy, CommandError> {
    let text = std::fs::read_to_string(file).map_err(|source| CommandError::Unreadable {
        file: file.to_owned(),
        source,
    })?;
    let policy: Policy = toml::from_str(&text).map_err(|source| CommandError::Syntax {
        file: file.to_owned(),
        source: Box::new(source),
    })?;
    policy.validate().map_err(|source| CommandError::Invalid {
        file: file.to_owned(),
        source,
    })?;
    Ok(policy)
}

/// Formats a policy as a policy file.
pub fn write(policy: &Policy) -> Result<String, CommandError> {
    toml::to_string(policy).map_err(|error| CommandError::Encode(error.to_string()))
}
