//! Reads the store for requests of operators that the held document does not answer.

use std::time::Duration;

use super::acceptance::Acceptance;
use super::context::{StepContext, policy_key};
use super::document::{HeldDocument, PolicyDocument};
use crate::code::ResultCode;
use crate::id::ChangeId;
use crate::operator::{OperatorReply, OperatorRequestId};
use crate::store::{StoreReply, StoreRequest, StoreRequestId};
use crate::time::Instant;

/// Maximum number of look-ups in flight.
const MAX_LOOKUPS: usize = 64;

/// Time after which a look-up without a reply of the store fails.
const REPLY_TIMEOUT: Duration = Duration::from_secs(1);

/// Request of an operator that needs a read of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LookupTarget {
    /// The latest policy.
    Policy,
    /// The state of a change.
    Change {
        /// Identifier of the change.
        change: ChangeId,
        /// Whether this node sent a write of the change that may or may not have taken effect.
        unsettled: bool,
    },
}

/// A read of the store for one operator.
#[derive(Debug)]
struct Lookup {
    store_request: StoreRequestId,
    request: OperatorRequestId,
    target: LookupTarget,
    deadline: Instant,
}

/// The look-ups in flight.
#[derive(Debug, Default)]
pub struct Lookups {
    lookups: Vec<Lookup>,
}

impl Lookups {
    /// Starts a read of the store, or fails the request if too many look-ups are in flight.
    pub fn begin(
        &mut self,
        context: &mut StepContext<'_>,
        request: OperatorRequestId,
        target: LookupTarget,
        held: &HeldDocument,
    ) {
        if self.lookups.len() >= MAX_LOOKUPS {
            let detail = "too many reads of the store are in flight at this node";
            context.fail(request, ResultCode::Overloaded, held.version(), detail);
            return;
        }
        let store_request = context.send_store_request(StoreRequest::Read {
            key: policy_key(),
            after: None,
        });
        self.lookups.push(Lookup {
            store_request,
            request,
            target,
            deadline: context.now + REPLY_TIMEOUT,
        });
    }

    /// Handles a reply of the store; returns the document that was read, or `None` if the reply
    /// has none or belongs to another request.
    pub fn on_reply(
        &mut self,
        context: &mut StepContext<'_>,
        request: StoreRequestId,
        reply: &StoreReply,
        held: &HeldDocument,
        acceptance: &mut Acceptance,
    ) -> Option<PolicyDocument> {
        let lookup = self.take(request)?;
        let StoreReply::Object(object) = reply else {
            fail_without_store(context, lookup.request, held);
            return None;
        };
        let Ok(document) = PolicyDocument::decode(object.value.as_deref()) else {
            let detail = "the policy object in the store cannot be read";
            let code = ResultCode::StoreProtocol;
            context.fail(lookup.request, code, held.version(), detail);
            return None;
        };
        lookup.answer(context, &document, held, acceptance);
        Some(document)
    }

    /// Fails the look-ups whose timeout has expired.
    pub fn poll(&mut self, context: &mut StepContext<'_>, held: &HeldDocument) {
        let now = context.now;
        for lookup in self.lookups.extract_if(.., |lookup| now >= lookup.deadline) {
            fail_without_store(context, lookup.request, held);
        }
    }

    /// Returns when [`Self::poll`] must be called next, or `None` if no look-up is in flight.
    pub fn next_wake(&self) -> Option<Instant> {
        self.lookups.iter().map(|lookup| lookup.deadline).min()
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
        context: &mut StepContext<'_>,
        read: &PolicyDocument,
        held: &HeldDocument,
        acceptance: &mut Acceptance,
    ) {
        match self.target {
            LookupTarget::Policy => {
                let latest = newer(read, held.document());
                context.reply(self.request, OperatorReply::Policy(latest.policy.clone()));
            }
            LookupTarget::Change { change, unsettled } => match read.version_of(change) {
                Some(version) => acceptance.wait(context.now, self.request, version),
                None => self.fail_change(context, unsettled, held),
            },
        }
    }

    fn fail_change(&self, context: &mut StepContext<'_>, unsettled: bool, held: &HeldDocument) {
        let (code, detail) = if unsettled {
            let detail = "the change is not stored yet; a write was sent and may still take effect";
            (ResultCode::ChangeUnsettled, detail)
        } else {
            let detail = "the change is not stored; a write by another node may still take effect";
            (ResultCode::ChangeUnknown, detail)
        };
        context.fail(self.request, code, held.version(), detail);
    }
}

/// Returns the document with the higher version, `other` if they are equal.
fn newer<'a>(one: &'a PolicyDocument, other: &'a PolicyDocument) -> &'a PolicyDocument {
    if one.policy.version > other.policy.version {
        one
    } else {
        other
    }
}

fn fail_without_store(
    context: &mut StepContext<'_>,
    request: OperatorRequestId,
    held: &HeldDocument,
) {
    let detail = "the store does not answer";
    let code = ResultCode::StoreUnavailable;
    context.fail(request, code, held.version(), detail);
}
