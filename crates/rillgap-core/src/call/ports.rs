//! Access of the data path to the node's other subsystems, and its outputs: messages to peers and
//! to the node itself, and actions for the driver.

use std::collections::VecDeque;

use crate::action::Action;
use crate::id::NodeId;
use crate::message::{CallMessage, PeerMessage};
use crate::node::Context;

/// Access of the data path to the node's other subsystems, and its outputs. These are not network
/// ports.
#[derive(Debug)]
pub struct Ports<'a, 'b> {
    /// Other subsystems, and the actions for the driver.
    pub context: &'a mut Context<'b>,
    /// Messages of this node to itself, handled before the current event is finished.
    pub loopback: &'a mut VecDeque<CallMessage>,
}

impl Ports<'_, '_> {
    /// Sends a message to a node, which may be this one.
    ///
    /// The message is dropped if the receiver is in none of the stored views: its address is
    /// unknown then.
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

    /// Appends an action for the driver.
    pub fn emit(&mut self, action: Action) {
        self.context.out.push(action);
    }
}
