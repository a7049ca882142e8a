//! Reads TOML files; errors name the file, key and value.

use std::path::Path;

use figment::Figment;
use figment::error::Kind;
use figment::providers::{Format, Toml};
use serde::de::DeserializeOwned;

use super::SettingsError;
use super::check::Checker;

/// Reads a TOML file and deserializes it.
pub fn read<T: DeserializeOwned>(path: &Path) -> Result<T, SettingsError> {
    let text = std::fs::read_to_string(path).map_err(|source| SettingsError::Unreadable {
        file: path.to_owned(),
        source,
    })?;
    Figment::from(Toml::string(&text))
        .extract()
        .map_err(|error| describe(path, error))
}

/// Converts a deserialization error to one that names the file, key and value.
fn describe(path: &Path, error: figment::Error) -> SettingsError {
    let section = error.path.join(".");
    let qualified_key = |field: &str| match section.as_str() {
        "" => field.to_owned(),
        section => format!("{section}.{field}"),
    };
    let checker = Checker::new(path);
    match error.kind {
        // For an unknown field, the path of the error already includes the field.
        Kind::UnknownField(_, allowed) => SettingsError::UnknownKey {
            file: path.to_owned(),
            key: section,
            allowed: allowed.join(", "),
        },
        Kind::MissingField(field) => checker.missing(&qualified_key(&field)),
        Kind::InvalidType(actual, allowed) | Kind::InvalidValue(actual, allowed) => {
            checker.not_allowed(&section, actual, allowed)
        }
        Kind::UnknownVariant(value, allowed) => {
            checker.not_allowed(&section, value, allowed.join(", "))
        }
        kind => SettingsError::Malformed {
            file: path.to_owned(),
            detail: match section.as_str() {
                "" => kind.to_string(),
                section => format!("{section}: {kind}"),
            },
        },
    }
}
