//! Writes the policy to the store, spreads it to all nodes and confirms it at each of them.
//!
//! The policy is one object in the store. Rules:
//!
//! - Any node can write it for an operator, by compare-and-set and together with the identifier of
//!   the change ([`write`](mod@write)).
//! - It spreads from node to node ([`spread`]); a few nodes also watch the store ([`watch`]).
//! - A change is accepted when every member of the view holds it ([`acceptance`]).
//! - A node serves only while its policy is confirmed ([`confirmation`], [`linearizable_read`]).
//! - No node replaces its policy by one of a lower version ([`document::HeldDocument`]).

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

/// Policy of one node, with the exchanges that spread and confirm it.
#[derive(Debug)]
pub struct Configuration {
    engine: Engine,
    request_ids: StoreRequestIds,
    /// View at the last call of [`Self::poll`]. A new view may no longer contain this node, so it
    /// makes a step due.
    view: ViewVersion,
}

impl Configuration {
    /// Creates the configuration of a node that has just started.
    ///
    /// A policy in the settings counts as confirmed from the start and stays so.
    pub fn new(now: Now, settings: &NodeSettings) -> Self {
        Self {
            engine: Engine::new(now.instant, settings),
            request_ids: StoreRequestIds::default(),
            view: ViewVersion::default(),
        }
    }

    /// Records the time of a step; must be called first in the step.
    ///
    /// After a gap of more than [`confirmation::PROCESS_PAUSE_THRESHOLD`] the policy is not in
    /// force until it is confirmed again.
    pub fn record_step_time(&mut self, now: Now) {
        self.engine.record_step_time(now.instant);
    }

    /// Returns the policy in force, or `None` if there is none or it is not confirmed.
    pub fn policy(&self) -> Option<&Arc<IndexedPolicy>> {
        self.engine.policy()
    }

    /// Returns the version that this node holds, or zero. It never decreases.
    pub fn version(&self) -> PolicyVersion {
        self.engine.version()
    }

    /// Handles a request of an operator; the reply may follow in a later step.
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

    /// Handles a reply of the store; returns whether the configuration sent the request.
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

    /// Runs what is due: reads of the store, queries to peers, fetches and timeouts. Returns at
    /// once if nothing is due.
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
            round: self.engine.query_round(),
            membership,
            request_ids: &mut self.request_ids,
            out,
        };
        (&mut self.engine, context)
    }
}
