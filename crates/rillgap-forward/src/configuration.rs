//! The configuration in force: routes, services, tenants and limits.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bitcode::{Decode, Encode};

use crate::credential::KeyDigest;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Repeatability {
    /// May run any number of times.
    Idempotent,
    /// Must run at most once.
    AtMostOnce,
}

/// A service that receives part of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct WeightedService {
    /// Name of the service.
    pub service: String,
    /// Weight of the service, relative to the sum of the route's weights.
    pub weight: u32,
}

/// A route: the requests that it matches, how they are handled, and the services that receive them.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Host of the requests, in lower case.
    pub host: String,
    /// Prefix of the paths that belong to the route.
    pub path_prefix: String,
    /// Whether requests may run more than once.
    pub repeatability: Repeatability,
    /// Timeout of a request, in milliseconds.
    pub timeout_millis: u32,
    /// Target latency in milliseconds: an answer within this time has its full value.
    pub target_latency_millis: u32,
    /// Priority; requests with 0 are served first.
    pub priority: u8,
    /// Services that receive the route's requests.
    pub services: Vec<WeightedService>,
    /// Maximum number of back ends to which one request may be sent.
    pub max_attempts: u32,
    /// Whether callers need no key even if the configuration has tenants.
    pub is_public: bool,
}

impl Route {
    /// Returns the timeout of a request.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(u64::from(self.timeout_millis))
    }

    /// Returns the target latency: an answer within this time has its full value.
    pub fn target_latency(&self) -> Duration {
        Duration::from_millis(u64::from(self.target_latency_millis))
    }

    /// Returns whether requests may run more than once.
    pub fn is_idempotent(&self) -> bool {
        self.repeatability == Repeatability::Idempotent
    }
}

/// A service: back ends that are interchangeable.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Service {
    /// Name of the service.
    pub name: String,
    /// Path of the health endpoint of its back ends.
    pub health_path: String,
    /// Maximum number of connections to one back end.
    pub max_connections: u32,
}

/// Rate limit of a tenant, summed over all nodes, as a token bucket.
#[derive(Clone, Copy, Debug, PartialEq, Encode, Decode)]
pub struct RateLimit {
    /// Tokens added per second; above zero.
    pub per_second: f64,
    /// Maximum number of tokens in the bucket; at least one, or no request could ever pass.
    pub burst: f64,
}

/// An organization whose callers are identified by their keys.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Tenant {
    /// Name of the tenant.
    pub name: String,
    /// Digests of its keys.
    pub keys: Vec<KeyDigest>,
    /// Priority that takes precedence over that of the route; `None` to use the route's.
    pub priority: Option<u8>,
    /// Rate limit; `None` for no limit.
    pub limit: Option<RateLimit>,
}

/// Limits on what callers send.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct CallerLimits {
    /// Maximum size of a request head in bytes.
    pub head_bytes: u32,
    /// Maximum size of a request body in bytes.
    pub body_bytes: u64,
    /// Timeout for the arrival of a request head, in milliseconds.
    pub head_timeout_millis: u32,
    /// Maximum idle time of a connection, in milliseconds.
    pub idle_timeout_millis: u32,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 64 * 1024 * 1024,
            head_timeout_millis: 3_000,
            idle_timeout_millis: 15_000,
        }
    }
}

/// A complete configuration.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct Configuration {
    /// Version; increases with every change.
    pub version: u64,
    /// Routes of all services.
    pub routes: Vec<Route>,
    /// Services that routes may refer to.
    pub services: Vec<Service>,
    /// Tenants; without any, callers need no key.
    pub tenants: Vec<Tenant>,
    /// Limits on what callers send.
    pub limits: CallerLimits,
}

/// A configuration with indexes of its routes, tenants and keys.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    configuration: Configuration,
    /// Routes by host, the longest prefix first.
    by_host: BTreeMap<String, Vec<Arc<Route>>>,
    tenants: BTreeMap<String, Arc<Tenant>>,
    by_key: BTreeMap<KeyDigest, Arc<Tenant>>,
}

impl RouteTable {
    /// Indexes a configuration.
    pub fn new(configuration: Configuration) -> Self {
        let mut by_host: BTreeMap<String, Vec<Arc<Route>>> = BTreeMap::new();
        for route in &configuration.routes {
            let routes = by_host.entry(route.host.to_ascii_lowercase()).or_default();
            routes.push(Arc::new(route.clone()));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let mut tenants = BTreeMap::new();
        let mut by_key = BTreeMap::new();
        for tenant in &configuration.tenants {
            let shared = Arc::new(tenant.clone());
            by_key.extend(tenant.keys.iter().map(|key| (*key, shared.clone())));
            tenants.insert(tenant.name.clone(), shared);
        }
        Self {
            configuration,
            by_host,
            tenants,
            by_key,
        }
    }

    /// Returns the indexed configuration.
    pub const fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// Returns the version of the configuration.
    pub const fn version(&self) -> u64 {
        self.configuration.version
    }

    /// Returns the route for a host and a request target: the one with the longest prefix of the
    /// path.
    pub fn lookup(&self, host: &str, target: &str) -> Option<&Arc<Route>> {
        let path = target.split(['?', '#']).next().unwrap_or_default();
        let routes = match self.by_host.get(host) {
            Some(routes) => routes,
            None => self.by_host.get(&normalize_host(host))?,
        };
        routes
            .iter()
            .find(|route| path.starts_with(route.path_prefix.as_str()))
    }

    /// Returns whether callers must present a key on routes that are not public.
    pub fn has_tenants(&self) -> bool {
        !self.tenants.is_empty()
    }

    /// Returns the tenant to which a key belongs.
    pub fn tenant_of_key(&self, key: &KeyDigest) -> Option<&Arc<Tenant>> {
        self.by_key.get(key)
    }

    /// Returns a tenant by its name.
    pub fn tenant(&self, name: &str) -> Option<&Arc<Tenant>> {
        self.tenants.get(name)
    }

    /// Returns a service by its name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.configuration
            .services
            .iter()
            .find(|service| service.name == name)
    }
}

/// Returns a host in lower case and without its port.
fn normalize_host(host: &str) -> String {
    let name = match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    };
    name.to_ascii_lowercase()
}
