//! Rate limits of tenants: token buckets at their owners, admission on the entry nodes.

use std::collections::BTreeMap;
use std::time::Duration;

use googletest::prelude::*;
use rillgap_core::admission::Level;
use rillgap_core::time::Instant;
use rillgap_forward::configuration::RateLimit;
use rillgap_forward::rate_limit::TOKEN_LIFETIME;
use rillgap_forward::rate_limit::bucket::{Buckets, Grant};
use rillgap_forward::rate_limit::entry::{Admission, EntryLimiter, TokenDemand};
use rillgap_forward::rate_limit::ownership::TenantHash;

const TENANT: &str = "north";
const LEVEL: Level = Level(70_000);
const LIMIT: RateLimit = RateLimit {
    per_second: 10.0,
    burst: 20.0,
};

fn at(millis: u64) -> Instant {
    Instant::from_micros(millis * 1_000)
}

fn granted(buckets: &mut Buckets, now: u64, wanted: u32) -> Grant {
    buckets.grant(at(now), TENANT, LIMIT, at(0), wanted, &[])
}

#[gtest]
fn new_owner_starts_with_an_empty_bucket() {
    let mut buckets = Buckets::default();
    expect_that!(granted(&mut buckets, 0, 5).tokens, eq(0));
    expect_that!(granted(&mut buckets, 500, 5).tokens, eq(5));
}

#[gtest]
fn bucket_holds_no_more_than_its_burst() {
    let mut buckets = Buckets::default();
    expect_that!(granted(&mut buckets, 60_000, 100).tokens, eq(20));
}

#[gtest]
fn owner_that_lost_the_bucket_temporarily_starts_with_an_empty_one() {
    let mut buckets = Buckets::default();
    granted(&mut buckets, 60_000, 1);
    let grant = buckets.grant(at(70_000), TENANT, LIMIT, at(69_900), 20, &[]);
    expect_that!(grant.tokens, eq(1));
}

#[gtest]
fn lower_limit_applies_at_once() {
    let mut buckets = Buckets::default();
    granted(&mut buckets, 60_000, 0);
    let lower = RateLimit {
        per_second: 1.0,
        burst: 2.0,
    };
    let grant = buckets.grant(at(60_001), TENANT, lower, at(0), 20, &[]);
    expect_that!(grant.tokens, eq(2));
}

#[gtest]
fn grant_below_the_demand_states_when_to_query_again() {
    let mut buckets = Buckets::default();
    expect_that!(granted(&mut buckets, 60_000, 5).wait_millis, eq(0));
    expect_that!(granted(&mut buckets, 60_000, 40).wait_millis, gt(0));
}

/// Returns a grant of all requested tokens.
fn tokens(tokens: u32) -> Grant {
    Grant {
        tokens,
        ..Grant::default()
    }
}

/// Grants the tokens that an entry node demands from the buckets; returns the requests that go on.
fn exchange(entry: &mut EntryLimiter<u32>, buckets: &mut Buckets, now: u64) -> Vec<u32> {
    let mut released_requests = Vec::new();
    for wanted in entry.queries_due(at(now)) {
        let grant = buckets.grant(
            at(now),
            &wanted.tenant,
            LIMIT,
            at(0),
            wanted.tokens,
            &wanted.seen,
        );
        let released = entry.on_grant(at(now), TENANT, wanted.number, grant);
        released_requests.extend(
            released
                .map(|released| released.granted)
                .unwrap_or_default(),
        );
    }
    released_requests
}

#[gtest]
fn waiting_request_goes_on_with_its_token() {
    let mut entry = EntryLimiter::default();
    let mut buckets = Buckets::default();
    expect_that!(
        entry.admit(at(5_000), TENANT, LEVEL, 1),
        eq(Admission::Waiting)
    );
    expect_that!(
        exchange(&mut entry, &mut buckets, 5_002),
        elements_are![eq(&1)]
    );
}

#[gtest]
fn busy_entry_node_prefetches_tokens_so_that_fewer_requests_wait() {
    let mut entry = EntryLimiter::default();
    let mut buckets = Buckets::default();
    let mut waited = 0;
    for number in 0..60 {
        let now = 10_000 + u64::from(number) * 125;
        let admission = entry.admit(at(now), TENANT, LEVEL, number);
        waited += usize::from(admission == Admission::Waiting);
        exchange(&mut entry, &mut buckets, now + 2);
    }
    expect_that!(waited, lt(40));
}

