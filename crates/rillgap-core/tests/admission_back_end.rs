//! Tests of admission at one back end: limit, queue, deadlines and published level.

use std::time::Duration;

use googletest::prelude::*;
use rillgap_core::admission::Level;
use rillgap_core::admission::{
    AdmissionSettings, BackEndAdmission, Completion, ControlMode, LoadReport, QueueDecision,
    ServiceLoad, Ticket, Verdict,
};
use rillgap_core::code::ResultCode;
use rillgap_core::id::{AttemptId, CallId, Incarnation, NodeId, RootId, ServiceName};
use rillgap_core::policy::{Class, ServicePolicy};
use rillgap_core::time::Instant;

const SERVICE_TIME: Duration = Duration::from_millis(20);

fn at(millis: u64) -> Instant {
    Instant::from_micros(millis * 1_000)
}

fn attempt(sequence: u64) -> AttemptId {
    AttemptId {
        call: CallId {
            node: NodeId(1),
            incarnation: Incarnation(1),
            sequence,
        },
        number: 0,
    }
}

fn ticket(sequence: u64, class: Class, deadline: Instant) -> Ticket {
    Ticket {
        attempt: attempt(sequence),
        root: RootId(u128::from(sequence)),
        class,
        deadline,
    }
}

fn policy(slots: u16) -> ServicePolicy {
    ServicePolicy {
        name: ServiceName::new("takst"),
        slots,
        connections: 110,
        queue_millis: 400,
    }
}

/// Returns an admission controller whose limit has grown to `slots` and whose latency estimate is
/// [`SERVICE_TIME`].
fn warm(slots: u16) -> BackEndAdmission {
    let mut admission = BackEndAdmission::default();
    admission.configure(&policy(slots));
    for sequence in 1_000_000..1_000_400 {
        for offset in 0..u64::from(slots) {
            let id = sequence * 100 + offset;
            admission.offer(at(0), ticket(id, Class::Standard, at(60_000)));
        }
        for offset in 0..u64::from(slots) {
            let id = sequence * 100 + offset;
            admission.cancel(at(0), attempt(id));
            admission.finish(at(0), attempt(id), SERVICE_TIME, Completion::Answered);
        }
        admission.poll(at(0));
    }
    admission
}

/// Starts `slots` requests of the lowest class.
fn fill(admission: &mut BackEndAdmission, now: Instant, slots: u64) {
    for sequence in 0..slots {
        let verdict = admission.offer(now, ticket(sequence, Class::Bulk, at(60_000)));
        assert_that!(verdict, eq(Verdict::Start));
    }
}

#[gtest]
fn limit_starts_at_a_quarter_of_the_slots_and_grows_to_all() {
    let mut cold = BackEndAdmission::default();
    cold.configure(&policy(12));
    expect_that!(cold.load().limit, eq(3));
    expect_that!(warm(12).load().limit, eq(12));
}

#[gtest]
fn limit_shrinks_when_the_back_end_sheds() {
    let mut admission = warm(10);
    for step in 0..5 {
        let now = at(1_000 + 100 * step);
        admission.offer(now, ticket(step, Class::Critical, at(60_000)));
        admission.finish(now, attempt(step), SERVICE_TIME, Completion::Shed);
    }
    expect_that!(admission.load().limit, lt(5));
    expect_that!(admission.load().limit, gt(0));
}

#[gtest]
fn consecutive_failures_restart_slow_start() {
    let mut admission = warm(12);
    for step in 0..8 {
        admission.offer(at(1_000), ticket(step, Class::Critical, at(60_000)));
        admission.finish(at(1_000), attempt(step), SERVICE_TIME, Completion::Failed);
    }
    expect_that!(admission.load().limit, eq(3));
}

