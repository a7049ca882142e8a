//! Settings file of a sidecar node, in TOML.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use rillgap_core::code::ResultCode;
use rillgap_forward::buffer_account::BufferLimits;
use rillgap_forward::message::NodeRecord;
use rillgap_forward::settings::{ForwardSettings, RetryBound};
use serde::Deserialize;

/// Longest answer that fits into a message between nodes, in bytes.
const MAX_ANSWER_BYTES: usize = 15 * 1024 * 1024;

/// Why settings are refused.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("cannot read {path}: {cause}")]
    Unreadable {
        /// Path of the settings file.
        path: PathBuf,
        /// Error of the operating system.
        cause: std::io::Error,
    },
    /// The file is not valid TOML, or has an unknown key or a value of the wrong type.
    #[error("{path}: {cause}")]
    Malformed {
        /// Path of the settings file.
        path: PathBuf,
        /// Error of the TOML parser.
        cause: Box<toml::de::Error>,
    },
    /// A value is out of range.
    #[error("{path}: {key} = {value}: must be {expected}")]
    OutOfRange {
        /// Path of the settings file.
        path: PathBuf,
        /// Key with its section, such as `node.name`.
        key: &'static str,
        /// Value found.
        value: String,
        /// Allowed values, in words.
        expected: &'static str,
    },
}

impl SettingsError {
    /// Returns the numbered result code, with which the process exits.
    pub const fn code(&self) -> ResultCode {
        match self {
            Self::Unreadable { .. } => ResultCode::SettingsUnreadable,
            Self::Malformed { .. } | Self::OutOfRange { .. } => ResultCode::SettingsInvalid,
        }
    }
}

/// Settings of a sidecar node.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct SidecarSettings {
    /// Name and location of the node.
    pub node: NodeSection,
    /// Addresses to listen on.
    pub listen: ListenSection,
    /// The back end beside the node.
    pub back_end: BackEndSection,
    /// Access to the store.
    pub store: StoreSection,
    /// Bounds that hold for the whole deployment.
    #[serde(default)]
    pub bounds: BoundsSection,
    /// Limits of what the node holds for callers, back ends and peers.
    #[serde(default)]
    pub buffers: BuffersSection,
    /// Limits of the log.
    #[serde(default)]
    pub log: LogSection,
}

/// Section `[node]`.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct NodeSection {
    /// Name, unique in the deployment.
    pub name: String,
    /// Failure zone.
    pub zone: String,
    /// Region of the zone.
    pub region: String,
    /// Whether all nodes of the deployment are starting at once, for the first time.
    #[serde(default)]
    pub first_start: bool,
}

/// Section `[listen]`.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct ListenSection {
    /// HTTP for callers and for the back end's own calls.
    pub callers: SocketAddr,
    /// HTTP for heartbeats of the back end.
    pub control: SocketAddr,
    /// HTTP for readiness.
    pub readiness: SocketAddr,
    /// Links of other nodes.
    pub mesh: SocketAddr,
    /// Address at which other nodes reach `mesh`; the same as `mesh` if left out.
    pub mesh_advertised: Option<SocketAddr>,
    /// HTTP for metrics; not served if left out.
    pub metrics: Option<SocketAddr>,
}

/// Section `[back-end]`.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct BackEndSection {
    /// Service that the back end runs.
    pub service: String,
    /// Address at which the back end accepts requests.
    pub address: SocketAddr,
    /// Interval between two heartbeats of the back end, in seconds.
    #[serde(rename = "heartbeat-seconds")]
    pub heartbeat: Seconds,
}

/// Section `[store]`.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct StoreSection {
    /// Address of the store.
    pub address: SocketAddr,
    /// Write calls per second that the store accepts from all nodes together.
    #[serde(default = "default_writes_per_second")]
    pub writes_per_second: f64,
}

const fn default_writes_per_second() -> f64 {
    400.0
}

/// Section `[bounds]`.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct BoundsSection {
    /// Maximum duration of a planned stop, in seconds.
    pub grace_seconds: Seconds,
    /// Maximum ratio of retries to requests, summed over all nodes.
    pub retry_ratio: f64,
    /// Retries that are allowed in addition to `retry_ratio`.
    pub retry_slack: f64,
    /// Time window to which `retry_ratio` and `retry_slack` apply, in seconds.
    pub retry_window_seconds: Seconds,
    /// Maximum time until a revoked key stops working, in seconds, also at a node that is cut off;
    /// no maximum if left out.
    pub revocation_seconds: Option<Seconds>,
}

impl Default for BoundsSection {
    fn default() -> Self {
        Self {
            grace_seconds: Seconds(6_000),
            retry_ratio: 0.2,
            retry_slack: 50.0,
            retry_window_seconds: Seconds(10_000),
            revocation_seconds: None,
        }
    }
}

/// Section `[buffers]`.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct BuffersSection {
    /// Maximum number of bytes that the node holds for callers, back ends and peers.
    pub total_bytes: usize,
    /// Maximum length of an answer of a back end, in bytes.
    pub answer_bytes: usize,
    /// Maximum length of an answer that does not state its length, in bytes.
    pub open_ended_answer_bytes: usize,
}

impl Default for BuffersSection {
    fn default() -> Self {
        Self {
            total_bytes: 16 * 1024 * 1024,
            answer_bytes: 9 * 1024 * 1024,
            open_ended_answer_bytes: 2 * 1024 * 1024,
        }
    }
}

