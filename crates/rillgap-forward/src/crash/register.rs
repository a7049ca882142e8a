//! Register of the crash evidence that a node has, by content.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rillgap_core::id::Fingerprint;
use rillgap_core::time::Instant;

use super::evidence::{Evidence, Suspicion};
use super::recent_answers::RecentAnswers;
use super::{ContentEvidence, CrashId, CrashRecord, EvidenceStrength, Suspect};
use crate::incarnation::Incarnation;

/// Maximum number of contents with evidence. They take 1 MB at most.
const MAX_CONTENTS: usize = 4_096;

/// Interval at which expired evidence is evicted.
const EVICTION_INTERVAL: Duration = Duration::from_secs(5);

/// Maximum age of crashes that count as one series.
const CRASH_SERIES_WINDOW: Duration = Duration::from_secs(10);
/// Number of unexplained crashes in one series from which the evidence against a request is weak. A
/// crash is unexplained if the request was not in flight and no other one was the only suspect:
/// with so many of them, the request may have been in flight at other crashes by chance. One or two
/// may be the first crashes of another request that crashes back ends.
const MIN_UNEXPLAINED_CRASHES: usize = 3;

/// A content whose suspicion has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SuspicionChange {
    /// The content.
    pub content: Fingerprint,
    /// The new suspicion.
    pub suspicion: Suspicion,
    /// Number of crashes at which a request with this content was in flight.
    pub crashes: usize,
    /// Number of these crashes at which it was the only suspect.
    pub crashes_as_only_suspect: usize,
}

/// Crash evidence that a node has, by content.
#[derive(Clone, Debug, Default)]
pub struct CrashRegister {
    contents: BTreeMap<Fingerprint, Evidence>,
    /// Contents that the back end beside the node has answered recently.
    recent_answers: RecentAnswers,
    /// Contents that are recurrent or quarantined. Only these affect requests at their entry node.
    recurrent: BTreeSet<Fingerprint>,
    /// Contents whose evidence must be sent to peers.
    changed: BTreeSet<Fingerprint>,
    changes: Vec<SuspicionChange>,
    next_eviction: Instant,
}

impl CrashRegister {
    /// Returns whether there is no evidence, so that no request need be looked up.
    pub fn is_empty(&self) -> bool {
        self.contents.is_empty()
    }

    /// Returns whether there are recurrent or quarantined contents, which entry nodes must check
    /// for.
    pub fn has_recurrent(&self) -> bool {
        !self.recurrent.is_empty()
    }

    /// Returns the number of quarantined contents.
    pub fn quarantined(&self, now: Instant) -> usize {
        let recurrent = self.recurrent.iter();
        recurrent
            .filter(|content| self.suspicion(now, **content) == Suspicion::Quarantined)
            .count()
    }

    /// Returns the suspicion against a content.
    pub fn suspicion(&self, now: Instant, content: Fingerprint) -> Suspicion {
        let evidence = self.contents.get(&content);
        evidence.map_or(Suspicion::Clear, |evidence| evidence.suspicion(now))
    }

    /// Returns the time until the quarantine of a content ends, in milliseconds; zero without
    /// evidence.
    pub fn quarantine_remaining_millis(&self, now: Instant, content: Fingerprint) -> u32 {
        let evidence = self.contents.get(&content);
        let left = evidence.map_or(Duration::ZERO, |known| known.quarantine_remaining(now));
        u32::try_from(left.as_millis()).unwrap_or(u32::MAX)
    }

    /// Records that a back end has crashed while these requests were in flight.
    pub fn on_crash(&mut self, now: Instant, incarnation: &Incarnation, suspects: &[Suspect]) {
        let crash = CrashId::of(incarnation);
        for suspect in suspects {
            let record = CrashRecord {
                crash,
                strength: self.evidence_strength(now, crash, suspect),
                age_micros: 0,
            };
            let evidence = ContentEvidence {
                content: suspect.content,
                crashes: vec![record],
                is_exonerated: false,
            };
            self.merge_one(now, &evidence);
        }
    }

    fn evidence_strength(
        &self,
        now: Instant,
        crash: CrashId,
        suspect: &Suspect,
    ) -> EvidenceStrength {
        if !suspect.was_only_suspect {
            return EvidenceStrength::Inconclusive;
        }
        if self.unexplained_crashes(now, crash, suspect.content) >= MIN_UNEXPLAINED_CRASHES {
            EvidenceStrength::Weak
        } else {
            EvidenceStrength::Strong
        }
    }

    /// Returns the number of recent crashes, not counting `current`, at which a content was not in
    /// flight and no other content was the only suspect.
    fn unexplained_crashes(&self, now: Instant, current: CrashId, content: Fingerprint) -> usize {
        let mut explained: BTreeMap<CrashId, bool> = BTreeMap::new();
        for known in self.contents.values() {
            for (crash, was_only_suspect) in known.recent(now, CRASH_SERIES_WINDOW) {
                *explained.entry(crash).or_default() |= was_only_suspect;
            }
        }
        let own = self.contents.get(&content);
        let was_in_flight = |crash: CrashId| {
            crash == current || own.is_some_and(|known| known.was_in_flight_at(crash))
        };
        let unexplained = explained.iter().filter(|(_, is_explained)| !**is_explained);
        unexplained
            .filter(|(crash, _)| !was_in_flight(**crash))
            .count()
    }

