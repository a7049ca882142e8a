//! Counters of claims, their results and their messages.

/// Counters of the claim protocol at one node since it started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClaimCounters {
    /// Claims that the data path requested, including reassignments to a new attempt.
    pub requested: u64,
    /// Claims that a majority granted.
    pub granted: u64,
    /// Claims that ended with the stored answer of an already completed key.
    pub completed: u64,
    /// Claims that were refused.
    pub refused: u64,
    /// Messages sent to other nodes.
    pub messages_sent: u64,
    /// Messages received from other nodes.
    pub messages_received: u64,
    /// Messages that were dropped because their receiver is in none of the remembered views.
    pub undeliverable: u64,
}
