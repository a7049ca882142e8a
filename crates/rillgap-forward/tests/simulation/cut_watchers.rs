//! The first nodes in the order of watchers are cut off from the store while the configuration changes.

use googletest::prelude::*;

use crate::scenario::InjectedBug;
use crate::world::{Fault, World, WorldEvent};

/// Back ends of each of the three services.
const PER_SERVICE: usize = 6;
/// Time within which the nodes start, so that all of them read the configuration.
const START_MILLIS: u64 = 10;
/// Time at which the nodes stand still, and for how long at most, in milliseconds.
const TIMERS_SPREAD_AT: u64 = 5_000;
const TIMER_SPREAD: u64 = 100;
/// Numbers of nodes, the first of the order, that are cut off from the store.
const CUT_NODES: [usize; 4] = [2, 4, 6, 10];
/// Time at which the nodes are cut off, and the latest change after it, in milliseconds.
const CUT_AT: u64 = 8_000;
const LATEST_CHANGE: u64 = 300;
/// Milliseconds within which a stored configuration must be in force at the nodes that reach the
/// store.
const MAX_APPLY_MILLIS: u64 = 2_000;
/// Number of seeds for each number of nodes.
const SEEDS: u64 = 40;

/// How the store treats the nodes that are cut off from it.
type Cut = fn(usize, bool) -> Fault;

/// Makes the timers of the nodes differ, as those of processes do: each stands still for a moment.
fn spread_timers(world: &mut World) {
    for host in 0..world.size() {
        let from = TIMERS_SPREAD_AT + world.draw(TIMER_SPREAD);
        let until = from + world.draw(TIMER_SPREAD);
        world.schedule(from, WorldEvent::Fault(Fault::Pause(host, until)));
    }
}

/// Cuts the first nodes off from the store, changes the configuration, and expects it to be in force in
/// time.
fn expect_in_force(cut: Cut) {
    for cut_nodes in CUT_NODES {
        for seed in 0..SEEDS {
            let mut world =
                World::started_within(START_MILLIS, seed, InjectedBug::None, 0, PER_SERVICE);
            spread_timers(&mut world);
            let cut_at = CUT_AT + seed * 83;
            for host in world.watch_order().into_iter().take(cut_nodes) {
                world.schedule(cut_at, WorldEvent::Fault(cut(host, true)));
            }
            let changed_at = cut_at + 1 + world.draw(LATEST_CHANGE);
            world.schedule(changed_at, WorldEvent::Fault(Fault::Configure));
            world.run_until(changed_at + MAX_APPLY_MILLIS);
            let (in_force, stored) = world.configuration_versions();
            expect_that!(stored, gt(1));
            expect_that!(
                in_force,
                each(eq(&stored)),
                "seed {seed}, {cut_nodes} nodes cut off"
            );
        }
    }
}

/// Guards against nodes that report a contact with the store although it has not answered them: nodes
/// that could reach it do not watch it then.
#[gtest]
fn configuration_is_in_force_in_time_although_the_first_watchers_get_no_answers() {
    expect_in_force(Fault::StoreIgnores);
}

/// Guards against the same while the store refuses their calls.
#[gtest]
fn configuration_is_in_force_in_time_although_the_first_watchers_are_refused() {
    expect_in_force(Fault::StoreRefuses);
}
