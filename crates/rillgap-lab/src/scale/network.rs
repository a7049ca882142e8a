//! Latencies and cuts between hosts.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rillgap_core::time::Instant;

use super::layout::Place;
use crate::sim::random::Stream;

/// Shortest and longest one-way latency within a zone, in microseconds.
const ZONE_MICROS: (u64, u64) = (200, 500);
/// The same between zones of a region.
const REGION_MICROS: (u64, u64) = (500, 1_000);
/// The same between regions.
const WORLD_MICROS: (u64, u64) = (20_000, 40_000);

/// Network between the hosts of a fleet.
#[derive(Debug)]
pub struct Network {
    places: Vec<Place>,
    random: Stream,
    /// Arrival of the last message of each link, which later ones must not overtake.
    last_arrival: BTreeMap<(u32, u32), Instant>,
    cut_zones: BTreeSet<usize>,
    cut_regions: BTreeSet<usize>,
    cut_links: BTreeSet<(usize, usize)>,
    slow_hosts: BTreeMap<usize, Duration>,
}

impl Network {
    /// Creates a network without faults.
    pub fn new(places: Vec<Place>, random: Stream) -> Self {
        Self {
            places,
            random,
            last_arrival: BTreeMap::new(),
            cut_zones: BTreeSet::new(),
            cut_regions: BTreeSet::new(),
            cut_links: BTreeSet::new(),
            slow_hosts: BTreeMap::new(),
        }
    }

    /// Cuts a zone from all others.
    pub fn cut_zone(&mut self, zone: usize) {
        self.cut_zones.insert(zone);
    }

    /// Cuts a region from all others.
    pub fn cut_region(&mut self, region: usize) {
        self.cut_regions.insert(region);
    }

    /// Cuts one direction between two hosts.
    pub fn cut_link(&mut self, from: usize, to: usize) {
        self.cut_links.insert((from, to));
    }

    /// Adds a delay to all that a host sends.
    pub fn slow_host(&mut self, host: usize, delay: Duration) {
        self.slow_hosts.insert(host, delay);
    }

    /// Ends all faults.
    pub fn heal(&mut self) {
        self.cut_zones.clear();
        self.cut_regions.clear();
        self.cut_links.clear();
        self.slow_hosts.clear();
    }

    /// Returns whether a host is cut from the platform.
    pub fn is_cut_from_platform(&self, host: usize) -> bool {
        let place = self.places[host];
        self.cut_zones.contains(&place.zone) || self.cut_regions.contains(&place.region)
    }

    /// Returns when a message arrives, or `None` if it is lost.
    pub fn send(&mut self, now: Instant, from: usize, to: usize) -> Option<Instant> {
        if self.is_cut(from, to) {
            return None;
        }
        let range = self.range(from, to);
        let jitter = self.random.up_to(range.1 - range.0);
        let extra = self.slow_hosts.get(&from).copied().unwrap_or_default();
        let arrival = now + Duration::from_micros(range.0 + jitter) + extra;
        let link = (from as u32, to as u32);
        let last = self.last_arrival.entry(link).or_insert(arrival);
        *last = arrival.max(*last);
        Some(*last)
    }

    fn range(&self, from: usize, to: usize) -> (u64, u64) {
        let (from, to) = (self.places[from], self.places[to]);
        if from.zone == to.zone {
            ZONE_MICROS
        } else if from.region == to.region {
            REGION_MICROS
        } else {
            WORLD_MICROS
        }
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        let (origin, target) = (self.places[from], self.places[to]);
        let zones_differ = origin.zone != target.zone;
        let regions_differ = origin.region != target.region;
        let is_cut_zone = |place: Place| self.cut_zones.contains(&place.zone);
        let is_cut_region = |place: Place| self.cut_regions.contains(&place.region);
        (zones_differ && (is_cut_zone(origin) || is_cut_zone(target)))
            || (regions_differ && (is_cut_region(origin) || is_cut_region(target)))
            || self.cut_links.contains(&(from, to))
    }
}
