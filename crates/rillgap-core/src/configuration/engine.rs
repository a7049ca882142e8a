//! The parts of the configuration joined together.

use std::sync::Arc;

use super::acceptance::{self, Acceptance};
use super::alteration::Alteration;
use super::changes::{Changes, Finding};
use super::confirmation::{Answer, Confirmation};
use super::document::{Held, PolicyDocument};
use super::fence::{Fence, FenceResult};
use super::lookup::{Lookups, Wanted};
use super::message::{BackEndChange, ConfigurationMessage, Standing};
use super::scope::Scope;
use super::spread::{self, News, Spread};
use super::watch::Watch;
use crate::code::ResultCode;
use crate::id::{ChangeId, NodeId, PolicyVersion};
use crate::node::NodeSettings;
use crate::operator::{OperatorReply, OperatorRequest, OperatorRequestId};
use crate::policy::{IndexedPolicy, Policy};
use crate::store::{StoreReply, StoreRequestId};
use crate::time::Instant;

/// State of the configuration at one node.
#[derive(Debug)]
pub struct Engine {
    held: Held,
    confirmation: Confirmation,
    fence: Fence,
    watch: Watch,
    spread: Spread,
    changes: Changes,
    lookups: Lookups,
    acceptance: Acceptance,
}

impl Engine {
    /// Creates the state of a fresh node; a policy in the settings is confirmed for good.
    pub fn new(now: Instant, settings: &NodeSettings) -> Self {
        let fixed = settings.initial_policy.is_some();
        let document = PolicyDocument {
            policy: settings.initial_policy.clone().unwrap_or_default(),
            changes: Vec::new(),
        };
        Self {
            held: Held::new(document),
            confirmation: Confirmation::new(now, settings.id(), settings.incarnation, fixed),
            fence: Fence::new(now),
            watch: Watch::new(now),
            spread: Spread::new(now),
            changes: Changes::default(),
            lookups: Lookups::default(),
            acceptance: Acceptance::default(),
        }
    }

    /// Takes note of the time.
    pub fn note_time(&mut self, now: Instant) {
        self.confirmation.note_time(now);
    }

    /// Returns the policy, if there is one and it is confirmed.
    pub fn policy(&self) -> Option<&Arc<IndexedPolicy>> {
        let exists = self.confirmation.is_fixed() || self.held.version() > PolicyVersion(0);
        let in_force = exists && self.confirmation.is_confirmed();
        in_force.then(|| self.held.policy())
    }

    /// Returns the round of questions of the confirmation.
    pub fn round(&self) -> u64 {
        self.confirmation.round()
    }

    /// Returns the version that is held.
    pub fn version(&self) -> PolicyVersion {
        self.held.version()
    }

    /// Handles a request of an operator.
    pub fn on_operator(
        &mut self,
        scope: &mut Scope<'_>,
        request: OperatorRequestId,
        body: OperatorRequest,
    ) {
        match body {
            OperatorRequest::GetPolicy => self.get_policy(scope, request),
            OperatorRequest::ApplyPolicy {
                policy,
                expected,
                change,
            } => self.apply_policy(scope, request, policy, expected, change),
            OperatorRequest::SetBackEndState {
                back_end,
                state,
                change,
            } => {
                let name = back_end;
                self.alter(scope, request, change, Alteration::BackEnd { name, state });
            }
            OperatorRequest::GetChange { change } => self.get_change(scope, request, change),
            OperatorRequest::GetStatus => self.get_status(scope, request),
            OperatorRequest::StopNode => scope.reply(request, OperatorReply::Stopping),
        }
    }

    /// Handles a message of a peer.
    pub fn on_message(
        &mut self,
        scope: &mut Scope<'_>,
        from: NodeId,
        message: ConfigurationMessage,
    ) {
        match message {
            ConfigurationMessage::Ask { round } => self.answer(scope, from, round),
            ConfigurationMessage::Answer {
                round,
                version,
                standing,
            } => {
                let answer = Answer {
                    from,
                    round,
                    version,
                    standing,
                };
                self.on_answer(scope, answer);
            }
            ConfigurationMessage::Announce { version } => {
                self.spread.fetch(scope, from, version, self.held.version());
            }
            ConfigurationMessage::BackEnd(change) => self.on_back_end(scope, from, change),
            ConfigurationMessage::Fetch { held } => {
                Spread::on_fetch(scope, from, held, &self.held);
            }
            ConfigurationMessage::Document(document) => {
                let news = News::Version(document.policy.version);
                self.adopt(scope, *document, news, Some(from));
            }
        }
    }

    /// Handles a reply of the store.
    pub fn on_store(&mut self, scope: &mut Scope<'_>, request: StoreRequestId, reply: &StoreReply) {
        if let Some(read) = self.watch.on_reply(scope, request, reply) {
            if let Ok(document) = read {
                self.adopt_from_store(scope, document);
            }
            return;
        }
        match self.fence.on_reply(scope, request, reply) {
            FenceResult::Latest { document, round } => {
                self.adopt_from_store(scope, *document);
                self.confirmation.on_current(round);
            }
            FenceResult::Undecided => {}
            FenceResult::Foreign => self.on_operator_store(scope, request, reply),
        }
    }

    /// Does what is due.
    pub fn poll(&mut self, scope: &mut Scope<'_>) {
        self.confirmation.poll(scope, self.held.version());
        self.watch.poll(scope);
        if self.may_fence(scope) {
            self.fence.poll(scope);
        }
        self.spread.poll(scope, self.held.version());
        self.changes.poll(scope, &self.held, &mut self.acceptance);
        self.lookups.poll(scope, &self.held);
        self.acceptance.poll(scope);
    }

