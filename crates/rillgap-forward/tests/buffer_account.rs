//! Account of the bytes that a node holds: who gets room, who is slowed down and who ends.

use std::time::Duration;

use googletest::prelude::*;
use rillgap_core::time::Instant;
use rillgap_forward::buffer_account::{
    BufferAccount, BufferLimits, HolderId, HolderKind, REFUSE_FRACTION, Room, SLOW_FRACTION,
};

const LIMITS: BufferLimits = BufferLimits {
    total: 1_000,
    answer: 500,
    open_ended_answer: 300,
};

fn account() -> BufferAccount {
    BufferAccount::new(LIMITS)
}

fn at(millis: u64) -> Instant {
    Instant::from_micros(millis * 1_000)
}

/// Adds a holder with bytes that are held already.
fn holder(account: &mut BufferAccount, kind: HolderKind, bytes: usize) -> HolderId {
    let id = account.open(kind);
    account.add(id, bytes);
    id
}

#[gtest]
fn sum_of_what_is_granted_stays_within_the_limit_whatever_asks_for_it() {
    let mut account = account();
    let kinds = [
        HolderKind::Answer,
        HolderKind::OpenEndedAnswer,
        HolderKind::Link,
    ];
    let holders: Vec<HolderId> = kinds
        .iter()
        .cycle()
        .take(30)
        .map(|kind| account.open(*kind))
        .collect();
    // Endless answers that each ask for more until they are told to end.
    for round in 0..50 {
        for id in &holders {
            account.request(*id, 7 + round);
        }
        expect_that!(account.held(), le(LIMITS.total));
    }
}

#[gtest]
fn without_room_the_longest_answer_without_a_known_end_ends_and_all_others_wait() {
    let mut account = account();
    let known = holder(&mut account, HolderKind::Answer, 500);
    let short = holder(&mut account, HolderKind::OpenEndedAnswer, 100);
    let long = holder(&mut account, HolderKind::OpenEndedAnswer, 300);
    expect_that!(account.request(known, 200), eq(Room::Wait));
    expect_that!(account.request(short, 200), eq(Room::Wait));
    expect_that!(account.request(long, 200), eq(Room::Exhausted));
    account.close(long);
    expect_that!(account.request(known, 200), eq(Room::Granted));
    expect_that!(account.held(), eq(800));
}

#[gtest]
fn what_never_fits_does_not_wait() {
    let mut account = account();
    let id = account.open(HolderKind::Link);
    expect_that!(account.request(id, LIMITS.total + 1), eq(Room::Exhausted));
}

#[gtest]
fn callers_are_slowed_down_before_they_are_refused() {
    let mut account = account();
    let id = account.open(HolderKind::UnreadAnswers);
    let total = LIMITS.total as f64;
    account.set(id, (total * SLOW_FRACTION) as usize);
    expect_that!(account.slows_callers(), eq(true));
    expect_that!(account.take_shortage_change(), none());
    account.set(id, (total * REFUSE_FRACTION) as usize);
    expect_that!(account.take_shortage_change(), some(eq(true)));
    expect_that!(account.take_shortage_change(), none());
    // Callers are accepted again only when they are not slowed down any more.
    account.set(id, (total * SLOW_FRACTION) as usize);
    expect_that!(account.take_shortage_change(), none());
    account.set(id, (total * SLOW_FRACTION) as usize - 1);
    expect_that!(account.take_shortage_change(), some(eq(false)));
}

#[gtest]
fn caller_that_has_stopped_reading_is_slower_than_one_with_more_unread_bytes() {
    let mut account = account();
    let stopped = account.open(HolderKind::UnreadAnswers);
    account.add_unread(at(0), stopped, 100);
    let reading = account.open(HolderKind::UnreadAnswers);
    account.add_unread(at(0), reading, 500);
    account.remove_read(at(900), reading, 100);
    expect_that!(account.slowest_reader(at(1_000)), some(eq(stopped)));
    // Right after its answer has arrived, nobody has stopped reading.
    expect_that!(account.slowest_reader(at(100)), some(eq(reading)));
    account.close(stopped);
    expect_that!(account.slowest_reader(at(1_000)), some(eq(reading)));
}

#[gtest]
fn closed_holder_leaves_nothing_and_its_place_is_used_again() {
    let mut account = account();
    for _ in 0..1_000 {
        let id = holder(&mut account, HolderKind::Requests, 900);
        account.remove(id, 2_000);
        expect_that!(account.held(), eq(0));
        account.add(id, 10);
        account.close(id);
        expect_that!(account.held(), eq(0));
    }
    let again = account.open(HolderKind::Requests);
    let first = BufferAccount::new(LIMITS).open(HolderKind::Requests);
    expect_that!(again, eq(first));
}

/// Time that no test reaches.
const NEVER: Duration = Duration::from_secs(3_600);

#[gtest]
fn caller_without_unread_bytes_is_not_the_slowest() {
    let mut account = account();
    let id = account.open(HolderKind::UnreadAnswers);
    account.add_unread(at(0), id, 10);
    account.remove_read(at(1), id, 10);
    expect_that!(account.slowest_reader(at(0) + NEVER), none());
}
