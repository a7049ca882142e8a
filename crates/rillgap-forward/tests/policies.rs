//! Unit tests of the policies for routes, weights, load balancing and the retry budget.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use googletest::prelude::*;
use rillgap_core::admission::Level;
use rillgap_core::time::Instant;
use rillgap_forward::balancer::{Balancer, Candidate};
use rillgap_forward::configuration::{
    Configuration, Repeatability, Route, RouteTable, WeightedService,
};
use rillgap_forward::message::{TIER_COUNT, level_of};
use rillgap_forward::retry_budget::RetryBudget;
use rillgap_forward::settings::RetryBound;
use support::{HOST, TestNode, at, caller_request, configuration, route, settings};

fn table(paths: &[&str]) -> RouteTable {
    let routes: Vec<Route> = paths
        .iter()
        .map(|path| route(path, path, Repeatability::Idempotent))
        .collect();
    RouteTable::new(Configuration {
        routes,
        ..Configuration::default()
    })
}

fn prefix<'a>(table: &'a RouteTable, host: &str, target: &str) -> Option<&'a str> {
    let route = table.lookup(host, target)?;
    Some(route.path_prefix.as_str())
}

#[gtest]
fn longest_prefix_of_the_host_wins() {
    let table = table(&["/", "/a/", "/a/b/"]);
    expect_that!(prefix(&table, HOST, "/a/b/c?x=/"), some(eq("/a/b/")));
    expect_that!(prefix(&table, HOST, "/a/bc"), some(eq("/a/")));
    expect_that!(prefix(&table, HOST, "/z"), some(eq("/")));
    expect_that!(
        prefix(&table, "Fares.Example:80", "/a/b/"),
        some(eq("/a/b/"))
    );
    expect_that!(prefix(&table, "other.example", "/a/b/"), none());
}

#[gtest]
fn query_is_not_part_of_the_path() {
    let table = table(&["/a/b/"]);
    expect_that!(prefix(&table, HOST, "/a?/a/b/"), none());
}

#[gtest]
fn requests_are_divided_by_the_weights() {
    let mut test = TestNode::unconfigured("logbok");
    let mut split = configuration(1);
    split.routes[0].services = vec![
        WeightedService {
            service: "old".to_owned(),
            weight: 90,
        },
        WeightedService {
            service: "new".to_owned(),
            weight: 10,
        },
    ];
    test.configure(split);
    test.connect("peer-a", 2, "old");
    test.connect("peer-b", 3, "new");
    test.actions.clear();
    for index in 0..100 {
        test.request(index, caller_request(&format!("r{index}"), "/safe/1"));
    }
    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    for (_, _, request) in test.sent() {
        *counts.entry(request.service).or_default() += 1;
    }
    expect_that!(counts["new"], all!(ge(9), le(11)));
    expect_that!(counts["old"], all!(ge(89), le(91)));
}

fn candidate(
    name: &'static str,
    is_local: bool,
    utilization: f64,
    mean: u32,
) -> Candidate<&'static str> {
    Candidate {
        target: name,
        is_local,
        utilization,
        limit: 100,
        mean_micros: mean,
        failing_permille: 0,
    }
}

/// Remaining time of a request.
const REMAINING: Duration = Duration::from_millis(10);

