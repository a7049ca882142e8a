//! Tests of failure detection: which nodes are removed from the view, and which stop serving and
//! voting.

mod membership_support;

use std::collections::BTreeMap;
use std::time::Duration;

use googletest::prelude::*;
use membership_support::{Mesh, node};
use rillgap_core::id::ViewVersion;

const TIMEOUT: Duration = Duration::from_secs(20);

/// Starts a mesh and runs it for 10 s after all nodes have joined.
fn converged_mesh(zones: usize, size: usize) -> Mesh {
    let mut mesh = Mesh::start(zones, size);
    mesh.run_until(TIMEOUT, Mesh::has_converged);
    mesh.run(Duration::from_secs(10));
    mesh
}

#[googletest::test]
fn dead_nodes_are_removed() {
    let mut mesh = converged_mesh(3, 4);
    mesh.kill(node(1, 1));
    mesh.kill(node(2, 3));
    mesh.run(Duration::from_secs(3));
    expect_that!(mesh.view(node(0, 0)).members.len(), eq(12));
    mesh.run_until(TIMEOUT, Mesh::has_converged);
}

#[googletest::test]
fn any_dead_node_is_removed_and_the_others_keep_serving() {
    for zone in 0..3 {
        for number in 0..3 {
            let mut mesh = converged_mesh(3, 3);
            mesh.kill(node(zone, number));
            mesh.run_until(TIMEOUT, Mesh::has_converged);
            mesh.run(Duration::from_secs(2));
            expect_that!(
                mesh.hosts.keys().all(|node| mesh.may_serve(*node)),
                eq(true)
            );
        }
    }
}

#[googletest::test]
fn slow_node_is_not_removed() {
    let mut mesh = converged_mesh(3, 4);
    let before = mesh.view(node(0, 0)).version;
    mesh.slow(node(1, 2), Duration::from_millis(1_500));
    mesh.run(Duration::from_secs(60));
    expect_that!(mesh.view(node(0, 0)).version, eq(before));
}

#[googletest::test]
fn one_way_cut_between_two_nodes_removes_no_node() {
    let mut mesh = converged_mesh(3, 4);
    let before = mesh.view(node(0, 0)).version;
    mesh.cut(node(1, 0), node(1, 1));
    mesh.cut(node(2, 3), node(2, 0));
    mesh.cut(node(0, 0), node(1, 0));
    mesh.run(Duration::from_secs(60));
    expect_that!(mesh.view(node(0, 0)).version, eq(before));
    expect_that!(
        mesh.hosts.keys().all(|node| mesh.may_serve(*node)),
        eq(true)
    );
}

#[googletest::test]
fn cut_off_zone_serves_without_voting_and_is_not_removed() {
    let mut mesh = converged_mesh(3, 4);
    let before = mesh.view(node(0, 0)).version;
    mesh.cut_zone(2);
    mesh.run(Duration::from_secs(120));
    expect_that!(mesh.view(node(0, 0)).version, eq(before));
    expect_that!(mesh.may_serve(node(2, 1)), eq(true));
    expect_that!(mesh.may_vote(node(2, 1)), eq(false));
    expect_that!(mesh.may_vote(node(0, 1)), eq(true));
    expect_that!(
        mesh.membership(node(0, 1)).is_reachable(node(2, 1)),
        eq(false)
    );
    expect_that!(
        mesh.membership(node(0, 1)).is_reachable(node(1, 1)),
        eq(true)
    );
    mesh.boot(0, 3);
    mesh.run(Duration::from_secs(10));
    expect_that!(mesh.view(node(2, 1)).version, eq(before));
    mesh.heal();
    mesh.run_until(TIMEOUT, Mesh::has_converged);
    mesh.run_until(TIMEOUT, |mesh| mesh.may_vote(node(2, 1)));
}

