//! Condition 1: extra attempts over a whole chain stay within the bound of the scenario.
//!
//! Every request that reaches a back end is counted, also one that the back end then sheds. The
//! first one for a submission, and for each call of each execution, is not extra; all others
//! are. Submissions with one key share one bound.

use std::collections::BTreeMap;

use super::{Condition, Violation};
use crate::sim::event::{ExecutionIndex, RootIndex, SubmissionIndex};
use crate::sim::ledger::{Asker, Ledger};
use crate::sim::outcome::RunOutcome;

/// What shares one bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Chain {
    /// All submissions with one key.
    Keyed(RootIndex),
    /// One submission without a key.
    Plain(SubmissionIndex),
}

/// Something that should reach a back end once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Purpose {
    /// The request of the caller.
    Root(Chain),
    /// One call of one execution, by its position in the route.
    Call(ExecutionIndex, usize),
}

/// Checks the condition.
pub fn check(run: &RunOutcome) -> Vec<Violation> {
    let bound = u64::from(run.scenario.bounds.extra_attempts);
    let mut violations = untokened(run);
    for (chain, extra) in extra_attempts(&run.ledger) {
        if extra > bound {
            let root = match chain {
                Chain::Keyed(root) => root,
                Chain::Plain(submission) => run.ledger.submissions[submission].root,
            };
            violations.push(Violation {
                condition: Condition::RetryBound,
                at: run.ledger.roots[root].created,
                detail: format!("root {root} ({chain:?}): {extra} extra attempts, bound {bound}"),
            });
        }
    }
    violations
}

/// Returns the highest number of extra attempts of any chain.
pub fn highest(run: &RunOutcome) -> u64 {
    let extra = extra_attempts(&run.ledger);
    extra.into_values().max().unwrap_or(0)
}

fn extra_attempts(ledger: &Ledger) -> BTreeMap<Chain, u64> {
    let mut chains = Vec::with_capacity(ledger.executions.len());
    let mut attempts: BTreeMap<Purpose, u64> = BTreeMap::new();
    let mut extra = BTreeMap::new();
    for execution in &ledger.executions {
        let (chain, purpose) = match execution.asker {
            Asker::Caller(submission) => {
                let chain = chain_of(ledger, submission);
                (chain, Purpose::Root(chain))
            }
            Asker::BackEnd(call) => {
                let call = &ledger.calls[call];
                let chain = chains[call.execution];
                (chain, Purpose::Call(call.execution, call.position))
            }
        };
        chains.push(chain);
        let count = attempts.entry(purpose).or_default();
        if *count > 0 {
            *extra.entry(chain).or_default() += 1;
        }
        *count += 1;
    }
    extra
}

fn chain_of(ledger: &Ledger, submission: SubmissionIndex) -> Chain {
    let root = ledger.submissions[submission].root;
    if ledger.roots[root].key.is_some() {
        Chain::Keyed(root)
    } else {
        Chain::Plain(submission)
    }
}

/// Finds calls without a valid token that reached a back end.
fn untokened(run: &RunOutcome) -> Vec<Violation> {
    let executions = run.ledger.executions.iter().enumerate();
    executions
        .filter_map(|(index, execution)| match execution.asker {
            Asker::BackEnd(call) if !run.ledger.calls[call].token_valid => Some(Violation {
                condition: Condition::RetryBound,
                at: execution.arrived,
                detail: format!("execution {index}: call {call} without a valid token ran"),
            }),
            _ => None,
        })
        .collect()
}
