//! Table of the zone digests received from relays, and the counts derived from it.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::id::{PolicyVersion, ViewVersion};
use crate::time::{Instant, micros};

use super::change::ChangeLog;
use super::message::{VersionCount, ZoneDigest};
use super::timing::MAX_DIGEST_AGE;
use super::topology::ZoneId;

/// Value of `age_millis` for evidence that has no known age or is too old for the field.
const AGE_UNKNOWN: u16 = u16::MAX;

/// A received digest.
#[derive(Clone, Debug)]
struct Entry {
    digest: ZoneDigest,
    /// Time of the oldest heartbeat counted in the digest, by the local clock; `None` if unknown.
    evidence: Option<Instant>,
    received: Instant,
}

impl Entry {
    fn is_fresh(&self, now: Instant) -> bool {
        now.saturating_since(self.received) <= MAX_DIGEST_AGE
    }
}

/// Latest digest of each zone and relay.
#[derive(Debug, Default)]
pub struct DigestTable {
    entries: BTreeMap<(ZoneId, u16), Entry>,
    /// When zones appeared in the view; no entry for those that this node found in its first view.
    appeared: BTreeMap<ZoneId, Instant>,
}

impl DigestTable {
    /// Records a digest. Its sender sent it at `sent_after` or later; `None` if that is unknown. A
    /// digest with older evidence than the recorded one is ignored.
    pub fn insert(&mut self, now: Instant, digest: ZoneDigest, sent_after: Option<Instant>) {
        let evidence = sent_after
            .filter(|_| digest.age_millis != AGE_UNKNOWN)
            .map(|sent_after| sent_after - Duration::from_millis(u64::from(digest.age_millis)));
        let key = (digest.zone, digest.rank);
        let known = self.entries.get(&key).and_then(|entry| entry.evidence);
        if known.is_some() && known > evidence && evidence.is_some() {
            return;
        }
        let entry = Entry {
            digest,
            evidence,
            received: now,
        };
        self.entries.insert(key, entry);
    }

    /// Returns the digest with the latest evidence of each zone that `choose` selects, with its
    /// present age. Expired digests are left out.
    pub fn outgoing(&self, now: Instant, choose: impl Fn(ZoneId) -> bool) -> Vec<ZoneDigest> {
        let mut best: BTreeMap<ZoneId, &Entry> = BTreeMap::new();
        for entry in self.entries.values() {
            if !choose(entry.digest.zone) || !entry.is_fresh(now) {
                continue;
            }
            let current = best.entry(entry.digest.zone).or_insert(entry);
            if entry.evidence > current.evidence {
                *current = entry;
            }
        }
        best.into_values()
            .map(|entry| ZoneDigest {
                age_millis: age_millis(now, entry.evidence),
                ..entry.digest.clone()
            })
            .collect()
    }

    /// Records that a zone appeared in the view. Its silence counts from then, so that its first
    /// member is not removed before its first digest.
    pub fn record_zone(&mut self, now: Instant, zone: ZoneId) {
        self.appeared.insert(zone, now);
    }

    /// Returns when the last digest of a zone was received, or the zone appeared if that was later;
    /// `None` if neither is known.
    pub fn last_contact(&self, zone: ZoneId) -> Option<Instant> {
        let received = self.of_zone(zone).map(|entry| entry.received).max();
        received.max(self.appeared.get(&zone).copied())
    }

    /// Returns whether a digest of a zone was received within [`MAX_DIGEST_AGE`].
    pub fn is_fresh(&self, now: Instant, zone: ZoneId) -> bool {
        self.of_zone(zone).any(|entry| entry.is_fresh(now))
    }

    /// Returns the digests of a zone that were received within [`MAX_DIGEST_AGE`].
    pub fn fresh(&self, now: Instant, zone: ZoneId) -> impl Iterator<Item = &ZoneDigest> {
        self.of_zone(zone)
            .filter(move |entry| entry.is_fresh(now))
            .map(|entry| &entry.digest)
    }

