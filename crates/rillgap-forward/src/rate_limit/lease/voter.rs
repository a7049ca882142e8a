//! Votes that this node gives to the owners of buckets.

use std::collections::BTreeMap;

use rillgap_core::time::Instant;

use super::{VOTE_LIFETIME, Vote, VoteRequest};

/// What a voter knows of a node.
#[derive(Clone, Debug, Default)]
struct Candidate {
    /// Incarnation that the rest belongs to.
    incarnation: u64,
    /// Number of its latest request: requests on an earlier link may arrive later.
    latest_request: u64,
    /// Until when it may count on a vote for buckets of its own.
    holds_until: Option<Instant>,
    /// When it last requested a vote: a successor must not keep its buckets for good.
    requested_at: Option<Instant>,
    /// Number and time of an answer such that it has not acknowledged any answer from this one on.
    unacknowledged: Option<(u64, Instant)>,
    /// Successors that count on its loss, and until when.
    successors: BTreeMap<u64, Instant>,
    /// When the last vote for a successor ended or will end.
    contested_until: Option<Instant>,
}

impl Candidate {
    /// Returns whether a vote for a successor would be false: the node may own buckets, or wants to.
    fn is_present(&self, now: Instant) -> bool {
        let holds = self.holds_until.is_some_and(|until| now < until);
        let requests = self
            .requested_at
            .is_some_and(|at| now.saturating_since(at) < VOTE_LIFETIME);
        holds || requests
    }

    /// Returns whether answers do not reach the node.
    fn hears_nothing(&self, now: Instant) -> bool {
        self.unacknowledged
            .is_some_and(|(_, since)| now.saturating_since(since) >= VOTE_LIFETIME)
    }

    /// Records a request; returns whether a later one has arrived before.
    fn record_request(&mut self, now: Instant, request: &VoteRequest) -> bool {
        if request.number <= self.latest_request {
            return true;
        }
        self.latest_request = request.number;
        self.unacknowledged
            .take_if(|(number, _)| *number <= request.answered);
        self.unacknowledged.get_or_insert((request.number, now));
        let is_present = request.is_candidate && !self.hears_nothing(now);
        self.requested_at = is_present.then_some(now);
        if !request.is_candidate {
            self.holds_until = None;
        }
        false
    }

    /// Gives the node the vote if nobody counts on its loss.
    fn grant(&mut self, now: Instant) -> bool {
        let is_granted = self.requested_at == Some(now) && !self.has_successor(now);
        if is_granted {
            self.holds_until = Some(now + VOTE_LIFETIME);
        }
        is_granted
    }

    fn has_successor(&self, now: Instant) -> bool {
        self.successors.values().any(|until| now < *until)
    }

    fn add_successor(&mut self, now: Instant, successor: u64) {
        self.successors.retain(|_, until| now < *until);
        self.successors.insert(successor, now + VOTE_LIFETIME);
        self.contested_until = Some(now + VOTE_LIFETIME);
    }

    fn remove_successor(&mut self, now: Instant, successor: u64) {
        if let Some(ended_at) = self.successors.remove(&successor) {
            let remaining = self.successors.values().copied();
            let ended_at = ended_at.min(now);
            self.contested_until = remaining.chain([ended_at]).max();
        }
    }

    /// Returns since when no vote for a successor is in force, as far as a voter knows that started at
    /// this time.
    fn uncontested_since(&self, voter_started_at: Instant) -> Instant {
        self.contested_until
            .unwrap_or_default()
            .max(voter_started_at)
    }
}

/// Votes of this node.
#[derive(Clone, Debug)]
pub struct LeaseVoter {
    started_at: Instant,
    /// Until when votes of an earlier process of this node may be in force.
    abstains_until: Instant,
    candidates: BTreeMap<u64, Candidate>,
}

impl LeaseVoter {
    /// Creates the voter of a process that starts. `is_first_start` says that there was none before.
    pub fn new(now: Instant, is_first_start: bool) -> Self {
        let abstains_until = if is_first_start {
            now
        } else {
            now + VOTE_LIFETIME
        };
        Self {
            started_at: now,
            abstains_until,
            candidates: BTreeMap::new(),
        }
    }

    /// Handles a request of the node with this name hash; `None` if a later one has arrived before.
    pub fn on_request(
        &mut self,
        now: Instant,
        candidate: u64,
        request: &VoteRequest,
    ) -> Option<Vote> {
        let entry = self.candidates.entry(candidate).or_default();
        if entry.record_request(now, request) {
            return None;
        }
        let is_granted = entry.grant(now);
        let uncontested = now.saturating_since(entry.uncontested_since(self.started_at));
        self.release(now, candidate, &request.lost);
        let not_lost = self.record_lost(now, candidate, request, is_granted);
        Some(Vote {
            number: request.number,
            is_granted,
            is_abstaining: now < self.abstains_until,
            held: Vec::new(),
            not_lost,
            uncontested_millis: u32::try_from(uncontested.as_millis()).unwrap_or(u32::MAX),
        })
    }

    /// Records that the process of a node has ended, or that it does not want to own buckets any more.
    pub fn withdraw(&mut self, node: u64) {
        if let Some(candidate) = self.candidates.get_mut(&node) {
            candidate.holds_until = None;
            candidate.requested_at = None;
        }
    }

    /// Records the incarnation of a node: what an earlier one has requested is void.
    pub fn on_incarnation(&mut self, node: u64, incarnation: u64) {
        let candidate = self.candidates.entry(node).or_default();
        if candidate.incarnation != incarnation {
            candidate.incarnation = incarnation;
            candidate.latest_request = 0;
            candidate.unacknowledged = None;
            candidate.holds_until = None;
            candidate.requested_at = None;
        }
    }

    /// Ends the votes of a successor on nodes that are not lost to it any more.
    fn release(&mut self, now: Instant, successor: u64, lost: &[u64]) {
        let held = self
            .candidates
            .iter_mut()
            .filter(|(node, _)| !lost.contains(node));
        for (_, candidate) in held {
            candidate.remove_successor(now, successor);
        }
    }

    /// Records the votes for a successor, and returns the nodes that are present.
    fn record_lost(
        &mut self,
        now: Instant,
        successor: u64,
        request: &VoteRequest,
        is_granted: bool,
    ) -> Vec<u64> {
        let mut not_lost = Vec::new();
        for node in request.lost.iter().copied() {
            let candidate = self.candidates.entry(node).or_default();
            if !is_granted || candidate.is_present(now) {
                not_lost.push(node);
                continue;
            }
            candidate.add_successor(now, successor);
        }
        not_lost
    }
}
