//! Validates a policy before it is accepted.

use std::collections::BTreeSet;
use std::fmt;
use std::ops::RangeInclusive;

use thiserror::Error;

use super::{BackEndPolicy, Bounds, Policy, RoutePolicy, ServicePolicy};
use crate::id::{NodeName, ServiceName};

/// Maximum number of services, of routes and of back ends in a policy.
pub const MAX_ENTRIES: usize = 20_000;

/// Maximum length of the name of a service, back end or node, in bytes.
pub const MAX_NAME_BYTES: usize = 63;

/// Maximum length of the path prefix of a route, in bytes.
pub const MAX_PATH_BYTES: usize = 1_024;

/// Maximum length of the method of a route, in bytes.
pub const MAX_METHOD_BYTES: usize = 16;

const EXTRA_ATTEMPTS_RANGE: RangeInclusive<u64> = 0..=32;
const CALLS_PER_REQUEST_RANGE: RangeInclusive<u64> = 1..=64;
const KEY_LIFE_SECONDS_RANGE: RangeInclusive<u64> = 10..=86_400;
const RETRY_PERCENT_RANGE: RangeInclusive<u64> = 0..=100;
const SLOTS_RANGE: RangeInclusive<u64> = 1..=65_535;
const CONNECTIONS_RANGE: RangeInclusive<u64> = 1..=65_535;
const QUEUE_MILLIS_RANGE: RangeInclusive<u64> = 1..=60_000;
const DEADLINE_MILLIS_RANGE: RangeInclusive<u64> = 1..=3_600_000;

/// Maximum number of violations that are reported for one policy.
const MAX_VIOLATIONS: usize = 20;

/// One invalid value of a policy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Path of the value in the policy, such as `service[takst].slots`.
    pub key: String,
    /// The invalid value.
    pub value: String,
    /// Description of the allowed values.
    pub allowed: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            key,
            value,
            allowed,
        } = self;
        write!(formatter, "{key} = {value}: allowed is {allowed}")
    }
}

/// The violations for which a policy is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{}", join_violations(violations))]
pub struct InvalidPolicy {
    /// The violations in the order of the policy; at least one, at most twenty.
    pub violations: Vec<Violation>,
}

fn join_violations(violations: &[Violation]) -> String {
    let lines: Vec<String> = violations.iter().map(Violation::to_string).collect();
    lines.join("; ")
}

impl Policy {
    /// Checks names, ranges and references between the entries.
    ///
    /// Entries are not checked if the bounds are invalid or a list has too many entries.
    pub fn validate(&self) -> Result<(), InvalidPolicy> {
        let mut validator = Validator::default();
        validator.bounds(&self.bounds);
        validator.count("service", self.services.len());
        validator.count("route", self.routes.len());
        validator.count("back-end", self.back_ends.len());
        if validator.violations.is_empty() {
            self.validate_entries(&mut validator);
        }
        validator.finish()
    }

    fn validate_entries(&self, validator: &mut Validator) {
        let mut services = BTreeSet::new();
        for service in &self.services {
            validator.service(service, &mut services);
        }
        let mut matches = BTreeSet::new();
        for route in &self.routes {
            validator.route(route, &self.bounds, &services);
            validator.unique_match(route, &mut matches);
        }
        let mut names = BTreeSet::new();
        let mut nodes = BTreeSet::new();
        for back_end in &self.back_ends {
            validator.back_end(back_end, &services);
            validator.unique_back_end(back_end, &mut names, &mut nodes);
        }
    }
}

/// Collects violations.
#[derive(Default)]
struct Validator {
    violations: Vec<Violation>,
}

impl Validator {
    fn finish(self) -> Result<(), InvalidPolicy> {
        if self.violations.is_empty() {
            return Ok(());
        }
        Err(InvalidPolicy {
            violations: self.violations,
        })
    }

    fn bounds(&mut self, bounds: &Bounds) {
        self.range(
            "bounds.extra-attempts",
            bounds.extra_attempts,
            EXTRA_ATTEMPTS_RANGE,
        );
        self.range(
            "bounds.calls-per-request",
            bounds.calls_per_request,
            CALLS_PER_REQUEST_RANGE,
        );
        self.range(
            "bounds.key-life-seconds",
            bounds.key_life_seconds,
            KEY_LIFE_SECONDS_RANGE,
        );
        self.range(
            "bounds.retry-percent",
            bounds.retry_percent,
            RETRY_PERCENT_RANGE,
        );
    }

