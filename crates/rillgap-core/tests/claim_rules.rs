//! Tests replica groups, guards, rounds and budgets, and the messages and bytes of a claim.

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use rillgap_core::action::{Action, Outbox};
use rillgap_core::claim::message::{AbstainReason, GuardId, KeyHolder, Round, Vote, VoteReply};
use rillgap_core::claim::settings::{
    MAX_ANSWER_BYTES, MAX_ANSWER_STORE_BYTES, MAX_CLOCK_SKEW, MAX_GUARDED_KEYS, MAX_QUORUM_WAIT,
    MAX_ROUNDS, MAX_WAITING_CLAIMS, UNCHARGED_ATTEMPTS,
};
use rillgap_core::claim::{
    ClaimFaults, ClaimMessage, ClaimRequest, ClaimResult, Claims, DispatchGuard, Electorate,
    GuardVerdict, RememberedAnswer, replica_group,
};
use rillgap_core::code::ResultCode;
use rillgap_core::id::{
    AttemptId, BackEndName, CallId, Fingerprint, IdempotencyKey, Incarnation, NodeId, NodeName,
    RegionName, ViewVersion, ZoneName,
};
use rillgap_core::membership::ActivatedView;
use rillgap_core::message::{KeyedAttempt, PeerMessage};
use rillgap_core::policy::Bounds;
use rillgap_core::request::AnswerHead;
use rillgap_core::routing::Target;
use rillgap_core::time::{Instant, Now, WallTime};
use rillgap_core::view::{Member, View};

const START_MILLIS: u64 = 1_700_000_000_000;
const INCARNATION: Incarnation = Incarnation(0x9e37_79b9_7f4a_7c15);

/// Membership with a single view that was activated long ago.
struct StaticMembership {
    history: Vec<ActivatedView>,
}

impl StaticMembership {
    fn new(nodes: usize, zones: usize) -> Self {
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
        let view = Arc::new(View {
            version: ViewVersion(1),
            members,
        });
        let activated_at = WallTime::default();
        Self {
            history: vec![ActivatedView { view, activated_at }],
        }
    }
}

impl Electorate for StaticMembership {
    fn view(&self) -> &Arc<View> {
        &self.history[0].view
    }

    fn may_vote(&self, _now: Now) -> bool {
        true
    }

    fn history(&self) -> &[ActivatedView] {
        &self.history
    }
}

fn at(elapsed: Duration) -> Now {
    let millis = elapsed.as_millis() as u64;
    Now {
        instant: Instant::from_micros(millis * 1_000),
        wall: WallTime::from_millis(START_MILLIS + millis),
    }
}

fn start() -> Now {
    at(Duration::ZERO)
}

fn key(number: u64) -> IdempotencyKey {
    IdempotencyKey(u128::from(START_MILLIS) << 80 | 0x7 << 76 | u128::from(number))
}

fn keyed(number: u64) -> KeyedAttempt {
    KeyedAttempt {
        key: key(number),
        fingerprint: Fingerprint(1),
    }
}

fn attempt(sequence: u64) -> AttemptId {
    AttemptId {
        call: CallId {
            node: NodeId::from_name("entry"),
            incarnation: INCARNATION,
            sequence,
        },
        number: 0,
    }
}

fn request(sequence: u64, target: NodeId) -> ClaimRequest {
    ClaimRequest {
        attempt: attempt(sequence),
        keyed: keyed(0),
        target: Target {
            node: target,
            incarnation: INCARNATION,
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
            back_end: BackEndName::new("back-end"),
        },
        deadline: Instant::from_micros(5_000_000),
    }
}

fn answer(bytes: usize) -> RememberedAnswer {
    RememberedAnswer {
        head: AnswerHead {
            status: 200,
            headers: Vec::new(),
        },
        body: vec![0; bytes],
    }
}

fn vote(claims: &mut Claims, from: NodeId, round: u16, vote: Vote, membership: &StaticMembership) {
    let reply = VoteReply {
        attempt: attempt(1),
        round: Round(round),
        vote,
    };
    let message = ClaimMessage::Vote(Box::new(reply));
    let mut guard = DispatchGuard::default();
    let now = at(Duration::from_millis(u64::from(round) * 20));
    let mut out = Outbox::new();
    claims.poll(now, membership, &mut guard, &mut out);
    claims.on_message(now, from, message, membership, &mut guard, &mut out);
}

