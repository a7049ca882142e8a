//! Loads and validates the settings of a node, which are read from a TOML file.

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

/// Validated settings of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Name of the node.
    pub name: NodeName,
    /// Failure zone in which the node runs.
    pub zone: ZoneName,
    /// Region that contains the zone.
    pub region: RegionName,
    /// Addresses of the listeners.
    pub listen: ListenSettings,
    /// Local back end; `None` for a node that only receives and forwards requests.
    pub back_end: Option<LocalBackEndSettings>,
    /// Peers to contact at the start.
    pub seeds: Vec<SeedPeer>,
    /// Endpoints of the platform's store; empty only if `fixed` is set.
    pub store_endpoints: Vec<SocketAddr>,
    /// Static members and policy; `None` if they are read from the store.
    pub fixed: Option<FixedDeployment>,
    /// Limits of each HTTP listener.
    pub http: HttpLimits,
    /// Maximum number of open links from peers to this node.
    pub mesh_connections: usize,
    /// Time limit for requests in flight to complete after a stop was requested.
    pub stop_timeout: Duration,
    /// Assignment of duties to threads.
    pub threads: ThreadLayout,
}

/// Addresses of the listeners of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListenSettings {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for calls made by the local back end; required if there is a back end.
    pub outbound: Option<SocketAddr>,
    /// Address for links from other nodes.
    pub mesh: SocketAddr,
    /// Address for operators; `None` disables the operator service.
    pub operator: Option<SocketAddr>,
    /// Address of the metrics endpoint; `None` disables it.
    pub metrics: Option<SocketAddr>,
}

/// Settings of the local back end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LocalBackEndSettings {
    /// Name of the back end and the service that it runs.
    pub identity: LocalBackEnd,
    /// Address, connections and health checks.
    pub client: BackEndSettings,
    /// Source addresses of calls made by the back end; the address of the back end by default.
    pub source_addresses: Vec<IpAddr>,
}

/// Static members and policy, for benchmarks and tests without a store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FixedDeployment {
    /// Incarnation of every member.
    pub incarnation: Incarnation,
    /// Members, in any order.
    pub members: Vec<Member>,
    /// Policy that is in force from the start.
    pub policy: Policy,
}

/// Assignment of duties to threads.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ThreadLayout {
    /// One thread for each duty.
    Each,
    /// One thread for the duties of the data path, one for all others.
    #[default]
    Paired,
    /// One thread for all duties.
    Single,
}

/// Values from the command line that override settings of the file; `None` keeps the file's value.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Overrides {
    /// Overrides `node.name`.
    pub name: Option<String>,
    /// Overrides `node.zone`.
    pub zone: Option<String>,
    /// Overrides `listen.callers`.
    pub callers: Option<String>,
    /// Overrides `listen.mesh`.
    pub mesh: Option<String>,
}
