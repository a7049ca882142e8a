//! Turns the ledger of a run into figures.

use std::collections::BTreeMap;
use std::time::Duration;

use rillgap_core::policy::Class;
use rillgap_core::time::Instant;

use super::figures::{ClassCounts, RunFigures, Second, share};
use super::ideal;
use super::recovery::{BIN_MILLIS, Bin, recovery};
use super::trigger::{Span, Spans};
use super::variant::Variant;
use crate::model::policy::tree_size;
use crate::model::scenario::Scenario;
use crate::sim::ledger::{Ledger, Root, Told};
use crate::sim::outcome::RunOutcome;

const CLASSES: usize = Class::ALL.len();

/// Returns the figures of a finished run.
pub fn measure(variant: Variant, outcome: &RunOutcome) -> RunFigures {
    let scenario = &*outcome.scenario;
    let ledger = &outcome.ledger;
    let spans = Spans::of(scenario);
    let seconds = seconds(scenario, ledger);
    let before = share_before(scenario, ledger, spans.before);
    RunFigures {
        variant,
        seed: outcome.seed,
        trigger: counts(&seconds, spans.trigger),
        measured: counts(&seconds, spans.measured),
        before,
        recovery: spans
            .disturbed
            .then(|| recovery(&bins_after(scenario, ledger, spans.trigger.to), before)),
        wasted: wasted(scenario, ledger, spans.measured),
        utilization: utilization(scenario, ledger, spans.trigger),
        highest_retries: highest_retries(scenario, ledger),
        refused: refused(ledger, spans.measured),
        fairness: fairness(scenario, ledger, spans.measured),
        seconds,
    }
}

/// Returns whether a request was completed whole within its deadline.
pub fn is_good(scenario: &Scenario, root: &Root) -> bool {
    let deadline = Duration::from_millis(u64::from(scenario.routes[root.route].deadline_millis));
    root.completed
        .is_some_and(|completed| completed <= root.created + deadline)
}

fn seconds(scenario: &Scenario, ledger: &Ledger) -> Vec<Second> {
    let count = scenario.duration_millis.div_ceil(1_000) as usize;
    let mut seconds = vec![Second::default(); count];
    let mut offered = vec![vec![0.0; scenario.callers.len()]; count];
    for root in &ledger.roots {
        let index = second_of(root.created);
        let Some(second) = seconds.get_mut(index) else {
            continue;
        };
        second.offered[root.class.index()] += 1;
        second.good[root.class.index()] += u32::from(is_good(scenario, root));
        offered[index][root.group] += 1.0;
    }
    for (index, second) in seconds.iter_mut().enumerate() {
        let millis = index as u64 * 1_000;
        let best = ideal::best(scenario, millis, 1.0, &offered[index]);
        for (group, best) in best.iter().enumerate() {
            if let Some(class) = ideal::class_of(scenario, group) {
                second.best[class.index()] += best;
            }
        }
    }
    seconds
}

fn second_of(at: Instant) -> usize {
    (at.as_micros() / 1_000_000) as usize
}

/// Sums the seconds that lie in a span; triggers begin and end at whole seconds.
fn counts(seconds: &[Second], span: Span) -> [ClassCounts; CLASSES] {
    let mut counts = [ClassCounts::default(); CLASSES];
    for (index, second) in seconds.iter().enumerate() {
        let millis = index as u64 * 1_000;
        if !(span.from..span.to).contains(&millis) {
            continue;
        }
        for (class, counts) in counts.iter_mut().enumerate() {
            counts.offered += u64::from(second.offered[class]);
            counts.good += u64::from(second.good[class]);
            counts.best += second.best[class];
        }
    }
    counts
}

fn share_before(scenario: &Scenario, ledger: &Ledger, span: Span) -> f64 {
    let mut all = Bin::default();
    for root in ledger
        .roots
        .iter()
        .filter(|root| span.contains(root.created))
    {
        all.offered += 1;
        all.good += u32::from(is_good(scenario, root));
    }
    all.share()
}