fn choose(candidates: &[Candidate<&'static str>]) -> Option<&'static str> {
    Balancer::new(1).choose(candidates.to_vec(), REMAINING)
}

#[gtest]
fn own_zone_is_preferred_while_it_has_capacity() {
    let near = candidate("near", true, 0.3, 1_000);
    let far = candidate("far", false, 0.1, 1_000);
    expect_that!(choose(&[near, far.clone()]), some(eq("near")));
    let half_full = candidate("near", true, 0.65, 1_000);
    let lighter = candidate("far", false, 0.4, 1_000);
    expect_that!(choose(&[half_full, lighter]), some(eq("near")));
    let full = candidate("near", true, 0.9, 1_000);
    expect_that!(choose(&[full, far]), some(eq("far")));
    expect_that!(choose(&[]), none());
}

#[gtest]
fn slow_back_end_is_avoided_but_used_when_the_fast_one_is_full() {
    let slow = candidate("slow", true, 0.5, 2_300);
    expect_that!(
        choose(&[slow.clone(), candidate("fast", true, 0.5, 1_000)]),
        some(eq("fast"))
    );
    expect_that!(
        choose(&[slow, candidate("fast", true, 0.95, 1_000)]),
        some(eq("slow"))
    );
}

#[gtest]
fn request_leaves_the_zone_if_the_local_back_end_is_slow_for_its_deadline() {
    let near = candidate("near", true, 0.2, 3_000);
    let far = candidate("far", false, 0.2, 1_000);
    let candidates = [near, far];
    expect_that!(choose(&candidates), some(eq("far")));
    let long_deadline = Duration::from_millis(50);
    let chosen = Balancer::new(1).choose(candidates.to_vec(), long_deadline);
    expect_that!(chosen, some(eq("near")));
}

fn failing(name: &'static str, utilization: f64, permille: u32) -> Candidate<&'static str> {
    Candidate {
        failing_permille: permille,
        ..candidate(name, true, utilization, 1_000)
    }
}

#[gtest]
fn failing_back_end_is_avoided_but_used_when_healthy_ones_are_full() {
    let healthy = |utilization| candidate("healthy", false, utilization, 1_000);
    let failing_one = failing("failing", 0.0, 400);
    expect_that!(
        choose(&[failing_one.clone(), healthy(0.4)]),
        some(eq("healthy"))
    );
    expect_that!(
        choose(&[failing_one.clone(), healthy(1.2)]),
        some(eq("failing"))
    );
    // It is chosen if there is no other candidate.
    expect_that!(choose(&[failing_one]), some(eq("failing")));
}

#[gtest]
fn healthy_back_end_is_chosen_among_many_failing_ones() {
    let mut candidates: Vec<_> = (0..20).map(|_| failing("failing", 0.1, 400)).collect();
    candidates.push(candidate("healthy", false, 0.3, 1_000));
    let mut balancer = Balancer::new(1);
    for _ in 0..50 {
        expect_that!(
            balancer.choose(candidates.clone(), REMAINING),
            some(eq("healthy"))
        );
    }
}

/// Level of a root that is shed last.
const HIGHEST: Level = Level(Level::PER_TIER * TIER_COUNT as u32 - 1);

/// Nodes of a small deployment.
const NODES: usize = 12;

/// Bound of a deployment of 73 nodes.
const BOUND_OF_73_NODES: RetryBound = RetryBound {
    ratio: 0.2,
    slack: 95,
    window: Duration::from_secs(10),
};

/// Returns the budget of a node that knows how many nodes there are.
fn budget_of(bound: RetryBound, nodes: usize, had_earlier_run: bool) -> RetryBudget {
    let mut budget = RetryBudget::new(at(0), bound, had_earlier_run);
    budget.observe_nodes(at(0), nodes);
    budget
}

/// Returns the budget of a node of a small deployment that has no earlier run.
fn small_budget() -> RetryBudget {
    budget_of(settings("own", "logbok").retry_bound, NODES, false)
}

/// Counts requests for a service at a time.
fn count_requests(budget: &mut RetryBudget, now: Instant, count: usize) {
    for _ in 0..count {
        budget.count_request(now, "takst");
    }
}

/// Time until which [`count_steadily`] counts requests: two windows.
const STEADY_MILLIS: u64 = 20_000;

/// Counts so many requests per window for a service, for two windows.
fn count_steadily(budget: &mut RetryBudget, per_window: u64) {
    for number in 0..2 * per_window {
        let millis = number * STEADY_MILLIS / (2 * per_window);
        budget.count_request(at(millis), "takst");
    }
}

/// Returns how many retries a budget covers at a time.
fn spend_all(budget: &mut RetryBudget, now: Instant) -> usize {
    (0..500)
        .filter(|_| budget.try_spend(now, "takst", HIGHEST))
        .count()
}

#[gtest]
fn parts_of_the_slack_of_all_nodes_stay_within_it_over_restarts() {
    // 73 nodes spend all that they may, and are killed twice within the window.
    let mut spent = 0;
    for _ in 0..73 {
        spent += spend_all(&mut budget_of(BOUND_OF_73_NODES, 73, false), at(0));
        for _ in 0..2 {
            let mut restarted = budget_of(BOUND_OF_73_NODES, 73, true);
            spent += spend_all(&mut restarted, at(0)) + spend_all(&mut restarted, at(10_000));
        }
    }
    expect_that!(spent, all!(ge(73), le(95)));
    // Once the charges of the earlier run have left all windows, the node has its part again.
    let mut restarted = budget_of(BOUND_OF_73_NODES, 73, true);
    expect_that!(spend_all(&mut restarted, at(11_500)), eq(1));
    // A restarted node may send retries for its own requests.
    let mut restarted = budget_of(BOUND_OF_73_NODES, 73, true);
    count_requests(&mut restarted, at(0), 50);
    expect_that!(spend_all(&mut restarted, at(1)), eq(1));
}

#[gtest]
fn node_that_does_not_know_the_number_of_nodes_gets_no_part_of_the_slack() {
    let bound = settings("own", "logbok").retry_bound;
    let mut budget = RetryBudget::new(at(0), bound, false);
    expect_that!(spend_all(&mut budget, at(20_000)), eq(0));
    // A list that is incomplete for a while does not raise the part.
    budget.observe_nodes(at(20_000), 100);
    budget.observe_nodes(at(21_000), 1);
    expect_that!(spend_all(&mut budget, at(22_000)), eq(0));
    budget.observe_nodes(at(60_000), 40);
    expect_that!(spend_all(&mut budget, at(60_000)), eq(1));
}

#[gtest]
fn retry_budget_follows_the_requests_of_two_windows() {
    // The part of the slack: 0.8 * 50 / 12 = 3.3.
    expect_that!(spend_all(&mut small_budget(), at(0)), eq(3));
    // A window that begins now has three quarters of 0.45 * 0.2 * 95, since it has no requests yet
    // and the one before it counts without one slice of 20.
    let mut budget = small_budget();
    count_steadily(&mut budget, 100);
    expect_that!(spend_all(&mut budget, at(STEADY_MILLIS)), eq(9));
    // While requests have come for less than two windows, the window that began with them has a
    // quarter of 0.45 * 0.2 * 100.
    let mut budget = small_budget();
    count_requests(&mut budget, at(15_000), 100);
    expect_that!(spend_all(&mut budget, at(16_000)), eq(5));
    // Both the requests and the retries have left the windows.
    expect_that!(spend_all(&mut budget, at(60_000)), eq(3));
}

#[gtest]
fn service_without_calls_may_be_retried_twice_as_often() {
    let spent_after = |answers: &[bool]| {
        let mut budget = small_budget();
        count_steadily(&mut budget, 200);
        for has_calls in answers {
            budget.record_calls("takst", *has_calls);
        }
        spend_all(&mut budget, at(STEADY_MILLIS))
    };
    // 0.75 * 0.2 * 190 = 28.5 times the share, and the part of the slack.
    expect_that!(spent_after(&[]), eq(16));
    expect_that!(spent_after(&[false]), eq(30));
    // One answer that involved calls is enough, since a retry then causes retries below it.
    expect_that!(spent_after(&[false, true, false]), eq(16));
}

#[gtest]
fn calls_of_a_retried_request_use_up_the_budget() {
    let mut budget = small_budget();
    for _ in 0..100 {
        budget.count_request(at(0), "takst");
        budget.try_spend_call(at(0), "takst", false);
    }
    expect_that!(budget.try_spend(at(1), "takst", HIGHEST), eq(false));
}

#[gtest]
fn retries_go_to_the_highest_levels_while_the_budget_is_short() {
    let mut budget = small_budget();
    // 100 retries are left for 5 s. 200 per second are requested, for roots of all levels of a
    // tier.
    count_steadily(&mut budget, 1_510);
    let tier = Level::tier_floor(5).0;
    let mut granted: Vec<u32> = Vec::new();
    for step in 0..800_u32 {
        let level = level_of(2, &format!("root-{step}"));
        let now = at(STEADY_MILLIS + u64::from(step) * 5);
        // The requests go on as before.
        if step % 4 != 0 {
            budget.count_request(now, "takst");
        }
        if step >= 100 && budget.try_spend(now, "takst", level) {
            granted.push(level.0 - tier);
        }
    }
    expect_that!(granted.len(), ge(60));
    // The first retries are spent before the demand has been measured.
    let after_first = &granted[30..];
    expect_that!(
        after_first.iter().min(),
        some(ge(&(Level::PER_TIER * 3 / 4)))
    );
}

#[gtest]
fn retries_are_granted_at_any_level_while_the_budget_suffices() {
    let mut budget = small_budget();
    count_requests(&mut budget, at(0), 2_000);
    let granted = (0..20_u64).filter(|step| budget.try_spend(at(step * 100), "takst", Level(0)));
    expect_that!(granted.count(), eq(20));
}
