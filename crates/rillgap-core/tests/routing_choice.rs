//! Tests of the selection of a back end.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use rillgap_core::admission::LoadReport;
use rillgap_core::id::{
    BackEndName, Incarnation, NodeName, RegionName, ServiceName, ViewVersion, ZoneName,
};
use rillgap_core::policy::{BackEndPolicy, BackEndState, IndexedPolicy, Policy};
use rillgap_core::routing::{Candidates, Router, Target, TargetResult};
use rillgap_core::time::Instant;
use rillgap_core::view::{Member, View};

const ZONES: [&str; 3] = ["hall-a", "hall-b", "hall-c"];
const LATENCY: Duration = Duration::from_millis(10);

fn at(millis: u64) -> Instant {
    Instant::from_micros(millis * 1_000)
}

/// The service `takst` with back ends in three zones; the routing node is in `hall-a`.
struct Deployment {
    policy: Policy,
    view: View,
    zone: ZoneName,
    service: ServiceName,
}

impl Deployment {
    fn new(per_zone: usize) -> Self {
        let service = ServiceName::new("takst");
        let mut policy = Policy::default();
        let mut members = Vec::new();
        for (index, zone) in ZONES.iter().enumerate() {
            for number in 0..per_zone {
                let name = format!("{zone}-{number}");
                let node = NodeName::new(format!("node-{name}"));
                let port = (7_000 + index * 100 + number) as u16;
                policy.back_ends.push(BackEndPolicy {
                    name: BackEndName::new(name),
                    service: service.clone(),
                    node: node.clone(),
                    state: BackEndState::Serving,
                });
                members.push(Arc::new(Member {
                    name: node,
                    zone: ZoneName::new(*zone),
                    region: RegionName::new("trondheim"),
                    incarnation: Incarnation(1),
                    mesh_address: SocketAddr::from((Ipv4Addr::LOCALHOST, port)),
                }));
            }
        }
        members.sort_by_key(|member| member.id());
        let view = View {
            version: ViewVersion(1),
            members,
        };
        Self {
            policy,
            view,
            zone: ZoneName::new("hall-a"),
            service,
        }
    }

    fn pick(&self, router: &mut Router, now: Instant) -> Target {
        let policy = IndexedPolicy::new(self.policy.clone());
        let candidates = Candidates {
            policy: &policy,
            view: &self.view,
            zone: &self.zone,
        };
        router
            .pick(now, candidates, &self.service, &[])
            .expect("a back end")
    }

    /// Sends `calls` calls one after another and counts them by back end.
    fn count_picks(&self, router: &mut Router, now: Instant, calls: u32) -> BTreeMap<String, u32> {
        let mut counts = BTreeMap::new();
        for _ in 0..calls {
            let target = self.pick(router, now);
            router.on_started(now, &target);
            router.on_finished(now, &target, LATENCY, TargetResult::Answered);
            *counts.entry(target.back_end.0).or_default() += 1;
        }
        counts
    }

    fn fail(&self, router: &mut Router, now: Instant, back_end: &str, times: u32) {
        let target = self.target(back_end);
        for _ in 0..times {
            router.on_started(now, &target);
            router.on_finished(now, &target, LATENCY, TargetResult::Failed);
        }
    }

    fn target(&self, back_end: &str) -> Target {
        let node = NodeName::new(format!("node-{back_end}"));
        let member = self.view.member(node.id()).expect("a member");
        Target {
            node: member.id(),
            incarnation: member.incarnation,
            address: member.mesh_address,
            back_end: BackEndName::new(back_end),
        }
    }
}

fn report(running: u32, limit: u32) -> LoadReport {
    LoadReport {
        running,
        limit,
        ..LoadReport::default()
    }
}

#[gtest]
fn own_zone_is_preferred_while_it_has_capacity() {
    let deployment = Deployment::new(2);
    let mut router = Router::new(7);
    let counts = deployment.count_picks(&mut router, at(0), 200);
    let own: u32 = counts
        .iter()
        .filter(|(name, _)| name.starts_with("hall-a"))
        .map(|(_, count)| count)
        .sum();
    expect_that!(own, eq(200));
    expect_that!(counts["hall-a-0"], gt(50));
    expect_that!(counts["hall-a-1"], gt(50));
}

#[gtest]
fn load_spills_over_when_the_own_zone_is_full() {
    let deployment = Deployment::new(1);
    let mut router = Router::new(7);
    deployment.count_picks(&mut router, at(0), 1);
    for zone in ["hall-b-0", "hall-c-0"] {
        router.on_started(at(0), &deployment.target(zone));
        router.on_finished(
            at(0),
            &deployment.target(zone),
            LATENCY,
            TargetResult::Answered,
        );
        router.on_load_report(at(0), &BackEndName::new(zone), &report(2, 10));
    }
    router.on_load_report(at(0), &BackEndName::new("hall-a-0"), &report(10, 10));
    let counts = deployment.count_picks(&mut router, at(1), 100);
    expect_that!(counts.get("hall-a-0"), none());
    expect_that!(counts["hall-b-0"], gt(20));
    expect_that!(counts["hall-c-0"], gt(20));
}

#[gtest]
fn leaving_back_end_is_never_chosen() {
    let mut deployment = Deployment::new(1);
    deployment.policy.back_ends[0].state = BackEndState::Leaving;
    let counts = deployment.count_picks(&mut Router::new(7), at(0), 100);
    expect_that!(counts.get("hall-a-0"), none());
}

#[gtest]
fn failing_back_end_is_ejected_and_probed() {
    let deployment = Deployment::new(1);
    let mut router = Router::new(7);
    deployment.fail(&mut router, at(0), "hall-a-0", 5);
    expect_that!(
        deployment
            .count_picks(&mut router, at(1), 50)
            .get("hall-a-0"),
        none()
    );
    let probe = deployment.pick(&mut router, at(300));
    expect_that!(probe.back_end.as_str(), eq("hall-a-0"));
    router.on_started(at(300), &probe);
    let meanwhile = deployment.pick(&mut router, at(301));
    expect_that!(meanwhile.back_end.as_str(), not(eq("hall-a-0")));
    router.on_finished(at(310), &probe, LATENCY, TargetResult::Answered);
    expect_that!(
        deployment
            .count_picks(&mut router, at(311), 50)
            .get("hall-a-0"),
        some(gt(&0))
    );
}

#[gtest]
fn failures_of_all_back_ends_eject_none() {
    let deployment = Deployment::new(1);
    let mut router = Router::new(7);
    for zone in ZONES {
        deployment.fail(&mut router, at(0), &format!("{zone}-0"), 5);
    }
    deployment.pick(&mut router, at(1));
}

#[gtest]
fn same_seed_makes_the_same_choices() {
    let deployment = Deployment::new(3);
    let choices = |seed| {
        let mut router = Router::new(seed);
        (0..50)
            .map(|now| deployment.pick(&mut router, at(now)).back_end.0)
            .collect::<Vec<_>>()
    };
    expect_that!(choices(3), eq(&choices(3)));
    expect_that!(choices(3), not(eq(&choices(4))));
}
