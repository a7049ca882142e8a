//! The policy that operators configure: services, routes, back ends and bounds.

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
/// The route of the root request determines it; all calls of the chain inherit it.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// Bulk downloads: shed first.
    Bulk,
    /// Requests such as browsing: shed after bulk downloads.
    Sheddable,
    /// Requests such as internal status queries: shed after sheddable ones.
    Standard,
    /// Requests such as bookings, loan requests and settlement exports: shed last.
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

/// The complete policy of a deployment.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Policy {
    /// Version, set by the system when the change is accepted.
    #[serde(default)]
    pub version: PolicyVersion,
    /// Identifier of the change that created this version; zero for none.
    #[serde(default, skip)]
    pub change: u128,
    /// Limits that hold for the whole call graph.
    #[serde(default)]
    pub bounds: Bounds,
    /// Services that requests can be addressed to.
    #[serde(default, rename = "service")]
    pub services: Vec<ServicePolicy>,
    /// Routes, matched by the longest path prefix.
    #[serde(default, rename = "route")]
    pub routes: Vec<RoutePolicy>,
    /// Back ends that are in or leaving service.
    #[serde(default, rename = "back-end")]
    pub back_ends: Vec<BackEndPolicy>,
}

/// Limits that hold for the whole call graph.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default, rename_all = "kebab-case")]
pub struct Bounds {
    /// Extra attempts allowed anywhere in the chain of one root request, 0 to 32.
    pub extra_attempts: u8,
    /// Distinct calls that a back end may make for one inbound call, 1 to 64.
    pub calls_per_request: u8,
    /// Lifetime of an idempotency key in seconds, 10 to 86,400.
    pub key_life_seconds: u32,
    /// Retries in percent of the successful calls of a service, 0 to 100.
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
    /// Returns the lifetime of an idempotency key.
    pub const fn key_life(&self) -> Duration {
        Duration::from_secs(self.key_life_seconds as u64)
    }
}

/// Settings of a service, the same for all its back ends.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct ServicePolicy {
    /// Name of the service.
    pub name: ServiceName,
    /// Requests that one back end can run at once, 1 to 65,535.
    pub slots: u16,
    /// Connections that one back end accepts, 1 to 65,535.
    pub connections: u16,
    /// Maximum time that a request may wait in the queue of a back end's node, in milliseconds,
    /// 1 to 60,000.
    pub queue_millis: u32,
}

/// Settings of the requests of a service that match a method and a path prefix.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct RoutePolicy {
    /// Service to which the route belongs.
    pub service: ServiceName,
    /// Upper-case method; empty for any.
    #[serde(default)]
    pub method: String,
    /// Prefix of the path.
    pub path: String,
    /// Class of root requests of this route; calls inherit the class of their root.
    pub class: Class,
    /// Whether a request may run more than once; if not, a root request needs an idempotency key.
    pub repeatable: bool,
    /// Maximum time from the arrival of a request to the end of its answer, in milliseconds, 1 to
    /// 3,600,000.
    pub deadline_millis: u32,
}

impl RoutePolicy {
    /// Returns whether a request of the route's service matches method and path of the route.
    pub fn matches(&self, method: &str, path: &str) -> bool {
        (self.method.is_empty() || self.method == method) && path.starts_with(&self.path)
    }

    /// Returns the maximum time from the arrival of a request to the end of its answer.
    pub const fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_millis as u64)
    }
}

/// A back end and the node beside it.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct BackEndPolicy {
    /// Name of the back end.
    pub name: BackEndName,
    /// Service that the back end implements.
    pub service: ServiceName,
    /// Node beside the back end.
    pub node: NodeName,
    /// Whether the back end takes new requests.
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
