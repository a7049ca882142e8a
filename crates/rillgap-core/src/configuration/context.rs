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
pub fn is_configuration_request(request: StoreRequestId) -> bool {
    request.0 & CONFIGURATION_BIT != 0
}

/// Draws identifiers of store request_ids.
#[derive(Debug, Default)]
pub struct StoreRequestIds {
    last: u64,
}

impl StoreRequestIds {
    fn next_id(&mut self) -> StoreRequestId {
        self.last += 1;
        StoreRequestId(CONFIGURATION_BIT | self.last)
    }
}

/// Surroundings of one step: time, peers and the place for actions.
#[derive(Debug)]
pub struct StepContext<'a> {
    /// Monotonic time of the step.
    pub now: Instant,
    /// Whether this node is a member of the view and in touch with others.
    pub may_serve: bool,
    /// Round of questions of the confirmation at the beginning of the step.
    pub round: u64,
    /// Membership.
    pub membership: &'a Membership,
    /// Identifiers of store request_ids.
    pub request_ids: &'a mut StoreRequestIds,
    /// Actions for the driver.
    pub out: &'a mut Outbox,
}

impl StepContext<'_> {
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
    pub fn send_store_request(&mut self, body: StoreRequest) -> StoreRequestId {
        let request = self.request_ids.next_id();
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
