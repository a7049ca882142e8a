//! The owner of a tenant's token bucket changes: cuts, freezes, restarts and stops around it.

use googletest::prelude::*;
use rillgap_forward::configuration::RateLimit;

use crate::scenario::InjectedBug;
use crate::world::{Fault, World, WorldEvent};

/// Rate limits of the tenant, in requests per second; its burst is a fifth of that.
const RATES: [f64; 3] = [50.0, 100.0, 400.0];
/// Demand of the tenant, as multiples of its limit: at the host of the first owner, and at all others
/// together.
const DEMAND: (f64, f64) = (1.2, 3.3);
/// Range of the time at which the trouble begins, in milliseconds, and its length.
const TROUBLE_RANGE: (u64, u64) = (6_000, 7_000);
const TROUBLE_MILLIS: u64 = 5_500;
/// Times at which callers start and stop, and at which the scenario ends, in milliseconds.
const CALLERS_BEGIN: u64 = 3_500;
const CALLERS_AND_SCENARIO_END: (u64, u64) = (18_000, 19_500);
/// Number of seeds for each rate.
const SEEDS: u64 = 8;
/// Milliseconds after a change of the owner within which tokens must be given out again.
const MAX_GAP_MILLIS: u64 = 2_500;
/// Fraction of the limit that a tenant that asks for more must get while it has an owner.
const MIN_GRANTED_FRACTION: f64 = 0.8;

/// Whether a new owner has to give out tokens during the trouble.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DuringTrouble {
    /// Most nodes are in contact with each other, so that one of them gives out tokens.
    HasOwner,
    /// No side has most of the nodes, so that none gives out tokens.
    HasNone,
    /// The trouble is too short for a statement.
    Unknown,
}

/// A change of the owner: the first owner and the following ones, and the time of the trouble.
struct Trouble<'a> {
    world: &'a mut World,
    owners: Vec<usize>,
    begin: u64,
    end: u64,
}

impl Trouble<'_> {
    fn at(&mut self, time: u64, fault: Fault) {
        self.world.schedule(time, WorldEvent::Fault(fault));
    }

    fn during(&mut self, fault: impl Fn(bool) -> Fault) {
        self.at(self.begin, fault(true));
        self.at(self.end, fault(false));
    }

    /// Cuts all links between two groups of hosts.
    fn separate(&mut self, group: &[usize], other: &[usize]) {
        for host in group {
            for peer in other {
                self.during(|is_cut| Fault::Cut(*host, *peer, is_cut));
                self.during(|is_cut| Fault::Cut(*peer, *host, is_cut));
            }
        }
    }
}

