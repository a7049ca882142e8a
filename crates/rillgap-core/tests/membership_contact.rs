//! Tests of the contact with its zone that a member needs to serve, while the members of the zone
//! change.

mod membership_support;

use std::time::Duration;

use googletest::prelude::*;
use membership_support::{Mesh, node};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rillgap_core::id::NodeId;
use rillgap_core::membership::timing::{CONTACT_TIMEOUT, REMOVAL_TIMEOUT};
use rillgap_core::membership::{MembershipMessage, StoredView};

const TIMEOUT: Duration = Duration::from_secs(40);
/// Time after a fresh start from which on replicas vote.
const SETTLED: Duration = Duration::from_secs(20);
/// Time for which a node that has left the view goes on before its process ends.
const EXIT_DELAY: Duration = Duration::from_secs(1);
/// Number of nodes in each zone.
const SIZES: [usize; 3] = [3, 3, 1];
/// Zone of the nodes that stop and start again.
const ZONE: usize = 1;
const SEEDS: u64 = 30;

/// Starts three zones whose nodes do not work in phase, and waits until they vote.
fn start(random: &mut ChaCha8Rng) -> Mesh {
    let mut mesh = Mesh::empty();
    for (zone, size) in SIZES.into_iter().enumerate() {
        for number in 0..size {
            mesh.boot(zone, number);
            mesh.run(Duration::from_millis(random.random_range(1..80)));
        }
    }
    mesh.run_until(TIMEOUT, Mesh::has_converged);
    mesh.run(SETTLED);
    mesh
}

/// Returns the member of [`ZONE`] that stays, and the numbers of the others.
fn choose_staying(random: &mut ChaCha8Rng) -> (NodeId, [usize; 2]) {
    let staying = random.random_range(0..3);
    let others = [(staying + 1) % 3, (staying + 2) % 3];
    (node(ZONE, staying), others)
}

/// Stops nodes of [`ZONE`] as planned, one after the other.
fn stop(mesh: &mut Mesh, numbers: [usize; 2]) {
    for number in numbers {
        let stopped = node(ZONE, number);
        let clock = mesh.clock();
        let host = mesh.hosts.get_mut(&stopped).expect("a running node");
        host.membership.leave(clock, &mut Vec::new());
        mesh.run_until(TIMEOUT, |mesh| mesh.membership(stopped).has_left());
        mesh.run(EXIT_DELAY);
        mesh.kill(stopped);
    }
}

/// Starts a node of [`ZONE`], runs until it serves, and returns whether `staying` served all the
/// time.
fn serves_while_started(mesh: &mut Mesh, staying: NodeId, number: usize) -> bool {
    mesh.boot(ZONE, number);
    let end = mesh.now + TIMEOUT;
    let mut always_served = true;
    while !mesh.may_serve(node(ZONE, number)) {
        assert!(mesh.now < end, "not serving in {TIMEOUT:?}");
        mesh.run_watching(Duration::from_millis(100), |mesh| {
            always_served &= mesh.may_serve(staying);
        });
    }
    always_served
}

/// Guards against a member that was alone in its zone and refuses requests when another node joins
/// the zone: it has had no reason yet to contact that node.
#[googletest::test]
fn member_alone_in_its_zone_serves_while_the_others_join_again() {
    for seed in 0..SEEDS {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut mesh = start(&mut random);
        let (staying, others) = choose_staying(&mut random);
        stop(&mut mesh, others);
        mesh.run(CONTACT_TIMEOUT + Duration::from_millis(random.random_range(0..3_000)));
        for number in others {
            let always_served = serves_while_started(&mut mesh, staying, number);
            expect_that!(always_served, eq(true), "seed {seed}, node {number}");
        }
    }
}

/// Guards against the same fault after crashes: most of the zone is silent, so that nobody is
/// removed, and one of the crashed nodes starts again.
#[googletest::test]
fn last_live_member_of_its_zone_serves_while_a_crashed_one_starts_again() {
    for seed in 0..SEEDS {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut mesh = start(&mut random);
        let (staying, others) = choose_staying(&mut random);
        for number in others {
            mesh.kill(node(ZONE, number));
        }
        mesh.run(REMOVAL_TIMEOUT + Duration::from_millis(random.random_range(3_000..6_000)));
        expect_that!(mesh.may_serve(staying), eq(true), "seed {seed}");
        for number in others {
            let always_served = serves_while_started(&mut mesh, staying, number);
            expect_that!(always_served, eq(true), "seed {seed}, node {number}");
        }
    }
}

/// Disconnects a node from all others, in both directions.
fn cut_off(mesh: &mut Mesh, subject: NodeId) {
    let others: Vec<NodeId> = mesh.hosts.keys().copied().collect();
    for other in others {
        mesh.cut(subject, other);
        mesh.cut(other, subject);
    }
}

/// Guards against a removed node that serves: a member that was alone in its zone stops serving
/// before the member that has joined the zone can request its removal as silent.
#[googletest::test]
fn member_that_loses_all_contact_when_its_zone_grows_stops_serving_in_time() {
    for seed in 0..SEEDS {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut mesh = start(&mut random);
        let (staying, others) = choose_staying(&mut random);
        stop(&mut mesh, others);
        mesh.run(CONTACT_TIMEOUT);
        mesh.boot(ZONE, others[0]);
        let joined = node(ZONE, others[0]);
        let end = mesh.now + TIMEOUT;
        while mesh.view(staying).member(joined).is_none() {
            assert!(mesh.now < end, "no join in {TIMEOUT:?}");
            mesh.run(Duration::from_millis(1));
        }
        cut_off(&mut mesh, staying);
        mesh.run(CONTACT_TIMEOUT + Duration::from_millis(1));
        expect_that!(mesh.may_serve(staying), eq(false), "seed {seed}");
    }
}

/// Guards against the same fault when the view with the new member comes late: without a recent
/// contact the node stops serving at once.
#[googletest::test]
fn member_that_has_been_cut_off_stops_serving_when_it_receives_a_view_with_its_zone_grown() {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut mesh = start(&mut random);
    let (staying, others) = choose_staying(&mut random);
    stop(&mut mesh, others);
    let observer = node(0, 0);
    let joined = node(ZONE, others[0]);
    mesh.cut_zone(ZONE);
    mesh.run(CONTACT_TIMEOUT);
    mesh.boot(ZONE, others[0]);
    cut_off(&mut mesh, staying);
    mesh.run_until(TIMEOUT, |mesh| mesh.view(observer).member(joined).is_some());
    expect_that!(mesh.view(staying).member(joined), none());
    expect_that!(mesh.may_serve(staying), eq(true));
    let stored = StoredView {
        view: mesh.view(observer).clone(),
        changes: Vec::new(),
        agreed: mesh.view(staying).version,
    };
    let update = MembershipMessage::FullView(Box::new(stored));
    mesh.receive(observer, staying, update);
    mesh.run(Duration::ZERO);
    expect_that!(mesh.view(staying).member(joined), some(anything()));
    expect_that!(mesh.may_serve(staying), eq(false));
}
