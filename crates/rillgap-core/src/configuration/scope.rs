//! What the parts of the configuration use in common.

use super::message::ConfigurationMessage;
use crate::action::{Action, Outbox};
use crate::code::ResultCode;
use crate::id::{NodeId, PolicyVersion};
use crate::membership::Membership;
use crate::message::PeerMessage;
use crate::operator::{OperatorReply, OperatorRequestId};
use crate::store::{StoreKey, StoreRequest, StoreRequestId};
use crate::time::Instant;

/// Key of the object that holds the policy.
pub const POLICY_KEY: &str = "rillgap/policy";

/// Marks the store requests of the configuration; those of the membership have this bit clear.
const CONFIGURATION_BIT: u64 = 1 << 63;

/// Returns the key of the object that holds the policy.
pub fn policy_key() -> StoreKey {
    StoreKey(POLICY_KEY.to_owned())
}

/// Returns whether a store request is one of the configuration's.
pub fn is_own(request: StoreRequestId) -> bool {
    request.0 & CONFIGURATION_BIT != 0
}

/// Draws identifiers of store requests.
#[derive(Debug, Default)]
pub struct StoreRequests {
    last: u64,
}

impl StoreRequests {
    fn draw(&mut self) -> StoreRequestId {
        self.last += 1;
        StoreRequestId(CONFIGURATION_BIT | self.last)
    }
}

/// Surroundings of one step: time, peers and the place for actions.
#[derive(Debug)]
pub struct Scope<'a> {
    /// Monotonic time of the step.
    pub now: Instant,
    /// Whether this node is a member of the view and in touch with others.
    pub in_touch: bool,
    /// Round of questions of the confirmation at the beginning of the step.
    pub round: u64,
    /// Membership.
    pub membership: &'a Membership,
    /// Identifiers of store requests.
    pub requests: &'a mut StoreRequests,
    /// Actions for the driver.
    pub out: &'a mut Outbox,
}

impl Scope<'_> {
    /// Sends a message to a member; one that is not in the view gets nothing.
    pub fn send(&mut self, to: NodeId, message: ConfigurationMessage) {
        if let Some(address) = self.membership.address(to) {
            self.out.push(Action::Send {
                to,
                address,
                message: PeerMessage::Configuration(message),
            });
        }
    }

    /// Sends a request to the store.
    pub fn store(&mut self, body: StoreRequest) -> StoreRequestId {
        let request = self.requests.draw();
        self.out.push(Action::Store { request, body });
        request
    }

    /// Gives up a request to the store.
    pub fn cancel_store(&mut self, request: StoreRequestId) {
        self.out.push(Action::CancelStore { request });
    }

    /// Replies to an operator.
    pub fn reply(&mut self, request: OperatorRequestId, reply: OperatorReply) {
        self.out.push(Action::Reply { request, reply });
    }

    /// Tells an operator of a failure.
    pub fn fail(
        &mut self,
        request: OperatorRequestId,
        code: ResultCode,
        version: PolicyVersion,
        detail: impl Into<String>,
    ) {
        let detail = detail.into();
        self.reply(
            request,
            OperatorReply::Failed {
                code,
                version,
                detail,
            },
        );
    }
}
