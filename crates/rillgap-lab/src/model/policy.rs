//! Checks of scenarios and the policy that follows from them.

use rillgap_core::id::{BackEndName, NodeName, PolicyVersion};
use rillgap_core::policy::{BackEndPolicy, BackEndState, Policy, RoutePolicy, ServicePolicy};

use super::scenario::{RouteModel, Scenario, ScenarioError};

/// Returns the name of a service's back end; they are numbered from one.
pub fn back_end_name(service: &str, number: u16) -> BackEndName {
    BackEndName::new(format!("{service}-{number}"))
}

/// Returns the name of the node beside a back end.
pub fn node_name(back_end: &BackEndName) -> NodeName {
    NodeName::new(format!("node-{back_end}"))
}

/// Builds the policy that operators of the scenario apply first.
pub fn policy(scenario: &Scenario) -> Policy {
    Policy {
        version: PolicyVersion(1),
        change: 1,
        bounds: scenario.bounds,
        services: scenario.services.iter().map(service_policy).collect(),
        routes: scenario.routes.iter().map(route_policy).collect(),
        back_ends: back_ends(scenario),
    }
}

fn service_policy(service: &super::scenario::ServiceModel) -> ServicePolicy {
    ServicePolicy {
        name: service.name.clone(),
        slots: service.slots,
        connections: service.connections,
        queue_millis: service.node_queue_millis,
    }
}

fn route_policy(route: &RouteModel) -> RoutePolicy {
    RoutePolicy {
        service: route.service.clone(),
        method: route.method.clone(),
        path: route.path.clone(),
        class: route.class,
        repeatable: route.repeatable,
        deadline_millis: route.deadline_millis,
    }
}

fn back_ends(scenario: &Scenario) -> Vec<BackEndPolicy> {
    let mut back_ends = Vec::new();
    for service in &scenario.services {
        for number in 1..=service.back_ends {
            let name = back_end_name(service.name.as_str(), number);
            back_ends.push(BackEndPolicy {
                node: node_name(&name),
                name,
                service: service.name.clone(),
                state: BackEndState::Serving,
            });
        }
    }
    back_ends
}

/// Checks that all names of a scenario resolve and that its call graph has no cycle.
///
/// # Errors
///
/// Returns the first thing that is wrong.
pub fn check(scenario: &Scenario) -> Result<(), ScenarioError> {
    require(
        !scenario.network.zones.is_empty(),
        "there must be at least one zone",
    )?;
    require(
        scenario.network.entry_nodes_per_zone > 0,
        "there must be an entry node in each zone",
    )?;
    check_services(scenario)?;
    check_routes(scenario)?;
    check_callers(scenario)
}

fn require(holds: bool, message: &str) -> Result<(), ScenarioError> {
    if holds {
        Ok(())
    } else {
        Err(ScenarioError::Invalid(message.to_owned()))
    }
}

fn check_services(scenario: &Scenario) -> Result<(), ScenarioError> {
    for service in &scenario.services {
        let usable = service.slots > 0 && service.back_ends > 0 && service.cold_factor >= 1.0;
        require(
            usable,
            &format!(
                "service {}: slots, back-ends and cold-factor must be at least 1",
                service.name
            ),
        )?;
    }
    Ok(())
}

fn check_routes(scenario: &Scenario) -> Result<(), ScenarioError> {
    for (index, route) in scenario.routes.iter().enumerate() {
        let place = format!("route {} {}{}", route.method, route.service, route.path);
        require(
            scenario.service_index(&route.service).is_some(),
            &format!("{place}: unknown service"),
        )?;
        for call in &route.calls {
            let target = scenario.route_index(&call.service, &call.method, &call.path);
            require(
                target.is_some(),
                &format!("{place}: calls an unknown route"),
            )?;
        }
        require(
            depth(scenario, index, scenario.routes.len()).is_some(),
            &format!("{place}: the call graph has a cycle"),
        )?;
    }
    Ok(())
}

fn depth(scenario: &Scenario, route: usize, left: usize) -> Option<usize> {
    if left == 0 {
        return None;
    }
    let mut deepest = 0;
    for call in &scenario.routes[route].calls {
        let target = scenario.route_index(&call.service, &call.method, &call.path)?;
        deepest = deepest.max(depth(scenario, target, left - 1)?);
    }
    Some(deepest + 1)
}

fn check_callers(scenario: &Scenario) -> Result<(), ScenarioError> {
    for caller in &scenario.callers {
        let route = scenario.route_index(&caller.service, &caller.method, &caller.path);
        require(
            route.is_some(),
            &format!("caller {}: unknown route", caller.name),
        )?;
        require(
            caller.rate_per_second >= 0.0 && caller.population > 0,
            &format!("caller {}: rate or population out of range", caller.name),
        )?;
        let known = caller
            .zone
            .as_ref()
            .is_none_or(|zone| scenario.network.zones.contains(zone));
        require(known, &format!("caller {}: unknown zone", caller.name))?;
    }
    Ok(())
}

/// Returns the number of calls, itself included, that one request to a route causes.
pub fn tree_size(scenario: &Scenario, route: usize) -> usize {
    let below: usize = scenario.routes[route]
        .calls
        .iter()
        .filter_map(|call| scenario.route_index(&call.service, &call.method, &call.path))
        .map(|target| tree_size(scenario, target))
        .sum();
    below + 1
}
