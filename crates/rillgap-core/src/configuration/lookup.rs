//! Reads of the store for operators, where this node cannot answer from what it holds.

use std::time::Duration;

use super::acceptance::Acceptance;
use super::document::{Held, PolicyDocument};
use super::scope::{Scope, policy_key};
use crate::code::ResultCode;
use crate::id::ChangeId;
use crate::operator::{OperatorReply, OperatorRequestId};
use crate::store::{StoreReply, StoreRequest, StoreRequestId};
use crate::time::Instant;

/// Most look-ups that wait for the store.
const MAX_LOOKUPS: usize = 64;

/// Longest wait for the store.
const TIMEOUT: Duration = Duration::from_secs(1);

/// What a look-up is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wanted {
    /// The policy.
    Policy,
    /// How far a change has come.
    Change {
        /// The change.
        change: ChangeId,
        /// Whether this node has sent a write of it whose effect is not known.
        unsettled: bool,
    },
}

/// A read of the store for one operator.
#[derive(Debug)]
struct Lookup {
    store_request: StoreRequestId,
    request: OperatorRequestId,
    wanted: Wanted,
    until: Instant,
}

/// The look-ups under way.
#[derive(Debug, Default)]
pub struct Lookups {
    lookups: Vec<Lookup>,
}

impl Lookups {
    /// Reads the store for an operator.
    pub fn begin(
        &mut self,
        scope: &mut Scope<'_>,
        request: OperatorRequestId,
        wanted: Wanted,
        held: &Held,
    ) {
        if self.lookups.len() >= MAX_LOOKUPS {
            let detail = "too many requests wait at this node";
            scope.fail(request, ResultCode::Overloaded, held.version(), detail);
            return;
        }
        let store_request = scope.store(StoreRequest::Read {
            key: policy_key(),
            after: None,
        });
        self.lookups.push(Lookup {
            store_request,
            request,
            wanted,
            until: scope.now + TIMEOUT,
        });
    }

    /// Handles a reply of the store; returns the document that was read, if the reply brought one.
    pub fn on_reply(
        &mut self,
        scope: &mut Scope<'_>,
        request: StoreRequestId,
        reply: &StoreReply,
        held: &Held,
        acceptance: &mut Acceptance,
    ) -> Option<PolicyDocument> {
        let lookup = self.take(request)?;
        let StoreReply::Object(object) = reply else {
            fail_without_store(scope, lookup.request, held);
            return None;
        };
        let Ok(document) = PolicyDocument::decode(object.value.as_deref()) else {
            let detail = "the policy object in the store cannot be read";
            let code = ResultCode::StoreProtocol;
            scope.fail(lookup.request, code, held.version(), detail);
            return None;
        };
        lookup.answer(scope, &document, held, acceptance);
        Some(document)
    }

    /// Gives up look-ups that the store did not answer in time.
    pub fn poll(&mut self, scope: &mut Scope<'_>, held: &Held) {
        let now = scope.now;
        for lookup in self.lookups.extract_if(.., |lookup| now >= lookup.until) {
            fail_without_store(scope, lookup.request, held);
        }
    }

    /// Returns when [`Self::poll`] must be called next.
    pub fn next_wake(&self) -> Option<Instant> {
        self.lookups.iter().map(|lookup| lookup.until).min()
    }

    fn take(&mut self, request: StoreRequestId) -> Option<Lookup> {
        let position = self
            .lookups
            .iter()
            .position(|lookup| lookup.store_request == request)?;
        Some(self.lookups.swap_remove(position))
    }
}

impl Lookup {
    fn answer(
        &self,
        scope: &mut Scope<'_>,
        read: &PolicyDocument,
        held: &Held,
        acceptance: &mut Acceptance,
    ) {
        match self.wanted {
            Wanted::Policy => {
                let latest = later(read, held.document());
                scope.reply(self.request, OperatorReply::Policy(latest.policy.clone()));
            }
            Wanted::Change { change, unsettled } => match read.version_of(change) {
                Some(version) => acceptance.wait(scope.now, self.request, version),
                None => self.fail_change(scope, unsettled, held),
            },
        }
    }

    fn fail_change(&self, scope: &mut Scope<'_>, unsettled: bool, held: &Held) {
        let (code, detail) = if unsettled {
            let detail = "not stored yet; a write was sent and may still take effect";
            (ResultCode::ChangeUnsettled, detail)
        } else {
            let detail = "no such change is stored; one that another node has sent may still be";
            (ResultCode::ChangeUnknown, detail)
        };
        scope.fail(self.request, code, held.version(), detail);
    }
}

/// Returns the document with the higher version.
fn later<'a>(one: &'a PolicyDocument, other: &'a PolicyDocument) -> &'a PolicyDocument {
    if one.policy.version > other.policy.version {
        one
    } else {
        other
    }
}

fn fail_without_store(scope: &mut Scope<'_>, request: OperatorRequestId, held: &Held) {
    let detail = "the store does not answer";
    let code = ResultCode::StoreUnavailable;
    scope.fail(request, code, held.version(), detail);
}
