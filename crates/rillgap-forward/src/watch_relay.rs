//! News of the store, passed on from the nodes that watch it to all others.
//!
//! A watch that is answered shows that its node would have heard of a change. Each node follows some nodes that
//! precede it in the order of watchers, and passes on the freshest news that it has to those that follow it.
//! News keep the age of the answer they began with, and go only from preceding to following nodes: they cannot
//! run in circles and seem younger than they are.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rillgap_core::time::Instant;

use crate::id::LinkId;

/// Age up to which news count: a watch that is answered each second is told on within some milliseconds.
const FRESH: Duration = Duration::from_millis(1_600);
/// Least advance with which news are passed on: those of a second watcher with nearly the same age are not.
const LEAST_ADVANCE: Duration = Duration::from_millis(300);
/// Time after which a node that has no fresh news says so again, as a sign of life.
const NO_NEWS_INTERVAL: Duration = Duration::from_millis(700);

/// What a followed node has told last.
#[derive(Clone, Copy, Debug)]
struct Report {
    /// When it has told.
    told_at: Instant,
    /// When a watching node had heard of the store; `None` if the followed one knows of none lately.
    heard_at: Option<Instant>,
}

/// News of the store that a node has from those that it follows, and what it has told its followers.
#[derive(Clone, Debug, Default)]
pub struct WatchRelay {
    reports: BTreeMap<LinkId, Report>,
    followers: BTreeSet<LinkId>,
    /// News that the followers were told last, and when.
    told: Option<(Instant, Option<Instant>)>,
}

impl WatchRelay {
    /// Takes in what a followed node tells: the age of its news, `None` if it has no fresh ones.
    pub fn on_contact_report(&mut self, now: Instant, link: LinkId, age: Option<Duration>) {
        let heard_at = age.map(|age| now - age);
        let told_at = now;
        self.reports.insert(link, Report { told_at, heard_at });
    }

    /// Takes in that the peer on a link follows this node, or does not any more.
    pub fn set_follower(&mut self, link: LinkId, follows: bool) {
        if follows {
            self.followers.insert(link);
        } else {
            self.followers.remove(&link);
        }
    }

    /// Takes in that the node does not follow the peer on a link any more.
    pub fn unfollow(&mut self, link: LinkId) {
        self.reports.remove(&link);
    }

    /// Takes in that a link has ended.
    pub fn link_ended(&mut self, link: LinkId) {
        self.reports.remove(&link);
        self.followers.remove(&link);
    }

    /// Returns whether the peer on a link has told fresh news.
    pub fn is_fresh(&self, now: Instant, link: LinkId) -> bool {
        let report = self.reports.get(&link);
        report.is_some_and(|report| is_fresh(now, report.heard_at))
    }

    /// Returns the number of followed nodes with fresh news.
    pub fn fresh_count(&self, now: Instant) -> usize {
        let reports = self.reports.values();
        reports
            .filter(|report| is_fresh(now, report.heard_at))
            .count()
    }

    /// Returns whether a followed node has told anything of late.
    pub fn has_recent_report(&self, now: Instant) -> bool {
        let mut reports = self.reports.values();
        reports.any(|report| now.saturating_since(report.told_at) < FRESH)
    }

    /// Returns the age of the news for a new follower.
    pub fn contact_age(&self, now: Instant, own: Option<Instant>) -> Option<Duration> {
        self.news(now, own).map(|at| now.saturating_since(at))
    }

    /// Returns the followers and the age of the news that they are to be told now, if they are. `own` is when the
    /// node itself has heard of the store, if it watches it.
    pub fn take_due(
        &mut self,
        now: Instant,
        own: Option<Instant>,
    ) -> Option<(Vec<LinkId>, Option<Duration>)> {
        let news = self.news(now, own);
        if self.followers.is_empty() || !self.is_due(now, news) {
            return None;
        }
        self.told = Some((now, news));
        let followers = self.followers.iter().copied().collect();
        Some((followers, news.map(|at| now.saturating_since(at))))
    }

    fn is_due(&self, now: Instant, news: Option<Instant>) -> bool {
        let Some((told_at, told)) = self.told else {
            return true;
        };
        match (told, news) {
            (Some(told), Some(news)) => news.saturating_since(told) >= LEAST_ADVANCE,
            (None, None) => now.saturating_since(told_at) >= NO_NEWS_INTERVAL,
            _ => true,
        }
    }

    fn news(&self, now: Instant, own: Option<Instant>) -> Option<Instant> {
        let reports = self.reports.values().filter_map(|report| report.heard_at);
        let latest = reports.chain(own).max();
        latest.filter(|at| is_fresh(now, Some(*at)))
    }
}

fn is_fresh(now: Instant, heard_at: Option<Instant>) -> bool {
    heard_at.is_some_and(|at| now.saturating_since(at) < FRESH)
}