#[gtest]
fn replicas_are_in_different_zones() {
    let membership = StaticMembership::new(12, 4);
    for number in 0..1_000 {
        let group = replica_group(membership.view(), key(number));
        let zones: BTreeSet<&ZoneName> = group
            .iter()
            .filter_map(|node| membership.view().member(*node))
            .map(|member| &member.zone)
            .collect();
        expect_that!(zones.len(), eq(3));
    }
}

#[gtest]
fn group_keeps_its_other_replicas_when_a_zone_is_lost() {
    let membership = StaticMembership::new(9, 3);
    let whole = membership.view();
    let mut rest = View::clone(whole);
    rest.members
        .retain(|member| member.zone != ZoneName::new("zone-2"));
    for number in 0..1_000 {
        let before = replica_group(whole, key(number));
        let after = replica_group(&rest, key(number));
        let kept = before.iter().filter(|node| after.contains(node)).count();
        expect_that!((after.len(), kept), eq((3, 2)));
    }
}

#[gtest]
fn group_size_is_odd() {
    let sizes: Vec<usize> = (0..6)
        .map(|nodes| replica_group(StaticMembership::new(nodes, 2).view(), key(0)).len())
        .collect();
    expect_that!(sizes, eq(&vec![0, 1, 1, 3, 3, 3]));
}

#[gtest]
fn guard_starts_a_key_once() {
    let mut guard = DispatchGuard::default();
    let first = guard.start(start(), attempt(1), keyed(0));
    let second = guard.start(start(), attempt(2), keyed(0));
    expect_that!(first, eq(&GuardVerdict::Start));
    expect_that!(second, eq(&GuardVerdict::AlreadyStarted));
}

#[gtest]
fn guard_never_starts_a_barred_attempt() {
    let mut guard = DispatchGuard::default();
    guard.bar(start(), attempt(1), keyed(0));
    let refused = guard.start(start(), attempt(1), keyed(0));
    let other = guard.start(start(), attempt(2), keyed(0));
    expect_that!(refused, eq(&GuardVerdict::Barred));
    expect_that!(other, eq(&GuardVerdict::Start));
}

#[gtest]
fn another_attempt_may_start_a_key_that_the_back_end_refused() {
    let mut guard = DispatchGuard::default();
    guard.start(start(), attempt(1), keyed(0));
    guard.bar(start(), attempt(1), keyed(0));
    let same = guard.start(start(), attempt(1), keyed(0));
    let other = guard.start(start(), attempt(2), keyed(0));
    expect_that!(same, eq(&GuardVerdict::Barred));
    expect_that!(other, eq(&GuardVerdict::Start));
}

#[gtest]
fn full_guard_rejects_new_keys_and_keeps_recorded_ones() {
    let mut guard = DispatchGuard::default();
    for number in 0..MAX_GUARDED_KEYS as u64 {
        guard.start(start(), attempt(number), keyed(number));
    }
    let unknown = guard.start(start(), attempt(0), keyed(u64::MAX));
    let known = guard.start(start(), attempt(7), keyed(0));
    expect_that!(unknown, eq(&GuardVerdict::Full));
    expect_that!(known, eq(&GuardVerdict::AlreadyStarted));
}

#[gtest]
fn dropped_key_is_never_started() {
    let life = Bounds::default().key_life() + 2 * MAX_CLOCK_SKEW;
    let mut guard = DispatchGuard::default();
    guard.start(start(), attempt(1), keyed(0));
    let known = guard.start(at(life), attempt(2), keyed(0));
    let dropped = guard.start(at(life + MAX_CLOCK_SKEW), attempt(3), keyed(0));
    expect_that!(known, eq(&GuardVerdict::AlreadyStarted));
    expect_that!(dropped, eq(&GuardVerdict::Barred));
    expect_true!(guard.is_empty());
}

