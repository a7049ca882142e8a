//! Measures the processor time of selecting a replica group and of voting on a claim.
//!
//! `cargo run --release -p rillgap-core --example claim_cost`
#![allow(
    clippy::disallowed_methods,
    reason = "a measurement of processor time reads the clock"
)]

use std::hint::black_box;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use rillgap_core::claim::electorate::Voter;
use rillgap_core::claim::message::{Claim, GuardId, Round};
use rillgap_core::claim::replica::Replica;
use rillgap_core::claim::settings::ClaimSettings;
use rillgap_core::claim::{Electorate, replica_group};
use rillgap_core::id::{
    AttemptId, CallId, IdempotencyKey, Incarnation, NodeName, RegionName, ViewVersion, ZoneName,
};
use rillgap_core::membership::ActivatedView;
use rillgap_core::time::{Instant, Now, WallTime};
use rillgap_core::view::{Member, View};

const KEYS: u64 = 2_000;
const START_MILLIS: u64 = 1_700_000_000_000;
const INCARNATION: Incarnation = Incarnation(1);

struct StaticElectorate(Vec<ActivatedView>);

impl Electorate for StaticElectorate {
    fn view(&self) -> &Arc<View> {
        &self.0[0].view
    }

    fn may_vote(&self, _now: Now) -> bool {
        true
    }

    fn history(&self) -> &[ActivatedView] {
        &self.0
    }
}

fn static_electorate(nodes: usize, zones: usize) -> StaticElectorate {
    let mut members: Vec<Arc<Member>> = (0..nodes)
        .map(|index| {
            Arc::new(Member {
                name: NodeName::new(format!("node-{index}")),
                zone: ZoneName::new(format!("zone-{}", index % zones)),
                region: RegionName::new("region"),
                incarnation: INCARNATION,
                mesh_address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
            })
        })
        .collect();
    members.sort_by_key(|member| member.id());
    let version = ViewVersion(1);
    StaticElectorate(vec![ActivatedView {
        view: Arc::new(View { version, members }),
        activated_at: WallTime::default(),
    }])
}

fn key(number: u64) -> IdempotencyKey {
    IdempotencyKey(u128::from(START_MILLIS) << 80 | 0x7 << 76 | u128::from(number))
}

fn per_key(work: impl Fn(IdempotencyKey)) -> Duration {
    let begun = std::time::Instant::now();
    for number in 0..KEYS {
        work(key(number));
    }
    begun.elapsed() / KEYS as u32
}

fn vote(electorate: &StaticElectorate, key: IdempotencyKey) {
    let group = replica_group(electorate.view(), key);
    let voter = Voter {
        node: group[0],
        incarnation: INCARNATION,
    };
    let claim = Claim {
        key,
        attempt: AttemptId {
            call: CallId {
                node: group[0],
                incarnation: INCARNATION,
                sequence: 1,
            },
            number: 0,
        },
        round: Round(1),
        guard: GuardId {
            node: group[0],
            incarnation: INCARNATION,
        },
        group,
        protected_micros: 1_000_000,
        replaces: None,
        barred: None,
    };
    let now = Now {
        instant: Instant::default(),
        wall: WallTime::from_millis(START_MILLIS),
    };
    let mut replica = Replica::new(voter);
    black_box(replica.on_claim(now, &claim, &ClaimSettings::default(), electorate));
}

fn main() {
    for (nodes, zones) in [(9, 3), (100, 22), (400, 22), (1_900, 22)] {
        let electorate = static_electorate(nodes, zones);
        let choice = per_key(|key| {
            black_box(replica_group(electorate.view(), key));
        });
        let both = per_key(|key| vote(&electorate, key));
        let vote = both.saturating_sub(choice);
        println!("{nodes} nodes, {zones} zones: group {choice:?}, vote {vote:?}");
    }
}
