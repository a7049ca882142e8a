//! Zones, regions and the order of their relays, derived from a view.
//!
//! The order depends on the view only, so that all nodes with the same view agree on it.

use std::collections::BTreeMap;

use bitcode::{Decode, Encode};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::id::{NodeId, RegionName, ZoneName};
use crate::view::View;

use super::timing::RELAYS_PER_GROUP;

/// Number of members of each zone that may become relays of the region.
const REGION_CANDIDATES: usize = 2 * RELAYS_PER_GROUP;

/// Identifies a zone by the 32-bit hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct ZoneId(pub u32);

impl From<&ZoneName> for ZoneId {
    fn from(name: &ZoneName) -> Self {
        Self(short_hash(name.as_str()))
    }
}

/// Identifies a region by the 32-bit hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RegionId(pub u32);

impl From<&RegionName> for RegionId {
    fn from(name: &RegionName) -> Self {
        Self(short_hash(name.as_str()))
    }
}

fn short_hash(name: &str) -> u32 {
    (xxh3_64(name.as_bytes()) & u64::from(u32::MAX)) as u32
}

/// Region and members of one zone.
#[derive(Clone, Debug)]
pub struct Zone {
    /// Region of the zone.
    pub region: RegionId,
    /// Members in rendezvous order; the first live ones are the relays of the zone.
    pub order: Vec<NodeId>,
}

/// Zones and regions of a view.
#[derive(Clone, Debug, Default)]
pub struct Topology {
    /// Zones by identifier.
    pub zones: BTreeMap<ZoneId, Zone>,
    /// Relay candidates of each region in order; the first live ones are its relays.
    pub regions: BTreeMap<RegionId, Vec<NodeId>>,
}

impl Topology {
    /// Derives the topology of a view.
    pub fn of(view: &View) -> Self {
        let mut zones: BTreeMap<ZoneId, Zone> = BTreeMap::new();
        for member in &view.members {
            zones
                .entry(ZoneId::from(&member.zone))
                .or_insert_with(|| Zone {
                    region: RegionId::from(&member.region),
                    order: Vec::new(),
                })
                .order
                .push(member.id());
        }
        for (zone, entry) in &mut zones {
            entry.order.sort_by_cached_key(|node| weight(*node, zone.0));
        }
        let regions = region_orders(&zones);
        Self { zones, regions }
    }

    /// Returns the members of a zone in rendezvous order.
    pub fn order(&self, zone: ZoneId) -> &[NodeId] {
        self.zones.get(&zone).map_or(&[], |entry| &entry.order)
    }

    /// Returns the relay candidates of a region in order.
    pub fn region_order(&self, region: RegionId) -> &[NodeId] {
        self.regions.get(&region).map_or(&[], Vec::as_slice)
    }

    /// Returns the zones of a region.
    pub fn zones_of(&self, region: RegionId) -> impl Iterator<Item = ZoneId> {
        self.zones
            .iter()
            .filter(move |(_, zone)| zone.region == region)
            .map(|(id, _)| *id)
    }

    /// Returns the number of members of a zone.
    pub fn zone_size(&self, zone: ZoneId) -> u32 {
        u32::try_from(self.order(zone).len()).unwrap_or(u32::MAX)
    }
}

/// Returns the relay candidates of each region: the first members of all its zones. Those that are
/// not zone relays come first, so that one node need not handle the traffic of both roles.
fn region_orders(zones: &BTreeMap<ZoneId, Zone>) -> BTreeMap<RegionId, Vec<NodeId>> {
    let mut candidates: BTreeMap<RegionId, Vec<(bool, u64, NodeId)>> = BTreeMap::new();
    for zone in zones.values() {
        let region = candidates.entry(zone.region).or_default();
        for (rank, node) in zone.order.iter().take(REGION_CANDIDATES).enumerate() {
            let is_zone_relay = rank < RELAYS_PER_GROUP;
            region.push((is_zone_relay, weight(*node, zone.region.0), *node));
        }
    }
    candidates
        .into_iter()
        .map(|(region, mut nodes)| {
            nodes.sort_unstable();
            (region, nodes.into_iter().map(|(_, _, node)| node).collect())
        })
        .collect()
}

/// Returns the rendezvous weight of a node for a zone or region; the lowest comes first.
fn weight(node: NodeId, group: u32) -> u64 {
    xxh3_64_with_seed(&node.0.to_le_bytes(), u64::from(group))
}