    /// Returns when [`Self::poll`] must be called next.
    pub fn next_wake(&self) -> Instant {
        let steady = self.confirmation.next_wake().min(self.spread.next_wake());
        let busy = [
            self.changes.next_wake(),
            self.lookups.next_wake(),
            self.acceptance.next_wake(),
        ];
        busy.into_iter().flatten().fold(steady, Instant::min)
    }

    fn may_fence(&self, scope: &Scope<'_>) -> bool {
        self.confirmation.peers_exhausted() && scope.membership.is_store_reader()
    }

    fn get_policy(&mut self, scope: &mut Scope<'_>, request: OperatorRequestId) {
        if self.confirmation.is_confirmed() {
            let policy = self.held.document().policy.clone();
            scope.reply(request, OperatorReply::Policy(policy));
            return;
        }
        self.lookups
            .begin(scope, request, Wanted::Policy, &self.held);
    }

    fn get_change(&mut self, scope: &mut Scope<'_>, request: OperatorRequestId, change: ChangeId) {
        if let Some(version) = self.held.document().version_of(change) {
            let state = acceptance::state(scope, version);
            acceptance::report(scope, request, version, state);
            return;
        }
        if !self.changes.join(request, change) {
            let unsettled = self.changes.is_unsettled(change);
            let wanted = Wanted::Change { change, unsettled };
            self.lookups.begin(scope, request, wanted, &self.held);
        }
    }

    fn get_status(&self, scope: &mut Scope<'_>, request: OperatorRequestId) {
        let status = OperatorReply::Status {
            policy: self.held.version(),
            view: scope.membership.view().version,
            serving: self.policy().is_some() && scope.in_touch,
            members: scope.membership.member_status(),
        };
        scope.reply(request, status);
    }

    fn apply_policy(
        &mut self,
        scope: &mut Scope<'_>,
        request: OperatorRequestId,
        policy: Policy,
        expected: Option<PolicyVersion>,
        change: ChangeId,
    ) {
        if let Err(invalid) = policy.validate() {
            let code = ResultCode::PolicyInvalid;
            scope.fail(request, code, self.held.version(), invalid.to_string());
            return;
        }
        let policy = Box::new(policy);
        self.alter(
            scope,
            request,
            change,
            Alteration::Policy { policy, expected },
        );
    }

    fn alter(
        &mut self,
        scope: &mut Scope<'_>,
        request: OperatorRequestId,
        change: ChangeId,
        alteration: Alteration,
    ) {
        if let Some(version) = self.held.document().version_of(change) {
            self.acceptance.wait(scope.now, request, version);
            return;
        }
        self.changes
            .submit(scope, request, change, alteration, &self.held);
    }

    fn answer(&self, scope: &mut Scope<'_>, to: NodeId, round: u64) {
        let answer = ConfigurationMessage::Answer {
            round,
            version: self.held.version(),
            standing: self.standing(scope),
        };
        scope.send(to, answer);
    }

    /// Returns the standing as others are told: one that is out of touch vouches for nothing.
    fn standing(&self, scope: &Scope<'_>) -> Standing {
        match self.confirmation.standing() {
            Standing::Confirmed if !scope.in_touch => Standing::Suspect,
            standing => standing,
        }
    }

    fn on_answer(&mut self, scope: &mut Scope<'_>, answer: Answer) {
        let held = self.held.version();
        self.confirmation.on_answer(scope, answer, held);
        self.spread.fetch(scope, answer.from, answer.version, held);
    }

    fn on_back_end(&mut self, scope: &mut Scope<'_>, from: NodeId, change: BackEndChange) {
        let version = change.version();
        match spread::apply(&self.held, &change) {
            Some(document) => self.adopt(scope, document, News::BackEnd(change), Some(from)),
            None => self.spread.fetch(scope, from, version, self.held.version()),
        }
    }

    /// Handles a reply of the store to what operators have asked for.
    fn on_operator_store(
        &mut self,
        scope: &mut Scope<'_>,
        request: StoreRequestId,
        reply: &StoreReply,
    ) {
        let held = &self.held;
        let acceptance = &mut self.acceptance;
        if let Some(document) = self
            .lookups
            .on_reply(scope, request, reply, held, acceptance)
        {
            self.adopt_from_store(scope, document);
            return;
        }
        let finding = self
            .changes
            .on_reply(scope, request, reply, held, acceptance);
        match finding {
            Some(Finding {
                document,
                written: Some(written),
            }) => {
                let version = document.policy.version;
                let news = written.alteration.news(written.change, version);
                self.adopt(scope, document, news, None);
                self.confirmation.on_current(written.round);
            }
            Some(Finding {
                document,
                written: None,
            }) => self.adopt_from_store(scope, document),
            None => {}
        }
    }

    fn adopt_from_store(&mut self, scope: &mut Scope<'_>, document: PolicyDocument) {
        let news = News::between(self.held.document(), &document);
        self.adopt(scope, document, news, None);
    }

    /// Takes a document in if it is later than what is held, and passes the news on.
    fn adopt(
        &mut self,
        scope: &mut Scope<'_>,
        document: PolicyDocument,
        news: News,
        from: Option<NodeId>,
    ) {
        if self.held.advance(document) {
            self.spread.pass_on(scope, news, from);
            self.confirmation.hurry(scope.now);
        }
    }
}
