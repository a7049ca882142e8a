//! Settings of a node, read from a TOML file and checked.

mod check;
mod error;
mod file;
mod load;
mod toml;

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use rillgap_backend::settings::BackEndSettings;
use rillgap_caller::settings::HttpLimits;
use rillgap_core::id::{Incarnation, NodeName, RegionName, ZoneName};
use rillgap_core::node::{LocalBackEnd, SeedPeer};
use rillgap_core::policy::Policy;
use rillgap_core::view::Member;
use serde::Deserialize;

pub use error::SettingsError;
pub use load::load;

/// Settings of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Configured name.
    pub name: NodeName,
    /// Failure zone.
    pub zone: ZoneName,
    /// Region of the zone.
    pub region: RegionName,
    /// Addresses to listen on.
    pub listen: ListenSettings,
    /// Back end beside the node.
    pub back_end: Option<LocalBackEndSettings>,
    /// Peers to ask first.
    pub seeds: Vec<SeedPeer>,
    /// Endpoints of the platform's store; empty only in a fixed deployment.
    pub store_endpoints: Vec<SocketAddr>,
    /// Members and policy that never change, in place of the store.
    pub fixed: Option<FixedDeployment>,
    /// Limits of the HTTP listeners.
    pub http: HttpLimits,
    /// Most links that peers may have open to this node.
    pub mesh_connections: usize,
    /// Longest duration of a planned stop.
    pub stop_timeout: Duration,
    /// How duties are placed on threads.
    pub threads: ThreadLayout,
}

/// Addresses to listen on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListenSettings {
    /// For callers.
    pub callers: SocketAddr,
    /// For the local back end's own calls.
    pub outbound: Option<SocketAddr>,
    /// For other nodes.
    pub mesh: SocketAddr,
    /// For operators.
    pub operator: Option<SocketAddr>,
    /// For metrics.
    pub metrics: Option<SocketAddr>,
}

/// The back end beside the node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LocalBackEndSettings {
    /// Its name and service.
    pub identity: LocalBackEnd,
    /// How to reach it.
    pub client: BackEndSettings,
    /// Addresses from which it makes its own calls.
    pub source_addresses: Vec<IpAddr>,
}

/// Members and policy that never change, for benchmarks and tests without a store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FixedDeployment {
    /// Run of every member.
    pub incarnation: Incarnation,
    /// Members in any order.
    pub members: Vec<Member>,
    /// Policy in force.
    pub policy: Policy,
}

/// How duties are placed on threads.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ThreadLayout {
    /// A thread for each duty.
    Each,
    /// One thread for the duties of the data path, one for all others.
    #[default]
    Paired,
    /// One thread for all duties.
    Single,
}

/// Settings that the command line overrides.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Overrides {
    /// In place of `node.name`.
    pub name: Option<String>,
    /// In place of `node.zone`.
    pub zone: Option<String>,
    /// In place of `listen.callers`.
    pub callers: Option<String>,
    /// In place of `listen.mesh`.
    pub mesh: Option<String>,
}
