//! The policy that operators put in force: services, routes, back ends and bounds.

mod index;
mod validate;

use std::time::Duration;

use bitcode::{Decode, Encode};
use serde::{Deserialize, Serialize};

use crate::id::{BackEndName, NodeName, PolicyVersion, ServiceName};

pub use index::IndexedPolicy;
pub use validate::{
    InvalidPolicy, MAX_ENTRIES, MAX_METHOD_BYTES, MAX_NAME_BYTES, MAX_PATH_BYTES, Violation,
};

/// Priority class of a request; lower classes are shed first.
///
/// The class is fixed by policy at the entry and inherited by every call of the chain.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// Bulk downloads: shed first.
    Bulk,
    /// Browsing.
    Sheddable,
    /// Internal status queries and the like.
    Standard,
    /// Bookings, loan requests and settlement exports: shed last.
    Critical,
}

impl Class {
    /// All classes, the first to be shed first.
    pub const ALL: [Self; 4] = [Self::Bulk, Self::Sheddable, Self::Standard, Self::Critical];

    /// Returns the position in [`Self::ALL`].
    pub const fn index(self) -> usize {
        self as usize
    }
}

/// The whole policy of one deployment.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Policy {
    /// Version, set by the system when the change is accepted.
    #[serde(default)]
    pub version: PolicyVersion,
    /// Change that made this version; zero for none.
    #[serde(default, skip)]
    pub change: u128,
    /// Bounds over the whole call graph.
    #[serde(default)]
    pub bounds: Bounds,
    /// Services of the call graph.
    #[serde(default, rename = "service")]
    pub services: Vec<ServicePolicy>,
    /// Routes, matched by the longest path prefix.
    #[serde(default, rename = "route")]
    pub routes: Vec<RoutePolicy>,
    /// Back ends that are in or leaving service.
    #[serde(default, rename = "back-end")]
    pub back_ends: Vec<BackEndPolicy>,
}

/// Bounds over the whole call graph.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default, rename_all = "kebab-case")]
pub struct Bounds {
    /// Extra attempts allowed anywhere in the chain of one root request, 0 to 32.
    pub extra_attempts: u8,
    /// Distinct calls that a back end may make for one inbound call, 1 to 64.
    pub calls_per_request: u8,
    /// Longest life of an idempotency key in seconds, 10 to 86,400.
    pub key_life_seconds: u32,
    /// Retries as a share of successes per service, in percent, 0 to 100.
    pub retry_percent: u8,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            extra_attempts: 4,
            calls_per_request: 16,
            key_life_seconds: 600,
            retry_percent: 10,
        }
    }
}

impl Bounds {
    /// Returns the longest life of an idempotency key.
    pub const fn key_life(&self) -> Duration {
        Duration::from_secs(self.key_life_seconds as u64)
    }
}

/// One service.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct ServicePolicy {
    /// Name of the service.
    pub name: ServiceName,
    /// Requests that one back end can run at once, 1 to 65,535.
    pub slots: u16,
    /// Connections that one back end takes, 1 to 65,535.
    pub connections: u16,
    /// Longest time that a request may queue beside a back end, in milliseconds, 1 to 60,000.
    pub queue_millis: u32,
}

/// One route of a service.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct RoutePolicy {
    /// Service that is addressed.
    pub service: ServiceName,
    /// Upper-case method; empty for any.
    #[serde(default)]
    pub method: String,
    /// Prefix of the path.
    pub path: String,
    /// Class for requests that enter here; calls further down inherit their root's class.
    pub class: Class,
    /// Whether a request may run more than once.
    pub repeatable: bool,
    /// Deadline from entry to the end of the answer, in milliseconds, 1 to 3,600,000.
    pub deadline_millis: u32,
}

impl RoutePolicy {
    /// Returns whether a request of the route's service takes this route.
    pub fn matches(&self, method: &str, path: &str) -> bool {
        (self.method.is_empty() || self.method == method) && path.starts_with(&self.path)
    }

    /// Returns the deadline from entry to the end of the answer.
    pub const fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_millis as u64)
    }
}

/// One back end and the node beside it.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct BackEndPolicy {
    /// Name of the back end.
    pub name: BackEndName,
    /// Service that it runs.
    pub service: ServiceName,
    /// Node beside it.
    pub node: NodeName,
    /// Whether it takes new requests.
    #[serde(default)]
    pub state: BackEndState,
}

/// Whether a back end takes new requests.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Encode, Decode, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum BackEndState {
    /// Takes new requests.
    #[default]
    Serving,
    /// Takes no new requests and finishes those in flight.
    Leaving,
}

impl Policy {
    /// Returns the policy of a service.
    pub fn service(&self, name: &ServiceName) -> Option<&ServicePolicy> {
        self.services.iter().find(|service| service.name == *name)
    }

    /// Returns the route with the longest matching prefix for a request.
    pub fn route(&self, service: &ServiceName, method: &str, path: &str) -> Option<&RoutePolicy> {
        self.routes
            .iter()
            .filter(|route| route.service == *service)
            .filter(|route| route.matches(method, path))
            .max_by_key(|route| (route.path.len(), route.method.len()))
    }

    /// Returns a back end by name.
    pub fn back_end(&self, name: &BackEndName) -> Option<&BackEndPolicy> {
        self.back_ends
            .iter()
            .find(|back_end| back_end.name == *name)
    }
}
