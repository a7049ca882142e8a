//! Partitions around the owner of a tenant's token bucket.

use googletest::prelude::*;
use rillgap_forward::configuration::RateLimit;

use crate::scenario::InjectedBug;
use crate::world::{Fault, World, WorldEvent};

/// Rate limits of the tenant, in requests per second; its burst is a fifth of that.
const RATES: [f64; 3] = [50.0, 100.0, 400.0];
/// Demand of the tenant, as multiples of its limit: at the host that is cut off, and at all others
/// together.
const DEMAND: (f64, f64) = (1.2, 3.3);
/// Range of the time at which the partition begins, in milliseconds, and its length.
const CUT_RANGE: (u64, u64) = (6_000, 7_000);
const CUT_MILLIS: u64 = 5_500;
/// Times at which callers start and stop, and at which the scenario ends, in milliseconds.
const CALLERS_BEGIN: u64 = 3_500;
const CALLERS_AND_SCENARIO_END: (u64, u64) = (18_000, 19_500);
/// Number of seeds for each rate.
const SEEDS: u64 = 8;

/// Returns a deployment whose tenant asks for more than its limit at all hosts.
fn world_with_demand(seed: u64, rate: f64) -> World {
    let (callers_until, _) = CALLERS_AND_SCENARIO_END;
    let mut world = World::new(seed, InjectedBug::None, callers_until);
    world.set_caller_pause_factor(10);
    world.set_tenant_limit(RateLimit {
        per_second: rate,
        burst: rate / 5.0,
    });
    let owner = world.bucket_owners()[0];
    let others = (world.size() - 1) as f64;
    for host in 0..world.size() {
        let share = if host == owner {
            DEMAND.0
        } else {
            DEMAND.1 / others
        };
        let pause_micros = (1_000_000.0 / (rate * share)) as u64;
        world.schedule(
            CALLERS_BEGIN,
            WorldEvent::LimitedCallerSends { host, pause_micros },
        );
    }
    world
}

/// Guards against two nodes that give out a tenant's tokens at the same time: an owner that is cut
/// off has to stop before its successor begins.
#[gtest]
fn tenant_stays_within_its_limit_while_the_owner_of_its_bucket_is_cut_off() {
    for rate in RATES {
        for seed in 0..SEEDS {
            let mut world = world_with_demand(seed, rate);
            let owner = world.bucket_owners()[0];
            let begin = CUT_RANGE.0 + world.draw(CUT_RANGE.1 - CUT_RANGE.0);
            world.schedule(begin, WorldEvent::Fault(Fault::Partition(owner, true)));
            let end = begin + CUT_MILLIS;
            world.schedule(end, WorldEvent::Fault(Fault::Partition(owner, false)));
            world.run_until(CALLERS_AND_SCENARIO_END.1);
            world.check_limit();
            expect_that!(
                world.checker.violations,
                is_empty(),
                "seed {seed}, {rate} requests per second"
            );
        }
    }
}
