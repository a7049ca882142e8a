//! What the services could complete at best.
//!
//! A fluid model without queues, losses or waste: in every second, classes are served strictly
//! in order, and within a class all groups of callers get the same share of what they offer
//! until a service that they need has no slot time left.

use rillgap_core::policy::Class;

use super::occupancy::{Conditions, slot_seconds};
use crate::model::scenario::Scenario;

/// Slot time below which a service counts as full, in seconds per second.
const NOTHING_LEFT: f64 = 1e-9;

/// Returns the requests of each group that could be completed out of `offered`, in a span of
/// `seconds` that begins at `millis`.
pub fn best(scenario: &Scenario, millis: u64, seconds: f64, offered: &[f64]) -> Vec<f64> {
    let conditions = Conditions::at(scenario, millis);
    let mut left: Vec<f64> = conditions
        .slots
        .iter()
        .map(|slots| slots * seconds)
        .collect();
    let costs: Vec<Vec<f64>> = group_costs(scenario, &conditions);
    let mut served = vec![0.0; offered.len()];
    for class in Class::ALL.into_iter().rev() {
        let mut open: Vec<usize> = (0..offered.len())
            .filter(|group| class_of(scenario, *group) == Some(class) && offered[*group] > 0.0)
            .collect();
        fill(&mut open, offered, &costs, &mut left, &mut served);
    }
    served
}

/// Serves the open groups with one growing share until each is served whole or blocked.
fn fill(
    open: &mut Vec<usize>,
    offered: &[f64],
    costs: &[Vec<f64>],
    left: &mut [f64],
    served: &mut [f64],
) {
    let mut share = 0.0;
    while !open.is_empty() && share < 1.0 {
        let demand: Vec<f64> = (0..left.len())
            .map(|service| {
                open.iter()
                    .map(|group| offered[*group] * costs[*group][service])
                    .sum()
            })
            .collect();
        let step = demand
            .iter()
            .zip(left.iter())
            .filter(|(demand, _)| **demand > 0.0)
            .map(|(demand, left)| left.max(0.0) / demand)
            .fold(1.0 - share, f64::min);
        for group in open.iter() {
            served[*group] += step * offered[*group];
        }
        for (left, demand) in left.iter_mut().zip(&demand) {
            *left -= step * demand;
        }
        share += step;
        open.retain(|group| {
            costs[*group]
                .iter()
                .zip(left.iter())
                .all(|(cost, left)| *cost == 0.0 || *left > NOTHING_LEFT)
        });
    }
}

fn group_costs(scenario: &Scenario, conditions: &Conditions) -> Vec<Vec<f64>> {
    scenario
        .callers
        .iter()
        .map(|caller| {
            scenario
                .route_index(&caller.service, &caller.method, &caller.path)
                .map(|route| slot_seconds(scenario, route, conditions))
                .unwrap_or_default()
        })
        .collect()
}

/// Returns the class of a group of callers.
pub fn class_of(scenario: &Scenario, group: usize) -> Option<Class> {
    let caller = &scenario.callers[group];
    scenario
        .route_index(&caller.service, &caller.method, &caller.path)
        .map(|route| scenario.routes[route].class)
}
