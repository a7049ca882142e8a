//! Routes peer messages, store replies and operator requests to the components of the
//! configuration: confirmation, store reads, distribution to peers, changes and look-ups.

use std::sync::Arc;

use super::acceptance::{self, Acceptance};
use super::alteration::Alteration;
use super::changes::{Changes, ObservedDocument};
use super::confirmation::{Answer, Confirmation};
use super::context::StepContext;
use super::document::{HeldDocument, PolicyDocument};
use super::linearizable_read::{LinearizableRead, LinearizableReadResult};
use super::lookup::{LookupTarget, Lookups};
use super::message::{BackEndChange, ConfigurationMessage, ConfirmationState};
use super::spread::{self, PeerUpdate, Spread};
use super::watch::Watch;
use crate::code::ResultCode;
use crate::id::{ChangeId, NodeId, PolicyVersion};
use crate::node::NodeSettings;
use crate::operator::{OperatorReply, OperatorRequest, OperatorRequestId};
use crate::policy::{IndexedPolicy, Policy};
use crate::store::{StoreReply, StoreRequestId};
use crate::time::Instant;

/// Components of [`Configuration`](super::Configuration), which supplies the [`StepContext`] of
/// each call and numbers the store requests.
#[derive(Debug)]
pub struct Engine {
    held: HeldDocument,
    confirmation: Confirmation,
    linearizable_read: LinearizableRead,
    watch: Watch,
    spread: Spread,
    changes: Changes,
    lookups: Lookups,
    acceptance: Acceptance,
}

impl Engine {
    /// Creates the state of a node that has just started.
    ///
    /// A policy in the settings counts as confirmed from the start and stays so.
    pub fn new(now: Instant, settings: &NodeSettings) -> Self {
        let fixed = settings.initial_policy.is_some();
        let document = PolicyDocument {
            policy: settings.initial_policy.clone().unwrap_or_default(),
            changes: Vec::new(),
        };
        Self {
            held: HeldDocument::new(document),
            confirmation: Confirmation::new(now, settings.id(), settings.incarnation, fixed),
            linearizable_read: LinearizableRead::new(now),
            watch: Watch::new(now),
            spread: Spread::new(now),
            changes: Changes::default(),
            lookups: Lookups::default(),
            acceptance: Acceptance::default(),
        }
    }

    /// Records the time at which the node handles an event; a long gap since the last one means
    /// that the process was paused.
    pub fn record_step_time(&mut self, now: Instant) {
        self.confirmation.record_step_time(now);
    }

    /// Returns the policy in force, or `None` if there is none or it is not confirmed.
    pub fn policy(&self) -> Option<&Arc<IndexedPolicy>> {
        let exists = self.confirmation.is_fixed() || self.held.version() > PolicyVersion(0);
        let in_force = exists && self.confirmation.is_confirmed();
        in_force.then(|| self.held.policy())
    }

    /// Returns the number of the current round of queries to peers. Answers from earlier rounds do
    /// not confirm the policy.
    pub fn query_round(&self) -> u64 {
        self.confirmation.round()
    }

    /// Returns the version of the held document.
    pub fn version(&self) -> PolicyVersion {
        self.held.version()
    }

    /// Handles a request of an operator.
    pub fn on_operator(
        &mut self,
        context: &mut StepContext<'_>,
        request: OperatorRequestId,
        body: OperatorRequest,
    ) {
        match body {
            OperatorRequest::GetPolicy => self.get_policy(context, request),
            OperatorRequest::ApplyPolicy {
                policy,
                expected,
                change,
            } => self.apply_policy(context, request, policy, expected, change),
            OperatorRequest::SetBackEndState {
                back_end,
                state,
                change,
            } => {
                let name = back_end;
                self.submit_change(
                    context,
                    request,
                    change,
                    Alteration::BackEnd { name, state },
                );
            }
            OperatorRequest::GetChange { change } => self.get_change(context, request, change),
            OperatorRequest::GetStatus => self.get_status(context, request),
            OperatorRequest::StopNode => context.reply(request, OperatorReply::Stopping),
        }
    }

