//! Provides what the parts of the configuration need in a step: time, membership and outputs.

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

/// Bit that is set in the identifiers of the store requests of the configuration and clear in those
/// of the membership.
const CONFIGURATION_BIT: u64 = 1 << 63;

/// Returns the key of the object that holds the policy.
pub fn policy_key() -> StoreKey {
    StoreKey(POLICY_KEY.to_owned())
}

/// Returns whether a store request was sent by the configuration.
pub fn is_configuration_request(request: StoreRequestId) -> bool {
    request.0 & CONFIGURATION_BIT != 0
}

/// Generates the identifiers of store requests.
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

/// Inputs and outputs of one step.
#[derive(Debug)]
pub struct StepContext<'a> {
    /// Monotonic time of the step.
    pub now: Instant,
    /// Whether the membership lets this node serve; see [`Membership::may_serve`].
    pub may_serve: bool,
    /// Query round of the confirmation at the beginning of the step.
    pub round: u64,
    /// Members of the view, their addresses and the versions that they have confirmed.
    pub membership: &'a Membership,
    /// Generator of the identifiers of store requests.
    pub request_ids: &'a mut StoreRequestIds,
    /// Actions that the driver of the node executes.
    pub out: &'a mut Outbox,
}

impl StepContext<'_> {
    /// Sends a message to a member of the view. Drops it if `to` is not a member.
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

    /// Cancels a request to the store.
    pub fn cancel_store(&mut self, request: StoreRequestId) {
        self.out.push(Action::CancelStore { request });
    }

    /// Replies to an operator.
    pub fn reply(&mut self, request: OperatorRequestId, reply: OperatorReply) {
        self.out.push(Action::Reply { request, reply });
    }

    /// Replies to an operator that the request failed; `version` is the latest known one.
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
