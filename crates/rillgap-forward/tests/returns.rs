//! Refused callers that come back: which requests an entry node recognizes, and what it remembers.

mod support;

use std::time::Duration;

use googletest::prelude::*;
use rillgap_core::admission::Level;
use rillgap_core::code::ResultCode;
use rillgap_core::fingerprint::fingerprint;
use rillgap_core::id::Fingerprint;
use rillgap_core::time::Instant;
use rillgap_forward::event::CallerRequest;
use rillgap_forward::log_record::LogRecord;
use rillgap_forward::message::{ForwardResult, Load, level_of, level_of_return};
use rillgap_forward::outbound::returns::{
    CallerReturn, MAX_REFUSALS, MEMORY_TIME, RETURN_WINDOW, RefusalMemory, TOLERANCE, kind_of,
};
use support::{SERVICE, TestNode, answer, at, caller_request, configuration, serving};

const TOLD: Duration = Duration::from_millis(500);
/// Priority of the routes of the test configuration.
const PRIORITY: u8 = 1;

fn content(number: u64) -> Fingerprint {
    fingerprint(&[&number.to_le_bytes()])
}

/// Looks a content up and returns whether it is a return.
fn take(memory: &mut RefusalMemory, now: Instant, content: Fingerprint) -> CallerReturn {
    kind_of(memory.take(now, content))
}

/// Returns a memory with one refusal, made at 0 ms.
fn memory_of_one() -> RefusalMemory {
    let mut memory = RefusalMemory::default();
    memory.remember(at(0), content(1), TOLD, at(0));
    memory
}

#[gtest]
fn unknown_content_is_no_return() {
    let mut memory = memory_of_one();
    expect_that!(
        take(&mut memory, at(500), content(2)),
        eq(CallerReturn::None)
    );
    expect_that!(memory.len(), eq(1));
}

#[gtest]
fn content_that_comes_back_at_the_told_time_is_a_return_as_told() {
    let mut memory = memory_of_one();
    expect_that!(
        take(&mut memory, at(500), content(1)),
        eq(CallerReturn::AsTold)
    );
}

#[gtest]
fn content_that_comes_back_before_the_told_time_is_an_early_return() {
    let early = at(500) - TOLERANCE - Duration::from_millis(1);
    expect_that!(
        take(&mut memory_of_one(), early, content(1)),
        eq(CallerReturn::Early)
    );
    expect_that!(
        take(&mut memory_of_one(), at(500) - TOLERANCE, content(1)),
        eq(CallerReturn::AsTold)
    );
}

#[gtest]
fn content_that_comes_back_long_after_the_told_time_is_no_return() {
    let last = at(500) + RETURN_WINDOW;
    expect_that!(
        take(&mut memory_of_one(), last, content(1)),
        eq(CallerReturn::AsTold)
    );
    let late = last + Duration::from_millis(1);
    expect_that!(
        take(&mut memory_of_one(), late, content(1)),
        eq(CallerReturn::None)
    );
}

#[gtest]
fn return_takes_its_refusal_out() {
    let mut memory = memory_of_one();
    take(&mut memory, at(500), content(1));
    expect_that!(
        take(&mut memory, at(501), content(1)),
        eq(CallerReturn::None)
    );
    expect_that!(memory.is_empty(), eq(true));
}

#[gtest]
fn early_return_takes_its_refusal_out() {
    let mut memory = memory_of_one();
    take(&mut memory, at(100), content(1));
    expect_that!(
        take(&mut memory, at(500), content(1)),
        eq(CallerReturn::None)
    );
}

#[gtest]
fn as_many_callers_with_equal_content_return_as_were_refused() {
    let mut memory = RefusalMemory::default();
    for millis in [0, 10, 20] {
        memory.remember(at(millis), content(1), TOLD, at(millis));
    }
    let returns: Vec<CallerReturn> = (0..5)
        .map(|_| take(&mut memory, at(600), content(1)))
        .collect();
    expect_that!(
        returns,
        elements_are![
            eq(&CallerReturn::AsTold),
            eq(&CallerReturn::AsTold),
            eq(&CallerReturn::AsTold),
            eq(&CallerReturn::None),
            eq(&CallerReturn::None)
        ]
    );
}

