//! Where the data path sends its messages.

use std::collections::VecDeque;

use crate::action::Action;
use crate::id::NodeId;
use crate::message::{CallMessage, PeerMessage};
use crate::node::Context;

/// The node's subsystems together with the way to peers and to the node itself.
#[derive(Debug)]
pub struct Ports<'a, 'b> {
    /// Subsystems that the data path consults.
    pub context: &'a mut Context<'b>,
    /// Messages of this node to itself, handled before the event ends.
    pub loopback: &'a mut VecDeque<CallMessage>,
}

impl Ports<'_, '_> {
    /// Sends a message to a node, which may be this one.
    ///
    /// A receiver that is in no view that is still remembered has no address; the message is lost.
    pub fn send(&mut self, to: NodeId, message: CallMessage) {
        if to == self.context.settings.id() {
            self.loopback.push_back(message);
            return;
        }
        if let Some(address) = self.context.membership.answer_address(to) {
            let message = PeerMessage::Call(message);
            self.context.out.push(Action::Send {
                to,
                address,
                message,
            });
        }
    }

    /// Asks the driver for something.
    pub fn emit(&mut self, action: Action) {
        self.context.out.push(action);
    }
}