#[gtest]
fn requests_beyond_the_limit_are_refused_with_the_length_of_the_shortage() {
    let mut entry = EntryLimiter::default();
    let mut buckets = Buckets::default();
    let mut refused = 0;
    for number in 0..100 {
        let now = 10_000 + u64::from(number);
        match entry.admit(at(now), TENANT, LEVEL, number) {
            Admission::Refused { shortage } => {
                expect_that!(shortage, gt(Duration::ZERO));
                refused += 1;
            }
            Admission::Granted | Admission::Waiting => {}
        }
        exchange(&mut entry, &mut buckets, now);
    }
    expect_that!(refused, ge(70));
}

#[gtest]
fn token_expires_after_its_lifetime_counted_from_the_query() {
    let mut entry = EntryLimiter::default();
    entry.admit(at(1_000), TENANT, LEVEL, 1);
    let wanted = entry.queries_due(at(1_000)).remove(0);
    let late = at(1_000) + TOKEN_LIFETIME;
    let released = entry.on_grant(late, TENANT, wanted.number, tokens(3));
    expect_that!(released.map(|released| released.granted), some(is_empty()));
}

#[gtest]
fn expired_token_is_not_taken_after_a_later_grant_is_used_up() {
    let mut entry = EntryLimiter::default();
    entry.admit(at(1_000), TENANT, LEVEL, 1);
    let first = entry.queries_due(at(1_000)).remove(0);
    let second = entry.queries_due(at(1_100)).remove(0);
    // The second query is answered first, by another owner.
    entry.on_grant(at(1_110), TENANT, second.number, tokens(2));
    entry.on_grant(at(1_120), TENANT, first.number, tokens(5));
    let late = at(1_350);
    expect_that!(entry.admit(late, TENANT, LEVEL, 2), eq(Admission::Granted));
    expect_that!(entry.admit(late, TENANT, LEVEL, 3), eq(Admission::Waiting));
}

#[gtest]
fn second_answer_to_a_query_is_ignored() {
    let mut entry = EntryLimiter::default();
    entry.admit(at(1_000), TENANT, LEVEL, 1);
    let wanted = entry.queries_due(at(1_000)).remove(0);
    entry.on_grant(at(1_002), TENANT, wanted.number, tokens(1));
    let again = entry.on_grant(at(1_003), TENANT, wanted.number, tokens(1));
    expect_that!(again, none());
}

#[gtest]
fn request_without_an_answer_is_released_after_the_maximum_wait() {
    let mut entry = EntryLimiter::default();
    entry.admit(at(1_000), TENANT, LEVEL, 1);
    expect_that!(entry.take_overdue(at(1_050)), is_empty());
    expect_that!(entry.take_overdue(at(1_300)), elements_are![eq(&1)]);
}

#[gtest]
fn unanswered_query_is_repeated() {
    let mut entry = EntryLimiter::default();
    entry.admit(at(1_000), TENANT, LEVEL, 1);
    expect_that!(entry.queries_due(at(1_000)).len(), eq(1));
    expect_that!(entry.queries_due(at(1_010)).len(), eq(0));
    expect_that!(entry.queries_due(at(1_090)).len(), eq(1));
}

#[gtest]
fn requests_wait_less_for_an_owner_that_does_not_answer() {
    let mut entry = EntryLimiter::default();
    for number in 0..20_u32 {
        let now = 1_000 + u64::from(number) * 40;
        entry.admit(at(now), TENANT, LEVEL, number);
        entry.queries_due(at(now));
        entry.take_overdue(at(now));
    }
    entry.admit(at(1_800), TENANT, LEVEL, 99);
    expect_that!(entry.take_overdue(at(1_900)), contains(eq(&99)));
}

