//! Checks how the number of store calls and of watchers depends on the number of nodes.

use googletest::prelude::*;

use crate::scenario::InjectedBug;
use crate::world::{Fault, World, WorldEvent};

/// Numbers of back ends of each of the three services.
const SIZES: [usize; 3] = [4, 40, 160];
/// Time by which all nodes of a deployment have started, in milliseconds.
const STARTED_MILLIS: u64 = 8_000;
/// Maximum number of nodes that watch the store while nothing fails, for any size of the
/// deployment.
const MAX_WATCHERS: usize = 3;
/// Maximum number of full-price store calls per starting node. A fleet of 985 nodes made 2,200
/// in one run, its watches included.
const MAX_CALLS_PER_NODE: f64 = 2.2;
/// Milliseconds within which a stored configuration must be in force at every node.
const MAX_APPLY_MILLIS: u64 = 2_000;

/// Starts a deployment without callers and runs it until [`STARTED_MILLIS`].
fn started(per_service: usize) -> World {
    let mut world = World::of_size(1, InjectedBug::None, 0, per_service);
    world.run_until(STARTED_MILLIS);
    world
}

/// Returns the number of store calls without lists that may be stale, which are cheap.
fn full_price_calls(world: &World) -> u64 {
    let calls = world.store_calls.iter();
    calls
        .filter(|(name, _)| **name != "old-list")
        .map(|(_, count)| count)
        .sum()
}

#[gtest]
fn number_of_watchers_does_not_depend_on_the_size_and_watchers_do_not_change() {
    for per_service in SIZES {
        let mut world = started(per_service);
        let before = world.watch_changes;
        for second in 1..=6 {
            world.run_until(STARTED_MILLIS + second * 1_000);
            let watchers = world.watcher_count();
            expect_that!(
                watchers,
                all!(ge(1), le(MAX_WATCHERS)),
                "{} nodes",
                world.size()
            );
        }
        expect_that!(world.watch_changes, eq(before), "{} nodes", world.size());
    }
}

#[gtest]
fn start_makes_one_write_per_node_and_few_reads() {
    for per_service in SIZES {
        let world = started(per_service);
        let nodes = world.size() as u64;
        let writes = world.store_calls.get("register").copied();
        expect_that!(writes, some(eq(nodes)), "{nodes} nodes");
        // Each watcher makes one call a second, and their number does not depend on the size.
        let watches = MAX_WATCHERS as u64 * STARTED_MILLIS / 1_000;
        let max_calls = (nodes as f64 * MAX_CALLS_PER_NODE) as u64 + watches;
        expect_that!(full_price_calls(&world), le(max_calls), "{nodes} nodes");
    }
}

#[gtest]
fn configuration_is_in_force_in_time_after_the_watchers_were_killed() {
    for per_service in SIZES {
        let mut world = started(per_service);
        for host in world.watching_hosts() {
            world.schedule(STARTED_MILLIS, WorldEvent::Fault(Fault::PowerOff(host)));
        }
        let changed_at = STARTED_MILLIS + 300;
        world.schedule(changed_at, WorldEvent::Fault(Fault::Configure));
        world.run_until(changed_at + MAX_APPLY_MILLIS);
        let (in_force, stored) = world.configuration_versions();
        expect_that!(in_force, each(eq(&stored)), "{} nodes", world.size());
    }
}

#[gtest]
fn simultaneous_restart_of_half_of_the_nodes_stays_within_the_rates_of_the_store() {
    for per_service in SIZES {
        let mut world = started(per_service);
        let before = full_price_calls(&world);
        let hosts = 0..world.size();
        for host in hosts.step_by(2) {
            world.schedule(STARTED_MILLIS, WorldEvent::Fault(Fault::PowerOff(host)));
            world.schedule(
                STARTED_MILLIS + 1_000,
                WorldEvent::Fault(Fault::Start(host)),
            );
        }
        world.run_until(STARTED_MILLIS + 1_000 + MAX_APPLY_MILLIS);
        let (in_force, stored) = world.configuration_versions();
        expect_that!(in_force, each(eq(&stored)), "{} nodes", world.size());
        let calls = full_price_calls(&world) - before;
        // Up to 16 nodes may take over as watchers at first, and twice as many each second.
        let max_calls = world.size() as f64 * MAX_CALLS_PER_NODE / 2.0 + 64.0;
        expect_that!(calls as f64, le(max_calls), "{} nodes", world.size());
    }
}
