//! What a simulation runs: zones, services, routes, callers and faults.
//!
//! Scenario files are TOML; every field is described here and in `scenarios/README.md`.

use std::path::Path;

use rillgap_core::id::{ServiceName, ZoneName};
use rillgap_core::policy::{Bounds, Class};
use serde::{Deserialize, Serialize};

use super::fault::TimedFault;

/// Time that nodes need at most for their start from the store, in milliseconds.
pub const STORE_BOOTSTRAP_MILLIS: u64 = 30_000;

/// A whole scenario.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Scenario {
    /// Name, used in reports.
    pub name: String,
    /// Virtual time until the last arrival, in milliseconds.
    pub duration_millis: u64,
    /// Virtual time before the first arrival, in milliseconds.
    #[serde(default)]
    pub callers_start_millis: u64,
    /// Virtual time that is simulated after the last arrival, in milliseconds.
    #[serde(default = "default_settle_millis")]
    pub settle_millis: u64,
    /// Where nodes take view and policy from at their start.
    #[serde(default)]
    pub bootstrap: Bootstrap,
    /// Zones and latencies.
    pub network: NetworkModel,
    /// The platform's store and machine list.
    #[serde(default)]
    pub platform: PlatformModel,
    /// Bounds of the policy.
    #[serde(default)]
    pub bounds: Bounds,
    /// Services.
    #[serde(rename = "service")]
    pub services: Vec<ServiceModel>,
    /// Routes with the work and the calls that a request to them causes.
    #[serde(rename = "route")]
    pub routes: Vec<RouteModel>,
    /// Groups of callers.
    #[serde(default, rename = "caller")]
    pub callers: Vec<CallerModel>,
    /// Faults and other scheduled happenings.
    #[serde(default, rename = "fault")]
    pub faults: Vec<TimedFault>,
}

fn default_settle_millis() -> u64 {
    10_000
}

/// Where nodes take view and policy from at their start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Bootstrap {
    /// From their settings; the platform is not needed.
    #[default]
    Fixed,
    /// The view from the platform's store, the policy from their settings.
    View,
    /// From the platform's store, as in production; an operator applies the policy first.
    Store,
}

/// Zones and one-way latencies in microseconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct NetworkModel {
    /// Zones; back ends are spread over them in turn.
    pub zones: Vec<ZoneName>,
    /// Latency between hosts of one zone.
    pub local_micros: u64,
    /// Latency between hosts of different zones.
    pub zone_micros: u64,
    /// Latency between a caller and an entry node.
    pub client_micros: u64,
    /// Largest random addition to a latency between hosts.
    pub jitter_micros: u64,
    /// Time after which a link without acknowledgement is declared lost, in milliseconds.
    pub link_timeout_millis: u64,
    /// Largest difference of a host's wall clock from true time, in milliseconds.
    pub clock_skew_millis: u64,
    /// Entry nodes in each zone, beside no back end.
    pub entry_nodes_per_zone: u16,
}

/// Latencies and lags of the platform, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default, rename_all = "kebab-case")]
pub struct PlatformModel {
    /// Time for a request and its reply.
    pub round_trip_millis: u64,
    /// Longest wait of a blocking query.
    pub wait_millis: u64,
    /// Time after which a client gives up on the store.
    pub timeout_millis: u64,
    /// Lag of the machine list behind the truth.
    pub list_lag_millis: u64,
}

impl Default for PlatformModel {
    fn default() -> Self {
        Self {
            round_trip_millis: 4,
            wait_millis: 10_000,
            timeout_millis: 2_000,
            list_lag_millis: 5_000,
        }
    }
}

/// One service and its back ends.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct ServiceModel {
    /// Name.
    pub name: ServiceName,
    /// Number of back ends.
    pub back_ends: u16,
    /// Requests that one back end runs at once.
    pub slots: u16,
    /// Requests that one back end queues by itself before it sheds.
    pub queue: u16,
    /// Connections that one back end takes.
    pub connections: u16,
    /// Cost of opening a connection, in microseconds.
    pub connect_micros: u64,
    /// Time for which a restarted back end is slower, in milliseconds.
    pub cold_millis: u64,
    /// Factor by which a back end is slower at its start; declines to one.
    pub cold_factor: f64,
    /// Longest time that a node may queue a request for it, in milliseconds.
    pub node_queue_millis: u32,
}