/// Returns the bins from a moment, in milliseconds, to the last arrival.
fn bins_after(scenario: &Scenario, ledger: &Ledger, from: u64) -> Vec<Bin> {
    let count = scenario.duration_millis.saturating_sub(from) / BIN_MILLIS;
    let mut bins = vec![Bin::default(); count as usize];
    for root in &ledger.roots {
        let millis = root.created.as_micros() / 1_000;
        let Some(since) = millis.checked_sub(from) else {
            continue;
        };
        if let Some(bin) = bins.get_mut((since / BIN_MILLIS) as usize) {
            bin.offered += 1;
            bin.good += u32::from(is_good(scenario, root));
        }
    }
    bins
}

fn wasted(scenario: &Scenario, ledger: &Ledger, span: Span) -> f64 {
    let mut wasted = 0;
    let mut all = 0;
    for execution in &ledger.executions {
        let root = &ledger.roots[execution.root];
        if !span.contains(root.created) {
            continue;
        }
        all += execution.slot_micros;
        if !is_good(scenario, root) {
            wasted += execution.slot_micros;
        }
    }
    share(wasted as f64, all.max(1) as f64)
}

/// Returns the slot time of executions that were started in a span, as a share of all slots.
fn utilization(scenario: &Scenario, ledger: &Ledger, span: Span) -> Vec<f64> {
    let mut used = vec![0_u64; scenario.services.len()];
    for execution in &ledger.executions {
        let service = &scenario.routes[execution.route].service;
        let in_span = execution.started.is_some_and(|at| span.contains(at));
        if let (true, Some(index)) = (in_span, scenario.service_index(service)) {
            used[index] += execution.slot_micros;
        }
    }
    let millis = (span.to - span.from) as f64;
    scenario
        .services
        .iter()
        .zip(used)
        .map(|(service, used)| {
            let slots = f64::from(service.slots) * f64::from(service.back_ends);
            share(used as f64, slots * millis * 1_000.0)
        })
        .collect()
}

/// Returns the most executions that one request caused beyond those of a single run.
fn highest_retries(scenario: &Scenario, ledger: &Ledger) -> u32 {
    let mut started = vec![0_usize; ledger.roots.len()];
    for execution in &ledger.executions {
        started[execution.root] += usize::from(execution.started.is_some());
    }
    let trees: Vec<usize> = (0..scenario.routes.len())
        .map(|route| tree_size(scenario, route))
        .collect();
    let extra = ledger
        .roots
        .iter()
        .zip(&started)
        .map(|(root, started)| started.saturating_sub(trees[root.route]));
    extra.max().unwrap_or(0) as u32
}

fn refused(ledger: &Ledger, span: Span) -> u64 {
    let refused = |root: &&Root| {
        root.submissions
            .iter()
            .any(|index| matches!(ledger.submissions[*index].told, Told::Refused(_)))
    };
    let roots = ledger.roots.iter();
    roots
        .filter(|root| span.contains(root.created))
        .filter(refused)
        .count() as u64
}

/// Returns Jain's index over the shares of good requests of a class's callers, the lowest
/// over the classes. It is one if all callers fare alike, and falls towards zero if few are
/// served at the cost of the others.
fn fairness(scenario: &Scenario, ledger: &Ledger, span: Span) -> f64 {
    let mut callers: BTreeMap<(usize, usize, u32), Bin> = BTreeMap::new();
    for root in ledger
        .roots
        .iter()
        .filter(|root| span.contains(root.created))
    {
        let key = (root.class.index(), root.group, root.caller);
        let bin = callers.entry(key).or_default();
        bin.offered += 1;
        bin.good += u32::from(is_good(scenario, root));
    }
    (0..CLASSES)
        .map(|class| {
            let shares = callers
                .iter()
                .filter(|((of, _, _), _)| *of == class)
                .map(|(_, bin)| bin.share());
            jain(shares)
        })
        .fold(1.0, f64::min)
}

fn jain(shares: impl Iterator<Item = f64>) -> f64 {
    let (count, sum, squares) = shares.fold((0.0, 0.0, 0.0), |(count, sum, squares), share| {
        (count + 1.0, sum + share, squares + share * share)
    });
    if squares <= 0.0 {
        1.0
    } else {
        sum * sum / (count * squares)
    }
}