/// Section `[log]`.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct LogSection {
    /// One of this many successful requests is logged; 0 logs none.
    pub success_sample: u32,
    /// Lines per second beyond which records about requests are omitted.
    pub lines_per_second: u32,
}

impl Default for LogSection {
    fn default() -> Self {
        Self {
            success_sample: 64,
            lines_per_second: 200,
        }
    }
}

/// A duration, written as seconds with an optional fraction and stored in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(try_from = "f64")]
pub struct Seconds(u64);

impl Seconds {
    /// Returns the duration.
    pub const fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

impl TryFrom<f64> for Seconds {
    type Error = &'static str;

    fn try_from(seconds: f64) -> Result<Self, Self::Error> {
        if !(0.0..=86_400.0).contains(&seconds) {
            return Err("must be between 0 and 86400 seconds");
        }
        Ok(Self((seconds * 1_000.0).round() as u64))
    }
}

impl SidecarSettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read, is malformed or holds a value that is out of range.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path).map_err(|cause| SettingsError::Unreadable {
            path: path.to_owned(),
            cause,
        })?;
        Self::parse(path, &text)
    }

    /// Checks the text of a settings file.
    ///
    /// # Errors
    ///
    /// Fails if the text is malformed or holds a value that is out of range.
    pub fn parse(path: &Path, text: &str) -> Result<Self, SettingsError> {
        let settings: Self = toml::from_str(text).map_err(|cause| SettingsError::Malformed {
            path: path.to_owned(),
            cause: Box::new(cause),
        })?;
        settings.check(path)?;
        Ok(settings)
    }

    /// Returns the settings of the node's state machine.
    pub fn forward_settings(&self, incarnation: u64, random_seed: u64) -> ForwardSettings {
        ForwardSettings {
            record: NodeRecord {
                name: self.node.name.clone(),
                address: self.listen.mesh_advertised.unwrap_or(self.listen.mesh),
                zone: self.node.zone.clone(),
                service: self.back_end.service.clone(),
            },
            is_first_start: self.node.first_start,
            store_writes_per_second: self.store.writes_per_second,
            incarnation,
            random_seed,
            back_end_address: self.back_end.address,
            heartbeat_interval: self.back_end.heartbeat.duration(),
            grace: self.bounds.grace_seconds.duration(),
            retry_bound: RetryBound {
                ratio: self.bounds.retry_ratio,
                slack: self.bounds.retry_slack as u32,
                window: self.bounds.retry_window_seconds.duration(),
            },
            revocation: self.bounds.revocation_seconds.map(Seconds::duration),
        }
    }

    /// Returns the limits of what the node holds for callers, back ends and peers.
    pub const fn buffer_limits(&self) -> BufferLimits {
        BufferLimits {
            total: self.buffers.total_bytes,
            answer: self.buffers.answer_bytes,
            open_ended_answer: self.buffers.open_ended_answer_bytes,
        }
    }

    fn check(&self, path: &Path) -> Result<(), SettingsError> {
        let out_of_range = |key, value: String, expected| SettingsError::OutOfRange {
            path: path.to_owned(),
            key,
            value,
            expected,
        };
        if self.node.name.is_empty() {
            let value = self.node.name.clone();
            return Err(out_of_range("node.name", value, "a name"));
        }
        if self.back_end.service.is_empty() {
            let value = self.back_end.service.clone();
            return Err(out_of_range("back-end.service", value, "a name"));
        }
        if !(0.0..=10.0).contains(&self.bounds.retry_ratio) {
            let value = self.bounds.retry_ratio.to_string();
            return Err(out_of_range(
                "bounds.retry-ratio",
                value,
                "between 0 and 10",
            ));
        }
        let buffers = &self.buffers;
        let longest = buffers.total_bytes.min(MAX_ANSWER_BYTES);
        if buffers.answer_bytes == 0 || buffers.answer_bytes > longest {
            let value = buffers.answer_bytes.to_string();
            let expected = "at least 1, at most buffers.total-bytes and 15 MiB";
            return Err(out_of_range("buffers.answer-bytes", value, expected));
        }
        let open_ended = buffers.open_ended_answer_bytes;
        if open_ended == 0 || open_ended > buffers.answer_bytes {
            let expected = "at least 1 and at most buffers.answer-bytes";
            let key = "buffers.open-ended-answer-bytes";
            return Err(out_of_range(key, open_ended.to_string(), expected));
        }
        if !(1.0..=1_000_000.0).contains(&self.store.writes_per_second) {
            let value = self.store.writes_per_second.to_string();
            let expected = "between 1 and 1000000";
            return Err(out_of_range("store.writes-per-second", value, expected));
        }
        let revocation = self.bounds.revocation_seconds.map(Seconds::duration);
        if revocation.is_some_and(|revocation| revocation < Duration::from_secs(1)) {
            let value = format!("{revocation:?}");
            let expected = "at least 1 second";
            return Err(out_of_range("bounds.revocation-seconds", value, expected));
        }
        if self.bounds.retry_window_seconds.duration() < Duration::from_secs(1) {
            let value = format!("{:?}", self.bounds.retry_window_seconds.duration());
            let expected = "at least 1 second";
            return Err(out_of_range("bounds.retry-window-seconds", value, expected));
        }
        Ok(())
    }
}