#[gtest]
fn tenants_are_spread_over_the_nodes() {
    let nodes: Vec<u64> = (0..10)
        .map(|node| rillgap_forward::watcher_election::name_hash(&format!("node-{node}")))
        .collect();
    let mut owned: BTreeMap<u64, u32> = BTreeMap::new();
    for tenant in 0..1_000 {
        let hash = TenantHash::of(&format!("tenant-{tenant}"));
        let owner = nodes.iter().max_by_key(|node| hash.owner_score(**node));
        *owned.entry(*owner.expect("a node")).or_default() += 1;
    }
    expect_that!(owned.values().min(), some(ge(&60)));
    expect_that!(owned.len(), eq(10));
}

/// Returns a grant without tokens by an owner that states this level.
fn level_only(level: Level) -> Grant {
    Grant {
        level,
        shortage_millis: 900,
        ..Grant::default()
    }
}

/// Makes an entry node know a level that the owner stated at 1,000 ms.
fn entry_with_level(level: Level) -> EntryLimiter<u32> {
    let mut entry = EntryLimiter::default();
    entry.admit(at(1_000), TENANT, LEVEL, 0);
    let query = entry.queries_due(at(1_000)).remove(0);
    entry.on_grant(at(1_002), TENANT, query.number, level_only(level));
    entry.release_all(TENANT);
    entry
}

#[gtest]
fn request_below_the_level_is_refused_without_a_query() {
    let mut entry = entry_with_level(LEVEL);
    entry.queries_due(at(1_002));
    let below = entry.admit(at(1_012), TENANT, Level(LEVEL.0 - 1), 1);
    let shortage = Duration::from_millis(912);
    expect_that!(below, eq(Admission::Refused { shortage }));
    expect_that!(entry.queries_due(at(1_012)), is_empty());
    expect_that!(entry.refused_by_level(), eq(1));
    expect_that!(
        entry.admit(at(1_012), TENANT, LEVEL, 2),
        eq(Admission::Waiting)
    );
}

#[gtest]
fn level_no_longer_applies_after_half_a_second() {
    let mut entry = entry_with_level(LEVEL);
    let below = Level(LEVEL.0 - 1);
    let refused = entry.admit(at(1_499), TENANT, below, 1);
    expect_that!(refused, matches_pattern!(Admission::Refused { .. }));
    let waiting = entry.admit(at(1_501), TENANT, below, 2);
    expect_that!(waiting, eq(Admission::Waiting));
}

#[gtest]
fn level_that_no_request_can_reach_is_ignored() {
    let mut entry = entry_with_level(Level(u32::MAX));
    let waiting = entry.admit(at(1_010), TENANT, LEVEL, 1);
    expect_that!(waiting, eq(Admission::Waiting));
}

#[gtest]
fn entry_node_that_refuses_all_requests_reports_its_demand() {
    let mut entry = entry_with_level(LEVEL);
    entry.queries_due(at(1_002));
    let below = Level(LEVEL.0 / 2);
    for number in 0..10 {
        entry.admit(at(1_010 + u64::from(number)), TENANT, below, number);
    }
    entry.admit(at(1_205), TENANT, below, 99);
    let reports = entry.queries_due(at(1_205));
    let counts: Vec<u32> = reports
        .iter()
        .flat_map(|report| report.seen.iter().map(|(_, count)| *count))
        .collect();
    expect_that!(counts.iter().sum::<u32>(), eq(11));
    expect_that!(reports[0].tokens, eq(0));
}

#[gtest]
fn request_waits_for_a_token_that_is_expected_within_its_wait() {
    let mut entry = EntryLimiter::default();
    entry.admit(at(1_000), TENANT, LEVEL, 1);
    let query = entry.queries_due(at(1_000)).remove(0);
    let soon = Grant {
        wait_millis: 40,
        ..Grant::default()
    };
    let released = entry.on_grant(at(1_002), TENANT, query.number, soon);
    expect_that!(released.map(|released| released.refused), some(is_empty()));
    expect_that!(
        entry.admit(at(1_010), TENANT, LEVEL, 2),
        eq(Admission::Waiting)
    );
    expect_that!(entry.queries_due(at(1_041)), is_empty());
    expect_that!(entry.next_wake(), some(eq(at(1_042))));
    expect_that!(entry.queries_due(at(1_042)).len(), eq(1));
}

