//! Defines the structure of the settings file, before its values are validated.
//!
//! Field names are the keys of the file, in kebab case; unknown keys are rejected.

use serde::Deserialize;

use super::ThreadLayout;

/// Contents of a settings file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct SettingsFile {
    pub node: NodeSection,
    pub listen: ListenSection,
    pub back_end: Option<BackEndSection>,
    #[serde(default)]
    pub seed: Vec<SeedSection>,
    pub store: Option<StoreSection>,
    pub fixed: Option<FixedSection>,
    #[serde(default)]
    pub limits: LimitsSection,
    #[serde(default)]
    pub threads: ThreadsSection,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSection {
    pub name: String,
    pub zone: String,
    pub region: String,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSection {
    pub callers: String,
    pub outbound: Option<String>,
    pub mesh: String,
    pub operator: Option<String>,
    pub metrics: Option<String>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct BackEndSection {
    pub name: String,
    pub service: String,
    pub address: String,
    #[serde(default = "default_connections")]
    pub connections: u64,
    #[serde(default = "default_connect_timeout")]
    pub connect_timeout_millis: u64,
    pub health_path: Option<String>,
    #[serde(default = "default_health_interval")]
    pub health_interval_millis: u64,
    pub source_addresses: Option<Vec<String>>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SeedSection {
    pub name: String,
    pub mesh: String,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSection {
    pub endpoints: Vec<String>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct FixedSection {
    pub incarnation: u64,
    pub policy_file: String,
    pub member: Vec<MemberSection>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemberSection {
    pub name: String,
    pub zone: String,
    pub region: String,
    pub mesh: String,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default, rename_all = "kebab-case")]
pub struct LimitsSection {
    pub connections: u64,
    pub header_bytes: u64,
    pub body_bytes: u64,
    pub receiving_bytes: u64,
    pub request_timeout_millis: u64,
    pub mesh_connections: u64,
    pub stop_timeout_seconds: u64,
}

impl Default for LimitsSection {
    fn default() -> Self {
        Self {
            connections: 1_024,
            header_bytes: 16 * 1_024,
            body_bytes: 256 * 1_024,
            receiving_bytes: 8 * 1_024 * 1_024,
            request_timeout_millis: 10_000,
            mesh_connections: 1_024,
            stop_timeout_seconds: 60,
        }
    }
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ThreadsSection {
    pub layout: ThreadLayout,
}

const fn default_connections() -> u64 {
    100
}

const fn default_connect_timeout() -> u64 {
    1_000
}

const fn default_health_interval() -> u64 {
    1_000
}
