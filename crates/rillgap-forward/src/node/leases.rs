//! Leases on the token buckets that this node owns, and its votes for other owners.

use std::collections::BTreeSet;

use rillgap_core::time::Instant;

use super::Node;
use crate::action::{Action, Actions};
use crate::id::LinkId;
use crate::log_record::LogRecord;
use crate::message::{LinkMessage, Status};
use crate::rate_limit::lease::{Vote, VoteRequest, VoteStanding, VoterId};
use crate::rate_limit::ownership::{Owner, TenantHash};
use crate::watcher_election::name_hash;

/// Number of votes beyond a majority that are renewed, so that single late ones do not end a lease.
const SPARE_VOTES: usize = 2;

impl Node {
    /// Returns the owner of a tenant's bucket: this node only if it holds the lease.
    pub(super) fn bucket_owner(
        &mut self,
        now: Instant,
        hash: TenantHash,
        tenant: &str,
        out: &mut Actions,
    ) -> Owner {
        let owner = self
            .directory
            .bucket_owner(hash, self.can_own_buckets_since);
        let Owner::Local { since } = owner else {
            self.leases.yield_to_other(now, hash);
            return owner;
        };
        self.leases.want(now, hash, tenant);
        let mut lease = self.lease(now, hash);
        if lease.is_none() {
            self.request_votes(now, out);
            lease = self.lease(now, hash);
        }
        match lease {
            Some(lease_since) => Owner::Local {
                since: since.max(lease_since),
            },
            None if self.leases.is_unavailable(now, hash) => Owner::Unavailable,
            None => Owner::Unconfirmed,
        }
    }

    /// Returns since when this node has held the lease on a bucket; `None` if it does not hold it.
    fn lease(&mut self, now: Instant, tenant: TenantHash) -> Option<Instant> {
        let electorate = self.directory.electorate(tenant);
        let lost = self.directory.lost_predecessors(tenant);
        let directory = &self.directory;
        let processes = |peer| directory.voter_process(now, peer);
        self.leases
            .lease(now, tenant, &electorate, &lost, processes)
    }

    /// Requests votes for the buckets that this node wants to own, if a round is due.
    pub(super) fn request_votes(&mut self, now: Instant, out: &mut Actions) {
        if self.leases.next_wake().is_none_or(|due| now < due) {
            return;
        }
        let wanted = self.still_wanted(now);
        if self.directory.set_wanted_buckets(wanted.clone()) {
            self.open_links(now, out);
        }
        let mut lost = BTreeSet::new();
        let mut voters = BTreeSet::new();
        let mut missing = Vec::new();
        for tenant in wanted {
            let is_held = self.lease(now, tenant).is_some();
            self.report_lease(now, tenant, is_held, out);
            if !is_held {
                missing.push(tenant);
            }
            let predecessors = self.directory.lost_predecessors(tenant);
            lost.extend(predecessors.iter().map(|node| node.name_hash));
            voters.extend(self.voters_to_ask(now, tenant));
        }
        let lost: Vec<u64> = lost.into_iter().collect();
        if self.leases.begin_round(now, &lost, missing.is_empty()) {
            voters.extend(self.leases.voters(now));
        }
        for voter in voters {
            self.request_vote(now, voter, &lost, &missing, out);
        }
    }

    /// Returns the wanted buckets that this node should still own.
    fn still_wanted(&mut self, now: Instant) -> Vec<TenantHash> {
        let offers_since = self.can_own_buckets_since;
        let mut wanted = self.leases.wanted(now);
        wanted.retain(|tenant| {
            let owner = self.directory.bucket_owner(*tenant, offers_since);
            let is_local = matches!(owner, Owner::Local { .. });
            if !is_local {
                self.leases.yield_to_other(now, *tenant);
            }
            is_local
        });
        wanted
    }