#[googletest::test]
fn views_that_follow_quickly_are_activated_without_gaps() {
    let mut mesh = converged_mesh(3, 4);
    for round in 0..8 {
        mesh.boot(round % 3, 3);
        mesh.run(Duration::from_millis(700));
    }
    mesh.run(Duration::from_secs(10));
    let history = mesh.membership(node(0, 1)).view_history();
    let versions: Vec<u64> = history.iter().map(|entry| entry.view.version.0).collect();
    expect_that!(
        versions.windows(2).all(|pair| pair[1] == pair[0] + 1),
        eq(true)
    );
    expect_that!(history.iter().all(|entry| entry.is_activated()), eq(true));
}

#[googletest::test]
fn frozen_node_serves_nothing_until_it_is_confirmed() {
    let mut mesh = converged_mesh(3, 4);
    let frozen = node(1, 1);
    mesh.freeze(frozen, Duration::from_millis(2_500));
    mesh.run(Duration::from_millis(2_400));
    expect_that!(mesh.may_serve(frozen), eq(false));
    expect_that!(mesh.may_vote(frozen), eq(false));
    let before = mesh.view(node(0, 0)).version;
    mesh.run_until(TIMEOUT, |mesh| {
        mesh.may_serve(frozen) && mesh.may_vote(frozen)
    });
    expect_that!(mesh.view(node(0, 0)).version, eq(before));
}

#[googletest::test]
fn node_frozen_for_long_is_removed_and_joins_again() {
    let mut mesh = converged_mesh(3, 4);
    let frozen = node(1, 1);
    mesh.freeze(frozen, Duration::from_secs(15));
    mesh.run(Duration::from_secs(14));
    expect_that!(mesh.view(node(0, 0)).member(frozen), none());
    mesh.run_until(TIMEOUT, |mesh| mesh.may_serve(frozen));
    expect_that!(mesh.has_converged(), eq(true));
}

#[googletest::test]
fn dead_zone_is_removed_only_when_the_machine_list_omits_it() {
    let mut mesh = converged_mesh(3, 3);
    for number in 0..3 {
        mesh.kill(node(2, number));
    }
    mesh.run(Duration::from_secs(120));
    expect_that!(mesh.view(node(0, 0)).members.len(), eq(9));
    let machines = mesh
        .hosts
        .values()
        .map(|host| rillgap_core::store::Machine {
            node: host.settings.name.clone(),
            leaving: false,
        })
        .collect();
    mesh.set_machines(machines);
    mesh.run_until(TIMEOUT, Mesh::has_converged);
}

/// Checks after every event that no node votes under a view while another node has activated a
/// later one, during a partition, restarts and process pauses.
#[googletest::test]
fn no_node_votes_below_an_activated_view() {
    let mut mesh = converged_mesh(3, 4);
    let mut highest = ViewVersion(0);
    let mut lowest_votes: BTreeMap<ViewVersion, u64> = BTreeMap::new();
    let mut watch = |mesh: &Mesh| {
        for host in mesh.hosts.values() {
            let history = host.membership.view_history();
            if let Some(last) = history.iter().rfind(|entry| entry.is_activated()) {
                highest = highest.max(last.view.version);
            }
        }
        for host in mesh.hosts.values() {
            let version = host.membership.view().version;
            if host.membership.may_vote(mesh.clock()) {
                assert!(
                    version >= highest,
                    "vote under {version:?} while {highest:?} is active"
                );
                *lowest_votes.entry(version).or_default() += 1;
            }
        }
    };
    mesh.cut_zone(2);
    mesh.run_watching(Duration::from_secs(1), &mut watch);
    mesh.boot(0, 3);
    mesh.run_watching(Duration::from_secs(8), &mut watch);
    mesh.boot(1, 2);
    mesh.freeze(node(0, 1), Duration::from_secs(3));
    mesh.run_watching(Duration::from_secs(12), &mut watch);
    mesh.heal();
    mesh.freeze(node(1, 1), Duration::from_secs(6));
    mesh.run_watching(Duration::from_secs(20), &mut watch);
    expect_that!(lowest_votes.len(), gt(2));
}
