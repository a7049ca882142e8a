//! Configuration: acceptance, spread and confirmation of the policy.
//!
//! The policy is one object in the store. Any node writes it for an operator ([`write`]), by
//! compare-and-set with the identifier of the change. It spreads from node to node ([`spread`]);
//! a few nodes also watch the store ([`watch`]). A change is accepted when every member of the
//! view holds it ([`acceptance`]). A node serves only while its policy is confirmed
//! ([`confirmation`], [`linearizable_read`]). No node goes back to a lower version ([`document::HeldDocument`]).

pub mod acceptance;
pub mod alteration;
pub mod changes;
pub mod confirmation;
pub mod context;
pub mod document;
mod engine;
pub mod linearizable_read;
pub mod lookup;
pub mod message;
pub mod spread;
pub mod watch;
pub mod write;

use std::sync::Arc;

use crate::action::Outbox;
use crate::id::{NodeId, PolicyVersion, ViewVersion};
use crate::membership::Membership;
use crate::node::NodeSettings;
use crate::operator::{OperatorRequest, OperatorRequestId};
use crate::policy::IndexedPolicy;
use crate::store::{StoreReply, StoreRequestId};
use crate::time::{Instant, Now};

use context::{StepContext, StoreRequestIds};
use engine::Engine;
pub use message::ConfigurationMessage;

/// Policy at one node.
#[derive(Debug)]
pub struct Configuration {
    engine: Engine,
    request_ids: StoreRequestIds,
    /// View at the last step; another one may not name this node any more.
    view: ViewVersion,
}

impl Configuration {
    /// Creates the configuration of a fresh node.
    ///
    /// A policy in the settings counts as confirmed for good.
    pub fn new(now: Now, settings: &NodeSettings) -> Self {
        Self {
            engine: Engine::new(now.instant, settings),
            request_ids: StoreRequestIds::default(),
            view: ViewVersion::default(),
        }
    }

    /// Takes note of the time, before anything else is done in a step: after a long gap the
    /// policy is in doubt until it is confirmed again.
    pub fn note_time(&mut self, now: Now) {
        self.engine.note_time(now.instant);
    }

    /// Returns the policy in force, if its version is confirmed.
    pub fn policy(&self) -> Option<&Arc<IndexedPolicy>> {
        self.engine.policy()
    }

    /// Returns the latest version that this node holds, or zero. It never decreases.
    pub fn version(&self) -> PolicyVersion {
        self.engine.version()
    }

    /// Handles a request of an operator; the reply may come later.
    pub fn on_operator(
        &mut self,
        now: Now,
        request: OperatorRequestId,
        body: OperatorRequest,
        membership: &Membership,
        out: &mut Outbox,
    ) {
        let (engine, mut context) = self.split(now, membership, out);
        engine.on_operator(&mut context, request, body);
    }

    /// Handles a message of a peer.
    pub fn on_message(
        &mut self,
        now: Now,
        from: NodeId,
        message: ConfigurationMessage,
        membership: &Membership,
        out: &mut Outbox,
    ) {
        let (engine, mut context) = self.split(now, membership, out);
        engine.on_message(&mut context, from, message);
    }

    /// Handles a reply of the store; returns whether the request was one of configuration's.
    pub fn on_store(
        &mut self,
        now: Now,
        request: StoreRequestId,
        reply: &StoreReply,
        membership: &Membership,
        out: &mut Outbox,
    ) -> bool {
        if !context::is_configuration_request(request) {
            return false;
        }
        let (engine, mut context) = self.split(now, membership, out);
        engine.on_store(&mut context, request, reply);
        true
    }

    /// Does what is due: watches, questions, spread, repair. Cheap if nothing is.
    pub fn poll(&mut self, now: Now, membership: &Membership, out: &mut Outbox) {
        let view = membership.view().version;
        if now.instant < self.engine.next_wake() && view == self.view {
            return;
        }
        self.view = view;
        let (engine, mut context) = self.split(now, membership, out);
        engine.poll(&mut context);
    }

    /// Returns when [`Self::poll`] must be called next.
    pub fn next_wake(&self) -> Option<Instant> {
        Some(self.engine.next_wake())
    }

    fn split<'a>(
        &'a mut self,
        now: Now,
        membership: &'a Membership,
        out: &'a mut Outbox,
    ) -> (&'a mut Engine, StepContext<'a>) {
        let context = StepContext {
            now: now.instant,
            may_serve: membership.may_serve(now),
            round: self.engine.round(),
            membership,
            request_ids: &mut self.request_ids,
            out,
        };
        (&mut self.engine, context)
    }
}