#[gtest]
fn guard_stores_answers_within_its_limits() {
    let mut guard = DispatchGuard::default();
    for number in 0..2 * (MAX_ANSWER_STORE_BYTES / MAX_ANSWER_BYTES) as u64 {
        guard.start(start(), attempt(number), keyed(number));
        guard.complete(start(), key(number), Some(answer(MAX_ANSWER_BYTES)));
    }
    expect_that!(guard.answer_bytes(), eq(MAX_ANSWER_STORE_BYTES));
    guard.start(start(), attempt(0), keyed(u64::MAX));
    guard.complete(start(), key(u64::MAX), Some(answer(MAX_ANSWER_BYTES + 1)));
    expect_that!(guard.answer_bytes(), eq(MAX_ANSWER_STORE_BYTES));
}

/// Returns whether a late vote of the first round completes a majority in the second round.
///
/// Other attempts hold the key at two replicas in the first round, and the vote of the third
/// arrives in the second round. By then it was released, and may be granted to another attempt.
fn granted_by_a_late_vote(faults: ClaimFaults) -> bool {
    let membership = StaticMembership::new(3, 3);
    let group = replica_group(membership.view(), key(0));
    let mut claims = Claims::new(NodeId(9), INCARNATION);
    claims.inject_faults(faults);
    claims.acquire(
        start(),
        request(1, group[0]),
        &membership,
        &mut Outbox::new(),
    );
    for (sequence, replica) in [(2, group[1]), (3, group[2])] {
        let holder = KeyHolder {
            attempt: attempt(sequence),
            guard: GuardId {
                node: group[0],
                incarnation: INCARNATION,
            },
            protected: true,
            completed: false,
        };
        vote(&mut claims, replica, 1, Vote::Held(holder), &membership);
    }
    let granted = || Vote::Granted { spent: Vec::new() };
    vote(&mut claims, group[2], 2, granted(), &membership);
    vote(&mut claims, group[0], 1, granted(), &membership);
    claims.take_event().is_some()
}

#[gtest]
fn late_vote_of_an_earlier_round_does_not_count() {
    expect_false!(granted_by_a_late_vote(ClaimFaults::default()));
    expect_true!(granted_by_a_late_vote(ClaimFaults {
        ignore_round: true,
        ..ClaimFaults::default()
    }));
}

/// A claim of one attempt on a group of three replicas that vote as the test says.
struct SingleClaim {
    membership: StaticMembership,
    group: Vec<NodeId>,
    claims: Claims,
    now: Now,
    out: Outbox,
}

impl SingleClaim {
    fn begin() -> Self {
        let membership = StaticMembership::new(3, 3);
        let group = replica_group(membership.view(), key(0));
        let mut claims = Claims::new(NodeId(9), INCARNATION);
        let mut out = Outbox::new();
        claims.acquire(start(), request(1, group[0]), &membership, &mut out);
        Self {
            membership,
            group,
            claims,
            now: start(),
            out,
        }
    }

    /// Sends the votes of all replicas in a round.
    fn vote(&mut self, round: u16, votes: [Vote; 3]) {
        for (replica, vote) in self.group.iter().zip(votes) {
            let reply = VoteReply {
                attempt: attempt(1),
                round: Round(round),
                vote,
            };
            let message = ClaimMessage::Vote(Box::new(reply));
            let guard = &mut DispatchGuard::default();
            self.claims.on_message(
                self.now,
                *replica,
                message,
                &self.membership,
                guard,
                &mut self.out,
            );
        }
    }

    /// Handles the timers up to a time; returns the last round in which claims were sent.
    fn run_to(&mut self, elapsed: Duration) -> u16 {
        let guard = &mut DispatchGuard::default();
        while let Some(wake) = self
            .claims
            .next_wake()
            .filter(|wake| *wake <= at(elapsed).instant)
        {
            let now = Now {
                instant: wake,
                ..at(elapsed)
            };
            self.claims
                .poll(now, &self.membership, guard, &mut self.out);
        }
        self.now = at(elapsed);
        self.last_round()
    }

