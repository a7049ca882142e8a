//! All evidence that a node knows.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rillgap_core::id::Fingerprint;
use rillgap_core::time::Instant;

use super::answered::RecentAnswers;
use super::evidence::{Evidence, Suspicion};
use super::{ContentEvidence, CrashId, CrashRecord, EvidenceStrength, Suspect};
use crate::incarnation::Incarnation;

/// Contents that evidence is kept of: a megabyte at most.
const MOST_CONTENTS: usize = 4_096;

/// Time between two looks for evidence that is too old.
const CLEANING_INTERVAL: Duration = Duration::from_secs(5);

/// Age up to which crashes are taken for one series.
const SERIES: Duration = Duration::from_secs(10);
/// Crashes without a request and without a known reason in one series from which the request may have been at others by
/// chance. One or two may be the first crashes of another request of this kind.
const SERIES_CRASHES: usize = 3;

/// A content whose standing has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SuspicionChange {
    /// The content.
    pub content: Fingerprint,
    /// Its new standing.
    pub suspicion: Suspicion,
    /// Crashes at which such a request was under way.
    pub crashes: usize,
    /// Crashes among them at which it was the only suspect.
    pub crashes_as_only_suspect: usize,
}

/// All evidence that a node knows.
#[derive(Clone, Debug, Default)]
pub struct CrashRegister {
    contents: BTreeMap<Fingerprint, Evidence>,
    /// What the back end beside the node has answered lately.
    answered: RecentAnswers,
    /// Contents that are recurrent or quarantined: only these make a difference at an entry.
    watched: BTreeSet<Fingerprint>,
    /// Contents of which peers are to be told.
    news: BTreeSet<Fingerprint>,
    changes: Vec<SuspicionChange>,
    next_cleaning: Instant,
}

impl CrashRegister {
    /// Returns whether nothing is known, so that no request need be looked up.
    pub fn is_empty(&self) -> bool {
        self.contents.is_empty()
    }

    /// Returns whether an entry treats some contents in another way than others.
    pub fn has_recurrent(&self) -> bool {
        !self.watched.is_empty()
    }

    /// Returns the number of quarantined contents.
    pub fn quarantined(&self, now: Instant) -> usize {
        let watched = self.watched.iter();
        watched
            .filter(|content| self.suspicion(now, **content) == Suspicion::Quarantined)
            .count()
    }

    /// Returns the standing of a content.
    pub fn suspicion(&self, now: Instant, content: Fingerprint) -> Suspicion {
        let evidence = self.contents.get(&content);
        evidence.map_or(Suspicion::Clear, |evidence| evidence.suspicion(now))
    }

    /// Returns the time until the quarantine of a content ends, in milliseconds.
    pub fn quarantine_remaining_millis(&self, now: Instant, content: Fingerprint) -> u32 {
        let evidence = self.contents.get(&content);
        let left = evidence.map_or(Duration::ZERO, |known| known.quarantine_left(now));
        u32::try_from(left.as_millis()).unwrap_or(u32::MAX)
    }

