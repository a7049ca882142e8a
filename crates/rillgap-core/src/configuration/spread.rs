//! Spread of the policy between nodes, and repair where a message was lost.
//!
//! A small change goes whole along the tree of [`Membership::spread_targets`]; of a new policy
//! only its version goes, and who does not hold it fetches it from the announcing node.
//!
//! [`Membership::spread_targets`]: crate::membership::Membership::spread_targets

use std::time::Duration;

use super::context::StepContext;
use super::document::{HeldDocument, PolicyDocument};
use super::message::{BackEndChange, ConfigurationMessage};
use crate::id::{NodeId, PolicyVersion};
use crate::time::Instant;

/// Time after which a document that was asked for is asked for again.
const FETCH_TIMEOUT: Duration = Duration::from_millis(500);

/// Pause between two looks for a node that holds a later version.
pub const REPAIR_INTERVAL: Duration = Duration::from_millis(250);

/// What is passed on to other nodes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerUpdate {
    /// A small change.
    BackEnd(BackEndChange),
    /// A new policy, by its version.
    Version(PolicyVersion),
}

impl PeerUpdate {
    /// Returns what to tell of a document that was read from the store: the small change, if it
    /// is all that is new.
    pub fn between(held: &PolicyDocument, document: &PolicyDocument) -> Self {
        single_back_end_change(held, document)
            .map_or(Self::Version(document.policy.version), Self::BackEnd)
    }
}

fn single_back_end_change(
    held: &PolicyDocument,
    document: &PolicyDocument,
) -> Option<BackEndChange> {
    let stored = document.changes.last()?;
    let mut pairs = held.policy.back_ends.iter().zip(&document.policy.back_ends);
    let (_, back_end) = pairs.find(|(before, after)| before != after)?;
    let (name, state) = (&back_end.name, back_end.state);
    let next = held.with_back_end(name, state, stored.change)?;
    (next == *document).then(|| BackEndChange {
        base: held.policy.version,
        change: stored.change,
        back_end: name.clone(),
        state,
    })
}

impl From<PeerUpdate> for ConfigurationMessage {
    fn from(update: PeerUpdate) -> Self {
        match update {
            PeerUpdate::BackEnd(change) => Self::BackEnd(change),
            PeerUpdate::Version(version) => Self::Announce { version },
        }
    }
}

/// A document that was asked for.
#[derive(Debug)]
struct Fetch {
    version: PolicyVersion,
    deadline: Instant,
}

/// The spread at one node.
#[derive(Debug)]
pub struct Spread {
    fetch: Option<Fetch>,
    next_repair: Instant,
}

impl Spread {
    /// Creates the state in which nothing was asked for.
    pub fn new(now: Instant) -> Self {
        Self {
            fetch: None,
            next_repair: now,
        }
    }

    /// Passes update on to the next nodes of the tree, except to the one that they came from.
    pub fn forward(
        &mut self,
        context: &mut StepContext<'_>,
        update: PeerUpdate,
        from: Option<NodeId>,
    ) {
        let message = ConfigurationMessage::from(update);
        for to in context.membership.spread_targets() {
            if Some(to) != from {
                context.send(to, message.clone());
            }
        }
    }

    /// Fetches a version from a node that has it, unless it is held or on its way.
    pub fn fetch(
        &mut self,
        context: &mut StepContext<'_>,
        from: NodeId,
        version: PolicyVersion,
        held: PolicyVersion,
    ) {
        if version <= held || self.is_fetching(context.now, version) {
            return;
        }
        self.fetch = Some(Fetch {
            version,
            deadline: context.now + FETCH_TIMEOUT,
        });
        context.send(from, ConfigurationMessage::Fetch { held });
    }

    /// Sends the document to a node that asked for it, if it is later than what that node holds.
    pub fn on_fetch(
        context: &mut StepContext<'_>,
        from: NodeId,
        peer_version: PolicyVersion,
        held: &HeldDocument,
    ) {
        if held.version() > peer_version {
            let document = Box::new(held.document().clone());
            context.send(from, ConfigurationMessage::Document(document));
        }
    }

    /// Fetches what others are known to hold and this node does not.
    pub fn poll(&mut self, context: &mut StepContext<'_>, held: PolicyVersion) {
        if context.now < self.next_repair {
            return;
        }
        self.next_repair = context.now + REPAIR_INTERVAL;
        if let Some((version, node)) = context.membership.best_known_policy() {
            self.fetch(context, node, version, held);
        }
    }

    /// Returns when [`Self::poll`] looks next.
    pub fn next_wake(&self) -> Instant {
        self.next_repair
    }

    fn is_fetching(&self, now: Instant, version: PolicyVersion) -> bool {
        self.fetch
            .as_ref()
            .is_some_and(|fetch| fetch.version >= version && now < fetch.deadline)
    }
}

/// Returns the document that follows `held` by a change, if the change applies to it.
pub fn apply_back_end_change(
    held: &HeldDocument,
    change: &BackEndChange,
) -> Option<PolicyDocument> {
    if held.version() != change.base {
        return None;
    }
    held.document()
        .with_back_end(&change.back_end, change.state, change.change)
}