#[gtest]
fn scarce_tokens_go_to_the_waiting_requests_of_the_highest_levels() {
    let mut entry = EntryLimiter::default();
    for number in 0..4 {
        entry.admit(at(1_000), TENANT, Level(LEVEL.0 + number), number);
    }
    let query = entry.queries_due(at(1_000)).remove(0);
    let released = entry.on_grant(at(1_002), TENANT, query.number, tokens(2));
    expect_that!(
        released.map(|released| released.granted),
        some(elements_are![eq(&3), eq(&2)])
    );
}

#[gtest]
fn request_that_no_token_can_reach_in_time_is_refused() {
    let mut entry = EntryLimiter::default();
    entry.admit(at(1_000), TENANT, LEVEL, 1);
    let query = entry.queries_due(at(1_000)).remove(0);
    let late = Grant {
        wait_millis: 240,
        ..Grant::default()
    };
    let released = entry.on_grant(at(1_002), TENANT, query.number, late);
    expect_that!(
        released.map(|released| released.refused),
        some(elements_are![eq(&1)])
    );
    let refused = entry.admit(at(1_010), TENANT, LEVEL, 2);
    expect_that!(refused, matches_pattern!(Admission::Refused { .. }));
}

/// Deterministic random numbers from a seed.
struct SeededRandom(u64);

impl SeededRandom {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        (self.0 >> 33) % bound
    }
}

/// Checks the bound of `docs/design/tenants.md`: in any window, no more requests pass than the
/// tokens added to the bucket in it, the burst, and the tokens added during the lifetime of a
/// token. Levels and shortages do not matter for it: in every second run they are random.
#[gtest]
fn sum_over_all_entries_stays_within_the_bound_whatever_owners_are_lost() {
    const WINDOW: u64 = 5_000;
    for seed in 0..200 {
        let mut random = SeededRandom(seed);
        let mut entries: Vec<EntryLimiter<u32>> = (0..8).map(|_| EntryLimiter::default()).collect();
        let mut buckets = Buckets::default();
        let mut owned_since = 0;
        let mut passed: Vec<u64> = Vec::new();
        let mut in_flight: Vec<(u64, usize, u64, Grant)> = Vec::new();
        for now in 0..20_000 {
            if random.below(2_000) == 0 {
                // The owner is lost, and its successor takes over without its state.
                buckets = Buckets::default();
                owned_since = now;
            }
            let count = entries.len() as u64;
            let entry = random.below(count) as usize;
            if random.below(20) == 0 {
                let level = Level(random.below(200_000) as u32);
                let admission = entries[entry].admit(at(now), TENANT, level, 0);
                passed.extend((admission == Admission::Granted).then_some(now));
            }
            for wanted in entries[entry].queries_due(at(now)) {
                let since = at(owned_since);
                let TokenDemand { tokens, seen, .. } = &wanted;
                let mut grant = buckets.grant(at(now), TENANT, LIMIT, since, *tokens, seen);
                if seed % 2 == 1 {
                    grant.level = Level(random.below(1 << 32) as u32);
                    grant.shortage_millis = random.below(1 << 32) as u32;
                }
                // Answers take a random time, and some are lost.
                if random.below(10) > 0 {
                    let arrives = now + random.below(400);
                    in_flight.push((arrives, entry, wanted.number, grant));
                }
            }
            let arrived: Vec<_> = in_flight.extract_if(.., |answer| answer.0 <= now).collect();
            for (_, entry, number, grant) in arrived {
                let released = entries[entry].on_grant(at(now), TENANT, number, grant);
                let granted = released.map_or(0, |released| released.granted.len());
                passed.extend(std::iter::repeat_n(now, granted));
            }
            for entry in &mut entries {
                entry.take_overdue(at(now));
            }
        }
        let lifetime = TOKEN_LIFETIME.as_secs_f64();
        let seconds = Duration::from_millis(WINDOW).as_secs_f64();
        let bound = LIMIT.per_second * (seconds + lifetime) + LIMIT.burst;
        for start in &passed {
            let within = passed
                .iter()
                .filter(|at| (*start..start + WINDOW).contains(at));
            expect_that!(within.count() as f64, le(bound), "seed {seed}");
        }
    }
}
