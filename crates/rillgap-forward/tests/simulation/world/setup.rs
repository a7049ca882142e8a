//! Builds the names, addresses, settings and configuration of the simulated deployment.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use rillgap_forward::configuration::{
    CallerLimits, Configuration, RateLimit, Repeatability, Route, Service, Tenant, WeightedService,
};
use rillgap_forward::credential::KeyDigest;
use rillgap_forward::message::NodeRecord;
use rillgap_forward::rate_limit::ownership::TenantHash;
use rillgap_forward::settings::ForwardSettings;
use rillgap_forward::watcher_election::name_hash;

use super::*;

/// Number of zones of a large deployment; each holds one host of each service in turn.
const ZONES: usize = 5;

/// Name of the tenant with a limit.
const LIMITED_TENANT: &str = "limited";

pub(super) fn service(host: usize) -> &'static str {
    SERVICES[host % SERVICES.len()]
}

/// Returns the service to which requests for a target are routed.
pub fn service_of_target(target: &str) -> &'static str {
    match target.split('/').nth(1) {
        Some("front") => "front",
        Some("once" | "middle") => "middle",
        _ => "deep",
    }
}

/// Returns the path prefix of requests for a service that make no calls.
pub fn target_without_calls(service: &str) -> &'static str {
    match service {
        "front" => "/front/direct",
        "middle" => "/middle/direct",
        _ => "/deep/direct",
    }
}

pub(super) fn next_service(service: &str) -> &'static str {
    match service {
        "front" => "middle",
        _ => "deep",
    }
}

pub(super) fn back_end_address(host: usize) -> std::net::SocketAddr {
    let port = 9_000 + u16::try_from(host).unwrap_or(0);
    ([127, 0, 0, 1], port).into()
}

pub(super) fn new_host(host: usize) -> Host {
    Host {
        name: format!("n{host}"),
        node: None,
        incarnation: 0,
        clock_lag: 0,
        paused_until: 0,
        version: 0,
        back_end: BackEnd {
            instance: Incarnation::without_start(""),
            start_count: 0,
            is_alive: false,
            is_draining: false,
            is_acknowledged: false,
            sequence: 0,
            executions: BTreeMap::new(),
            lost_answer_percent: 0,
            fail_percent: 0,
            late_fail_percent: 0,
            reject_percent: 0,
            slowdown: 1,
            rate_limit: None,
            states_leaving: false,
        },
        calls: BTreeMap::new(),
        callers: BTreeMap::new(),
        unread: BTreeMap::new(),
        ends_connections: false,
        wakes_at: u64::MAX,
    }
}

pub(super) fn settings(host: usize, incarnation: u32, random_seed: u64) -> ForwardSettings {
    let port = 7_000 + u16::try_from(host).unwrap_or(0);
    ForwardSettings {
        record: NodeRecord {
            name: format!("n{host}"),
            address: ([127, 0, 0, 1], port).into(),
            zone: format!("z{}", host / SERVICES.len() % ZONES),
            service: service(host).to_owned(),
        },
        is_first_start: incarnation == 1,
        store_writes_per_second: 400.0,
        incarnation: u64::from(incarnation),
        random_seed,
        back_end_address: back_end_address(host),
        heartbeat_interval: Duration::from_millis(HEARTBEAT_MILLIS),
        grace: Duration::from_secs(6),
        retry_bound: RETRY_BOUND,
        revocation: Some(MAX_REVOCATION_DELAY),
    }
}

fn tenant(name: &str, keys: &[Key], limit: Option<RateLimit>) -> Tenant {
    Tenant {
        name: name.to_owned(),
        keys: keys.iter().map(Key::digest).collect(),
        priority: None,
        limit,
    }
}

impl World {
    /// Returns the hosts in the order in which they own the bucket of the limited tenant.
    pub fn bucket_owners(&self) -> Vec<usize> {
        let tenant = TenantHash::of(LIMITED_TENANT);
        let score = |host: &usize| tenant.owner_score(name_hash(&self.hosts[*host].name));
        let mut hosts: Vec<usize> = (0..self.size()).collect();
        hosts.sort_by_key(|host| Reverse(score(host)));
        hosts
    }
}

impl Key {
    /// Returns the digest of the key in the configuration; it hashes the name of the variant.
    pub(super) fn digest(&self) -> KeyDigest {
        KeyDigest::of(format!("{self:?}").as_bytes())
    }
}

pub(super) fn configuration(version: u64, tenant_limit: RateLimit) -> Configuration {
    let route = |path: &str, service: &str, repeatability, priority| Route {
        name: path.to_owned(),
        host: "h".to_owned(),
        path_prefix: path.to_owned(),
        repeatability,
        timeout_millis: 800,
        target_latency_millis: 400,
        priority,
        services: vec![WeightedService {
            service: service.to_owned(),
            weight: 1,
        }],
        max_attempts: 2,
        is_public: false,
    };
    let services = SERVICES.map(|name| Service {
        name: name.to_owned(),
        health_path: "/health".to_owned(),
        max_connections: 100,
    });
    Configuration {
        version,
        routes: vec![
            route("/front/", "front", Repeatability::Idempotent, 2),
            route("/once/", "middle", Repeatability::AtMostOnce, 0),
            route("/middle/", "middle", Repeatability::Idempotent, 1),
            route("/deep/", "deep", Repeatability::Idempotent, 1),
        ],
        services: services.to_vec(),
        tenants: vec![
            tenant("steady", &[Key::Kept, Key::OfVersion(version)], None),
            tenant(LIMITED_TENANT, &[Key::Limited], Some(tenant_limit)),
        ],
        limits: CallerLimits::default(),
    }
}