#[gtest]
fn caller_that_repeats_at_once_does_not_use_up_the_refusal_of_one_that_waits() {
    let mut memory = RefusalMemory::default();
    memory.remember(at(0), content(1), TOLD, at(0));
    memory.remember(at(50), content(1), TOLD, at(50));
    for millis in [100, 200, 300, 400] {
        expect_that!(
            take(&mut memory, at(millis), content(1)),
            eq(CallerReturn::Early)
        );
        memory.remember(at(millis), content(1), TOLD, at(millis));
    }
    expect_that!(
        take(&mut memory, at(500), content(1)),
        eq(CallerReturn::AsTold)
    );
}

#[gtest]
fn caller_that_repeats_all_the_time_is_never_due() {
    let mut memory = memory_of_one();
    for millis in (20..4_000).step_by(20) {
        expect_that!(
            take(&mut memory, at(millis), content(1)),
            eq(CallerReturn::Early)
        );
        memory.remember(at(millis), content(1), TOLD, at(millis));
    }
}

#[gtest]
fn refusals_are_forgotten_after_a_while() {
    let mut memory = memory_of_one();
    expect_that!(memory.remembers_any(at(3_999)), eq(true));
    expect_that!(memory.remembers_any(at(0) + MEMORY_TIME), eq(false));
}

#[gtest]
fn flood_of_refusals_drops_the_oldest() {
    let mut memory = RefusalMemory::default();
    let flood = 10 * MAX_REFUSALS as u64;
    for number in 0..flood {
        let now = at(number / 100);
        memory.remember(now, content(number), TOLD, now);
    }
    expect_that!(memory.len(), eq(MAX_REFUSALS));
    let now = at(flood / 100 + 500);
    expect_that!(
        take(&mut memory, now, content(flood - 1)),
        eq(CallerReturn::AsTold)
    );
    let oldest_kept = flood - MAX_REFUSALS as u64;
    expect_that!(
        take(&mut memory, now, content(oldest_kept)),
        eq(CallerReturn::AsTold)
    );
    expect_that!(
        take(&mut memory, now, content(oldest_kept - 1)),
        eq(CallerReturn::None)
    );
}

#[gtest]
fn level_of_a_return_is_in_the_highest_eighth_of_its_tier() {
    for priority in 0..8 {
        let mut levels: Vec<Level> = (0..1_000)
            .map(|number| level_of(priority, &format!("r{number}")))
            .collect();
        levels.sort();
        let returned: Vec<Level> = levels.iter().copied().map(level_of_return).collect();
        let eighth = Level::tier_floor(levels[0].tier()).0 + Level::PER_TIER / 8 * 7;
        for (level, returned) in levels.iter().zip(&returned) {
            expect_that!(returned.tier(), eq(level.tier()));
            expect_that!(returned.0, ge(eighth));
        }
        expect_that!(returned.is_sorted(), eq(true));
    }
}

/// Content of the first request that makes an entry's service known; the following numbers are
/// those of the next ones.
const WARM_UP_CONTENT: u64 = 1_000_000;

/// Returns an entry whose only service admits this percentage of the requests of the routes.
fn entry_admitting(percent: u32) -> TestNode {
    entry_with_target_latency(percent, Duration::from_secs(5))
}

/// Returns such an entry; an answer within `target_latency` has its full value on all routes.
fn entry_with_target_latency(percent: u32, target_latency: Duration) -> TestNode {
    let mut test = TestNode::unconfigured("logbok");
    let mut configuration = configuration(1);
    for route in &mut configuration.routes {
        route.target_latency_millis = u32::try_from(target_latency.as_millis()).expect("a latency");
    }
    test.configure(configuration);
    test.connect("peer-a", 2, SERVICE);
    for number in 0..100 {
        let id = format!("warm-up-{number}");
        test.request(number, request(&id, WARM_UP_CONTENT + number));
        if test.sent().len() > test.answers().len() {
            answer_with_level(&mut test, percent);
        }
        test.advance(2);
    }
    test.actions.clear();
    test
}

/// Answers the latest request, with the level that admits this percentage.
fn answer_with_level(test: &mut TestNode, percent: u32) {
    let load = Load {
        level: level_admitting(percent),
        ..serving(SERVICE).load
    };
    test.respond_with(load, Vec::new(), ForwardResult::Answered(answer(200)));
}

fn level_admitting(percent: u32) -> Level {
    let floor = Level::tier_floor(level_of(PRIORITY, "any").tier());
    Level(floor.0 + Level::PER_TIER * (100 - percent) / 100)
}

/// Returns a request whose content is given by `content`.
fn request(id: &str, content: u64) -> CallerRequest {
    let mut request = caller_request(id, &format!("/safe/{content}"));
    request.deadline = Some(Duration::from_secs(6));
    request
}

