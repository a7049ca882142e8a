//! Spreads the policy between nodes, and fetches it where a message was lost.
//!
//! Updates are forwarded along the tree of [`Membership::spread_targets`]. A change of one back
//! end is sent whole. Of any other new policy only the version is announced; a node that does not
//! hold that version fetches the document from the announcing node.
//!
//! [`Membership::spread_targets`]: crate::membership::Membership::spread_targets

use std::time::Duration;

use super::context::StepContext;
use super::document::{HeldDocument, PolicyDocument};
use super::message::{BackEndChange, ConfigurationMessage};
use crate::id::{NodeId, PolicyVersion};
use crate::time::Instant;

/// Time after which a document may be fetched again if it has not arrived.
const FETCH_TIMEOUT: Duration = Duration::from_millis(500);

/// Interval between two checks whether another node holds a later version.
pub const REPAIR_INTERVAL: Duration = Duration::from_millis(250);

/// An update of the policy that is forwarded to other nodes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerUpdate {
    /// A change of one back end, in full.
    BackEnd(BackEndChange),
    /// The version of a new policy.
    Version(PolicyVersion),
}

impl PeerUpdate {
    /// Returns the update to forward when `document` replaces `held`: the change of one back end if
    /// that is the only difference, otherwise the version.
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

/// A document that was requested from a peer.
#[derive(Debug)]
struct Fetch {
    version: PolicyVersion,
    deadline: Instant,
}

/// Fetches and repair checks of one node.
#[derive(Debug)]
pub struct Spread {
    fetch: Option<Fetch>,
    next_repair: Instant,
}

impl Spread {
    /// Creates the initial state, without a fetch in flight and with the first repair due at once.
    pub fn new(now: Instant) -> Self {
        Self {
            fetch: None,
            next_repair: now,
        }
    }

    /// Forwards an update to the next nodes of the tree, except the one that sent it.
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

    /// Fetches the document from a node that holds `version`, unless this version or a later one
    /// is held or is being fetched.
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

    /// Sends the held document to a node that fetches it, if its version exceeds `peer_version`.
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

    /// Fetches the highest version that another node is known to hold, if this node does not.
    pub fn poll(&mut self, context: &mut StepContext<'_>, held: PolicyVersion) {
        if context.now < self.next_repair {
            return;
        }
        self.next_repair = context.now + REPAIR_INTERVAL;
        if let Some((version, node)) = context.membership.best_known_policy() {
            self.fetch(context, node, version, held);
        }
    }

    /// Returns when [`Self::poll`] checks next.
    pub fn next_wake(&self) -> Instant {
        self.next_repair
    }

    fn is_fetching(&self, now: Instant, version: PolicyVersion) -> bool {
        self.fetch
            .as_ref()
            .is_some_and(|fetch| fetch.version >= version && now < fetch.deadline)
    }
}

/// Applies the change of a back end to the held document; returns `None` if its base is another
/// version or the policy has no such back end.
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
