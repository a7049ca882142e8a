//! Relays the age of the last contact with the store from the nodes that watch it to all others.
//!
//! An answered watch proves that its node would have received a change. Each node follows some
//! nodes that precede it in the order of watchers, and reports the latest contact, its own or a
//! reported one, to its followers. A report states the age of the original answer, and reports are
//! sent only from preceding to following nodes: they cannot circulate and appear more recent than
//! they are. A report that was held up on its way, by a partition or a paused process, would do so as well, so it
//! also states when it was sent by the sender's clock: what it took longer than the quickest report of its link is added
//! to the age.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rillgap_core::time::Instant;

use crate::id::LinkId;

/// Age below which a contact is recent: a watch is answered each second, and its report reaches the
/// followers within some milliseconds.
const MAX_CONTACT_AGE: Duration = Duration::from_millis(1_600);
/// Minimum advance of the latest contact for which a report is sent; suppresses reports of a second
/// watcher whose contact has nearly the same age.
const MIN_ADVANCE: Duration = Duration::from_millis(300);
/// Interval at which a node without a recent contact repeats this report, as a keepalive.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(700);

/// Rate at which the clocks of two nodes may drift apart, as a fraction of the time.
const MAX_CLOCK_DRIFT: f64 = 0.001;

/// Report of the last contact with the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ContactReport {
    /// When the report was sent by the clock of the sender, in microseconds.
    pub sent_at_micros: u64,
    /// Age of the contact at that time, in microseconds; `None` if it is not recent.
    pub age_micros: Option<u64>,
}

/// Quickest report on a link, as the difference of the receiver's clock and the sender's.
#[derive(Clone, Copy, Debug)]
struct QuickestReport {
    difference_micros: i64,
    received_at: Instant,
}

impl QuickestReport {
    /// Returns how much longer than the quickest report a report has taken, and records it.
    fn excess(&mut self, now: Instant, difference_micros: i64) -> Duration {
        let elapsed = now.saturating_since(self.received_at).as_micros() as f64;
        let drift = (elapsed * MAX_CLOCK_DRIFT) as i64;
        let quickest = self.difference_micros.saturating_add(drift);
        self.difference_micros = quickest.min(difference_micros);
        self.received_at = now;
        let excess = difference_micros.saturating_sub(self.difference_micros);
        Duration::from_micros(u64::try_from(excess).unwrap_or(0))
    }
}

/// Last report of a followed node.
#[derive(Clone, Copy, Debug)]
struct Report {
    /// When the report arrived.
    received_at: Instant,
    /// When a watching node had contact with the store; `None` if the followed node has no recent
    /// contact.
    contact_at: Option<Instant>,
}

/// Contacts with the store that followed nodes have reported, and what was reported to followers.
#[derive(Clone, Debug, Default)]
pub struct WatchRelay {
    reports: BTreeMap<LinkId, Report>,
    quickest: BTreeMap<LinkId, QuickestReport>,
    followers: BTreeSet<LinkId>,
    /// When the last report was sent to the followers, and the contact that it stated.
    last_sent: Option<(Instant, Option<Instant>)>,
}

impl WatchRelay {
    /// Records a report of a followed node.
    pub fn on_contact_report(&mut self, now: Instant, link: LinkId, report: ContactReport) {
        let sent_at = i64::try_from(report.sent_at_micros).unwrap_or(i64::MAX);
        let received_at = i64::try_from(now.as_micros()).unwrap_or(i64::MAX);
        let difference_micros = received_at.saturating_sub(sent_at);
        let quickest = self.quickest.entry(link).or_insert(QuickestReport {
            difference_micros,
            received_at: now,
        });
        let excess = quickest.excess(now, difference_micros);
        let age = report.age_micros.map(Duration::from_micros);
        let contact_at = age.map(|age| now - age.saturating_add(excess));
        let received_at = now;
        self.reports.insert(
            link,
            Report {
                received_at,
                contact_at,
            },
        );
    }

    /// Records whether the peer on a link follows this node.
    pub fn set_follower(&mut self, link: LinkId, follows: bool) {
        if follows {
            self.followers.insert(link);
        } else {
            self.followers.remove(&link);
        }
    }

    /// Records that this node no longer follows the peer on a link.
    pub fn unfollow(&mut self, link: LinkId) {
        self.reports.remove(&link);
    }

    /// Removes the state of a link that has ended.
    pub fn link_ended(&mut self, link: LinkId) {
        self.reports.remove(&link);
        self.quickest.remove(&link);
        self.followers.remove(&link);
    }

    /// Returns whether the peer on a link has reported a recent contact; `None` if it has reported
    /// nothing yet.
    pub fn has_recent_contact(&self, now: Instant, link: LinkId) -> Option<bool> {
        let report = self.reports.get(&link);
        report.map(|report| is_recent(now, report.contact_at))
    }

    /// Returns when the next recent contact of a followed node ceases to be recent; `None` without
    /// one.
    pub fn next_expiry(&self, now: Instant) -> Option<Instant> {
        let contacts = self.reports.values().filter_map(|report| report.contact_at);
        let expiries = contacts.map(|at| at + MAX_CONTACT_AGE);
        expiries.filter(|expiry| *expiry > now).min()
    }

    /// Returns the number of followed nodes with a recent contact.
    pub fn recent_count(&self, now: Instant) -> usize {
        let reports = self.reports.values();
        reports
            .filter(|report| is_recent(now, report.contact_at))
            .count()
    }

    /// Returns whether a report of any followed node arrived recently.
    pub fn has_recent_report(&self, now: Instant) -> bool {
        let mut reports = self.reports.values();
        reports.any(|report| now.saturating_since(report.received_at) < MAX_CONTACT_AGE)
    }

    /// Returns the age of the latest contact, for the first report to a new follower. `own_contact`
    /// is this node's own last contact with the store, if it watches it.
    pub fn contact_age(&self, now: Instant, own_contact: Option<Instant>) -> Option<Duration> {
        self.latest_contact(now, own_contact)
            .map(|at| now.saturating_since(at))
    }

    /// Returns the followers and the age of the latest contact if a report to them is due.
    /// `own_contact` is this node's own last contact with the store, if it watches it.
    pub fn take_due(
        &mut self,
        now: Instant,
        own_contact: Option<Instant>,
    ) -> Option<(Vec<LinkId>, Option<Duration>)> {
        let latest_contact = self.latest_contact(now, own_contact);
        if self.followers.is_empty() || !self.is_due(now, latest_contact) {
            return None;
        }
        self.last_sent = Some((now, latest_contact));
        let followers = self.followers.iter().copied().collect();
        Some((followers, latest_contact.map(|at| now.saturating_since(at))))
    }

    fn is_due(&self, now: Instant, latest_contact: Option<Instant>) -> bool {
        let Some((sent_at, sent_contact)) = self.last_sent else {
            return true;
        };
        match (sent_contact, latest_contact) {
            (Some(sent), Some(latest)) => latest.saturating_since(sent) >= MIN_ADVANCE,
            (None, None) => now.saturating_since(sent_at) >= KEEPALIVE_INTERVAL,
            _ => true,
        }
    }

    fn latest_contact(&self, now: Instant, own_contact: Option<Instant>) -> Option<Instant> {
        let reports = self.reports.values().filter_map(|report| report.contact_at);
        let latest = reports.chain(own_contact).max();
        latest.filter(|at| is_recent(now, Some(*at)))
    }
}

fn is_recent(now: Instant, contact_at: Option<Instant>) -> bool {
    contact_at.is_some_and(|at| now.saturating_since(at) < MAX_CONTACT_AGE)
}