/// Returns an identifier of which the level is below (`false`) or above (`true`) that of a
/// threshold that admits half of a tier.
fn id(number: u64, is_above: bool) -> String {
    let limit = level_admitting(50).0;
    let margin = Level::PER_TIER / 10;
    (0..)
        .map(|attempt| format!("r{number}-{attempt}"))
        .find(|id| {
            let level = level_of(PRIORITY, id).0;
            if is_above {
                level > limit + margin
            } else {
                level + margin < limit
            }
        })
        .expect("an identifier of that level")
}

/// Returns the `Retry-After` of the latest answer in milliseconds.
fn told_millis(test: &TestNode) -> u64 {
    let fields = test.answers().pop().expect("an answer").fields;
    let fields = String::from_utf8_lossy(&fields).into_owned();
    let value = fields
        .lines()
        .find_map(|line| line.strip_prefix("Retry-After: "));
    let seconds: f64 = value
        .and_then(|value| value.parse().ok())
        .expect("a Retry-After field");
    (seconds * 1_000.0).round() as u64
}

/// Returns how the latest answered request was recognized, and what its caller was told.
fn logged(test: &TestNode) -> (CallerReturn, Option<u32>) {
    let logged = test.log_records().into_iter().rev().find_map(|record| {
        let LogRecord::Answered {
            caller_return,
            told_millis,
            ..
        } = record
        else {
            return None;
        };
        Some((caller_return, told_millis))
    });
    logged.expect("a log record of an answer")
}

#[gtest]
fn refused_caller_that_comes_back_as_told_is_served_before_newcomers() {
    let mut test = entry_admitting(50);
    test.request(1_000, request(&id(1, false), 1));
    expect_that!(test.statuses(), elements_are![eq(&503)]);
    let told = told_millis(&test);
    expect_that!(
        logged(&test),
        eq((
            CallerReturn::None,
            Some(u32::try_from(told).expect("a short time"))
        ))
    );
    keep_level(&mut test, told, 50);
    test.actions.clear();
    // A newcomer of the same level is refused.
    test.request(2_000, request(&id(2, false), 2));
    expect_that!(test.statuses(), elements_are![eq(&503)]);
    test.request(2_001, request(&id(1, false), 1));
    let sent = test.sent().pop().expect("the returned request").2;
    expect_that!(sent.target.as_str(), eq("/safe/1"));
    expect_that!(sent.level.tier(), eq(level_of(PRIORITY, "any").tier()));
    answer_with_level(&mut test, 50);
    expect_that!(logged(&test), eq((CallerReturn::AsTold, None)));
}

#[gtest]
fn return_that_cannot_be_answered_in_its_full_value_gains_nothing() {
    let target_latency = Duration::from_millis(500);
    let mut test = entry_with_target_latency(50, target_latency);
    test.request(1_000, request(&id(1, false), 1));
    let told = told_millis(&test);
    expect_that!(told, eq(300));
    keep_level(&mut test, told, 50);
    test.actions.clear();
    test.request(2_000, request(&id(1, false), 1));
    expect_that!(test.statuses(), elements_are![eq(&503)]);
    expect_that!(logged(&test).0, eq(CallerReturn::AsTold));
}

#[gtest]
fn caller_is_asked_back_while_the_answer_has_its_full_value() {
    let mut test = entry_with_target_latency(50, Duration::from_secs(2));
    keep_level(&mut test, 3_000, 50);
    test.request(1_000, request(&id(1, false), 1));
    expect_that!(told_millis(&test), all!(ge(600), le(800)));
}

#[gtest]
fn time_of_the_first_refusal_counts_for_later_returns() {
    let mut memory = RefusalMemory::default();
    memory.remember(at(0), content(1), TOLD, at(0));
    let first = memory.take(at(500), content(1)).expect("a return");
    memory.remember(at(500), content(1), TOLD, first.first_refused);
    let second = memory.take(at(1_000), content(1)).expect("a return");
    expect_that!(second.first_refused, eq(at(0)));
}

#[gtest]
fn refused_caller_that_comes_back_early_gains_nothing() {
    let mut test = entry_admitting(50);
    test.request(1_000, request(&id(1, false), 1));
    for number in 0..20 {
        keep_level(&mut test, 20, 50);
        test.actions.clear();
        test.request(2_000 + number, request(&id(1, false), 1));
        expect_that!(test.statuses(), elements_are![eq(&503)]);
        expect_that!(logged(&test).0, eq(CallerReturn::Early));
    }
}