    fn last_round(&self) -> u16 {
        let rounds = self.out.iter().filter_map(|action| match action {
            Action::Send {
                message: PeerMessage::Claim(ClaimMessage::Claim(claim)),
                ..
            } => Some(claim.round.0),
            _ => None,
        });
        rounds.max().unwrap_or(0)
    }

    fn released_rounds(&self) -> BTreeSet<u16> {
        let rounds = self.out.iter().filter_map(|action| match action {
            Action::Send {
                message: PeerMessage::Claim(ClaimMessage::Release(release)),
                ..
            } => Some(release.round.0),
            _ => None,
        });
        rounds.collect()
    }

    fn result(&mut self) -> Option<ClaimResult> {
        self.claims.take_event().map(|event| event.result)
    }
}

fn granted() -> Vote {
    Vote::Granted { spent: Vec::new() }
}

const NO_LEASE: Vote = Vote::Abstained(AbstainReason::NoLease);
const NOT_ELIGIBLE: Vote = Vote::Abstained(AbstainReason::NotEligible);

fn is_refused(result: Option<ClaimResult>, code: ResultCode) -> bool {
    matches!(result, Some(ClaimResult::Refused(refusal)) if refusal.code == code)
}

/// Guards against bookings without a known result when two replicas leave at the same time: a claim
/// must not end while its majority returns by itself.
#[gtest]
fn claim_waits_for_replicas_that_will_vote_again() {
    let mut claim = SingleClaim::begin();
    claim.vote(1, [granted(), NO_LEASE, NO_LEASE]);
    expect_that!(claim.result(), none());
    expect_that!(claim.released_rounds(), eq(&BTreeSet::from([1])));
    let round = claim.run_to(Duration::from_millis(100));
    expect_that!(round, ge(2));
    claim.vote(1, [granted(), granted(), granted()]);
    expect_that!(claim.result(), none(), "votes of an earlier round");
    claim.vote(round, [granted(), granted(), NO_LEASE]);
    let result = claim.result();
    expect_that!(result, some(pat!(ClaimResult::Granted { .. })));
}

/// Guards against requests that are held although no later round can have another result.
#[gtest]
fn claim_is_refused_at_once_without_enough_replicas_that_may_ever_vote() {
    for votes in [
        [granted(), NOT_ELIGIBLE, NOT_ELIGIBLE],
        [NO_LEASE, NOT_ELIGIBLE, NOT_ELIGIBLE],
    ] {
        let mut claim = SingleClaim::begin();
        claim.vote(1, votes);
        expect_true!(is_refused(claim.result(), ResultCode::NoQuorum));
    }
}

/// Guards against requests that are held for longer than their callers would stay away.
#[gtest]
fn claim_waits_for_a_majority_for_at_most_a_second() {
    let mut claim = SingleClaim::begin();
    let mut elapsed = Duration::ZERO;
    let mut result = None;
    while result.is_none() && elapsed < 3 * MAX_QUORUM_WAIT {
        let round = claim.last_round();
        claim.vote(round, [granted(), NO_LEASE, NO_LEASE]);
        elapsed += Duration::from_millis(1);
        claim.run_to(elapsed);
        result = claim.result();
    }
    expect_true!(is_refused(result, ResultCode::NoQuorum));
    expect_that!(
        elapsed,
        all![
            ge(MAX_QUORUM_WAIT / 2),
            le(MAX_QUORUM_WAIT + Duration::from_millis(5))
        ]
    );
    expect_that!(claim.last_round(), le(MAX_ROUNDS));
}

/// Guards against a pile of waiting requests, and of messages for them, while many replicas are gone.
#[gtest]
fn number_of_claims_that_wait_for_a_majority_is_bounded() {
    let membership = StaticMembership::new(3, 3);
    let group = replica_group(membership.view(), key(0));
    let mut claims = Claims::new(NodeId(9), INCARNATION);
    let mut refused = 0;
    for sequence in 0..MAX_WAITING_CLAIMS as u64 + 10 {
        let request = request(sequence, group[0]);
        claims.acquire(start(), request, &membership, &mut Outbox::new());
        for replica in &group {
            let reply = VoteReply {
                attempt: attempt(sequence),
                round: Round(1),
                vote: NO_LEASE,
            };
            let message = ClaimMessage::Vote(Box::new(reply));
            let guard = &mut DispatchGuard::default();
            claims.on_message(
                start(),
                *replica,
                message,
                &membership,
                guard,
                &mut Outbox::new(),
            );
        }
        refused += usize::from(is_refused(
            claims.take_event().map(|event| event.result),
            ResultCode::NoQuorum,
        ));
    }
    expect_that!(refused, eq(10));
}