    /// Returns the voters whose votes are needed: all if there is no majority, otherwise a majority and some
    /// more, those that have voted before first.
    fn voters_to_ask(&mut self, now: Instant, tenant: TenantHash) -> Vec<VoterId> {
        let electorate = self.directory.electorate(tenant);
        let with_votes: BTreeSet<VoterId> = self.leases.voters(now).collect();
        let mut voters = electorate.to_vec();
        voters.retain(|voter| self.is_reachable(*voter));
        if self.vote_standing(now, tenant).is_majority() {
            voters.sort_by_key(|voter| !with_votes.contains(voter));
            voters.truncate(electorate.len() / 2 + 1 + SPARE_VOTES);
        }
        voters
    }

    fn is_reachable(&self, voter: VoterId) -> bool {
        voter
            .peer()
            .is_none_or(|index| self.directory.peer(index).open_link().is_some())
    }

    fn request_vote(
        &mut self,
        now: Instant,
        voter: VoterId,
        lost: &[u64],
        wanted: &[TenantHash],
        out: &mut Actions,
    ) {
        let request = self.leases.request(now, voter, lost, wanted);
        let Some(index) = voter.peer() else {
            let own_hash = name_hash(&self.settings.record.name);
            if let Some(vote) = self.lease_voter.on_request(now, own_hash, &request) {
                self.leases.on_vote(now, voter, &vote);
            }
            return;
        };
        if let Some(link) = self.directory.peer(index).open_link() {
            let message = LinkMessage::VoteRequest(request);
            out.push(Action::SendOnLink { link, message });
        }
    }

    fn report_lease(&mut self, now: Instant, tenant: TenantHash, is_held: bool, out: &mut Actions) {
        let Some(change) = self.leases.record_standing(now, tenant, is_held) else {
            return;
        };
        out.push(Action::Log(LogRecord::BucketLease {
            tenant: change.tenant,
            is_held: change.is_held,
            standing: self.vote_standing(now, tenant),
            lost: self.directory.lost_predecessors(tenant).len(),
        }));
    }

    /// Counts the votes in force for a bucket.
    fn vote_standing(&mut self, now: Instant, tenant: TenantHash) -> VoteStanding {
        let electorate = self.directory.electorate(tenant);
        let lost = self.directory.lost_predecessors(tenant);
        let directory = &self.directory;
        let processes = |peer| directory.voter_process(now, peer);
        self.leases.standing(now, &electorate, &lost, processes)
    }

    pub(super) fn on_vote_request(
        &mut self,
        now: Instant,
        link: LinkId,
        request: &VoteRequest,
        out: &mut Actions,
    ) {
        let Some(peer) = self.directory.by_link(link) else {
            return;
        };
        let candidate = peer.name_hash();
        if let Some(mut vote) = self.lease_voter.on_request(now, candidate, request) {
            let wanted = request.wanted.iter().copied();
            vote.held = wanted
                .filter(|tenant| self.lease(now, *tenant).is_some())
                .collect();
            let message = LinkMessage::Vote(vote);
            out.push(Action::SendOnLink { link, message });
        }
    }

    pub(super) fn on_vote(&mut self, now: Instant, link: LinkId, vote: &Vote) {
        if let Some(index) = self.directory.index_by_link(link) {
            self.leases.on_vote(now, VoterId::Peer(index), vote);
        }
    }

    /// Handles what the status of a peer says about its offer to own buckets.
    pub(super) fn observe_offer(&mut self, now: Instant, link: LinkId, status: &Status) {
        let Some(peer) = self.directory.by_link(link) else {
            return;
        };
        let has_offered = peer.status().can_own_buckets;
        let hash = peer.name_hash();
        match (has_offered, status.can_own_buckets) {
            (_, false) => self.lease_voter.withdraw(hash),
            (false, true) => self.leases.hasten_round(now),
            (true, true) => {}
        }
    }

    /// Handles a new link to a node of this incarnation.
    pub(super) fn observe_incarnation(&mut self, now: Instant, node: &str, incarnation: u64) {
        self.lease_voter
            .on_incarnation(name_hash(node), incarnation);
        self.leases.hasten_round(now);
    }
}