    fn service<'a>(
        &mut self,
        service: &'a ServicePolicy,
        services: &mut BTreeSet<&'a ServiceName>,
    ) {
        let key = |field: &str| format!("service[{}].{field}", service.name);
        self.name(&key("name"), service.name.as_str());
        if !services.insert(&service.name) {
            self.violation(&key("name"), service.name.as_str(), "a name used once");
        }
        self.range(&key("slots"), service.slots, SLOTS_RANGE);
        self.range(&key("connections"), service.connections, CONNECTIONS_RANGE);
        self.range(
            &key("queue-millis"),
            service.queue_millis,
            QUEUE_MILLIS_RANGE,
        );
    }

    fn route(&mut self, route: &RoutePolicy, bounds: &Bounds, services: &BTreeSet<&ServiceName>) {
        let key = |field: &str| route_key(route, field);
        self.known_service(&key("service"), &route.service, services);
        if !is_method(&route.method) {
            let allowed = format!("empty or 1 to {MAX_METHOD_BYTES} letters A to Z");
            self.violation(&key("method"), &route.method, &allowed);
        }
        if !is_path(&route.path) {
            let allowed =
                format!("a path that begins with `/`, up to {MAX_PATH_BYTES} visible characters");
            self.violation(&key("path"), &route.path, &allowed);
        }
        self.range(
            &key("deadline-millis"),
            route.deadline_millis,
            DEADLINE_MILLIS_RANGE,
        );
        if !route.repeatable && route.deadline() > bounds.key_life() {
            let allowed = format!(
                "1 to {}, for a route that is not repeatable must not outlive bounds.key-life-seconds",
                bounds.key_life().as_millis()
            );
            let value = route.deadline_millis.to_string();
            self.violation(&key("deadline-millis"), &value, &allowed);
        }
    }

    fn unique_match<'a>(
        &mut self,
        route: &'a RoutePolicy,
        matches: &mut BTreeSet<(&'a ServiceName, &'a str, &'a str)>,
    ) {
        if !matches.insert((&route.service, &route.method, &route.path)) {
            let allowed = "one route for each service, method and path";
            self.violation(&route_key(route, "path"), &route.path, allowed);
        }
    }

    fn back_end(&mut self, back_end: &BackEndPolicy, services: &BTreeSet<&ServiceName>) {
        let key = |field: &str| format!("back-end[{}].{field}", back_end.name);
        self.name(&key("name"), back_end.name.as_str());
        self.name(&key("node"), back_end.node.as_str());
        self.known_service(&key("service"), &back_end.service, services);
    }

    fn unique_back_end<'a>(
        &mut self,
        back_end: &'a BackEndPolicy,
        names: &mut BTreeSet<&'a str>,
        nodes: &mut BTreeSet<&'a NodeName>,
    ) {
        let key = |field: &str| format!("back-end[{}].{field}", back_end.name);
        if !names.insert(back_end.name.as_str()) {
            self.violation(&key("name"), back_end.name.as_str(), "a name used once");
        }
        if !nodes.insert(&back_end.node) {
            let allowed = "a node beside one back end only";
            self.violation(&key("node"), back_end.node.as_str(), allowed);
        }
    }

    fn count(&mut self, key: &str, count: usize) {
        if count > MAX_ENTRIES {
            let value = format!("{count} entries");
            self.violation(key, &value, &format!("up to {MAX_ENTRIES} entries"));
        }
    }

    fn range(&mut self, key: &str, value: impl Into<u64>, allowed: RangeInclusive<u64>) {
        let value = value.into();
        if !allowed.contains(&value) {
            let allowed = format!("{} to {}", allowed.start(), allowed.end());
            self.violation(key, &value.to_string(), &allowed);
        }
    }

    fn name(&mut self, key: &str, name: &str) {
        if !is_name(name) {
            let allowed = format!("1 to {MAX_NAME_BYTES} letters, digits, `-`, `_` or `.`");
            self.violation(key, name, &allowed);
        }
    }

    fn known_service(
        &mut self,
        key: &str,
        service: &ServiceName,
        services: &BTreeSet<&ServiceName>,
    ) {
        if !services.contains(service) {
            self.violation(key, service.as_str(), "a service of this policy");
        }
    }

    fn violation(&mut self, key: &str, value: &str, allowed: &str) {
        if self.violations.len() < MAX_VIOLATIONS {
            self.violations.push(Violation {
                key: key.to_owned(),
                value: value.to_owned(),
                allowed: allowed.to_owned(),
            });
        }
    }
}

fn route_key(route: &RoutePolicy, field: &str) -> String {
    let RoutePolicy {
        service,
        method,
        path,
        ..
    } = route;
    format!("route[{service} {method}{path}].{field}")
}

fn is_name(name: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    (1..=MAX_NAME_BYTES).contains(&name.len()) && name.bytes().all(allowed)
}

fn is_method(method: &str) -> bool {
    method.len() <= MAX_METHOD_BYTES && method.bytes().all(|byte| byte.is_ascii_uppercase())
}

fn is_path(path: &str) -> bool {
    path.starts_with('/')
        && path.len() <= MAX_PATH_BYTES
        && path.bytes().all(|byte| byte.is_ascii_graphic())
}