#[gtest]
fn queue_serves_the_highest_class_first_and_then_by_arrival() {
    let mut admission = warm(2);
    fill(&mut admission, at(1_000), 2);
    for (sequence, class) in [
        (10, Class::Bulk),
        (11, Class::Critical),
        (12, Class::Standard),
        (13, Class::Critical),
    ] {
        let verdict = admission.offer(at(1_000), ticket(sequence, class, at(60_000)));
        assert_that!(verdict, eq(Verdict::Queue));
    }
    admission.finish(at(1_001), attempt(0), SERVICE_TIME, Completion::Answered);
    admission.finish(at(1_001), attempt(1), SERVICE_TIME, Completion::Answered);
    expect_that!(
        admission.poll(at(1_001)),
        elements_are![
            eq(&QueueDecision::Start(attempt(11))),
            eq(&QueueDecision::Start(attempt(13)))
        ]
    );
}

#[gtest]
fn request_that_cannot_meet_its_deadline_is_refused_immediately() {
    let mut admission = warm(2);
    fill(&mut admission, at(1_000), 2);
    let verdict = admission.offer(at(1_000), ticket(10, Class::Critical, at(1_015)));
    let Verdict::Refuse(refusal) = verdict else {
        panic!("expected a refusal, got {verdict:?}");
    };
    expect_that!(refusal.code, eq(ResultCode::DeadlineUnmet));
    expect_that!(refusal.retry_after.millis, gt(0));
}

#[gtest]
fn queued_ticket_is_refused_when_it_can_no_longer_meet_its_deadline() {
    let mut admission = warm(2);
    fill(&mut admission, at(1_000), 2);
    let verdict = admission.offer(at(1_000), ticket(10, Class::Critical, at(1_100)));
    assert_that!(verdict, eq(Verdict::Queue));
    let wake = admission
        .next_wake()
        .expect("no wake-up time for the queued ticket");
    expect_that!(wake.as_micros(), le(1_080_000));
    let decisions = admission.poll(wake);
    assert_that!(decisions.len(), eq(1));
    expect_that!(
        matches!(decisions[0], QueueDecision::Refuse(id, refusal)
            if id == attempt(10) && refusal.code == ResultCode::DeadlineUnmet),
        eq(true)
    );
}

#[gtest]
fn full_queue_evicts_the_lowest_class_for_a_higher_one() {
    let mut admission = warm(100);
    fill(&mut admission, at(1_000), 100);
    let mut queued = 0;
    for sequence in 1_000..3_000 {
        let ticket = ticket(sequence, Class::Bulk, at(60_000));
        if admission.offer(at(1_000), ticket) == Verdict::Queue {
            queued += 1;
        }
    }
    assert_that!(queued, gt(100));
    for sequence in 5_000..5_700 {
        admission.offer(at(1_000), ticket(sequence, Class::Critical, at(60_000)));
    }
    let decisions = admission.poll(at(1_000));
    let evicted = decisions.iter().filter(
        |decision| matches!(decision, QueueDecision::Refuse(id, _) if id.call.sequence < 3_000),
    );
    expect_that!(evicted.count(), gt(100));
    let protected = decisions.iter().filter(
        |decision| matches!(decision, QueueDecision::Refuse(id, _) if id.call.sequence >= 5_000),
    );
    expect_that!(protected.count(), eq(0));
}

#[gtest]
fn cancelled_ticket_is_neither_started_nor_refused() {
    let mut admission = warm(1);
    fill(&mut admission, at(1_000), 1);
    admission.offer(at(1_000), ticket(10, Class::Critical, at(60_000)));
    expect_that!(admission.cancel(at(1_000), attempt(10)), eq(true));
    expect_that!(admission.cancel(at(1_000), attempt(10)), eq(false));
    admission.finish(at(1_001), attempt(0), SERVICE_TIME, Completion::Answered);
    expect_that!(admission.poll(at(1_001)), is_empty());
}

