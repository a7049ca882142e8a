//! Newer configuration versions offered by peers, kept until one of them is in force.
//!
//! A peer offers a version only once per link: with its hello, and when its version changes. Offers
//! are therefore kept for each link until the link ends, and a query that brings no configuration
//! is retried, if possible on another link. No single query is reliable, since the node may not
//! have detected yet that a link has ended, in particular after its process was suspended.

use std::collections::BTreeMap;
use std::time::Duration;

use rillgap_core::time::Instant;

use crate::id::LinkId;

/// Initial and maximum backoff after a query that has brought no configuration. A configuration
/// crosses a link within some ten milliseconds; the maximum leaves time for two queries within the
/// shortest time in which users require a configuration to be in force (2 s).
const QUERY_BACKOFF: (Duration, Duration) = (Duration::from_millis(300), Duration::from_secs(1));

/// The offer of the peer on one link.
#[derive(Clone, Copy, Debug)]
struct Offer {
    version: u64,
    /// Number of queries sent on the link.
    queries: u32,
    /// When the last message arrived on the link.
    last_received_at: Instant,
}

/// A query for a configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfigurationQuery {
    /// Link on which to send the query.
    pub link: LinkId,
    /// Version that the peer has offered.
    pub version: u64,
}

/// Newer configuration versions offered by peers.
#[derive(Clone, Debug)]
pub struct ConfigurationOffers {
    by_link: BTreeMap<LinkId, Offer>,
    /// The last query, while its answer may still arrive.
    outstanding: Option<ConfigurationQuery>,
    /// When the next query is due; meaningless while there is no offer.
    query_at: Instant,
    backoff: Duration,
}

impl Default for ConfigurationOffers {
    fn default() -> Self {
        Self {
            by_link: BTreeMap::new(),
            outstanding: None,
            query_at: Instant::default(),
            backoff: QUERY_BACKOFF.0,
        }
    }
}

impl ConfigurationOffers {
    /// Records that the peer on a link offers a version newer than the one in force. The first
    /// query for it is sent no earlier than `query_at`. Returns whether no other peer has offered
    /// it before.
    pub fn on_offer(
        &mut self,
        now: Instant,
        link: LinkId,
        version: u64,
        query_at: Instant,
    ) -> bool {
        let is_first = self.highest_version() < Some(version);
        let queries = self.by_link.get(&link).map_or(0, |offer| offer.queries);
        let offer = Offer {
            version,
            queries,
            last_received_at: now,
        };
        self.by_link.insert(link, offer);
        let is_queried = self
            .outstanding
            .is_some_and(|query| query.version >= version);
        if is_first && !is_queried {
            self.query_at = query_at;
            self.backoff = QUERY_BACKOFF.0;
        }
        is_first
    }

    /// Records that a message has arrived on a link.
    pub fn on_message(&mut self, now: Instant, link: LinkId) {
        if let Some(offer) = self.by_link.get_mut(&link) {
            offer.last_received_at = now;
        }
    }

    /// Removes the offer of a link that has ended. An outstanding query on it is retried at once.
    pub fn link_ended(&mut self, now: Instant, link: LinkId) {
        self.by_link.remove(&link);
        if self.outstanding.is_some_and(|query| query.link == link) {
            self.outstanding = None;
            self.query_at = now;
        }
    }

    /// Drops the offers that are not newer than the version in force.
    pub fn on_configuration_in_force(&mut self, version: u64) {
        self.by_link.retain(|_, offer| offer.version > version);
        self.outstanding = self.outstanding.filter(|query| query.version > version);
    }

    /// Returns when [`Self::take_due`] must be called next.
    pub fn next_wake(&self) -> Option<Instant> {
        (!self.by_link.is_empty()).then_some(self.query_at)
    }

    /// Returns the query that is due, if any. It goes to the link with the fewest queries so far,
    /// among equals to the one with the latest message.
    pub fn take_due(&mut self, now: Instant) -> Option<ConfigurationQuery> {
        if self.query_at > now {
            return None;
        }
        let offers = self.by_link.iter_mut();
        let (link, offer) = offers.min_by_key(|(link, offer)| {
            let latest_first = std::cmp::Reverse((offer.last_received_at, **link));
            (offer.queries, latest_first)
        })?;
        offer.queries += 1;
        let query = ConfigurationQuery {
            link: *link,
            version: offer.version,
        };
        self.outstanding = Some(query);
        self.query_at = now + self.backoff;
        self.backoff = (self.backoff * 2).min(QUERY_BACKOFF.1);
        Some(query)
    }

    fn highest_version(&self) -> Option<u64> {
        self.by_link.values().map(|offer| offer.version).max()
    }
}
