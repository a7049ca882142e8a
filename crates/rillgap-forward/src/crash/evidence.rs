//! Evidence against one content, and the suspicion that follows from it.

use std::collections::BTreeMap;
use std::time::Duration;

use rillgap_core::id::Fingerprint;
use rillgap_core::time::{Instant, micros};

use super::{
    ContentEvidence, CrashId, CrashRecord, EvidenceStrength, MIN_QUARANTINE_CRASHES,
    MIN_QUARANTINE_SOLE_SUSPECT_CRASHES, MIN_QUARANTINE_STRONG_CRASHES,
};

/// Minimum number of crashes of a recurrent content.
const MIN_RECURRENT_CRASHES: usize = 2;
/// Maximum number of crashes that are kept of one content. Later ones are ignored until the content
/// is evicted. If they replaced earlier ones, crashes that peers send again would count as new, and
/// nodes would send them back and forth without end.
const MAX_CRASHES_PER_CONTENT: usize = 32;
/// Duration of a quarantine from the last crash. After it, one run may crash one more back end.
const QUARANTINE_DURATION: Duration = Duration::from_secs(600);
/// Time after the last crash at which a suspect or exonerated content is evicted. Callers stop
/// retrying much earlier.
const SUSPECT_TTL: Duration = Duration::from_secs(60);
/// Time after the last crash at which a recurrent or quarantined content is evicted.
const RECURRENT_TTL: Duration = Duration::from_secs(3_600);

/// Suspicion that follows from the evidence against a content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Suspicion {
    /// There is no evidence against the content, or it was exonerated.
    Clear,
    /// The content was in flight at one crash.
    Suspected,
    /// The content was in flight at several crashes.
    Recurrent,
    /// All nodes refuse requests with the content.
    Quarantined,
}

impl Suspicion {
    /// Returns whether requests with the content must run isolated, as the only suspect on the back
    /// end. A further crash then shows which request caused it.
    pub const fn is_isolated(self) -> bool {
        matches!(self, Self::Suspected | Self::Recurrent)
    }

    /// Returns the name for logs.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Clear => "clear",
            Self::Suspected => "suspected",
            Self::Recurrent => "recurrent",
            Self::Quarantined => "quarantined",
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct CrashObservation {
    strength: EvidenceStrength,
    /// When the node recorded the crash.
    observed_at: Instant,
    /// Age of the crash at that time. The crash may have happened before the node started.
    age_when_observed: Duration,
}

impl CrashObservation {
    fn age(&self, now: Instant) -> Duration {
        self.age_when_observed + now.saturating_since(self.observed_at)
    }
}

/// Evidence against one content.
#[derive(Clone, Debug, Default)]
pub(super) struct Evidence {
    crashes: BTreeMap<CrashId, CrashObservation>,
    is_exonerated: bool,
}

impl Evidence {
    /// Records a crash. Returns whether the evidence has changed.
    fn record_crash(&mut self, now: Instant, record: &CrashRecord) -> bool {
        let CrashRecord {
            crash,
            strength,
            age_micros,
        } = *record;
        if let Some(observation) = self.crashes.get_mut(&crash) {
            let has_changed = strength > observation.strength;
            observation.strength = observation.strength.max(strength);
            return has_changed;
        }
        if self.is_exonerated || self.crashes.len() >= MAX_CRASHES_PER_CONTENT {
            return false;
        }
        let observation = CrashObservation {
            strength,
            observed_at: now,
            age_when_observed: Duration::from_micros(age_micros),
        };
        self.crashes.insert(crash, observation);
        true
    }

    /// Records that a request with this content was answered. Returns whether the evidence has
    /// changed.
    pub const fn exonerate(&mut self) -> bool {
        !std::mem::replace(&mut self.is_exonerated, true)
    }

    /// Returns the age of the last crash.
    pub fn age(&self, now: Instant) -> Duration {
        let ages = self
            .crashes
            .values()
            .map(|observation| observation.age(now));
        ages.min().unwrap_or(Duration::MAX)
    }

