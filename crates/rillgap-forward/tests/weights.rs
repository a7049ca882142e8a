//! Tests that a route's weights hold for the total over nodes that receive few requests each.

mod support;

use googletest::prelude::*;
use rillgap_forward::configuration::{Configuration, WeightedService};
use rillgap_forward::event::Event;
use rillgap_forward::message::{ForwardResult, LinkMessage};
use rillgap_forward::settings::ForwardSettings;
use support::{TestNode, answer, caller_request, configuration, settings};

const OLD: &str = "old";
const NEW: &str = "new";

/// Maximum deviation of a service's fraction of the requests from its weight.
const TOLERANCE: f64 = 0.1;

fn split(version: u64, old: u32, new: u32) -> Configuration {
    let part = |service: &str, weight| WeightedService {
        service: service.to_owned(),
        weight,
    };
    let mut configuration = configuration(version);
    configuration.routes[0].services = vec![part(OLD, old), part(NEW, new)];
    configuration
}

/// Returns a node that has links to a back end of each service.
fn entry(seed: u64) -> TestNode {
    let settings = ForwardSettings {
        random_seed: seed,
        ..settings("own", "logbok")
    };
    let mut test = TestNode::with_settings(settings);
    test.configure(split(1, 9_000, 1_000));
    test.connect("peer-a", 2, OLD);
    test.connect("peer-b", 3, NEW);
    test.actions.clear();
    test
}

/// Sends one request through a node and answers it; returns whether it went to the new service.
fn chooses_new(test: &mut TestNode, index: u64) -> bool {
    test.request(index, caller_request(&format!("r{index}"), "/safe/1"));
    let (_, _, request) = test.sent().pop().expect("a request that was sent");
    test.respond(ForwardResult::Answered(answer(200)));
    request.service == NEW
}

fn send_configuration(test: &mut TestNode, configuration: Configuration) {
    let link = test.connect("peer-c", 4, OLD);
    let message = LinkMessage::Configuration(configuration.into());
    test.event(Event::Link { link, message });
}

/// Returns the new service's fraction of the requests of `nodes` nodes that send `requests` each.
fn fraction_of_new(nodes: u64, requests: u64) -> f64 {
    let mut new_count = 0;
    for seed in 0..nodes {
        let mut node = entry(seed);
        let to_new = (0..requests).filter(|index| chooses_new(&mut node, *index));
        new_count += to_new.count();
    }
    new_count as f64 / (nodes * requests) as f64
}

#[gtest]
fn weights_hold_for_any_number_of_nodes_and_requests() {
    for (nodes, requests) in [
        (1, 1_000),
        (20, 50),
        (200, 1),
        (200, 5),
        (1_000, 1),
        (2_000, 1),
    ] {
        let fraction = fraction_of_new(nodes, requests);
        expect_that!(
            fraction,
            near(0.1, TOLERANCE),
            "{nodes} nodes, {requests} requests each"
        );
    }
}

#[gtest]
fn weights_hold_over_nodes_with_one_request_per_change_of_weights() {
    let mut nodes: Vec<TestNode> = (0..400).map(entry).collect();
    let weights = [
        (9_000, 1_000),
        (5_000, 5_000),
        (7_500, 2_500),
        (2_500, 7_500),
    ];
    for (version, (old, new)) in (2..).zip(weights) {
        let mut new_count = 0;
        for node in &mut nodes {
            send_configuration(node, split(version, old, new));
            new_count += u32::from(chooses_new(node, version));
        }
        let fraction = f64::from(new_count) / nodes.len() as f64;
        let weight = f64::from(new) / f64::from(old + new);
        expect_that!(fraction, near(weight, TOLERANCE), "weights {old} and {new}");
    }
}