#[gtest]
fn probe_is_admitted_when_the_latency_estimate_exceeds_the_deadline() {
    let mut admission = warm(10);
    for sequence in 0..100 {
        admission.offer(at(1_000), ticket(sequence, Class::Critical, at(90_000)));
        let slow = Duration::from_secs(5);
        admission.finish(at(1_000), attempt(sequence), slow, Completion::Answered);
    }
    let verdict = admission.offer(at(2_000), ticket(200, Class::Critical, at(3_000)));
    expect_that!(verdict, eq(Verdict::Start));
    let verdict = admission.offer(at(2_000), ticket(201, Class::Critical, at(3_000)));
    expect_that!(matches!(verdict, Verdict::Refuse(_)), eq(true));
}

#[gtest]
fn load_report_of_an_answer_includes_services_of_nested_calls() {
    let mut admission = warm(4);
    fill(&mut admission, at(1_000), 1);
    let nested = LoadReport {
        services: vec![ServiceLoad {
            service: ServiceName::new("logbok"),
            reporter: NodeId(2),
            level: Level(300),
        }],
        ..LoadReport::default()
    };
    admission.record_nested_load(attempt(0), &nested);
    let load = admission.finish(at(1_020), attempt(0), SERVICE_TIME, Completion::Answered);
    let names: Vec<&str> = load
        .services
        .iter()
        .map(|load| load.service.as_str())
        .collect();
    expect_that!(names, elements_are![eq(&"takst"), eq(&"logbok")]);
}

/// Offers `per_milli` requests of each class per millisecond to one back end and drops those below
/// its published level, as an entry node would. Returns the controller and the end time in
/// milliseconds.
fn level_after_overload(per_milli: u64, millis: u64) -> (BackEndAdmission, u64) {
    let mut admission = warm(10);
    let mut sequence = 0;
    let mut running: Vec<(u64, u64)> = Vec::new();
    for now in 1_000..1_000 + millis {
        running.retain(|(end, id)| {
            let ended = *end <= now;
            if ended {
                admission.finish(at(now), attempt(*id), SERVICE_TIME, Completion::Answered);
            }
            !ended
        });
        for _ in 0..per_milli {
            for class in [Class::Sheddable, Class::Critical] {
                sequence += 1;
                let floor = admission.load().services[0].level;
                let ticket = ticket(sequence, class, at(now + 300));
                if ticket.level() < floor {
                    continue;
                }
                if admission.offer(at(now), ticket) == Verdict::Start {
                    running.push((now + 20, sequence));
                }
            }
        }
        for decision in admission.poll(at(now)) {
            if let QueueDecision::Start(id) = decision {
                running.push((now + 20, id.call.sequence));
            }
        }
    }
    (admission, 1_000 + millis)
}

#[gtest]
fn published_level_rises_under_overload_and_falls_when_it_ends() {
    let (mut admission, mut now) = level_after_overload(1, 2_000);
    let level = admission.load().services[0].level;
    expect_that!(level, gt(Level::floor(Class::Sheddable)));
    for _ in 0..200 {
        now += 10;
        admission.poll(at(now));
    }
    expect_that!(admission.load().services[0].level, eq(Level(0)));
}

#[gtest]
fn all_requests_start_without_control() {
    let mut admission = BackEndAdmission::new(AdmissionSettings::new(ControlMode::None), NodeId(1));
    admission.configure(&policy(2));
    for sequence in 0..100 {
        let verdict = admission.offer(at(0), ticket(sequence, Class::Bulk, at(1)));
        expect_that!(verdict, eq(Verdict::Start));
    }
}

#[gtest]
fn fixed_limit_starts_queued_requests_in_order_of_arrival() {
    let mut admission =
        BackEndAdmission::new(AdmissionSettings::new(ControlMode::Fixed), NodeId(1));
    admission.configure(&policy(1));
    admission.offer(at(0), ticket(1, Class::Bulk, at(1_000)));
    admission.offer(at(0), ticket(2, Class::Bulk, at(1_000)));
    admission.offer(at(0), ticket(3, Class::Critical, at(1_000)));
    admission.finish(at(1), attempt(1), SERVICE_TIME, Completion::Answered);
    expect_that!(
        admission.poll(at(1)),
        elements_are![eq(&QueueDecision::Start(attempt(2)))]
    );
}
