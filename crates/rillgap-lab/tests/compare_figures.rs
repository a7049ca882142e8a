//! Figures of a comparison.

use std::path::PathBuf;
use std::sync::Arc;

use googletest::prelude::*;
use rillgap_core::policy::Class;
use rillgap_lab::compare::recovery::{Bin, Recovery, recovery};
use rillgap_lab::compare::trigger::{Span, Spans};
use rillgap_lab::compare::variant::Variant;
use rillgap_lab::compare::{ideal, layering, plan};
use rillgap_lab::model::scenario::Scenario;

fn overload(name: &str) -> Scenario {
    let directory = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("scenarios/overload");
    layering::load(&directory.join(name)).expect("a usable scenario")
}

fn bins(good: &[u32]) -> Vec<Bin> {
    good.iter()
        .map(|good| Bin {
            offered: 100,
            good: *good,
        })
        .collect()
}

#[gtest]
fn recovery_counts_from_the_first_bin_that_stays_good() {
    let mut good = vec![20, 50, 100, 80];
    good.extend([97; 12]);
    expect_that!(recovery(&bins(&good), 1.0), eq(Recovery::Seconds(1.0)));
}

#[gtest]
fn goodput_that_does_not_stay_back_never_recovers() {
    let mut good = vec![100; 11];
    good.push(90);
    good.extend([100; 11]);
    expect_that!(recovery(&bins(&good), 1.0), eq(Recovery::Never));
}

#[gtest]
fn best_serves_protected_requests_whole_and_fills_the_bottleneck() {
    let scenario = overload("trondheim-slow-surge-4x.toml");
    let factor = |group: usize| match ideal::class_of(&scenario, group) {
        Some(Class::Critical) => 2.0,
        _ => 7.4,
    };
    let offered: Vec<f64> = (0..scenario.callers.len())
        .map(|group| scenario.callers[group].rate_per_second * factor(group))
        .collect();
    let best = ideal::best(&scenario, 9_000, 1.0, &offered);
    let share = |name: &str| {
        let group = scenario
            .callers
            .iter()
            .position(|caller| caller.name == name);
        let group = group.expect("a group of callers");
        best[group] / offered[group]
    };
    expect_that!(share("passengers"), near(1.0, 1e-6));
    expect_that!(share("offices"), near(1.0, 1e-6));
    expect_that!(share("drivers-status"), all![gt(0.1), lt(0.9)]);
    expect_that!(share("drivers-history"), near(0.0, 1e-6));
    expect_that!(share("exports"), near(0.0, 1e-6));
}

#[gtest]
fn best_is_all_that_is_offered_when_it_fits() {
    let scenario = overload("jylland.toml");
    let offered: Vec<f64> = scenario
        .callers
        .iter()
        .map(|caller| caller.rate_per_second)
        .collect();
    let best = ideal::best(&scenario, 0, 1.0, &offered);
    for (best, offered) in best.iter().zip(&offered) {
        expect_that!(*best, near(*offered, 1e-6));
    }
}

#[gtest]
fn trigger_spans_the_faults_but_not_those_of_the_platform() {
    let spans = Spans::of(&overload("trondheim-store-down.toml"));
    expect_that!(
        spans.trigger,
        eq(Span {
            from: 44_000,
            to: 54_000
        })
    );
    expect_that!(Spans::of(&overload("trondheim.toml")).disturbed, eq(false));
}

#[gtest]
fn every_shipped_overload_scenario_is_usable() {
    let directory = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("scenarios/overload");
    let mut count = 0;
    for entry in std::fs::read_dir(directory).expect("the scenarios") {
        let path = entry.expect("a directory entry").path();
        if path
            .extension()
            .is_some_and(|extension| extension == "toml")
        {
            count += 1;
            expect_that!(layering::load(&path), ok(anything()), "{}", path.display());
        }
    }
    expect_that!(count, ge(18));
}

/// Most executions beyond a single run that one request may cause.
const MOST_RETRIES: u32 = 2;

#[gtest]
fn crashed_back_ends_do_not_draw_the_calls_of_their_service() {
    for name in [
        "trondheim-back-end-down.toml",
        "trondheim-two-back-ends-down.toml",
    ] {
        let scenario = Arc::new(overload(name));
        let figures = plan::run(&scenario, &[Variant::Rillgap], 1..=9).expect("runs");
        for run in figures {
            expect_that!(run.goodput_of_offered(), gt(0.99), "{name}");
            expect_that!(run.highest_retries, le(MOST_RETRIES), "{name}");
        }
    }
}
