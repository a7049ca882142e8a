//! Newer configurations that peers have told of, kept until one is in force.
//!
//! A peer tells the version that it has once on a link: with the introduction, and when it changes. So
//! what was told is remembered for each link for as long as the link lives, and a query that brings
//! nothing is made again, on another link where there is one. The node may not know yet that a link has
//! ended, above all after it stood still, so no single query can be relied on.

use std::collections::BTreeMap;
use std::time::Duration;

use rillgap_core::time::Instant;

use crate::id::LinkId;

/// First and longest time after which a query that has brought nothing is made again. A configuration
/// crosses a link within some ten milliseconds; the longest pause leaves two queries within the shortest
/// time in which the users want a configuration in force (2 s).
const QUERY_PATIENCE: (Duration, Duration) = (Duration::from_millis(300), Duration::from_secs(1));

/// What the peer at the other end of one link has told.
#[derive(Clone, Copy, Debug)]
struct Offer {
    version: u64,
    /// Queries that were sent on the link.
    queries: u32,
    /// When anything was heard on the link.
    heard_at: Instant,
}

/// A query for a configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfigurationQuery {
    /// Link to ask on.
    pub link: LinkId,
    /// Version that the peer has told of.
    pub version: u64,
}

/// Newer configurations that peers have told of.
#[derive(Clone, Debug)]
pub struct ConfigurationOffers {
    by_link: BTreeMap<LinkId, Offer>,
    /// The last query, as long as its answer may still come.
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
    /// Takes in that the peer on a link has a version that is newer than the one in force. It is asked
    /// for at `ask_at` at the earliest. Returns whether no other peer has told of it before.
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

    /// Takes in that something has arrived on a link.
    pub fn on_message(&mut self, now: Instant, link: LinkId) {
        if let Some(offer) = self.by_link.get_mut(&link) {
            offer.heard_at = now;
        }
    }

    /// Takes in that a link has ended. A query that was sent on it is made again at once.
    pub fn link_ended(&mut self, now: Instant, link: LinkId) {
        self.by_link.remove(&link);
        if self.asked.is_some_and(|asked| asked.link == link) {
            self.asked = None;
            self.ask_at = now;
        }
    }

    /// Takes in which version is in force.
    pub fn on_configuration_in_force(&mut self, version: u64) {
        self.by_link.retain(|_, offer| offer.version > version);
        self.asked = self.asked.filter(|asked| asked.version > version);
    }

    /// Returns when [`Self::take_due`] must be called next.
    pub fn next_wake(&self) -> Option<Instant> {
        (!self.by_link.is_empty()).then_some(self.ask_at)
    }

    /// Returns the query that is due, if one is: on the link that was asked least often, of those on the
    /// one that was heard last.
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