    /// Takes in that a back end has ended while these requests were under way.
    pub fn on_crash(&mut self, now: Instant, incarnation: &Incarnation, suspects: &[Suspect]) {
        let crash = CrashId::of(incarnation);
        for suspect in suspects {
            let record = CrashRecord {
                crash,
                strength: self.strength(now, crash, suspect),
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

    fn strength(&self, now: Instant, crash: CrashId, suspect: &Suspect) -> EvidenceStrength {
        if !suspect.was_alone {
            return EvidenceStrength::Inconclusive;
        }
        if self.unexplained_crashes(now, crash, suspect.content) >= SERIES_CRASHES {
            EvidenceStrength::Weak
        } else {
            EvidenceStrength::Strong
        }
    }

    /// Returns at how many recent crashes, besides `this` one, a request was not under way and no other was the only suspect.
    fn unexplained_crashes(&self, now: Instant, this: CrashId, content: Fingerprint) -> usize {
        let mut explained: BTreeMap<CrashId, bool> = BTreeMap::new();
        for known in self.contents.values() {
            for (crash, was_alone) in known.recent(now, SERIES) {
                *explained.entry(crash).or_default() |= was_alone;
            }
        }
        let own = self.contents.get(&content);
        let was_there = |crash: CrashId| crash == this || own.is_some_and(|known| known.has(crash));
        let unexplained = explained.iter().filter(|(_, is_explained)| !**is_explained);
        unexplained.filter(|(crash, _)| !was_there(**crash)).count()
    }

    /// Takes in that a back end has answered a request whole.
    pub fn on_answer(&mut self, now: Instant, content: Fingerprint) {
        self.answered.record(now, content);
        let Some(evidence) = self.contents.get_mut(&content) else {
            return;
        };
        let before = evidence.suspicion(now);
        if evidence.exonerate() {
            self.note(now, content, before);
        }
    }

    /// Takes in what a peer knows; returns whether this node exonerates any of it, which the peer does not know.
    pub fn merge(&mut self, now: Instant, evidence: &[ContentEvidence]) -> bool {
        let mut exonerates = false;
        for told in evidence {
            exonerates |= self.merge_one(now, told);
        }
        exonerates
    }

    /// Takes in what is known of one content; returns whether this node has exonerated it for an earlier answer.
    fn merge_one(&mut self, now: Instant, told: &ContentEvidence) -> bool {
        let is_new = !self.contents.contains_key(&told.content);
        if is_new {
            if Evidence::heard(now, told).is_over(now) {
                return false;
            }
            self.make_room(now);
        }
        let evidence = self.contents.entry(told.content).or_default();
        let before = evidence.suspicion(now);
        let is_news = evidence.merge(now, told);
        let was_answered = is_new && self.answered.contains(now, told.content);
        let exonerates = was_answered && evidence.exonerate();
        if is_news || exonerates {
            self.note(now, told.content, before);
        }
        exonerates
    }

    /// Notes that the evidence against a content has changed.
    fn note(&mut self, now: Instant, content: Fingerprint, before: Suspicion) {
        let Some(evidence) = self.contents.get(&content) else {
            return;
        };
        self.news.insert(content);
        let suspicion = evidence.suspicion(now);
        if suspicion >= Suspicion::Recurrent {
            self.watched.insert(content);
        } else {
            self.watched.remove(&content);
        }
        let matters = suspicion.max(before) >= Suspicion::Recurrent;
        if suspicion != before && matters {
            self.changes.push(SuspicionChange {
                content,
                suspicion,
                crashes: evidence.crashes(),
                crashes_as_only_suspect: evidence.crashes_as_only_suspect(),
            });
        }
    }

    /// Forgets what weighs least if there is no room for another content: many contents at one crash must not
    /// push out what is known of those that were under way at several.
    fn make_room(&mut self, now: Instant) {
        if self.contents.len() < MOST_CONTENTS {
            return;
        }
        let weight = |known: &Evidence| (known.suspicion(now), Reverse(known.age(now)));
        let lightest = self.contents.iter().min_by_key(|(_, known)| weight(known));
        if let Some(content) = lightest.map(|(content, _)| *content) {
            self.forget(content);
        }
    }

    fn forget(&mut self, content: Fingerprint) {
        self.contents.remove(&content);
        self.watched.remove(&content);
        self.news.remove(&content);
    }

    /// Forgets what is too old to matter.
    pub fn forget_old(&mut self, now: Instant) {
        if self.contents.is_empty() || now < self.next_cleaning {
            return;
        }
        self.next_cleaning = now + CLEANING_INTERVAL;
        let over = self.contents.iter().filter(|(_, known)| known.is_over(now));
        let over: Vec<Fingerprint> = over.map(|(content, _)| *content).collect();
        for content in over {
            self.forget(content);
        }
    }

    /// Takes the evidence that has changed since the last time: what concerns all nodes, and what only those
    /// beside back ends of the same service need, to see that a content comes up at a second crash.
    pub fn take_updates(&mut self, now: Instant) -> EvidenceNews {
        let news = std::mem::take(&mut self.news);
        let changed = news.iter().filter_map(|content| {
            let evidence = self.contents.get(content)?;
            Some((content, evidence))
        });
        sort_evidence(now, changed)
    }

    /// Returns all evidence, for a peer that may know nothing.
    pub fn all_evidence(&self, now: Instant) -> EvidenceNews {
        sort_evidence(now, self.contents.iter())
    }

    /// Takes the changes of standings since the last time.
    pub fn take_changes(&mut self) -> Vec<SuspicionChange> {
        std::mem::take(&mut self.changes)
    }
}

/// Evidence that peers are told.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvidenceNews {
    /// What concerns all nodes.
    pub for_all: Vec<ContentEvidence>,
    /// What concerns only nodes beside back ends of the service.
    pub for_service: Vec<ContentEvidence>,
}

/// Sorts evidence by whom it concerns.
fn sort_evidence<'a>(
    now: Instant,
    evidence: impl Iterator<Item = (&'a Fingerprint, &'a Evidence)>,
) -> EvidenceNews {
    let mut sorted = EvidenceNews::default();
    for (content, known) in evidence {
        let told = known.tell(now, *content);
        if known.is_of_several_crashes() {
            sorted.for_all.push(told);
        } else {
            sorted.for_service.push(told);
        }
    }
    sorted
}
