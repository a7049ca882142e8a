//! How a configuration spreads over links: a node that has heard of a newer version gets it.

mod support;

use googletest::prelude::*;
use rillgap_forward::action::Action;
use rillgap_forward::event::Event;
use rillgap_forward::id::LinkId;
use rillgap_forward::message::LinkMessage;
use support::{SERVICE, TestNode, hello, serving};

/// Version that the peers have; the node under test has version 1.
const NEWER: u64 = 7;

/// Lets a peer that has the newer version open a link to the node.
fn accept(test: &mut TestNode, name: &str, link: u64) -> LinkId {
    let id = LinkId(link);
    let hello = hello(name, link as u8, serving(SERVICE), NEWER);
    test.event(Event::LinkAccepted { link: id, hello });
    id
}

/// Links on which the node has asked for a configuration, in order.
fn asked(test: &TestNode) -> Vec<LinkId> {
    let query = |action: &Action| match action {
        Action::SendOnLink {
            link,
            message: LinkMessage::ConfigurationQuery(1),
        } => Some(*link),
        _ => None,
    };
    test.actions.iter().filter_map(query).collect()
}

/// A node that has stood still accepts connections that its peers have given up meanwhile, and reads of
/// their end only then; the peers' next connections wait behind them.
#[gtest]
fn newer_version_is_asked_for_on_a_sound_link_after_links_that_have_ended() {
    let mut test = TestNode::configured("logbok");
    for number in [50, 51, 52] {
        let given_up = accept(&mut test, "peer-a", number);
        test.event(Event::LinkClosed(given_up));
    }
    let given_up = accept(&mut test, "peer-b", 60);
    let sound = accept(&mut test, "peer-c", 70);
    test.event(Event::LinkClosed(given_up));
    test.pass(1_000);
    expect_that!(asked(&test), contains(eq(&sound)));
}
