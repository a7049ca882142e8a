//! Configuration: acceptance, spread and confirmation of the policy.

use std::sync::Arc;

use bitcode::{Decode, Encode};

use crate::action::Outbox;
use crate::code::ResultCode;
use crate::id::{NodeId, PolicyVersion};
use crate::membership::Membership;
use crate::node::NodeSettings;
use crate::operator::{OperatorReply, OperatorRequest, OperatorRequestId};
use crate::policy::Policy;
use crate::store::{StoreReply, StoreRequestId};
use crate::time::{Instant, Now};

/// Messages about the policy. (To be filled by the spread protocol.)
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum ConfigurationMessage {
    /// Placeholder until the protocol stands.
    Nothing,
}

/// Policy at one node. (A fixed policy from the settings yet.)
#[derive(Debug)]
pub struct Configuration {
    policy: Option<Arc<Policy>>,
}

impl Configuration {
    /// Creates the configuration of a fresh node.
    pub fn new(_now: Now, settings: &NodeSettings) -> Self {
        Self {
            policy: settings.initial_policy.clone().map(Arc::new),
        }
    }

    /// Returns the policy in force, if its version is confirmed.
    pub fn policy(&self) -> Option<&Arc<Policy>> {
        self.policy.as_ref()
    }

    /// Returns the version in force, or zero.
    pub fn version(&self) -> PolicyVersion {
        self.policy
            .as_ref()
            .map_or(PolicyVersion(0), |policy| policy.version)
    }

    /// Handles a request of an operator; the reply may come later.
    pub fn on_operator(
        &mut self,
        _now: Now,
        request: OperatorRequestId,
        _body: OperatorRequest,
        _membership: &Membership,
        out: &mut Outbox,
    ) {
        out.push(crate::action::Action::Reply {
            request,
            reply: OperatorReply::Failed {
                code: ResultCode::StoreUnavailable,
                version: self.version(),
                detail: String::new(),
            },
        });
    }

    /// Handles a message of a peer.
    pub fn on_message(
        &mut self,
        _now: Now,
        _from: NodeId,
        _message: ConfigurationMessage,
        _membership: &Membership,
        _out: &mut Outbox,
    ) {
    }

    /// Handles a reply of the store; returns whether the request was one of configuration's.
    pub fn on_store(
        &mut self,
        _now: Now,
        _request: StoreRequestId,
        _reply: &StoreReply,
        _membership: &Membership,
        _out: &mut Outbox,
    ) -> bool {
        false
    }

    /// Does what is due: watches, spread, repair.
    pub fn poll(&mut self, _now: Now, _membership: &Membership, _out: &mut Outbox) {}

    /// Returns when [`Self::poll`] must be called next.
    pub fn next_wake(&self) -> Option<Instant> {
        None
    }
}