/// Lets time pass while the service keeps publishing its level.
fn keep_level(test: &mut TestNode, millis: u64, percent: u32) {
    for _ in 0..millis / 10 {
        test.advance(10);
        let index = 100_000 + test.now;
        test.request(index, request(&id(index, true), index));
        answer_with_level(test, percent);
    }
    test.advance(millis % 10);
}

#[gtest]
fn callers_with_equal_content_do_not_all_gain_from_one_refusal() {
    let mut test = entry_admitting(50);
    test.request(1_000, request(&id(1, false), 1));
    let told = told_millis(&test);
    keep_level(&mut test, told, 50);
    test.actions.clear();
    for number in 0..3 {
        test.request(2_000 + number, request(&id(number, false), 1));
    }
    expect_that!(test.sent().len(), eq(1));
    expect_that!(test.statuses(), elements_are![eq(&503), eq(&503)]);
}

#[gtest]
fn retry_after_follows_how_long_the_shortage_has_lasted() {
    let mut test = entry_admitting(50);
    test.request(1_000, request(&id(1, false), 1));
    expect_that!(told_millis(&test), all!(ge(300), le(375)));
    keep_level(&mut test, 800, 50);
    test.request(2_000, request(&id(2, false), 2));
    expect_that!(told_millis(&test), all!(ge(950), le(1_300)));
    keep_level(&mut test, 4_000, 50);
    test.request(3_000, request(&id(3, false), 3));
    expect_that!(told_millis(&test), all!(ge(1_600), le(2_000)));
}

#[gtest]
fn retry_after_begins_anew_with_the_next_shortage() {
    let mut test = entry_admitting(50);
    keep_level(&mut test, 1_500, 50);
    keep_level(&mut test, 1_500, 100);
    for number in 0..200 {
        test.request(2_000 + number, request(&id(number, true), number));
        let load = serving(SERVICE).load;
        test.respond_with(load, Vec::new(), ForwardResult::Answered(answer(200)));
        test.advance(10);
    }
    keep_level(&mut test, 400, 50);
    test.request(4_000, request(&id(1, false), 1));
    expect_that!(told_millis(&test), all!(ge(380), le(500)));
}

#[gtest]
fn caller_with_little_time_is_asked_back_while_something_can_be_done() {
    let mut test = entry_admitting(50);
    keep_level(&mut test, 2_000, 50);
    let mut short = request(&id(1, false), 1);
    short.deadline = Some(Duration::from_millis(900));
    test.request(1_000, short);
    expect_that!(told_millis(&test), eq(300));
    test.request(1_001, {
        let mut shortest = request(&id(2, false), 2);
        shortest.deadline = Some(Duration::from_millis(90));
        shortest
    });
    expect_that!(told_millis(&test), eq(100));
}

#[gtest]
fn refusal_further_on_is_remembered_too() {
    let mut test = entry_admitting(100);
    test.request(1_000, request(&id(1, false), 1));
    test.respond(ForwardResult::NotRun {
        code: ResultCode::QueueFull,
        arrived: true,
        retry_after_millis: 350,
    });
    expect_that!(test.statuses(), elements_are![eq(&503)]);
    expect_that!(logged(&test), eq((CallerReturn::None, Some(350))));
    test.advance(350);
    let newcomer = level_of(PRIORITY, &id(1, false));
    test.request(1_001, request(&id(1, false), 1));
    let sent = test.sent().pop().expect("the returned request").2;
    expect_that!(sent.level, eq(level_of_return(newcomer)));
}

#[gtest]
fn refusal_of_a_request_that_may_have_run_is_not_remembered() {
    let mut test = entry_admitting(100);
    test.request(1_000, request(&id(1, false), 1));
    test.respond(ForwardResult::Unknown {
        code: ResultCode::AnswerLost,
    });
    expect_that!(test.statuses(), elements_are![eq(&502)]);
    expect_that!(logged(&test), eq((CallerReturn::None, None)));
    test.advance(300);
    test.request(1_001, request(&id(1, false), 1));
    let sent = test.sent().pop().expect("the request").2;
    expect_that!(sent.level, eq(level_of(PRIORITY, &id(1, false))));
}

#[gtest]
fn return_passes_no_request_of_a_higher_priority() {
    for priority in 1..8 {
        let highest = (0..1_000)
            .map(|number| level_of_return(level_of(priority, &format!("r{number}"))))
            .max();
        let lowest = (0..1_000)
            .map(|number| level_of(priority - 1, &format!("r{number}")))
            .min();
        expect_that!(highest, lt(lowest));
    }
}
