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
const CUT_NODES: [usize; 6] = [1, 2, 4, 6, 10, 16];
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

/// Cuts the first nodes off from the store and changes the configuration. Returns whether it is in force at
/// all nodes in time.
fn is_in_force(seed: u64, cut_nodes: usize, injected_bug: InjectedBug, cut: Cut) -> bool {
    let mut world = World::started_within(START_MILLIS, seed, injected_bug, 0, PER_SERVICE);
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
    in_force.iter().all(|version| *version == stored)
}

fn expect_in_force(cut: Cut) {
    for cut_nodes in CUT_NODES {
        for seed in 0..SEEDS {
            let is_in_force = is_in_force(seed, cut_nodes, InjectedBug::None, cut);
            expect_that!(
                is_in_force,
                eq(true),
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

/// Guards against the same while nodes are cut off one after the other, each when it may just have been
/// elected.
#[gtest]
fn configuration_is_in_force_in_time_although_watchers_are_cut_off_one_after_the_other() {
    for seed in 0..SEEDS {
        let mut world =
            World::started_within(START_MILLIS, seed, InjectedBug::None, 0, PER_SERVICE);
        spread_timers(&mut world);
        let cut_at = CUT_AT + seed * 83;
        for (number, host) in world.watch_order().into_iter().take(8).enumerate() {
            let at = cut_at + 150 * number as u64;
            world.schedule(at, WorldEvent::Fault(Fault::StoreIgnores(host, true)));
        }
        let changed_at = cut_at + 150 * 8 + world.draw(LATEST_CHANGE);
        world.schedule(changed_at, WorldEvent::Fault(Fault::Configure));
        world.run_until(changed_at + MAX_APPLY_MILLIS);
        let (in_force, stored) = world.configuration_versions();
        expect_that!(in_force, each(eq(&stored)), "seed {seed}");
    }
}

/// Number of nodes of each service in a larger deployment, and numbers of nodes cut off there.
const LARGE_PER_SERVICE: usize = 40;
const CUT_OF_LARGE: [usize; 3] = [16, 40, 100];
/// Milliseconds within which the configuration must be in force in the larger deployment.
const MAX_APPLY_OF_LARGE_MILLIS: u64 = 2_500;

/// Guards against a time that grows with the number of nodes that are cut off, and against calls of all nodes
/// at once.
#[gtest]
fn few_nodes_call_the_store_although_many_of_the_first_are_cut_off() {
    for cut_nodes in CUT_OF_LARGE {
        let mut world = World::of_size(1, InjectedBug::None, 0, LARGE_PER_SERVICE);
        for host in world.watch_order().into_iter().take(cut_nodes) {
            world.schedule(CUT_AT, WorldEvent::Fault(Fault::StoreIgnores(host, true)));
        }
        world.run_until(CUT_AT);
        let before: u64 = world.store_calls.values().sum();
        world.schedule(CUT_AT + 1, WorldEvent::Fault(Fault::Configure));
        world.run_until(CUT_AT + 1 + MAX_APPLY_OF_LARGE_MILLIS);
        let (in_force, stored) = world.configuration_versions();
        expect_that!(in_force, each(eq(&stored)), "{cut_nodes} nodes cut off");
        let calls: u64 = world.store_calls.values().sum();
        // Those that are cut off call in vain, each at most twice, and as many others as took over with
        // them.
        let max_calls = 4 * cut_nodes as u64 + 32;
        expect_that!(calls - before, le(max_calls), "{cut_nodes} nodes cut off");
    }
}

#[gtest]
fn checker_detects_contacts_that_never_were() {
    let cut = Fault::StoreIgnores;
    let late = (0..SEEDS).filter(|seed| !is_in_force(*seed, 6, InjectedBug::FalseContacts, cut));
    expect_that!(late.count(), gt(SEEDS as usize / 2));
}
