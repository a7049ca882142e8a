//! Collects evidence of which requests crash back ends. Requests are identified by the fingerprint
//! of their content; see the [module documentation](super).

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
/// Minimum number of unexplained crashes in one series for which the evidence against a request is
/// weak. From the view of a request, a crash is unexplained if that request was not in flight and
/// no other request was the only suspect. With so many unexplained crashes, the request may have
/// been in flight at the others by chance. Fewer do not weaken the evidence: they may be the first
/// crashes caused by another request.
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

/// Crash evidence held by a node, by content fingerprint.
#[derive(Clone, Debug, Default)]
pub struct CrashRegister {
    contents: BTreeMap<Fingerprint, Evidence>,
    /// Contents that the local back end has answered recently.
    recent_answers: RecentAnswers,
    /// Contents with suspicion [`Suspicion::Recurrent`] or higher. Entry nodes check requests for
    /// these only.
    recurrent_or_quarantined: BTreeSet<Fingerprint>,
    /// Contents whose evidence must be sent to peers.
    unsent: BTreeSet<Fingerprint>,
    /// Changes of suspicion that were not yet taken to be logged.
    suspicion_changes: Vec<SuspicionChange>,
    next_eviction: Instant,
}

impl CrashRegister {
    /// Returns whether there is no evidence, in which case requests do not have to be looked up.
    pub fn is_empty(&self) -> bool {
        self.contents.is_empty()
    }

    /// Returns whether there are recurrent or quarantined contents, which entry nodes must check
    /// for.
    pub fn has_recurrent(&self) -> bool {
        !self.recurrent_or_quarantined.is_empty()
    }

    /// Returns the number of quarantined contents.
    pub fn quarantined(&self, now: Instant) -> usize {
        let contents = self.recurrent_or_quarantined.iter();
        contents
            .filter(|content| self.suspicion(now, **content) == Suspicion::Quarantined)
            .count()
    }

    /// Returns the suspicion against a content.
    pub fn suspicion(&self, now: Instant, content: Fingerprint) -> Suspicion {
        let evidence = self.contents.get(&content);
        evidence.map_or(Suspicion::Clear, |evidence| evidence.suspicion(now))
    }

    /// Returns the time, in milliseconds, until a quarantine that began with the last crash of a
    /// content ends; zero without evidence. The result does not show whether the content is
    /// quarantined.
    pub fn quarantine_remaining_millis(&self, now: Instant, content: Fingerprint) -> u32 {
        let evidence = self.contents.get(&content);
        let left = evidence.map_or(Duration::ZERO, |evidence| {
            evidence.quarantine_remaining(now)
        });
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
        for evidence in self.contents.values() {
            for (crash, was_only_suspect) in evidence.recent(now, CRASH_SERIES_WINDOW) {
                *explained.entry(crash).or_default() |= was_only_suspect;
            }
        }
        let own = self.contents.get(&content);
        let was_in_flight = |crash: CrashId| {
            crash == current || own.is_some_and(|evidence| evidence.was_in_flight_at(crash))
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

    /// Merges the evidence of a peer. Returns whether this node has exonerated any of these
    /// contents because of an earlier answer. The exoneration must be sent to the peer too, which
    /// does not have it.
    pub fn merge(&mut self, now: Instant, evidence: &[ContentEvidence]) -> bool {
        let mut exonerates = false;
        for content_evidence in evidence {
            exonerates |= self.merge_one(now, content_evidence);
        }
        exonerates
    }

    /// Merges the evidence against one content. Returns whether this node has exonerated the
    /// content because of an earlier answer.
    fn merge_one(&mut self, now: Instant, content_evidence: &ContentEvidence) -> bool {
        let is_new = !self.contents.contains_key(&content_evidence.content);
        if is_new {
            if Evidence::from_message(now, content_evidence).is_expired(now) {
                return false;
            }
            self.evict_if_full(now);
        }
        let evidence = self.contents.entry(content_evidence.content).or_default();
        let before = evidence.suspicion(now);
        let has_changed = evidence.merge(now, content_evidence);
        let was_answered = is_new && self.recent_answers.contains(now, content_evidence.content);
        let exonerates = was_answered && evidence.exonerate();
        if has_changed || exonerates {
            self.record_change(now, content_evidence.content, before);
        }
        exonerates
    }

    /// Records that the evidence against a content has changed.
    fn record_change(&mut self, now: Instant, content: Fingerprint, before: Suspicion) {
        let Some(evidence) = self.contents.get(&content) else {
            return;
        };
        self.unsent.insert(content);
        let suspicion = evidence.suspicion(now);
        if suspicion >= Suspicion::Recurrent {
            self.recurrent_or_quarantined.insert(content);
        } else {
            self.recurrent_or_quarantined.remove(&content);
        }
        let is_reported = suspicion.max(before) >= Suspicion::Recurrent;
        if suspicion != before && is_reported {
            self.suspicion_changes.push(SuspicionChange {
                content,
                suspicion,
                crashes: evidence.crashes(),
                crashes_as_only_suspect: evidence.crashes_as_only_suspect(),
            });
        }
    }

    /// Evicts the evidence with the lowest suspicion if the register is full; among equals, that
    /// with the oldest last crash. Contents that were in flight at one crash, however many, must
    /// not displace those that were in flight at several crashes.
    fn evict_if_full(&mut self, now: Instant) {
        if self.contents.len() < MAX_CONTENTS {
            return;
        }
        let priority = |evidence: &Evidence| (evidence.suspicion(now), Reverse(evidence.age(now)));
        let least_important = self
            .contents
            .iter()
            .min_by_key(|(_, evidence)| priority(evidence));
        if let Some(content) = least_important.map(|(content, _)| *content) {
            self.remove(content);
        }
    }

    fn remove(&mut self, content: Fingerprint) {
        self.contents.remove(&content);
        self.recurrent_or_quarantined.remove(&content);
        self.unsent.remove(&content);
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
            .filter(|(_, evidence)| evidence.is_expired(now));
        let expired: Vec<Fingerprint> = expired.map(|(content, _)| *content).collect();
        for content in expired {
            self.remove(content);
        }
    }

    /// Takes the evidence that has changed since the last call. Evidence of several crashes is sent
    /// to all nodes. The rest is sent only to nodes with a local back end of the same service,
    /// which need it to detect the second crash of a content.
    pub fn take_unsent_evidence(&mut self, now: Instant) -> EvidenceUpdate {
        let contents = std::mem::take(&mut self.unsent);
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

    /// Takes the changes of suspicion since the last call, which are to be logged. Changes between
    /// clear and suspected are not included.
    pub fn take_suspicion_changes(&mut self) -> Vec<SuspicionChange> {
        std::mem::take(&mut self.suspicion_changes)
    }
}

/// Evidence to be sent to peers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvidenceUpdate {
    /// Evidence for all nodes.
    pub for_all: Vec<ContentEvidence>,
    /// Evidence only for nodes with a local back end of the same service.
    pub for_service: Vec<ContentEvidence>,
}

/// Sorts evidence by the nodes to which it is sent.
fn sort_evidence<'a>(
    now: Instant,
    evidence: impl Iterator<Item = (&'a Fingerprint, &'a Evidence)>,
) -> EvidenceUpdate {
    let mut sorted = EvidenceUpdate::default();
    for (content, evidence) in evidence {
        let message = evidence.to_message(now, *content);
        if evidence.has_several_crashes() {
            sorted.for_all.push(message);
        } else {
            sorted.for_service.push(message);
        }
    }
    sorted
}