/// Returns a deployment whose tenant asks for more than its limit at all hosts.
fn world_with_demand(seed: u64, rate: f64, injected_bug: InjectedBug) -> World {
    let (callers_until, _) = CALLERS_AND_SCENARIO_END;
    let mut world = World::new(seed, injected_bug, callers_until);
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

/// Plays a trouble on one seed at one rate; returns the violated guarantees.
fn play(
    (seed, rate): (u64, f64),
    injected_bug: InjectedBug,
    during: DuringTrouble,
    schedule: &impl Fn(&mut Trouble<'_>),
) -> Vec<String> {
    let mut world = world_with_demand(seed, rate, injected_bug);
    let owners = world.bucket_owners();
    let begin = TROUBLE_RANGE.0 + world.draw(TROUBLE_RANGE.1 - TROUBLE_RANGE.0);
    let end = begin + TROUBLE_MILLIS;
    schedule(&mut Trouble {
        world: &mut world,
        owners,
        begin,
        end,
    });
    let (callers_until, scenario_end) = CALLERS_AND_SCENARIO_END;
    world.run_until(scenario_end);
    world.check_limit();
    let mut times = vec![(end + MAX_GAP_MILLIS, callers_until)];
    if during == DuringTrouble::HasOwner {
        times.push((begin + MAX_GAP_MILLIS, end));
    }
    for (from, to) in times {
        let granted = world.checker.limited_executions(from, to);
        let limit = rate * (to - from) as f64 / 1_000.0;
        if (granted as f64) < limit * MIN_GRANTED_FRACTION {
            let text = format!("GRANTS {granted} of {limit:.0} requests from {from} to {to} ms");
            world.checker.violations.push(text);
        }
    }
    std::mem::take(&mut world.checker.violations)
}

/// Expects a trouble to violate no guarantee, at all rates and on all seeds.
fn expect_limit_kept(during: DuringTrouble, schedule: impl Fn(&mut Trouble<'_>)) {
    for rate in RATES {
        for seed in 0..SEEDS {
            let violations = play((seed, rate), InjectedBug::None, during, &schedule);
            expect_that!(
                violations,
                is_empty(),
                "seed {seed}, {rate} requests per second"
            );
        }
    }
}

/// Guards against two nodes that give out a tenant's tokens at the same time: an owner that is cut
/// off has to stop before its successor begins.
#[gtest]
fn tenant_stays_within_its_limit_while_the_owner_of_its_bucket_is_cut_off() {
    expect_limit_kept(DuringTrouble::HasOwner, |trouble| {
        let owner = trouble.owners[0];
        trouble.during(|is_cut| Fault::Partition(owner, is_cut));
    });
}

/// Guards against an owner that takes what it receives for a proof that it can be heard.
#[gtest]
fn tenant_stays_within_its_limit_while_nothing_of_the_owner_reaches_the_others() {
    expect_limit_kept(DuringTrouble::HasOwner, |trouble| {
        let owner = trouble.owners[0];
        for peer in trouble.owners.clone() {
            trouble.during(|is_cut| Fault::Cut(owner, peer, is_cut));
        }
    });
}

/// Guards against an owner whose votes are renewed although it receives nothing.
#[gtest]
fn tenant_stays_within_its_limit_while_nothing_reaches_the_owner() {
    // Requests that are sent to the back end of the owner are lost, so a part of the granted ones does not run.
    expect_limit_kept(DuringTrouble::Unknown, |trouble| {
        let owner = trouble.owners[0];
        for peer in trouble.owners.clone() {
            trouble.during(|is_cut| Fault::Cut(peer, owner, is_cut));
        }
    });
}

/// Guards against a successor that takes over since it alone has lost the owner.
#[gtest]
fn tenant_stays_within_its_limit_while_only_owner_and_successor_are_separated() {
    expect_limit_kept(DuringTrouble::HasOwner, |trouble| {
        let (owner, successor) = (trouble.owners[0], trouble.owners[1]);
        trouble.separate(&[owner], &[successor]);
    });
}

/// Guards against an owner that counts the few peers that it still reaches as most of them.
#[gtest]
fn tenant_stays_within_its_limit_while_the_owner_reaches_only_some_peers() {
    expect_limit_kept(DuringTrouble::HasOwner, |trouble| {
        let owners = trouble.owners.clone();
        trouble.separate(&owners[..1], &owners[1..6]);
    });
}

/// Guards against an owner that gives out tokens after a pause in which it was succeeded.
#[gtest]
fn tenant_stays_within_its_limit_when_a_frozen_owner_wakes() {
    for pause in [900, 1_400, 2_000, 4_000] {
        expect_limit_kept(DuringTrouble::Unknown, |trouble| {
            let (owner, begin) = (trouble.owners[0], trouble.begin);
            trouble.at(begin, Fault::Pause(owner, begin + pause));
        });
    }
}

/// Guards against a restarted owner that gives out tokens beside its successor.
#[gtest]
fn tenant_stays_within_its_limit_when_the_owner_is_killed_and_started_again() {
    for downtime in [20, 300, 1_000] {
        expect_limit_kept(DuringTrouble::HasOwner, |trouble| {
            let (owner, begin) = (trouble.owners[0], trouble.begin);
            trouble.at(begin, Fault::Kill(owner));
            trouble.at(begin + downtime, Fault::Start(owner));
        });
    }
}

/// Guards against a gap without an owner, or two of them, in a planned stop.
#[gtest]
fn tenant_stays_within_its_limit_when_the_owner_stops() {
    expect_limit_kept(DuringTrouble::HasOwner, |trouble| {
        let (owner, begin) = (trouble.owners[0], trouble.begin);
        trouble.at(begin, Fault::Stop(owner));
    });
}

/// Guards against a node that begins to give out tokens because it comes first in the order, while
/// another one still does.
#[gtest]
fn tenant_stays_within_its_limit_when_a_node_joins_that_comes_first() {
    expect_limit_kept(DuringTrouble::HasOwner, |trouble| {
        let (owner, begin) = (trouble.owners[0], trouble.begin);
        trouble.at(350, Fault::PowerOff(owner));
        trouble.at(begin, Fault::Start(owner));
    });
}

/// Guards against two halves that both give out tokens.
#[gtest]
fn tenant_stays_within_its_limit_while_the_deployment_is_cut_in_halves() {
    // The other back ends of the service that the tenant uses are in the larger half.
    expect_limit_kept(DuringTrouble::HasOwner, |trouble| {
        let owners = trouble.owners.clone();
        let owner = owners[0];
        let is_of_other_service = |host: &usize| host % 3 != owner % 3;
        let others = owners.iter().copied().filter(is_of_other_service).take(3);
        let half: Vec<usize> = others.chain([owner]).collect();
        let rest: Vec<usize> = owners
            .into_iter()
            .filter(|host| !half.contains(host))
            .collect();
        trouble.separate(&half, &rest);
    });
    expect_limit_kept(DuringTrouble::HasOwner, |trouble| {
        let owners = trouble.owners.clone();
        let (half, other) = owners.split_at(5);
        trouble.separate(half, other);
    });
}

/// Guards against thirds that all give out tokens.
#[gtest]
fn tenant_stays_within_its_limit_while_the_deployment_is_cut_in_thirds() {
    expect_limit_kept(DuringTrouble::HasNone, |trouble| {
        let owners = trouble.owners.clone();
        let (first, rest) = owners.split_at(3);
        let (second, third) = rest.split_at(3);
        trouble.separate(first, rest);
        trouble.separate(second, third);
    });
}

/// Guards against overlaps that add up when an owner and then its successor are lost.
#[gtest]
fn tenant_stays_within_its_limit_when_owners_are_lost_one_after_the_other() {
    expect_limit_kept(DuringTrouble::Unknown, |trouble| {
        let owners = trouble.owners.clone();
        let (begin, end) = (trouble.begin, trouble.end);
        for (number, owner) in owners.into_iter().take(3).enumerate() {
            let at = begin + 1_700 * number as u64;
            trouble.at(at, Fault::Partition(owner, true));
            trouble.at(end, Fault::Partition(owner, false));
        }
    });
}

/// Guards against votes that restarted voters have forgotten.
#[gtest]
fn tenant_stays_within_its_limit_when_voters_restart_while_the_owner_is_cut_off() {
    expect_limit_kept(DuringTrouble::Unknown, |trouble| {
        let owners = trouble.owners.clone();
        let (owner, begin) = (owners[0], trouble.begin);
        trouble.during(|is_cut| Fault::Partition(owner, is_cut));
        for voter in owners.into_iter().skip(2) {
            trouble.at(begin + 50, Fault::Kill(voter));
            trouble.at(begin + 150, Fault::Start(voter));
        }
    });
}

/// Milliseconds after the start of all nodes within which tokens must be given out again. Most of it is
/// the interval of the back ends' heartbeats.
const MAX_RESTART_MILLIS: u64 = 2_000;

/// Guards against voters that abstain after a restart of the whole deployment, when no lease can be left.
#[gtest]
fn tokens_are_given_out_soon_after_a_restart_of_all_nodes() {
    for rate in RATES {
        for seed in 0..SEEDS {
            let mut world = world_with_demand(seed, rate, InjectedBug::None);
            let (off, on) = (TROUBLE_RANGE.0, TROUBLE_RANGE.0 + 1_000);
            for host in 0..world.size() {
                let start = on + world.draw(100);
                world.schedule(off, WorldEvent::Fault(Fault::PowerOff(host)));
                world.schedule(start, WorldEvent::Fault(Fault::Start(host)));
            }
            world.run_until(CALLERS_AND_SCENARIO_END.1);
            world.check_limit();
            expect_that!(world.checker.violations, is_empty(), "seed {seed}, {rate}");
            let granted = world
                .checker
                .limited_executions(on, on + MAX_RESTART_MILLIS);
            expect_that!(granted, gt(0), "seed {seed}, {rate} requests per second");
        }
    }
}

/// Guards against a checker that overlooks two owners: forged votes keep an owner that is cut off.
#[gtest]
fn checker_detects_an_owner_that_is_cut_off_and_goes_on() {
    for rate in RATES {
        let violations = play(
            (0, rate),
            InjectedBug::ForgedVotes,
            DuringTrouble::Unknown,
            &|trouble| {
                let owner = trouble.owners[0];
                trouble.during(|is_cut| Fault::Partition(owner, is_cut));
            },
        );
        expect_that!(violations, contains(starts_with("LIMIT")), "{rate}");
    }
}
