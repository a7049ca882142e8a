//! Tests that an accepted policy is never reverted, despite restarts, process pauses, stale reads
//! and cold starts.
//!
//! After every event `configuration_support` asserts that the version of a node has not decreased
//! and that no node serves under a version lower than an accepted one.

mod configuration_support;

use std::time::Duration;

use configuration_support::store::StoreMode;
use configuration_support::{Fleet, accepted, apply_request, policy};
use googletest::prelude::*;
use rillgap_core::code::ResultCode;
use rillgap_core::id::PolicyVersion;
use rillgap_core::operator::OperatorReply;

const FLEET_SIZE: usize = 6;

#[gtest]
fn node_restarted_during_the_spread_serves_the_accepted_policy_only() {
    for delay_micros in [0, 500, 4_000, 8_000, 12_000, 100_000] {
        let mut fleet = Fleet::start_with_policy(FLEET_SIZE);
        let request = fleet.send(0, apply_request(policy(2, FLEET_SIZE), None, 2));
        fleet.run(Duration::from_micros(delay_micros));
        fleet.kill(4);
        fleet.boot(4);
        fleet.run_until("policy on the restarted node", |fleet| {
            fleet.in_force(4) == Some(PolicyVersion(2))
        });
        fleet.run_until("reply", |fleet| fleet.replies.contains_key(&request));
    }
}

#[gtest]
fn paused_node_serves_nothing_until_it_is_confirmed() {
    let mut fleet = Fleet::start_with_policy(FLEET_SIZE);
    fleet.pause_process(4, Duration::from_secs(20));
    fleet.run(Duration::from_secs(1));
    let request = fleet.send(0, apply_request(policy(2, FLEET_SIZE), None, 2));
    fleet.run(Duration::from_secs(15));
    expect_true!(fleet.replies.contains_key(&request));

    fleet.run_until("end of the pause", |fleet| fleet.in_force(4).is_some());
    expect_that!(fleet.in_force(4), some(eq(PolicyVersion(2))));
    fleet.run(Duration::from_secs(3));
    expect_that!(
        fleet.apply(0, policy(2, FLEET_SIZE), None, 2),
        eq(&accepted(2))
    );
}

#[gtest]
fn short_process_pause_invalidates_the_confirmation() {
    let mut fleet = Fleet::start_with_policy(FLEET_SIZE);
    let pause = Duration::from_millis(1_500);
    fleet.pause_process(4, pause);

    fleet.run(pause);
    expect_that!(fleet.node(4).configuration().policy(), none());

    fleet.run(Duration::from_millis(20));
    expect_that!(fleet.node(4).configuration().policy(), some(anything()));
}

#[gtest]
fn answer_from_before_a_second_pause_confirms_nothing() {
    let mut fleet = Fleet::start_with_policy(FLEET_SIZE);
    let pause = Duration::from_millis(1_500);
    fleet.pause_process(4, pause);
    fleet.run(pause);

    fleet.pause_process(4, pause);
    fleet.run(pause);
    expect_that!(fleet.node(4).configuration().policy(), none());
}

#[gtest]
fn fleet_paused_as_a_whole_resumes_with_the_store_down() {
    let mut fleet = Fleet::start_with_policy(FLEET_SIZE);
    fleet.store.mode = StoreMode::Down;
    for number in 0..FLEET_SIZE {
        fleet.pause_process(number, Duration::from_millis(1_500));
    }
    fleet.run(Duration::from_millis(1_500));
    fleet.run_until("policy everywhere", |fleet| fleet.all_in_force(1));
}

#[gtest]
fn stale_reads_do_not_restore_an_older_policy() {
    let mut fleet = Fleet::start_with_policy(FLEET_SIZE);
    fleet.store.snapshot_policy();
    expect_that!(
        fleet.apply(0, policy(2, FLEET_SIZE), None, 2),
        eq(&accepted(2))
    );
    fleet.store.begin_stale_reads();

    let reply = fleet.apply(3, policy(3, FLEET_SIZE), None, 3);
    expect_that!(
        reply,
        matches_pattern!(OperatorReply::Failed {
            code: eq(&ResultCode::VersionConflict),
            version: eq(&PolicyVersion(2)),
            ..
        })
    );
    for number in 0..FLEET_SIZE {
        fleet.kill(number);
        fleet.boot(number);
        fleet.run_until("policy on the restarted node", |fleet| {
            fleet.in_force(number).is_some()
        });
        expect_that!(fleet.in_force(number), some(eq(PolicyVersion(2))));
    }
}

#[gtest]
fn cold_start_under_stale_reads_waits_for_the_latest_policy() {
    let mut fleet = Fleet::start_with_policy(FLEET_SIZE);
    fleet.store.snapshot_policy();
    expect_that!(
        fleet.apply(0, policy(2, FLEET_SIZE), None, 2),
        eq(&accepted(2))
    );
    fleet.store.begin_stale_reads();
    (0..FLEET_SIZE).for_each(|number| fleet.kill(number));
    (0..FLEET_SIZE).for_each(|number| fleet.boot(number));

    fleet.run(Duration::from_secs(20));
    expect_that!(fleet.in_force(0), none());

    fleet.store.end_stale_reads();
    fleet.run_until("policy everywhere", |fleet| fleet.all_in_force(2));
}

#[gtest]
fn restarted_node_without_store_fetches_the_policy_from_its_peers() {
    let mut fleet = Fleet::start_with_policy(FLEET_SIZE);
    fleet.kill(4);
    fleet.run(Duration::from_secs(8));
    fleet.boot(4);
    fleet.run_until("membership", |fleet| {
        fleet.node(4).membership().view().members.len() == FLEET_SIZE
    });
    fleet.store.mode = StoreMode::Down;
    fleet.run_until("policy", |fleet| {
        fleet.in_force(4) == Some(PolicyVersion(1))
    });
}
