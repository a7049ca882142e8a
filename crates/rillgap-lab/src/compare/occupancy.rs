//! Slot time that one request takes at each service, without any queueing.

use crate::model::fault::Fault;
use crate::model::scenario::Scenario;

/// Round trip that a call adds to the time in the caller's slot, in microseconds, beyond twice
/// the latency between zones: hops between a back end and the node beside it.
const MACHINE_HOPS_MICROS: f64 = 200.0;

/// Capacity and slowness of every service at one moment.
#[derive(Clone, Debug, PartialEq)]
pub struct Conditions {
    /// Slots of each service that can run requests.
    pub slots: Vec<f64>,
    /// Factor on the work of each service.
    pub factors: Vec<f64>,
}

impl Conditions {
    /// Returns the conditions of a scenario at a moment, in milliseconds.
    ///
    /// Cold starts after a restart are left out: what is best is overestimated there.
    pub fn at(scenario: &Scenario, millis: u64) -> Self {
        let mut conditions = Self {
            slots: scenario
                .services
                .iter()
                .map(|service| f64::from(service.slots) * f64::from(service.back_ends))
                .collect(),
            factors: vec![1.0; scenario.services.len()],
        };
        for timed in &scenario.faults {
            let active = (timed.at_millis..timed.at_millis + timed.for_millis).contains(&millis);
            if active {
                conditions.apply(scenario, &timed.fault);
            }
        }
        conditions
    }

    fn apply(&mut self, scenario: &Scenario, fault: &Fault) {
        match fault {
            Fault::SlowService { service, factor } => {
                if let Some(index) = scenario.service_index(service) {
                    self.factors[index] *= factor;
                }
            }
            Fault::KillBackEnd { back_end } => {
                let index = scenario
                    .services
                    .iter()
                    .position(|service| belongs_to(back_end.as_str(), service.name.as_str()));
                if let Some(index) = index {
                    self.slots[index] -= f64::from(scenario.services[index].slots);
                }
            }
            _ => {}
        }
    }
}

fn belongs_to(back_end: &str, service: &str) -> bool {
    back_end
        .rsplit_once('-')
        .is_some_and(|(name, _)| name == service)
}

/// Returns the slot time in seconds that one request to a route takes at each service.
pub fn slot_seconds(scenario: &Scenario, route: usize, conditions: &Conditions) -> Vec<f64> {
    let mut seconds = vec![0.0; scenario.services.len()];
    add(scenario, route, conditions, &mut seconds);
    seconds
}

/// Adds the slot time of a route and of its calls; returns the time until it answers.
fn add(scenario: &Scenario, route: usize, conditions: &Conditions, seconds: &mut [f64]) -> f64 {
    let model = &scenario.routes[route];
    let Some(service) = scenario.service_index(&model.service) else {
        return 0.0;
    };
    let mut total = model.work_micros as f64 * conditions.factors[service] / 1e6;
    let hop = scenario.network.zone_micros + scenario.network.jitter_micros / 2;
    let round_trip = (2.0 * hop as f64 + MACHINE_HOPS_MICROS) / 1e6;
    for call in &model.calls {
        if let Some(target) = scenario.route_index(&call.service, &call.method, &call.path) {
            total += round_trip + add(scenario, target, conditions, seconds);
        }
    }
    seconds[service] += total;
    total
}