#[gtest]
fn retries_of_a_key_share_one_budget() {
    let membership = StaticMembership::new(1, 1);
    let node = membership.view().members[0].id();
    let mut claims = Claims::new(node, INCARNATION);
    let mut results = Vec::new();
    let max_attempts = 1 + usize::from(Bounds::default().extra_attempts) + UNCHARGED_ATTEMPTS;
    for sequence in 0..=max_attempts as u64 {
        let mut out = Outbox::new();
        claims.acquire(start(), request(sequence, node), &membership, &mut out);
        results.push(claims.take_event().map(|event| event.result));
        claims.release(start(), attempt(sequence), &membership, &mut out);
    }
    let budgets: Vec<u8> = results
        .iter()
        .filter_map(|result| match result {
            Some(ClaimResult::Granted { budget }) => Some(*budget),
            _ => None,
        })
        .collect();
    expect_that!(budgets, eq(&vec![4, 3, 2, 1, 0, 0, 0, 0]));
    expect_that!(
        results.last(),
        some(some(pat!(ClaimResult::Refused(field!(
            &rillgap_core::request::Refusal.code,
            eq(ResultCode::RetryBudgetSpent)
        )))))
    );
}

/// Counts the messages and bytes of one request whose entry node is not a replica of its key.
#[gtest]
fn claim_costs_nine_messages_and_at_most_1000_bytes() {
    let membership = StaticMembership::new(4, 4);
    let group = replica_group(membership.view(), key(0));
    let non_replica = membership
        .view()
        .members
        .iter()
        .map(|member| member.id())
        .find(|node| !group.contains(node));
    let entry = non_replica.expect("fourth node exists");
    let mut claims = Claims::new(entry, INCARNATION);
    let mut guard = DispatchGuard::default();
    let (mut messages, mut bytes) = (0, 0);
    let mut out = Outbox::new();
    claims.acquire(start(), request(1, group[0]), &membership, &mut out);
    let mut votes = Vec::new();
    for (to, message) in sent(out) {
        (messages, bytes) = (messages + 1, bytes + size_of_message(&message));
        let mut replica = Claims::new(to, INCARNATION);
        let mut replies = Outbox::new();
        let PeerMessage::Claim(message) = message else {
            continue;
        };
        replica.on_message(
            start(),
            entry,
            message,
            &membership,
            &mut guard,
            &mut replies,
        );
        votes.extend(sent(replies).into_iter().map(|(_, reply)| (to, reply)));
    }
    for (from, reply) in votes {
        (messages, bytes) = (messages + 1, bytes + size_of_message(&reply));
        if let PeerMessage::Claim(reply) = reply {
            let mut unused = Outbox::new();
            claims.on_message(start(), from, reply, &membership, &mut guard, &mut unused);
        }
    }
    expect_that!(
        claims.take_event().map(|event| event.result),
        some(eq(&ClaimResult::Granted { budget: 4 }))
    );
    let mut out = Outbox::new();
    claims.complete(start(), attempt(1), &membership, &mut out);
    for (_, message) in sent(out) {
        (messages, bytes) = (messages + 1, bytes + size_of_message(&message));
    }
    println!("{messages} messages, {bytes} bytes, 1 round trip");
    expect_that!(messages, eq(9));
    expect_that!(bytes, le(1_000));
}

fn sent(out: Outbox) -> Vec<(NodeId, PeerMessage)> {
    out.into_iter()
        .filter_map(|action| match action {
            Action::Send { to, message, .. } => Some((to, message)),
            _ => None,
        })
        .collect()
}

fn size_of_message(message: &PeerMessage) -> usize {
    bitcode::encode(message).len()
}
