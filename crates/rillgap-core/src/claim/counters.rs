//! Counts of what claims cost.

/// Counts of what claims cost at one node, since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClaimCounters {
    /// Claims that the data path asked for, moved ones included.
    pub acquired: u64,
    /// Claims that were granted.
    pub granted: u64,
    /// Keys whose remembered answer was given.
    pub completed: u64,
    /// Claims that were refused.
    pub refused: u64,
    /// Messages sent to other nodes.
    pub messages_sent: u64,
    /// Messages received from other nodes.
    pub messages_received: u64,
    /// Messages that were not sent because their receiver is not a member.
    pub undeliverable: u64,
}
