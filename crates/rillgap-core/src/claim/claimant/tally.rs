//! Counts the votes of one round and evaluates them.

use std::collections::BTreeSet;

use crate::claim::message::{KeyHolder, Vote};
use crate::claim::record::BallotRecord;
use crate::id::{AttemptId, NodeId};
use crate::view::View;

/// Votes of one round.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    ballots: Vec<Ballot>,
}

/// One replica and its vote; `None` until the vote is received.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Ballot {
    replica: NodeId,
    vote: Option<Vote>,
}

/// Result of the votes of a round.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Conclusion {
    /// Undecided: outstanding votes may change the result.
    Open,
    /// A majority granted the claim.
    Won {
        /// Number of attempts that held the key before and have provably not run.
        spent: usize,
    },
    /// No majority is possible because another attempt holds the key at some replicas.
    Lost {
        /// Holder reported by the most replicas, a completed one first.
        holder: KeyHolder,
        /// Whether a majority of the group reported it.
        by_majority: bool,
    },
    /// The attempt was released, replaced or barred.
    Dead,
    /// No majority is possible because replicas abstain or do not reply.
    NoQuorum,
}

impl Tally {
    /// Creates the tally of a new round without votes.
    pub fn new(group: &[NodeId]) -> Self {
        let ballots = group
            .iter()
            .map(|replica| Ballot {
                replica: *replica,
                vote: None,
            })
            .collect();
        Self { ballots }
    }

    /// Records a vote; only the first vote of a replica counts.
    pub fn record(&mut self, replica: NodeId, vote: Vote) {
        let ballot = self
            .ballots
            .iter_mut()
            .find(|ballot| ballot.replica == replica);
        if let Some(ballot) = ballot {
            ballot.vote.get_or_insert(vote);
        }
    }

    /// Returns the replicas, named by the view that determined them, with their votes, for logs.
    pub fn records(&self, view: &View) -> Vec<BallotRecord> {
        self.ballots
            .iter()
            .map(|ballot| BallotRecord {
                replica: view.name_of(ballot.replica),
                vote: ballot.vote.clone(),
            })
            .collect()
    }

    /// Returns the replicas whose votes are missing.
    pub fn missing(&self) -> impl Iterator<Item = NodeId> {
        self.ballots
            .iter()
            .filter(|ballot| ballot.vote.is_none())
            .map(|ballot| ballot.replica)
    }

    /// Evaluates the votes; `closed` if no further votes will be counted.
    pub fn conclude(&self, closed: bool) -> Conclusion {
        let granted = self.granted();
        if granted >= self.majority() && granted > 0 {
            return Conclusion::Won {
                spent: self.spent(),
            };
        }
        let votes = || {
            self.ballots
                .iter()
                .filter_map(|ballot| ballot.vote.as_ref())
        };
        if votes().any(|vote| *vote == Vote::Dead) {
            return Conclusion::Dead;
        }
        let missing = self.missing().count();
        if !closed && granted + missing >= self.majority() {
            return Conclusion::Open;
        }
        if let Some((holder, count)) = self.most_named_holder() {
            return Conclusion::Lost {
                holder,
                by_majority: count >= self.majority(),
            };
        }
        // A replica that has not replied yet may report the holder of the key.
        if !closed && missing > 0 {
            return Conclusion::Open;
        }
        Conclusion::NoQuorum
    }

    /// Returns whether a later round may have a majority: enough replicas granted the claim or
    /// abstained for a reason that ends by itself. Those that did not reply are not counted.
    pub fn may_win_later(&self) -> bool {
        let may_grant = |ballot: &&Ballot| match &ballot.vote {
            Some(Vote::Granted { .. }) => true,
            Some(Vote::Abstained(reason)) => reason.is_temporary(),
            Some(Vote::Held(_) | Vote::Dead) | None => false,
        };
        self.ballots.iter().filter(may_grant).count() >= self.majority()
    }

    const fn majority(&self) -> usize {
        self.ballots.len() / 2 + 1
    }

    fn granted(&self) -> usize {
        self.ballots
            .iter()
            .filter(|ballot| matches!(ballot.vote, Some(Vote::Granted { .. })))
            .count()
    }

    fn spent(&self) -> usize {
        let attempts: BTreeSet<AttemptId> = self
            .ballots
            .iter()
            .filter_map(|ballot| match &ballot.vote {
                Some(Vote::Granted { spent }) => Some(spent),
                _ => None,
            })
            .flatten()
            .copied()
            .collect();
        attempts.len()
    }

    /// Returns the holder that the most replicas report and their number, a completed one first.
    fn most_named_holder(&self) -> Option<(KeyHolder, usize)> {
        let holders: Vec<KeyHolder> = self
            .ballots
            .iter()
            .filter_map(|ballot| match &ballot.vote {
                Some(Vote::Held(holder)) => Some(*holder),
                _ => None,
            })
            .collect();
        holders
            .iter()
            .map(|holder| {
                let naming = holders
                    .iter()
                    .filter(|other| other.attempt == holder.attempt);
                (merge(naming.clone()), naming.count())
            })
            .map(|(holder, count)| (holder.unwrap_or(holders[0]), count))
            .max_by_key(|(holder, count)| (holder.completed, *count, holder.attempt))
    }
}

/// Merges the reports of several replicas on one holder: it is protected if any report says so, and
/// completed if any report says so.
fn merge<'a>(named: impl Iterator<Item = &'a KeyHolder>) -> Option<KeyHolder> {
    named.copied().reduce(|first, second| KeyHolder {
        protected: first.protected || second.protected,
        completed: first.completed || second.completed,
        ..first
    })
}