    /// Returns the number of crashes.
    pub fn crashes(&self) -> usize {
        self.crashes.len()
    }

    /// Returns the number of crashes at which the content was the only suspect.
    pub fn crashes_as_only_suspect(&self) -> usize {
        self.count_crashes(EvidenceStrength::Weak)
    }

    fn count_crashes(&self, min_strength: EvidenceStrength) -> usize {
        let crashes = self.crashes.values();
        crashes
            .filter(|observation| observation.strength >= min_strength)
            .count()
    }

    /// Returns whether the content was in flight at a crash.
    pub fn was_in_flight_at(&self, crash: CrashId) -> bool {
        self.crashes.contains_key(&crash)
    }

    /// Returns the crashes that are younger than `age`, each with whether the content was the only
    /// suspect.
    pub fn recent(&self, now: Instant, age: Duration) -> impl Iterator<Item = (CrashId, bool)> {
        let recent = self
            .crashes
            .iter()
            .filter(move |(_, observation)| observation.age(now) < age);
        recent.map(|(crash, known)| (*crash, known.strength > EvidenceStrength::Inconclusive))
    }

    /// Returns whether the content was in flight at several crashes, even if it was exonerated.
    pub fn has_several_crashes(&self) -> bool {
        self.crashes.len() >= MIN_RECURRENT_CRASHES
    }

    /// Returns the suspicion that follows from the evidence.
    pub fn suspicion(&self, now: Instant) -> Suspicion {
        if self.is_exonerated || self.crashes.is_empty() {
            return Suspicion::Clear;
        }
        if !self.has_several_crashes() {
            return Suspicion::Suspected;
        }
        if self.meets_quarantine_threshold() && !self.quarantine_remaining(now).is_zero() {
            Suspicion::Quarantined
        } else {
            Suspicion::Recurrent
        }
    }

    fn meets_quarantine_threshold(&self) -> bool {
        let has_enough_crashes = self.count_crashes(EvidenceStrength::Strong)
            >= MIN_QUARANTINE_STRONG_CRASHES
            || self.crashes_as_only_suspect() >= MIN_QUARANTINE_SOLE_SUSPECT_CRASHES;
        has_enough_crashes && self.crashes() >= MIN_QUARANTINE_CRASHES
    }

    /// Returns the time that is left of a quarantine that began with the last crash. The result
    /// does not show whether the content meets the quarantine threshold.
    pub fn quarantine_remaining(&self, now: Instant) -> Duration {
        QUARANTINE_DURATION.saturating_sub(self.age(now))
    }

    /// Returns whether the evidence is old enough to be evicted.
    pub fn is_expired(&self, now: Instant) -> bool {
        let is_recurrent = self.suspicion(now) >= Suspicion::Recurrent;
        let ttl = if is_recurrent {
            RECURRENT_TTL
        } else {
            SUSPECT_TTL
        };
        self.age(now) >= ttl
    }

    /// Merges the evidence of a peer. Returns whether the evidence has changed.
    pub fn merge(&mut self, now: Instant, message: &ContentEvidence) -> bool {
        let mut has_changed = false;
        for record in &message.crashes {
            has_changed |= self.record_crash(now, record);
        }
        if message.is_exonerated {
            has_changed |= self.exonerate();
        }
        has_changed
    }

    /// Returns the evidence as a message to peers.
    pub fn to_message(&self, now: Instant, content: Fingerprint) -> ContentEvidence {
        let record = |(crash, observation): (&CrashId, &CrashObservation)| CrashRecord {
            crash: *crash,
            strength: observation.strength,
            age_micros: micros(observation.age(now)),
        };
        ContentEvidence {
            content,
            crashes: self.crashes.iter().map(record).collect(),
            is_exonerated: self.is_exonerated,
        }
    }

    /// Creates the evidence from the message of a peer.
    pub fn from_message(now: Instant, message: &ContentEvidence) -> Self {
        let mut evidence = Self::default();
        evidence.merge(now, message);
        evidence
    }
}