    /// Returns a lower bound on the number of members of view `wanted` that have confirmed view
    /// `version` or a later one. Digests of any age count, as a confirmation is never withdrawn.
    pub fn confirmed_views(
        &self,
        log: &ChangeLog,
        wanted: ViewVersion,
        version: ViewVersion,
    ) -> u32 {
        self.sum_zone_maxima(|entry| {
            let count = count(&entry.digest.views, |confirmed| confirmed >= version.0);
            subtract_nonmembers(log, &entry.digest, wanted, count)
        })
    }

    /// Returns a lower bound on the number of members of one zone of view `wanted` that have
    /// confirmed policy `version` or a later one, from digests within [`MAX_DIGEST_AGE`].
    pub fn confirmed_policies(
        &self,
        now: Instant,
        log: &ChangeLog,
        zone: ZoneId,
        wanted: ViewVersion,
        version: PolicyVersion,
    ) -> u32 {
        self.fresh(now, zone)
            .map(|digest| {
                let count = count(&digest.policies, |confirmed| confirmed >= version.0);
                subtract_nonmembers(log, digest, wanted, count)
            })
            .max()
            .unwrap_or(0)
    }

    /// Returns the latest time at which, by the digests, a majority of the `size` members of `view`
    /// had confirmed no later view.
    pub fn majority_evidence(
        &self,
        log: &ChangeLog,
        view: ViewVersion,
        size: usize,
    ) -> Option<Instant> {
        let mut zones: BTreeMap<ZoneId, (Instant, u32)> = BTreeMap::new();
        for entry in self.entries.values() {
            let Some(evidence) = entry.evidence else {
                continue;
            };
            let members = count(&entry.digest.views, |confirmed| confirmed <= view.0);
            let members = subtract_nonmembers(log, &entry.digest, view, members);
            let best = zones
                .entry(entry.digest.zone)
                .or_insert((evidence, members));
            if (evidence, members) > *best {
                *best = (evidence, members);
            }
        }
        let mut zones: Vec<_> = zones.into_values().collect();
        zones.sort_unstable_by(|left, right| right.cmp(left));
        let mut sum = 0;
        for (evidence, members) in zones {
            sum += members as usize;
            if 2 * sum > size {
                return Some(evidence);
            }
        }
        None
    }

    /// Drops all digests, as their age cannot be trusted after a process pause.
    pub fn reset(&mut self) {
        self.entries.clear();
    }

    /// Drops the state of the zones for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(ZoneId) -> bool) {
        self.entries.retain(|(zone, _), _| keep(*zone));
        self.appeared.retain(|zone, _| keep(*zone));
    }

    fn of_zone(&self, zone: ZoneId) -> impl Iterator<Item = &Entry> {
        self.entries
            .range((zone, 0)..=(zone, u16::MAX))
            .map(|(_, entry)| entry)
    }

    /// Returns the sum over all zones of the highest value among the zone's digests.
    fn sum_zone_maxima(&self, value: impl Fn(&Entry) -> u32) -> u32 {
        let mut zones: BTreeMap<ZoneId, u32> = BTreeMap::new();
        for entry in self.entries.values() {
            let best = zones.entry(entry.digest.zone).or_default();
            *best = (*best).max(value(entry));
        }
        zones.into_values().sum()
    }
}

/// Returns the age of evidence in milliseconds, rounded up; [`AGE_UNKNOWN`] if there is none.
pub fn age_millis(now: Instant, evidence: Option<Instant>) -> u16 {
    let Some(evidence) = evidence else {
        return AGE_UNKNOWN;
    };
    let millis = micros(now.saturating_since(evidence)).div_ceil(1_000);
    u16::try_from(millis).unwrap_or(AGE_UNKNOWN)
}

fn count(counts: &[VersionCount], is_counted: impl Fn(u64) -> bool) -> u32 {
    counts
        .iter()
        .filter(|entry| is_counted(entry.version))
        .map(|entry| u32::from(entry.members))
        .sum()
}

/// Subtracts the members that the digest may have counted although they are not in view `wanted`;
/// returns 0 if the change log does not cover both views.
fn subtract_nonmembers(
    log: &ChangeLog,
    digest: &ZoneDigest,
    wanted: ViewVersion,
    count: u32,
) -> u32 {
    log.max_nonmembers(digest.zone, digest.view, wanted)
        .map_or(0, |nonmembers| count.saturating_sub(nonmembers))
}
