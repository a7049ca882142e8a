//! Tests changes of the policy: acceptance, lost replies, concurrent operators, store outages.

mod configuration_support;

use std::time::Duration;

use configuration_support::store::StoreMode;
use configuration_support::{Fleet, accepted, apply_request, name, policy};
use googletest::prelude::*;
use rillgap_core::code::ResultCode;
use rillgap_core::id::{BackEndName, ChangeId, PolicyVersion};
use rillgap_core::operator::{ChangeState, OperatorReply, OperatorRequest};
use rillgap_core::policy::BackEndState;

const FLEET_SIZE: usize = 6;

fn code_of(reply: &OperatorReply) -> Option<ResultCode> {
    match reply {
        OperatorReply::Failed { code, .. } => Some(*code),
        _ => None,
    }
}

fn drain(change: u128) -> OperatorRequest {
    OperatorRequest::SetBackEndState {
        back_end: BackEndName::new("takst-3"),
        state: BackEndState::Leaving,
        change: ChangeId(change),
    }
}

#[gtest]
fn accepted_policy_is_in_force_on_every_node() {
    let mut fleet = Fleet::start(FLEET_SIZE);
    expect_that!(fleet.in_force(0), none());

    let reply = fleet.apply(4, policy(1, FLEET_SIZE), Some(0), 1);

    expect_that!(reply, eq(&accepted(1)));
    expect_true!(fleet.all_in_force(1));
}

#[gtest]
fn back_end_change_is_sent_in_a_small_message() {
    let mut fleet = Fleet::start(FLEET_SIZE);
    let reply = fleet.apply(0, policy(1, 2_000), None, 1);
    expect_that!(reply, eq(&accepted(1)));
    expect_that!(fleet.largest_policy_message, gt(10_000));
    fleet.largest_policy_message = 0;

    let reply = fleet.ask(2, drain(2));

    expect_that!(reply, eq(&accepted(2)));
    expect_that!(fleet.largest_policy_message, le(100));
    for number in 0..FLEET_SIZE {
        let policy = fleet.node(number).configuration().policy().unwrap();
        let back_end = policy.back_end(&BackEndName::new("takst-3")).unwrap();
        expect_that!(back_end.state, eq(BackEndState::Leaving));
    }
}

#[gtest]
fn lost_reply_is_settled_by_reading_back() {
    let mut fleet = Fleet::start_with_policy(FLEET_SIZE);
    fleet.store.mode = StoreMode::LosesReplies;

    let reply = fleet.apply(3, policy(2, FLEET_SIZE), Some(1), 2);

    expect_that!(reply, eq(&accepted(2)));
    expect_that!(fleet.store.policy_changes, eq(2));
}

#[gtest]
fn node_without_peers_settles_a_lost_reply_by_the_store_alone() {
    let mut fleet = Fleet::start_with_policy(FLEET_SIZE);
    fleet.store.mode = StoreMode::LosesReplies;
    fleet.isolate_from_peers(5);

    let reply = fleet.ask(5, drain(2));

    expect_that!(
        reply,
        matches_pattern!(OperatorReply::Change {
            version: eq(&PolicyVersion(2)),
            state: matches_pattern!(ChangeState::Pending { .. }),
        })
    );
    expect_that!(fleet.store.policy_changes, eq(2));
    fleet.heal();
    fleet.run_until("acceptance everywhere", |fleet| fleet.all_in_force(2));
}

#[gtest]
fn write_that_takes_effect_late_is_applied_once() {
    let mut fleet = Fleet::start_with_policy(FLEET_SIZE);
    fleet.store.mode = StoreMode::WritesLate;

    let reply = fleet.apply(3, policy(2, FLEET_SIZE), None, 2);

    expect_that!(reply, eq(&accepted(2)));
    fleet.run(Duration::from_secs(5));
    expect_that!(fleet.store.policy_changes, eq(2));
    expect_true!(fleet.all_in_force(2));
}

#[gtest]
fn repeated_change_is_applied_once() {
    let mut fleet = Fleet::start_with_policy(FLEET_SIZE);
    let first = fleet.send(1, apply_request(policy(2, FLEET_SIZE), None, 2));
    let second = fleet.send(4, apply_request(policy(2, FLEET_SIZE), None, 2));
    let third = fleet.send(4, apply_request(policy(2, FLEET_SIZE), None, 2));
    fleet.run(Duration::from_secs(6));

    for request in [first, second, third] {
        expect_that!(fleet.replies[&request], eq(&accepted(2)));
    }
    expect_that!(
        fleet.apply(0, policy(3, FLEET_SIZE), None, 3),
        eq(&accepted(3))
    );
    expect_that!(
        fleet.apply(5, policy(2, FLEET_SIZE), Some(1), 2),
        eq(&accepted(2))
    );
    expect_that!(fleet.store.policy_changes, eq(3));
}

#[gtest]
fn second_of_two_operators_gets_the_newer_version() {
    let mut fleet = Fleet::start_with_policy(FLEET_SIZE);
    let first = fleet.send(0, apply_request(policy(2, FLEET_SIZE), Some(1), 2));
    let second = fleet.send(5, apply_request(policy(3, FLEET_SIZE), Some(1), 3));
    fleet.run(Duration::from_secs(6));

    let replies = [&fleet.replies[&first], &fleet.replies[&second]];
    let winners = replies.iter().filter(|reply| ***reply == accepted(2));
    expect_that!(winners.count(), eq(1));
    let conflicts = replies.iter().filter(|reply| {
        matches!(
            reply,
            OperatorReply::Failed {
                code: ResultCode::VersionConflict,
                version: PolicyVersion(2),
                ..
            }
        )
    });
    expect_that!(conflicts.count(), eq(1));
}

