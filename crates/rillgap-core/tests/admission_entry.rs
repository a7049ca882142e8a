//! Tests of admission at the entry and of the retry budget.

use googletest::prelude::*;
use rillgap_core::admission::{
    EntryAdmission, Level, LoadReport, RetryBudget, RootRequest, RouteId, ServiceLoad,
};
use rillgap_core::code::ResultCode;
use rillgap_core::id::{NodeId, RootId, ServiceName};
use rillgap_core::policy::{Class, RoutePolicy};
use rillgap_core::time::Instant;

fn at(millis: u64) -> Instant {
    Instant::from_micros(millis * 1_000)
}

fn load(levels: &[(&str, Level)]) -> LoadReport {
    LoadReport {
        services: levels
            .iter()
            .map(|(service, level)| ServiceLoad {
                service: ServiceName::new(*service),
                reporter: NodeId(1),
                level: *level,
            })
            .collect(),
        ..LoadReport::default()
    }
}

fn route(service: &str) -> RouteId {
    RouteId::of(&RoutePolicy {
        service: ServiceName::new(service),
        method: "GET".to_owned(),
        path: "/".to_owned(),
        class: Class::Standard,
        repeatable: true,
        deadline_millis: 1_000,
    })
}

fn request(service: &ServiceName, class: Class, root: u128) -> RootRequest<'_> {
    RootRequest {
        service,
        route: route(service.as_str()),
        class,
        root: RootId(root),
    }
}

/// Returns an entry for which answers to `bestilling` have involved `takst`, with `level` reported
/// for the latter.
fn entry(level: Level) -> EntryAdmission {
    let mut entry = EntryAdmission::default();
    let booking = ServiceName::new("bestilling");
    for now in 0..500 {
        let load = load(&[("bestilling", Level(0)), ("takst", level)]);
        entry.record_levels(at(now), &booking, &load);
        entry.record_involvement(&booking, route("bestilling"), &load);
    }
    entry
}

/// Returns how many of 1,000 root requests are admitted.
fn admitted(entry: &mut EntryAdmission, now: Instant, service: &str, class: Class) -> usize {
    let service = ServiceName::new(service);
    (0..1_000_u128)
        .filter(|root| entry.admit(now, request(&service, class, *root)).is_ok())
        .count()
}

#[gtest]
fn downstream_overload_is_refused_at_the_entry_by_class_and_level() {
    let half_of_sheddable = Level(Level::floor(Class::Sheddable).0 + Level::PER_TIER / 2);
    let mut entry = entry(half_of_sheddable);
    let now = at(500);
    // No answer of this route of the same service has involved takst.
    let service = ServiceName::new("bestilling");
    let other = |root| RootRequest {
        route: route("other"),
        ..request(&service, Class::Bulk, root)
    };
    let others = (0..1_000).filter(|root| entry.admit(now, other(*root)).is_ok());
    expect_that!(others.count(), eq(1_000));
    expect_that!(admitted(&mut entry, now, "bestilling", Class::Bulk), eq(0));
    let sheddable = admitted(&mut entry, now, "bestilling", Class::Sheddable);
    expect_that!(sheddable, all![gt(420), lt(580)]);
    expect_that!(
        admitted(&mut entry, now, "bestilling", Class::Critical),
        eq(1_000)
    );
    expect_that!(admitted(&mut entry, now, "takst", Class::Bulk), eq(0));
}

#[gtest]
fn every_entry_decides_alike_on_a_root() {
    let level = Level(Level::floor(Class::Critical).0 + 100);
    let (mut here, mut there) = (entry(level), entry(level));
    let service = ServiceName::new("bestilling");
    for root in 0..200 {
        let here = here.admit(at(500), request(&service, Class::Critical, root));
        let there = there.admit(at(500), request(&service, Class::Critical, root));
        expect_that!(here.is_ok(), eq(there.is_ok()));
    }
}

#[gtest]
fn refusal_carries_a_retry_time() {
    let mut entry = entry(Level(Level::COUNT));
    let service = ServiceName::new("bestilling");
    let refusal = entry
        .admit(at(500), request(&service, Class::Critical, 1))
        .expect_err("request admitted above the highest level");
    expect_that!(refusal.code, eq(ResultCode::Overloaded));
    expect_that!(refusal.retry_after.millis, gt(0));
}

#[gtest]
fn level_without_reports_decays_within_two_seconds() {
    let mut entry = entry(Level(Level::COUNT));
    // The smoothed level approaches the highest one without reaching it.
    expect_that!(
        admitted(&mut entry, at(600), "bestilling", Class::Critical),
        lt(10)
    );
    let later = admitted(&mut entry, at(2_000), "bestilling", Class::Critical);
    expect_that!(later, eq(1_000));
}

#[gtest]
fn retries_are_limited_to_a_fraction_of_successes() {
    let mut budget = RetryBudget::default();
    budget.configure(10);
    let service = ServiceName::new("takst");
    while budget.try_spend(&service) {}
    for _ in 0..50 {
        budget.record_success(&service);
    }
    let granted = (0..50).filter(|_| budget.try_spend(&service)).count();
    expect_that!(granted, all![ge(4), le(5)]);
}
