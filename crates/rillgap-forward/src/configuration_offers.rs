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
const QUERY_PATIENCE: (Duration, Duration) = (Duration::from_millis(300), Duration::from_secs(1));

/// The offer of the peer on one link.
#[derive(Clone, Copy, Debug)]
struct Offer {
    version: u64,
    /// Number of queries sent on the link.
    queries: u32,
    /// When the last message arrived on the link.
    heard_at: Instant,
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
    asked: Option<ConfigurationQuery>,
    /// When the next query is due; meaningless while there is no offer.
    ask_at: Instant,
    pause: Duration,
}

impl Default for ConfigurationOffers {
    fn default() -> Self {
        Self {
            by_link: BTreeMap::new(),
            asked: None,
            ask_at: Instant::default(),
            pause: QUERY_PATIENCE.0,
        }
    }
}

impl ConfigurationOffers {
    /// Records that the peer on a link offers a version newer than the one in force. The first
    /// query for it is sent no earlier than `ask_at`. Returns whether no other peer has offered it
    /// before.
    pub fn on_offer(&mut self, now: Instant, link: LinkId, version: u64, ask_at: Instant) -> bool {
        let is_first = self.highest() < Some(version);
        let queries = self.by_link.get(&link).map_or(0, |offer| offer.queries);
        let offer = Offer {
            version,
            queries,
            heard_at: now,
        };
        self.by_link.insert(link, offer);
        let is_asked = self.asked.is_some_and(|asked| asked.version >= version);
        if is_first && !is_asked {
            self.ask_at = ask_at;
            self.pause = QUERY_PATIENCE.0;
        }
        is_first
    }

    /// Records that a message has arrived on a link.
    pub fn on_message(&mut self, now: Instant, link: LinkId) {
        if let Some(offer) = self.by_link.get_mut(&link) {
            offer.heard_at = now;
        }
    }

    /// Removes the offer of a link that has ended. An outstanding query on it is retried at once.
    pub fn link_ended(&mut self, now: Instant, link: LinkId) {
        self.by_link.remove(&link);
        if self.asked.is_some_and(|asked| asked.link == link) {
            self.asked = None;
            self.ask_at = now;
        }
    }

    /// Drops the offers that are not newer than the version in force.
    pub fn on_configuration_in_force(&mut self, version: u64) {
        self.by_link.retain(|_, offer| offer.version > version);
        self.asked = self.asked.filter(|asked| asked.version > version);
    }

    /// Returns when [`Self::take_due`] must be called next.
    pub fn next_wake(&self) -> Option<Instant> {
        (!self.by_link.is_empty()).then_some(self.ask_at)
    }

    /// Returns the query that is due, if any. It goes to the link with the fewest queries so far,
    /// among equals to the one with the latest message.
    pub fn take_due(&mut self, now: Instant) -> Option<ConfigurationQuery> {
        if self.ask_at > now {
            return None;
        }
        let offers = self.by_link.iter_mut();
        let (link, offer) = offers.min_by_key(|(link, offer)| {
            let latest_first = std::cmp::Reverse((offer.heard_at, **link));
            (offer.queries, latest_first)
        })?;
        offer.queries += 1;
        let query = ConfigurationQuery {
            link: *link,
            version: offer.version,
        };
        self.asked = Some(query);
        self.ask_at = now + self.pause;
        self.pause = (self.pause * 2).min(QUERY_PATIENCE.1);
        Some(query)
    }

    fn highest(&self) -> Option<u64> {
        self.by_link.values().map(|offer| offer.version).max()
    }
}
