//! Medians and worst cases over seeds.

use rillgap_core::policy::Class;
use serde::Serialize;

use super::figures::RunFigures;
use super::recovery::Recovery;
use super::variant::Variant;

/// Median and worst of one figure.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Spread {
    /// Median over seeds.
    pub median: f64,
    /// Worst over seeds.
    pub worst: f64,
}

/// Median and worst recovery time.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct RecoverySpread {
    /// Median over seeds.
    pub median: Recovery,
    /// Worst over seeds.
    pub worst: Recovery,
}

/// Figures of one variant over all seeds; shares are between zero and one.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Summary {
    /// The variant.
    pub variant: Variant,
    /// Number of seeds.
    pub seeds: usize,
    /// Goodput during the trigger as a share of offered, by class, the first to be shed first.
    pub class_goodput: [Spread; Class::ALL.len()],
    /// Goodput during the trigger as a share of offered.
    pub goodput_of_offered: Spread,
    /// Goodput during the trigger as a share of what could be served at best.
    pub goodput_of_best: Spread,
    /// Protected goodput over the whole run as a share of offered.
    pub protected_goodput: Spread,
    /// What protected goodput could be at best, as a share of offered.
    pub protected_best: Spread,
    /// Slot time of requests that were not good.
    pub wasted: Spread,
    /// Most extra executions of one request.
    pub highest_retries: Spread,
    /// Requests of which a submission was refused.
    pub refused: Spread,
    /// Recovery time; absent without a trigger.
    pub recovery: Option<RecoverySpread>,
    /// Fairness between callers of a class.
    pub fairness: Spread,
}

/// Which end of the scale is worse.
#[derive(Clone, Copy)]
enum Worse {
    Lower,
    Higher,
}

/// Summarizes the runs of one variant; `None` if there are none.
pub fn summarize(variant: Variant, runs: &[RunFigures]) -> Option<Summary> {
    let runs: Vec<&RunFigures> = runs.iter().filter(|run| run.variant == variant).collect();
    if runs.is_empty() {
        return None;
    }
    let of = |worse, figure: &dyn Fn(&RunFigures) -> f64| {
        spread(worse, runs.iter().map(|run| figure(run)).collect())
    };
    Some(Summary {
        variant,
        seeds: runs.len(),
        class_goodput: Class::ALL
            .map(|class| of(Worse::Lower, &|run| run.trigger[class.index()].of_offered())),
        goodput_of_offered: of(Worse::Lower, &RunFigures::goodput_of_offered),
        goodput_of_best: of(Worse::Lower, &RunFigures::goodput_of_best),
        protected_goodput: of(Worse::Lower, &RunFigures::protected_goodput),
        protected_best: of(Worse::Lower, &RunFigures::protected_best),
        wasted: of(Worse::Higher, &|run| run.wasted),
        highest_retries: of(Worse::Higher, &|run| f64::from(run.highest_retries)),
        refused: of(Worse::Higher, &|run| run.refused as f64),
        recovery: recovery_spread(&runs),
        fairness: of(Worse::Lower, &|run| run.fairness),
    })
}

fn recovery_spread(runs: &[&RunFigures]) -> Option<RecoverySpread> {
    let seconds: Option<Vec<f64>> = runs
        .iter()
        .map(|run| run.recovery.map(Recovery::seconds))
        .collect();
    let spread = spread(Worse::Higher, seconds?);
    Some(RecoverySpread {
        median: from_seconds(spread.median),
        worst: from_seconds(spread.worst),
    })
}

fn from_seconds(seconds: f64) -> Recovery {
    if seconds.is_finite() {
        Recovery::Seconds(seconds)
    } else {
        Recovery::Never
    }
}

/// Takes the median, of an even number the worse of the two in the middle, and the worst.
fn spread(worse: Worse, mut values: Vec<f64>) -> Spread {
    values.sort_by(f64::total_cmp);
    if matches!(worse, Worse::Lower) {
        values.reverse();
    }
    Spread {
        median: values[values.len() / 2],
        worst: values[values.len() - 1],
    }
}