    /// Handles a message of a peer.
    pub fn on_message(
        &mut self,
        context: &mut StepContext<'_>,
        from: NodeId,
        message: ConfigurationMessage,
    ) {
        match message {
            ConfigurationMessage::Query { round } => self.send_answer(context, from, round),
            ConfigurationMessage::Answer {
                round,
                version,
                state,
            } => {
                let answer = Answer {
                    from,
                    round,
                    version,
                    state,
                };
                self.on_answer(context, answer);
            }
            ConfigurationMessage::Announce { version } => {
                self.spread
                    .fetch(context, from, version, self.held.version());
            }
            ConfigurationMessage::BackEnd(change) => self.on_back_end(context, from, change),
            ConfigurationMessage::Fetch { held } => {
                Spread::on_fetch(context, from, held, &self.held);
            }
            ConfigurationMessage::Document(document) => {
                let update = PeerUpdate::Version(document.policy.version);
                self.adopt(context, *document, update, Some(from));
            }
        }
    }

    /// Handles a reply of the store.
    pub fn on_store(
        &mut self,
        context: &mut StepContext<'_>,
        request: StoreRequestId,
        reply: &StoreReply,
    ) {
        if let Some(read) = self.watch.on_reply(context, request, reply) {
            if let Ok(document) = read {
                self.adopt_from_store(context, document);
            }
            return;
        }
        match self.linearizable_read.on_reply(context, request, reply) {
            LinearizableReadResult::Latest { document, round } => {
                self.adopt_from_store(context, *document);
                self.confirmation.confirm_from_store(round);
            }
            LinearizableReadResult::Pending => {}
            LinearizableReadResult::OtherRequest => {
                self.on_operator_store_reply(context, request, reply)
            }
        }
    }

    /// Sends the queries, store reads and fetches that are due, and handles timeouts.
    pub fn poll(&mut self, context: &mut StepContext<'_>) {
        self.confirmation.poll(context, self.held.version());
        self.watch.poll(context);
        if self.needs_store_confirmation(context) {
            self.linearizable_read.poll(context);
        }
        self.spread.poll(context, self.held.version());
        self.changes.poll(context, &self.held, &mut self.acceptance);
        self.lookups.poll(context, &self.held);
        self.acceptance.poll(context);
    }

    /// Returns when [`Self::poll`] must be called next, at the latest at the next check for a pause
    /// of the process. Reads of the watch and linearizable reads are not included: a read that is
    /// due begins at the next call of [`Self::poll`].
    pub fn next_wake(&self) -> Instant {
        let periodic = self.confirmation.next_wake().min(self.spread.next_wake());
        let pending = [
            self.changes.next_wake(),
            self.lookups.next_wake(),
            self.acceptance.next_wake(),
        ];
        pending.into_iter().flatten().fold(periodic, Instant::min)
    }

    /// Returns whether queries to peers have not confirmed the policy, so that this store reader
    /// confirms it by a linearizable read.
    fn needs_store_confirmation(&self, context: &StepContext<'_>) -> bool {
        self.confirmation.peer_queries_failed() && context.membership.is_store_reader()
    }

    fn get_policy(&mut self, context: &mut StepContext<'_>, request: OperatorRequestId) {
        if self.confirmation.is_confirmed() {
            let policy = self.held.document().policy.clone();
            context.reply(request, OperatorReply::Policy(policy));
            return;
        }
        self.lookups
            .begin(context, request, LookupTarget::Policy, &self.held);
    }

    fn get_change(
        &mut self,
        context: &mut StepContext<'_>,
        request: OperatorRequestId,
        change: ChangeId,
    ) {
        if let Some(version) = self.held.document().version_of(change) {
            let state = acceptance::state(context, version);
            acceptance::report(context, request, version, state);
            return;
        }
        if !self.changes.join(request, change) {
            let unsettled = self.changes.is_unsettled(change);
            let target = LookupTarget::Change { change, unsettled };
            self.lookups.begin(context, request, target, &self.held);
        }
    }

