//! Evidence against one content, and the suspicion that follows from it.

use std::collections::BTreeMap;
use std::time::Duration;

use rillgap_core::id::Fingerprint;
use rillgap_core::time::{Instant, micros};

use super::{
    ContentEvidence, CrashId, CrashRecord, EvidenceStrength, QUARANTINE_CRASHES,
    QUARANTINE_CRASHES_ALONE, QUARANTINE_CRASHES_DOUBTFUL,
};

/// Minimum number of crashes of a recurrent content.
const RECURRENT_CRASHES: usize = 2;
/// Maximum number of crashes that are kept of one content. Later ones are ignored until the content
/// is evicted. If they replaced earlier ones, crashes that peers send again would count as new, and
/// nodes would send them back and forth without end.
const MOST_CRASHES: usize = 32;
/// Duration of a quarantine from the last crash. After it, one run may crash one more back end.
const QUARANTINE: Duration = Duration::from_secs(600);
/// Time after the last crash at which a suspect or exonerated content is evicted. Callers stop
/// retrying much earlier.
const SUSPECT_LIFE: Duration = Duration::from_secs(60);
/// Time after the last crash at which a recurrent or quarantined content is evicted.
const RECURRENT_LIFE: Duration = Duration::from_secs(3_600);

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
struct Seen {
    strength: EvidenceStrength,
    /// When the node recorded the crash.
    learned_at: Instant,
    /// Age of the crash at that time. The crash may have happened before the node started.
    age_then: Duration,
}

impl Seen {
    fn age(&self, now: Instant) -> Duration {
        self.age_then + now.saturating_since(self.learned_at)
    }
}

/// Evidence against one content.
#[derive(Clone, Debug, Default)]
pub(super) struct Evidence {
    crashes: BTreeMap<CrashId, Seen>,
    is_exonerated: bool,
}

impl Evidence {
    /// Records a crash. Returns whether the evidence has changed.
    fn add(&mut self, now: Instant, record: &CrashRecord) -> bool {
        let CrashRecord {
            crash,
            strength,
            age_micros,
        } = *record;
        if let Some(seen) = self.crashes.get_mut(&crash) {
            let is_news = strength > seen.strength;
            seen.strength = seen.strength.max(strength);
            return is_news;
        }
        if self.is_exonerated || self.crashes.len() >= MOST_CRASHES {
            return false;
        }
        let seen = Seen {
            strength,
            learned_at: now,
            age_then: Duration::from_micros(age_micros),
        };
        self.crashes.insert(crash, seen);
        true
    }

    /// Records that such a request was answered. Returns whether the evidence has changed.
    pub const fn exonerate(&mut self) -> bool {
        !std::mem::replace(&mut self.is_exonerated, true)
    }

    /// Returns the age of the last crash.
    pub fn age(&self, now: Instant) -> Duration {
        let ages = self.crashes.values().map(|seen| seen.age(now));
        ages.min().unwrap_or(Duration::MAX)
    }

    /// Returns the number of crashes.
    pub fn crashes(&self) -> usize {
        self.crashes.len()
    }

    /// Returns the number of crashes at which the content was the only suspect.
    pub fn crashes_as_only_suspect(&self) -> usize {
        self.crashes_of(EvidenceStrength::Weak)
    }

    fn crashes_of(&self, least: EvidenceStrength) -> usize {
        let crashes = self.crashes.values();
        crashes.filter(|seen| seen.strength >= least).count()
    }

    /// Returns whether the content was in flight at a crash.
    pub fn has(&self, crash: CrashId) -> bool {
        self.crashes.contains_key(&crash)
    }

    /// Returns the crashes that are younger than `age`, each with whether the content was the only
    /// suspect.
    pub fn recent(&self, now: Instant, age: Duration) -> impl Iterator<Item = (CrashId, bool)> {
        let recent = self
            .crashes
            .iter()
            .filter(move |(_, seen)| seen.age(now) < age);
        recent.map(|(crash, seen)| (*crash, seen.strength > EvidenceStrength::Inconclusive))
    }

    /// Returns whether the content was in flight at several crashes, even if it was exonerated.
    pub fn is_of_several_crashes(&self) -> bool {
        self.crashes.len() >= RECURRENT_CRASHES
    }

    /// Returns the suspicion that follows from the evidence.
    pub fn suspicion(&self, now: Instant) -> Suspicion {
        if self.is_exonerated || self.crashes.is_empty() {
            return Suspicion::Clear;
        }
        if !self.is_of_several_crashes() {
            return Suspicion::Suspected;
        }
        if self.is_guilty() && !self.quarantine_left(now).is_zero() {
            Suspicion::Quarantined
        } else {
            Suspicion::Recurrent
        }
    }

    fn is_guilty(&self) -> bool {
        let is_proved = self.crashes_of(EvidenceStrength::Strong) >= QUARANTINE_CRASHES_ALONE
            || self.crashes_as_only_suspect() >= QUARANTINE_CRASHES_DOUBTFUL;
        is_proved && self.crashes() >= QUARANTINE_CRASHES
    }

    /// Returns the time that is left of a quarantine that began with the last crash. It does not
    /// tell whether the content meets the quarantine threshold.
    pub fn quarantine_left(&self, now: Instant) -> Duration {
        QUARANTINE.saturating_sub(self.age(now))
    }

    /// Returns whether the evidence is old enough to be evicted.
    pub fn is_over(&self, now: Instant) -> bool {
        let is_recurrent = self.suspicion(now) >= Suspicion::Recurrent;
        let life = if is_recurrent {
            RECURRENT_LIFE
        } else {
            SUSPECT_LIFE
        };
        self.age(now) >= life
    }

    /// Merges the evidence of a peer. Returns whether the evidence has changed.
    pub fn merge(&mut self, now: Instant, told: &ContentEvidence) -> bool {
        let mut is_news = false;
        for record in &told.crashes {
            is_news |= self.add(now, record);
        }
        if told.is_exonerated {
            is_news |= self.exonerate();
        }
        is_news
    }

    /// Returns the evidence as a message to peers.
    pub fn tell(&self, now: Instant, content: Fingerprint) -> ContentEvidence {
        let record = |(crash, seen): (&CrashId, &Seen)| CrashRecord {
            crash: *crash,
            strength: seen.strength,
            age_micros: micros(seen.age(now)),
        };
        ContentEvidence {
            content,
            crashes: self.crashes.iter().map(record).collect(),
            is_exonerated: self.is_exonerated,
        }
    }

    /// Creates the evidence from the message of a peer.
    pub fn heard(now: Instant, told: &ContentEvidence) -> Self {
        let mut evidence = Self::default();
        evidence.merge(now, told);
        evidence
    }
}
