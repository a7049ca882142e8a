//! The operator: writes configurations to the fake store.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use serde_json::{Value, json};

use crate::caller::{ROUTED_VERSIONS, VERSION_SERVICE, key_of};
use crate::deployment::{HOST, SERVICES, TENANT};
use crate::soak::Soak;

/// Writes the next version of the configuration; it is accepted when this returns.
pub fn configure(soak: &Arc<Soak>) {
    let version = soak.version.load(Ordering::SeqCst) + 1;
    let mut resources = vec![
        route(soak, "/front/", "front", "safe", 2),
        route(soak, "/middle/", "middle", "safe", 1),
        route(soak, "/once/", "middle", "non_idempotent", 0),
        route(soak, "/deep/", "deep", "safe", 1),
    ];
    let first = (version + 1).saturating_sub(ROUTED_VERSIONS).max(1);
    for standing in first..=version {
        let prefix = format!("/v{standing}/");
        resources.push(route(soak, &prefix, VERSION_SERVICE, "safe", 2));
    }
    for service in SERVICES {
        resources.push(json!({
            "type": "services",
            "metadata": {"name": service},
            "spec": {"health-path": "/health", "max-connections": 400},
        }));
    }
    // Callers use the key of a version as soon as it is accepted. The previous version already
    // contains that key, since not all nodes have the newest version by then.
    let keys = [key_of(version), key_of(version + 1)];
    resources.push(json!({
        "type": "tenants",
        "metadata": {"name": TENANT},
        "spec": {"api-keys": keys},
    }));
    resources.push(json!({
        "type": "limits",
        "metadata": {"name": "limits"},
        "spec": {
            "max-header-bytes": 16_384,
            "max-body-bytes": 1_048_576,
            "header-timeout-s": 5,
            "idle-timeout-s": 20,
        },
    }));
    let spec = json!({"version": version, "resources": resources});
    *soak.configuration() = spec.clone();
    soak.store.put("config", "main", spec);
    soak.checker().on_version_accepted(soak.now(), version);
    // Callers use the new route and key only from here on, after the checker knows the version.
    soak.version.store(version, Ordering::SeqCst);
}

/// Writes the newest configuration again, since the store may have lost it in a restore.
pub fn rewrite_newest(soak: &Arc<Soak>) {
    let spec = soak.configuration().clone();
    soak.store.put("config", "main", spec);
}

fn route(soak: &Arc<Soak>, prefix: &str, service: &'static str, kind: &str, priority: u8) -> Value {
    soak.checker().allow_route(prefix, service);
    json!({
        "type": "routes",
        "metadata": {"name": prefix.trim_matches('/')},
        "spec": {
            "host": HOST,
            "path-prefix": prefix,
            "service": service,
            "kind": kind,
            "timeout-s": 1.2,
            "target-latency-s": 0.6,
            "priority": priority,
            "max-attempts": 2,
        },
    })
}
