//! Validates single values; each error names the file, key, value and allowed values.

use std::fmt::Display;
use std::net::{IpAddr, SocketAddr};
use std::ops::RangeInclusive;
use std::path::Path;

use super::SettingsError;

/// Maximum length of the name of a node, zone, region, service or back end, in bytes.
const MAX_NAME_LENGTH: usize = 63;

/// Validates the values of one settings file.
#[derive(Clone, Copy, Debug)]
pub struct Checker<'a> {
    file: &'a Path,
}

impl<'a> Checker<'a> {
    /// Creates a checker whose errors name `file`.
    pub const fn new(file: &'a Path) -> Self {
        Self { file }
    }

    /// Returns the number if it is within `allowed`.
    pub fn number(
        &self,
        key: &str,
        value: u64,
        allowed: RangeInclusive<u64>,
    ) -> Result<u64, SettingsError> {
        if allowed.contains(&value) {
            return Ok(value);
        }
        let range = format!("{} to {}", allowed.start(), allowed.end());
        Err(self.not_allowed(key, value, range))
    }

    /// Returns the number as a `usize` if it is within `allowed`.
    pub fn count(
        &self,
        key: &str,
        value: u64,
        allowed: RangeInclusive<u64>,
    ) -> Result<usize, SettingsError> {
        let number = self.number(key, value, allowed)?;
        Ok(usize::try_from(number).unwrap_or(usize::MAX))
    }

    /// Returns the name if it has 1 to 63 ASCII letters, digits, `-`, `_` and `.`.
    pub fn name(&self, key: &str, value: &str) -> Result<String, SettingsError> {
        let is_allowed = (1..=MAX_NAME_LENGTH).contains(&value.len())
            && value
                .bytes()
                .all(|byte| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte));
        if is_allowed {
            return Ok(value.to_owned());
        }
        let allowed = format!("1 to {MAX_NAME_LENGTH} ASCII letters, digits, '-', '_' and '.'");
        Err(self.not_allowed(key, quoted(value), allowed))
    }

    /// Parses an IP address with a port other than 0.
    pub fn address(&self, key: &str, value: &str) -> Result<SocketAddr, SettingsError> {
        match value.parse::<SocketAddr>() {
            Ok(address) if address.port() != 0 => Ok(address),
            _ => Err(self.not_allowed(key, quoted(value), "IP:port with a port of 1 to 65535")),
        }
    }

    /// Parses an IP address without a port.
    pub fn ip(&self, key: &str, value: &str) -> Result<IpAddr, SettingsError> {
        value
            .parse()
            .map_err(|_| self.not_allowed(key, quoted(value), "an IP address"))
    }

    /// Returns the URL path if it begins with `/` and consists of visible ASCII characters.
    pub fn url_path(&self, key: &str, value: &str) -> Result<String, SettingsError> {
        let is_allowed =
            value.starts_with('/') && value.bytes().all(|byte| byte.is_ascii_graphic());
        if is_allowed {
            return Ok(value.to_owned());
        }
        Err(self.not_allowed(key, quoted(value), "a path that begins with '/'"))
    }

    /// Creates the error for a value that is not allowed.
    pub fn not_allowed(
        &self,
        key: &str,
        value: impl Display,
        allowed: impl Into<String>,
    ) -> SettingsError {
        SettingsError::NotAllowed {
            file: self.file.to_owned(),
            key: key.to_owned(),
            value: value.to_string(),
            allowed: allowed.into(),
        }
    }

    /// Creates the error for a missing key.
    pub fn missing(&self, key: &str) -> SettingsError {
        SettingsError::MissingKey {
            file: self.file.to_owned(),
            key: key.to_owned(),
        }
    }
}

fn quoted(value: &str) -> String {
    format!("{value:?}")
}
