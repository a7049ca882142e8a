//! Counts the votes of one round and tells what they mean.

use std::collections::BTreeSet;

use crate::claim::message::{AbstainReason, KeyHolder, Vote};
use crate::id::{AttemptId, NodeId};

/// Votes of one round.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    ballots: Vec<Ballot>,
}

/// One replica and its vote, if it has come.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Ballot {
    replica: NodeId,
    vote: Option<Vote>,
}

/// What the votes of a round mean.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Conclusion {
    /// Votes that may still come decide.
    Open,
    /// A majority granted the claim; these attempts held the key before.
    Won {
        /// Attempts that held the key before and have provably not run.
        spent: usize,
    },
    /// No majority can be had because another attempt holds the key at some replicas.
    Lost {
        /// The attempt that most of them name.
        holder: KeyHolder,
        /// Whether a majority names it.
        by_majority: bool,
    },
    /// The attempt was barred or given back.
    Dead,
    /// No majority can be had because replicas abstain or do not answer.
    NoQuorum,
}

impl Tally {
    /// Creates the tally of a round in which nobody has voted yet.
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

    /// Records a vote; the first of a replica counts.
    pub fn record(&mut self, replica: NodeId, vote: Vote) {
        let ballot = self
            .ballots
            .iter_mut()
            .find(|ballot| ballot.replica == replica);
        if let Some(ballot) = ballot {
            ballot.vote.get_or_insert(vote);
        }
    }

    /// Returns the replicas whose votes have not come.
    pub fn missing(&self) -> impl Iterator<Item = NodeId> {
        self.ballots
            .iter()
            .filter(|ballot| ballot.vote.is_none())
            .map(|ballot| ballot.replica)
    }

    /// Returns what the votes mean; `closed` if no more are waited for.
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
        // A replica that is yet to answer may know what became of the key.
        if !closed && missing > 0 {
            return Conclusion::Open;
        }
        Conclusion::NoQuorum
    }

    /// Returns whether a replica abstained because its membership view is another one.
    pub fn views_differ(&self) -> bool {
        self.ballots
            .iter()
            .any(|ballot| ballot.vote == Some(Vote::Abstained(AbstainReason::DifferentGroup)))
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

    /// Returns the holder that most replicas name, a completed one first.
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

/// Joins what several replicas say of one holder: protected if one says so, completed likewise.
fn merge<'a>(named: impl Iterator<Item = &'a KeyHolder>) -> Option<KeyHolder> {
    named.copied().reduce(|first, second| KeyHolder {
        protected: first.protected || second.protected,
        completed: first.completed || second.completed,
        ..first
    })
}