    fn get_status(&self, context: &mut StepContext<'_>, request: OperatorRequestId) {
        let status = OperatorReply::Status {
            policy: self.held.version(),
            view: context.membership.view().version,
            serving: self.policy().is_some() && context.may_serve,
            members: context.membership.member_status(),
        };
        context.reply(request, status);
    }

    fn apply_policy(
        &mut self,
        context: &mut StepContext<'_>,
        request: OperatorRequestId,
        policy: Policy,
        expected: Option<PolicyVersion>,
        change: ChangeId,
    ) {
        if let Err(invalid) = policy.validate() {
            let code = ResultCode::PolicyInvalid;
            context.fail(request, code, self.held.version(), invalid.to_string());
            return;
        }
        let policy = Box::new(policy);
        self.submit_change(
            context,
            request,
            change,
            Alteration::Policy { policy, expected },
        );
    }

    fn submit_change(
        &mut self,
        context: &mut StepContext<'_>,
        request: OperatorRequestId,
        change: ChangeId,
        alteration: Alteration,
    ) {
        if let Some(version) = self.held.document().version_of(change) {
            self.acceptance.wait(context.now, request, version);
            return;
        }
        self.changes
            .submit(context, request, change, alteration, &self.held);
    }

    fn send_answer(&self, context: &mut StepContext<'_>, to: NodeId, round: u64) {
        let answer = ConfigurationMessage::Answer {
            round,
            version: self.held.version(),
            state: self.reported_state(context),
        };
        context.send(to, answer);
    }

    /// Returns the confirmation state to report to peers. A node that may not serve may have missed
    /// a change, so it does not report its version as confirmed.
    fn reported_state(&self, context: &StepContext<'_>) -> ConfirmationState {
        match self.confirmation.state() {
            ConfirmationState::Confirmed if !context.may_serve => ConfirmationState::PossiblyStale,
            state => state,
        }
    }

    fn on_answer(&mut self, context: &mut StepContext<'_>, answer: Answer) {
        let held = self.held.version();
        self.confirmation.on_answer(context, answer, held);
        self.spread
            .fetch(context, answer.from, answer.version, held);
    }

    fn on_back_end(&mut self, context: &mut StepContext<'_>, from: NodeId, change: BackEndChange) {
        let version = change.version();
        match spread::apply_back_end_change(&self.held, &change) {
            Some(document) => {
                self.adopt(context, document, PeerUpdate::BackEnd(change), Some(from))
            }
            None => self
                .spread
                .fetch(context, from, version, self.held.version()),
        }
    }

    /// Handles a store reply that belongs to an operator's look-up or change. Ignores any other
    /// reply, such as that to a failed read of the watch.
    fn on_operator_store_reply(
        &mut self,
        context: &mut StepContext<'_>,
        request: StoreRequestId,
        reply: &StoreReply,
    ) {
        let held = &self.held;
        let acceptance = &mut self.acceptance;
        if let Some(document) = self
            .lookups
            .on_reply(context, request, reply, held, acceptance)
        {
            self.adopt_from_store(context, document);
            return;
        }
        let observed = self
            .changes
            .on_reply(context, request, reply, held, acceptance);
        match observed {
            Some(ObservedDocument {
                document,
                written: Some(written),
            }) => {
                let version = document.policy.version;
                let update = written.alteration.peer_update(written.change, version);
                self.adopt(context, document, update, None);
                self.confirmation.confirm_from_store(written.round);
            }
            Some(ObservedDocument {
                document,
                written: None,
            }) => self.adopt_from_store(context, document),
            None => {}
        }
    }

    fn adopt_from_store(&mut self, context: &mut StepContext<'_>, document: PolicyDocument) {
        let update = PeerUpdate::between(self.held.document(), &document);
        self.adopt(context, document, update, None);
    }

    /// If `document` has a higher version, replaces the held document, forwards the update to other
    /// nodes except `from`, and makes the next queries due at once if the policy is unconfirmed.
    fn adopt(
        &mut self,
        context: &mut StepContext<'_>,
        document: PolicyDocument,
        update: PeerUpdate,
        from: Option<NodeId>,
    ) {
        if self.held.advance(document) {
            self.spread.forward(context, update, from);
            self.confirmation.retry_now(context.now);
        }
    }
}