#[gtest]
fn conflict_names_the_version_in_the_store_not_the_one_held() {
    for number in 1..FLEET_SIZE {
        let mut fleet = Fleet::start_with_policy(FLEET_SIZE);
        fleet.isolate_from_peers(number);
        fleet.apply(0, policy(2, FLEET_SIZE), Some(1), 2);

        let reply = fleet.apply(number, policy(3, FLEET_SIZE), Some(1), 3);

        expect_that!(
            reply,
            matches_pattern!(OperatorReply::Failed {
                code: eq(&ResultCode::VersionConflict),
                version: eq(&PolicyVersion(2)),
                ..
            })
        );
    }
}

#[gtest]
fn changes_without_expected_version_are_all_applied() {
    let mut fleet = Fleet::start_with_policy(FLEET_SIZE);
    let requests: Vec<_> = (0..FLEET_SIZE)
        .map(|number| {
            fleet.send(
                number,
                apply_request(policy(9, FLEET_SIZE), None, 10 + number as u128),
            )
        })
        .collect();
    fleet.run(Duration::from_secs(10));

    for request in requests {
        expect_that!(
            fleet.replies[&request],
            matches_pattern!(OperatorReply::Change { .. })
        );
    }
    expect_true!(fleet.all_in_force(1 + FLEET_SIZE as u64));
}

#[gtest]
fn store_outage_blocks_changes_but_not_serving() {
    for mode in [StoreMode::Down, StoreMode::Silent] {
        let mut fleet = Fleet::start_with_policy(FLEET_SIZE);
        fleet.store.mode = mode;
        let begin = fleet.now;

        let reply = fleet.apply(2, policy(2, FLEET_SIZE), None, 2);

        expect_that!(code_of(&reply), some(eq(ResultCode::StoreUnavailable)));
        expect_that!(
            fleet.now.saturating_since(begin),
            le(Duration::from_millis(1_100))
        );
        fleet.run(Duration::from_secs(30));
        expect_true!(fleet.all_in_force(1));
    }
}

#[gtest]
fn unsettled_change_is_found_once_the_store_is_back() {
    let mut fleet = Fleet::start_with_policy(FLEET_SIZE);
    let request = fleet.send(2, drain(2));
    fleet.run_until("write", |fleet| fleet.store.policy_changes == 2);
    fleet.store.mode = StoreMode::Silent;
    fleet.drop_store_replies();
    fleet.run_until("reply", |fleet| fleet.replies.contains_key(&request));
    let reply = &fleet.replies[&request];
    expect_that!(code_of(reply), some(eq(ResultCode::ChangeUnsettled)));

    fleet.store.mode = StoreMode::Up;
    let change = ChangeId(2);
    fleet.run_until("acceptance", |fleet| fleet.all_in_force(2));
    let reply = fleet.ask(0, OperatorRequest::GetChange { change });
    expect_that!(
        reply,
        matches_pattern!(OperatorReply::Change {
            version: eq(&PolicyVersion(2)),
            ..
        })
    );
}

#[gtest]
fn change_is_pending_while_a_node_is_cut_off() {
    let mut fleet = Fleet::start_with_policy(FLEET_SIZE);
    fleet.isolate(5);

    let reply = fleet.apply(0, policy(2, FLEET_SIZE), None, 2);

    expect_that!(
        reply,
        eq(&OperatorReply::Change {
            version: PolicyVersion(2),
            state: ChangeState::Pending {
                missing: 1,
                nodes: vec![name(5)],
            },
        })
    );
    fleet.heal();
    fleet.run_until("acceptance everywhere", |fleet| fleet.all_in_force(2));
    fleet.run(Duration::from_secs(3));
    let change = ChangeId(2);
    for number in 0..FLEET_SIZE {
        let reply = fleet.ask(number, OperatorRequest::GetChange { change });
        expect_that!(reply, eq(&accepted(2)));
    }
}

#[gtest]
fn invalid_unknown_and_impossible_requests_get_distinct_codes() {
    let mut fleet = Fleet::start_with_policy(3);
    let mut invalid = policy(2, 3);
    invalid.services[0].slots = 0;
    let reply = fleet.apply(0, invalid, None, 2);
    expect_that!(code_of(&reply), some(eq(ResultCode::PolicyInvalid)));

    let change = ChangeId(77);
    let reply = fleet.ask(0, OperatorRequest::GetChange { change });
    expect_that!(code_of(&reply), some(eq(ResultCode::ChangeUnknown)));

    let back_end = BackEndName::new("logbok-1");
    let state = BackEndState::Leaving;
    let request = OperatorRequest::SetBackEndState {
        back_end,
        state,
        change,
    };
    let reply = fleet.ask(0, request);
    expect_that!(code_of(&reply), some(eq(ResultCode::TargetUnknown)));

    let reply = fleet.apply(0, policy(2, 3), Some(9), 3);
    expect_that!(code_of(&reply), some(eq(ResultCode::VersionConflict)));
}
