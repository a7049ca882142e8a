//! Tests of the validation of policies and the matching of routes.

use googletest::prelude::*;
use proptest::prelude::{ProptestConfig, any, prop, prop_assert, prop_assert_eq, proptest};
use rillgap_core::id::{BackEndName, NodeName, ServiceName};
use rillgap_core::policy::{
    BackEndPolicy, BackEndState, Bounds, Class, IndexedPolicy, Policy, RoutePolicy, ServicePolicy,
};

fn service(name: &str) -> ServicePolicy {
    ServicePolicy {
        name: ServiceName::new(name),
        slots: 12,
        connections: 110,
        queue_millis: 50,
    }
}

fn route(service: &str, method: &str, path: &str) -> RoutePolicy {
    RoutePolicy {
        service: ServiceName::new(service),
        method: method.to_owned(),
        path: path.to_owned(),
        class: Class::Standard,
        repeatable: true,
        deadline_millis: 800,
    }
}

fn back_end(name: &str, service: &str, node: &str) -> BackEndPolicy {
    BackEndPolicy {
        name: BackEndName::new(name),
        service: ServiceName::new(service),
        node: NodeName::new(node),
        state: BackEndState::Serving,
    }
}

fn valid() -> Policy {
    Policy {
        services: vec![service("takst"), service("bestilling")],
        routes: vec![
            route("takst", "", "/"),
            route("takst", "GET", "/fares"),
            route("takst", "", "/fares"),
            route("bestilling", "POST", "/bookings"),
        ],
        back_ends: vec![
            back_end("takst-1", "takst", "node-1"),
            back_end("bestilling-1", "bestilling", "node-2"),
        ],
        ..Policy::default()
    }
}

/// Returns the key and the allowed values of the only violation of a policy.
fn only_violation(policy: &Policy) -> (String, String) {
    let violations = policy.validate().unwrap_err().violations;
    assert_that!(violations, len(eq(1)));
    (violations[0].key.clone(), violations[0].allowed.clone())
}

#[gtest]
fn valid_policy_passes() {
    expect_that!(valid().validate(), ok(anything()));
    expect_that!(Policy::default().validate(), ok(anything()));
}

#[gtest]
fn duplicate_names_are_refused() {
    let mut policy = valid();
    policy.services.push(service("takst"));
    expect_that!(only_violation(&policy).0, eq("service[takst].name"));

    let mut policy = valid();
    policy
        .back_ends
        .push(back_end("takst-1", "takst", "node-3"));
    expect_that!(only_violation(&policy).0, eq("back-end[takst-1].name"));

    let mut policy = valid();
    policy
        .back_ends
        .push(back_end("takst-2", "takst", "node-1"));
    expect_that!(only_violation(&policy).0, eq("back-end[takst-2].node"));

    let mut policy = valid();
    policy.routes.push(route("takst", "GET", "/fares"));
    expect_that!(only_violation(&policy).0, eq("route[takst GET/fares].path"));
}

#[gtest]
fn unknown_services_are_refused() {
    let mut policy = valid();
    policy.routes.push(route("logbok", "", "/"));
    expect_that!(only_violation(&policy).0, eq("route[logbok /].service"));

    let mut policy = valid();
    policy
        .back_ends
        .push(back_end("logbok-1", "logbok", "node-3"));
    expect_that!(only_violation(&policy).0, eq("back-end[logbok-1].service"));
}

#[gtest]
fn malformed_names_and_paths_are_refused() {
    for name in ["", "two words", "a/b", &"x".repeat(64)] {
        let mut policy = valid();
        policy.back_ends[0].name = BackEndName::new(name);
        expect_that!(policy.validate(), err(anything()));
    }
    for path in ["", "fares", "/a b", "/\u{e5}"] {
        let mut policy = valid();
        policy.routes[0].path = path.to_owned();
        expect_that!(policy.validate(), err(anything()));
    }
    let mut policy = valid();
    policy.routes[0].method = "get".to_owned();
    expect_that!(policy.validate(), err(anything()));
}

#[gtest]
fn deadline_of_a_route_that_is_not_repeatable_fits_the_key_life() {
    let mut policy = valid();
    policy.bounds.key_life_seconds = 10;
    policy.routes[0].deadline_millis = 10_001;
    expect_that!(policy.validate(), ok(anything()));

    policy.routes[0].repeatable = false;
    let (key, allowed) = only_violation(&policy);
    expect_that!(key, eq("route[takst /].deadline-millis"));
    expect_that!(allowed, starts_with("1 to 10000"));
}

#[gtest]
fn number_of_violations_is_bounded() {
    let mut policy = valid();
    policy.routes = (0..1_000)
        .map(|number| route("logbok", "", &format!("/{number}")))
        .collect();

    expect_that!(policy.validate().unwrap_err().violations, len(eq(20)));
}

#[gtest]
fn longest_prefix_wins_then_the_method() {
    let policy = valid();
    let takst = ServiceName::new("takst");
    let matched = |method: &str, path: &str| {
        policy
            .route(&takst, method, path)
            .map(|route| format!("{}{}", route.method, route.path))
    };

    expect_that!(matched("GET", "/fares/7"), some(eq("GET/fares")));
    expect_that!(matched("POST", "/fares/7"), some(eq("/fares")));
    expect_that!(matched("GET", "/queues"), some(eq("/")));
    expect_that!(matched("GET", "queues"), none());
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    #[test]
    fn bounds_are_valid_exactly_within_their_ranges(
        extra_attempts in any::<u8>(),
        calls_per_request in any::<u8>(),
        key_life_seconds in 0u32..100_000,
        retry_percent in any::<u8>(),
    ) {
        let policy = Policy {
            bounds: Bounds { extra_attempts, calls_per_request, key_life_seconds, retry_percent },
            ..Policy::default()
        };
        let valid = extra_attempts <= 32
            && (1..=64).contains(&calls_per_request)
            && (10..=86_400).contains(&key_life_seconds)
            && retry_percent <= 100;

        prop_assert_eq!(policy.validate().is_ok(), valid);
    }

    #[test]
    fn index_finds_what_the_policy_finds(
        routes in prop::collection::vec(("[ab]", "(GET|POST)?", "/[xy]{0,3}"), 0..12),
        service in "[abc]",
        method in "(GET|POST)",
        path in "/[xy]{0,4}",
    ) {
        let policy = Policy {
            routes: routes.iter().map(|(service, method, path)| route(service, method, path)).collect(),
            back_ends: valid().back_ends,
            ..Policy::default()
        };
        let indexed = IndexedPolicy::new(policy.clone());
        let service = ServiceName::new(service);

        prop_assert_eq!(indexed.route(&service, &method, &path), policy.route(&service, &method, &path));
        prop_assert_eq!(indexed.service(&service), policy.service(&service));
        for back_end in &policy.back_ends {
            prop_assert_eq!(indexed.back_end(&back_end.name), Some(back_end));
            prop_assert!(indexed.back_ends_of(&back_end.service).any(|one| one == back_end));
        }
    }

    #[test]
    fn service_is_valid_exactly_within_its_ranges(
        slots in 0u16..4,
        connections in 0u16..4,
        queue_millis in 59_990u32..60_010,
    ) {
        let mut policy = valid();
        policy.services[0] = ServicePolicy { slots, connections, queue_millis, ..service("takst") };
        let valid = slots > 0 && connections > 0 && queue_millis <= 60_000;

        prop_assert_eq!(policy.validate().is_ok(), valid);
    }
}
