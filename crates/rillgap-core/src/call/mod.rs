//! The data path: inbound calls, attempts at other nodes, and the local back end.

use crate::claim::DispatchGuard;
use crate::event::Event;
use crate::id::NodeId;
use crate::message::CallMessage;
use crate::node::{Context, NodeSettings};
use crate::time::{Instant, Now};

/// The data path of one node.
#[derive(Debug, Default)]
pub struct CallPath {
    guard: DispatchGuard,
}

impl CallPath {
    /// Creates the data path of a fresh node.
    pub fn new(_settings: &NodeSettings) -> Self {
        Self::default()
    }

    /// Handles an event of a caller or of the local back end.
    pub fn handle(&mut self, _now: Now, _event: Event, _context: &mut Context<'_>) {}

    /// Handles a message of a peer.
    pub fn on_message(
        &mut self,
        _now: Now,
        _from: NodeId,
        _message: CallMessage,
        _context: &mut Context<'_>,
    ) {
    }

    /// Does what is due: claims that were settled, deadlines, queue decisions.
    pub fn settle(&mut self, _now: Now, _context: &mut Context<'_>) {}

    /// Stops taking new requests.
    pub fn begin_stop(&mut self, _now: Now, _context: &mut Context<'_>) {}

    /// Returns whether nothing is in flight.
    pub fn is_idle(&self) -> bool {
        true
    }

    /// Returns the guard beside the back end.
    pub fn guard_mut(&mut self) -> &mut DispatchGuard {
        &mut self.guard
    }

    /// Returns when [`Self::settle`] must be called next.
    pub fn next_wake(&self) -> Option<Instant> {
        None
    }
}
