//! The membership view: the nodes of the deployment with their zones and incarnations.

use std::net::SocketAddr;
use std::sync::Arc;

use bitcode::{Decode, Encode};

use crate::id::{Incarnation, NodeId, NodeName, RegionName, ViewVersion, ZoneName};

/// One node of a view.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Member {
    /// Configured name.
    pub name: NodeName,
    /// Zone in which it runs.
    pub zone: ZoneName,
    /// Region of that zone.
    pub region: RegionName,
    /// Incarnation that joined.
    pub incarnation: Incarnation,
    /// Address of its mesh listener.
    pub mesh_address: SocketAddr,
}

impl Member {
    /// Returns the identifier of the node.
    pub fn id(&self) -> NodeId {
        self.name.id()
    }
}

/// The set of members, changed only by compare-and-set in the platform's store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct View {
    /// Version; a later view replaces an earlier one.
    pub version: ViewVersion,
    /// Members in the order of their identifiers; successive views share unchanged ones.
    pub members: Vec<Arc<Member>>,
}

impl View {
    /// Creates a view from members in any order.
    pub fn new(version: ViewVersion, members: impl IntoIterator<Item = Member>) -> Self {
        let mut members: Vec<_> = members.into_iter().map(Arc::new).collect();
        members.sort_by_cached_key(|member| member.id());
        Self { version, members }
    }

    /// Returns a member by identifier.
    pub fn member(&self, node: NodeId) -> Option<&Member> {
        self.members
            .binary_search_by_key(&node, |member| member.id())
            .ok()
            .and_then(|position| self.members.get(position))
            .map(Arc::as_ref)
    }

    /// Returns the name of a node for logs; that of a node outside the view is its identifier.
    pub fn name_of(&self, node: NodeId) -> NodeName {
        self.member(node).map_or_else(
            || NodeName::new(node.0.to_string()),
            |member| member.name.clone(),
        )
    }
}