/// One route: policy and behaviour of its service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct RouteModel {
    /// Service that is addressed.
    pub service: ServiceName,
    /// Upper-case method.
    pub method: String,
    /// Path, without query.
    pub path: String,
    /// Class for requests that enter here.
    pub class: Class,
    /// Whether a request may run more than once.
    pub repeatable: bool,
    /// Deadline of the policy, in milliseconds.
    pub deadline_millis: u32,
    /// Mean time of work in a slot, in microseconds, without the calls below.
    ///
    /// Half of it is fixed, the other half exponentially distributed.
    pub work_micros: u64,
    /// Length of the answer's body, in bytes.
    pub answer_bytes: u32,
    /// Calls that the service makes, one after the other, halfway through its work.
    #[serde(default, rename = "call")]
    pub calls: Vec<CallModel>,
}

/// One call of a service to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct CallModel {
    /// Service that is called.
    pub service: ServiceName,
    /// Upper-case method.
    pub method: String,
    /// Path.
    pub path: String,
    /// Times that the call is repeated after a failure.
    #[serde(default)]
    pub repeats: u8,
    /// Time that the service waits for an answer, in milliseconds; zero for no limit.
    #[serde(default)]
    pub timeout_millis: u64,
    /// Token that is sent along.
    #[serde(default)]
    pub token: TokenUse,
}

/// Token that a back end sends with its own calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TokenUse {
    /// The token of the inbound call.
    #[default]
    Valid,
    /// None.
    Missing,
    /// The token of a call that has ended.
    Stale,
}

/// One group of callers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct CallerModel {
    /// Name, used in reports.
    pub name: String,
    /// Service that is addressed.
    pub service: ServiceName,
    /// Upper-case method.
    pub method: String,
    /// Path.
    pub path: String,
    /// Zone whose nodes the group uses; any if absent.
    #[serde(default)]
    pub zone: Option<ZoneName>,
    /// New requests per second of the whole group, as a Poisson process.
    pub rate_per_second: f64,
    /// Time that a caller waits for one answer, in milliseconds.
    pub patience_millis: u64,
    /// Times that a caller repeats a request that failed or came too late.
    #[serde(default)]
    pub repeats: u8,
    /// Time between a failure and its repeat, in milliseconds.
    #[serde(default)]
    pub repeat_delay_millis: u64,
    /// Whether repeats enter through another zone.
    #[serde(default)]
    pub switch_zone: bool,
    /// Number of distinct callers in the group.
    #[serde(default = "default_population")]
    pub population: u32,
}

fn default_population() -> u32 {
    100
}

impl Scenario {
    /// Reads and checks a scenario file.
    ///
    /// # Errors
    ///
    /// Returns why the file cannot be read, parsed or used.
    pub fn load(path: &Path) -> Result<Self, ScenarioError> {
        let text = std::fs::read_to_string(path).map_err(|source| ScenarioError::Unreadable {
            path: path.display().to_string(),
            source,
        })?;
        Self::parse(&text)
    }

    /// Parses and checks a scenario.
    ///
    /// # Errors
    ///
    /// Returns why the text cannot be parsed or used.
    pub fn parse(text: &str) -> Result<Self, ScenarioError> {
        let scenario: Self = toml::from_str(text)?;
        scenario.check()?;
        Ok(scenario)
    }

    /// Checks that all names resolve and that the call graph has no cycle.
    ///
    /// # Errors
    ///
    /// Returns the first thing that is wrong.
    pub fn check(&self) -> Result<(), ScenarioError> {
        super::policy::check(self)
    }

    /// Returns the position of the route that serves a request.
    pub fn route_index(&self, service: &ServiceName, method: &str, path: &str) -> Option<usize> {
        self.routes.iter().position(|route| {
            route.service == *service && route.method == method && route.path == path
        })
    }

    /// Returns the position of a service.
    pub fn service_index(&self, name: &ServiceName) -> Option<usize> {
        self.services
            .iter()
            .position(|service| service.name == *name)
    }
}

/// Why a scenario cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// The file cannot be read.
    #[error("scenario {path} cannot be read: {source}")]
    Unreadable {
        /// The file.
        path: String,
        /// What the operating system said.
        source: std::io::Error,
    },
    /// The text is not a scenario.
    #[error("scenario cannot be parsed: {0}")]
    Malformed(#[from] toml::de::Error),
    /// A name or number does not fit.
    #[error("scenario is invalid: {0}")]
    Invalid(String),
}
