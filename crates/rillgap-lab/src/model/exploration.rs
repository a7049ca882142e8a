//! Scenarios with faults drawn at random, for exploration.

use rillgap_core::id::{BackEndName, NodeName, ServiceName, ZoneName};

use super::deployment::Deployment;
use super::fault::{Fault, TimedFault};
use super::policy::policy;
use super::scenario::{Bootstrap, Scenario, ScenarioError};
use crate::sim::random::Stream;

/// Stream of the seed from which faults are drawn.
const FAULT_STREAM: u64 = 100;
/// Time for which callers send, in milliseconds.
const DURATION_MILLIS: u64 = 8_000;
/// Time after the last arrival, in milliseconds; longer than the slowest answer.
const SETTLE_MILLIS: u64 = 16_000;
/// Share of the ordinary rate that callers send at; faults, not load, are explored.
const RATE_SHARE: f64 = 0.08;
/// Earliest fault, in milliseconds after the callers' start.
const FIRST_FAULT_MILLIS: u64 = 500;
/// Longest fault, in milliseconds.
const LONGEST_FAULT_MILLIS: u64 = 7_000;

/// Most faults of one run.
const MOST_FAULTS: usize = 4;

/// Draws a scenario of a deployment from a seed.
///
/// # Errors
///
/// Returns what is wrong with the deployment's file.
pub fn draw(deployment: Deployment, seed: u64) -> Result<Scenario, ScenarioError> {
    let mut scenario = deployment.scenario()?;
    let mut random = Stream::new(seed, FAULT_STREAM);
    scenario.name = format!("{}-{seed}", deployment.name());
    scenario.bootstrap = Bootstrap::Store;
    scenario.callers_start_millis = super::scenario::STORE_BOOTSTRAP_MILLIS;
    scenario.duration_millis = scenario.callers_start_millis + DURATION_MILLIS;
    scenario.settle_millis = SETTLE_MILLIS;
    for caller in &mut scenario.callers {
        caller.rate_per_second *= RATE_SHARE;
    }
    scenario.faults = draw_faults(&scenario, &mut random);
    Ok(scenario)
}

/// Draws one to four faults; a second one often comes together with the first, or is the same.
fn draw_faults(scenario: &Scenario, random: &mut Stream) -> Vec<TimedFault> {
    let names = Names::of(scenario);
    let number = 1 + random.position(MOST_FAULTS);
    let mut faults: Vec<TimedFault> = Vec::new();
    for _ in 0..number {
        let same = random.chance(0.25);
        let together = random.chance(0.4);
        let last = faults.last().cloned();
        let mut fault = match last.clone() {
            Some(last) if same => last,
            _ => draw_fault(scenario, &names, random),
        };
        fault.at_millis = match last {
            Some(last) if together && !same => last.at_millis + random.up_to(50),
            _ => {
                let latest = DURATION_MILLIS - FIRST_FAULT_MILLIS;
                scenario.callers_start_millis + FIRST_FAULT_MILLIS + random.up_to(latest)
            }
        };
        fault.for_millis = 50 + random.up_to(LONGEST_FAULT_MILLIS);
        faults.push(fault);
    }
    without_overlap(faults)
}

/// Drops faults that begin while the same fault at the same place still lasts.
fn without_overlap(mut faults: Vec<TimedFault>) -> Vec<TimedFault> {
    faults.sort_by_key(|fault| fault.at_millis);
    let mut kept: Vec<TimedFault> = Vec::new();
    for fault in faults {
        let overlaps = kept.iter().any(|earlier| {
            earlier.fault == fault.fault
                && earlier.at_millis + earlier.for_millis >= fault.at_millis
        });
        if !overlaps {
            kept.push(fault);
        }
    }
    kept
}

struct Names {
    nodes: Vec<NodeName>,
    entry_nodes: Vec<NodeName>,
    back_ends: Vec<BackEndName>,
    services: Vec<ServiceName>,
    zones: Vec<ZoneName>,
}

impl Names {
    fn of(scenario: &Scenario) -> Self {
        let policy = policy(scenario);
        let beside = policy.back_ends.iter().map(|end| end.node.clone());
        let entry_nodes: Vec<NodeName> = scenario
            .network
            .zones
            .iter()
            .map(|zone| NodeName::new(format!("node-entry-{zone}-1")))
            .collect();
        Self {
            nodes: beside.chain(entry_nodes.iter().cloned()).collect(),
            entry_nodes,
            back_ends: policy
                .back_ends
                .iter()
                .map(|end| end.name.clone())
                .collect(),
            services: scenario
                .services
                .iter()
                .map(|service| service.name.clone())
                .collect(),
            zones: scenario.network.zones.clone(),
        }
    }
}

fn pick<T: Clone>(list: &[T], random: &mut Stream) -> T {
    list[random.position(list.len())].clone()
}

/// Number of kinds of faults in [`draw_fault`], a quarter of them of the control path.
const KINDS: usize = 24;

fn draw_fault(scenario: &Scenario, names: &Names, random: &mut Stream) -> TimedFault {
    let fault = match random.position(KINDS) {
        0 | 1 => Fault::KillNode {
            node: pick(&names.nodes, random),
        },
        2 => Fault::KillNode {
            node: pick(&names.entry_nodes, random),
        },
        3 | 4 => Fault::FreezeNode {
            node: pick(&names.nodes, random),
        },
        5 => Fault::FreezeNode {
            node: pick(&names.entry_nodes, random),
        },
        6 | 7 => Fault::StopNode {
            node: pick(&names.nodes, random),
        },
        8 | 9 => Fault::CutZones {
            from: pick(&names.zones, random),
            to: None,
            one_way: random.chance(0.5),
        },
        10 => Fault::CutNode {
            node: pick(&names.nodes, random),
            one_way: random.chance(0.5),
        },
        11 => Fault::KillBackEnd {
            back_end: pick(&names.back_ends, random),
        },
        12 => Fault::SilenceBackEnd {
            back_end: pick(&names.back_ends, random),
        },
        13 => Fault::AnnounceLeaving {
            back_end: pick(&names.back_ends, random),
        },
        14 => Fault::SlowService {
            service: pick(&names.services, random),
            factor: 2.0 + random.up_to(18) as f64,
        },
        15 => Fault::Surge {
            caller: None,
            factor: 5.0 + random.up_to(55) as f64,
        },
        _ => draw_control_fault(scenario, names, random),
    };
    TimedFault {
        at_millis: 0,
        for_millis: 0,
        fault,
    }
}

/// Draws a fault of the platform or a change of an operator.
fn draw_control_fault(scenario: &Scenario, names: &Names, random: &mut Stream) -> Fault {
    let queue_millis = scenario.services[0].node_queue_millis;
    match random.position(8) {
        0 => Fault::StoreDown,
        1 => Fault::StoreSlow {
            extra_millis: 100 + random.up_to(3_000),
        },
        2 => Fault::StoreLosesAnswers,
        3 => Fault::StoreStale,
        4 => Fault::MachineListStuck,
        5 => Fault::DrainBackEnd {
            back_end: pick(&names.back_ends, random),
            through: pick(&names.nodes, random),
        },
        _ => Fault::ApplyPolicy {
            through: pick(&names.nodes, random),
            queue_millis: queue_millis + 1 + random.up_to(100) as u32,
        },
    }
}