    /// Records that a back end has answered a request completely.
    pub fn on_answer(&mut self, now: Instant, content: Fingerprint) {
        self.recent_answers.record(now, content);
        let Some(evidence) = self.contents.get_mut(&content) else {
            return;
        };
        let before = evidence.suspicion(now);
        if evidence.exonerate() {
            self.record_change(now, content, before);
        }
    }

    /// Merges the evidence of a peer. Returns whether this node exonerates any of it, of which the
    /// peer has no record.
    pub fn merge(&mut self, now: Instant, evidence: &[ContentEvidence]) -> bool {
        let mut exonerates = false;
        for message in evidence {
            exonerates |= self.merge_one(now, message);
        }
        exonerates
    }

    /// Merges the evidence against one content. Returns whether this node has exonerated the
    /// content because of an earlier answer.
    fn merge_one(&mut self, now: Instant, message: &ContentEvidence) -> bool {
        let is_new = !self.contents.contains_key(&message.content);
        if is_new {
            if Evidence::from_message(now, message).is_expired(now) {
                return false;
            }
            self.evict_if_full(now);
        }
        let evidence = self.contents.entry(message.content).or_default();
        let before = evidence.suspicion(now);
        let has_changed = evidence.merge(now, message);
        let was_answered = is_new && self.recent_answers.contains(now, message.content);
        let exonerates = was_answered && evidence.exonerate();
        if has_changed || exonerates {
            self.record_change(now, message.content, before);
        }
        exonerates
    }

    /// Records that the evidence against a content has changed.
    fn record_change(&mut self, now: Instant, content: Fingerprint, before: Suspicion) {
        let Some(evidence) = self.contents.get(&content) else {
            return;
        };
        self.changed.insert(content);
        let suspicion = evidence.suspicion(now);
        if suspicion >= Suspicion::Recurrent {
            self.recurrent.insert(content);
        } else {
            self.recurrent.remove(&content);
        }
        let is_relevant = suspicion.max(before) >= Suspicion::Recurrent;
        if suspicion != before && is_relevant {
            self.changes.push(SuspicionChange {
                content,
                suspicion,
                crashes: evidence.crashes(),
                crashes_as_only_suspect: evidence.crashes_as_only_suspect(),
            });
        }
    }

    /// Evicts the least important evidence if the register is full. Many contents of a single crash
    /// must not evict the evidence against those that were in flight at several.
    fn evict_if_full(&mut self, now: Instant) {
        if self.contents.len() < MAX_CONTENTS {
            return;
        }
        let weight = |known: &Evidence| (known.suspicion(now), Reverse(known.age(now)));
        let lightest = self.contents.iter().min_by_key(|(_, known)| weight(known));
        if let Some(content) = lightest.map(|(content, _)| *content) {
            self.remove(content);
        }
    }

    fn remove(&mut self, content: Fingerprint) {
        self.contents.remove(&content);
        self.recurrent.remove(&content);
        self.changed.remove(&content);
    }

    /// Evicts expired evidence.
    pub fn evict_expired(&mut self, now: Instant) {
        if self.contents.is_empty() || now < self.next_eviction {
            return;
        }
        self.next_eviction = now + EVICTION_INTERVAL;
        let expired = self
            .contents
            .iter()
            .filter(|(_, known)| known.is_expired(now));
        let expired: Vec<Fingerprint> = expired.map(|(content, _)| *content).collect();
        for content in expired {
            self.remove(content);
        }
    }

    /// Takes the evidence that has changed since the last call. Evidence of several crashes is sent
    /// to all nodes. The rest is sent only to nodes beside back ends of the same service, which
    /// need it to detect the second crash of a content.
    pub fn take_updates(&mut self, now: Instant) -> EvidenceUpdate {
        let contents = std::mem::take(&mut self.changed);
        let changed = contents.iter().filter_map(|content| {
            let evidence = self.contents.get(content)?;
            Some((content, evidence))
        });
        sort_evidence(now, changed)
    }

    /// Returns all evidence, for a peer that may have none.
    pub fn all_evidence(&self, now: Instant) -> EvidenceUpdate {
        sort_evidence(now, self.contents.iter())
    }

    /// Takes the changes of suspicions since the last call.
    pub fn take_changes(&mut self) -> Vec<SuspicionChange> {
        std::mem::take(&mut self.changes)
    }
}

/// Evidence to be sent to peers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvidenceUpdate {
    /// Evidence for all nodes.
    pub for_all: Vec<ContentEvidence>,
    /// Evidence only for nodes beside back ends of the same service.
    pub for_service: Vec<ContentEvidence>,
}

/// Sorts evidence by the nodes to which it is sent.
fn sort_evidence<'a>(
    now: Instant,
    evidence: impl Iterator<Item = (&'a Fingerprint, &'a Evidence)>,
) -> EvidenceUpdate {
    let mut sorted = EvidenceUpdate::default();
    for (content, known) in evidence {
        let message = known.to_message(now, *content);
        if known.has_several_crashes() {
            sorted.for_all.push(message);
        } else {
            sorted.for_service.push(message);
        }
    }
    sorted
}
