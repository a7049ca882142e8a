//! Evidence against one content.

use std::collections::BTreeMap;
use std::time::Duration;

use rillgap_core::id::Fingerprint;
use rillgap_core::time::{Instant, micros};

use super::{
    ContentEvidence, CrashId, CrashRecord, EvidenceStrength, QUARANTINE_CRASHES,
    QUARANTINE_CRASHES_ALONE, QUARANTINE_CRASHES_DOUBTFUL,
};

/// Crashes from which a request is recurrent.
const RECURRENT_CRASHES: usize = 2;
/// Crashes that are kept of one content. Later ones are passed over until it is forgotten: were others dropped for them, what
/// peers tell again would be news without end.
const MOST_CRASHES: usize = 32;
/// Time after the last crash for which a content is refused. Then one run may end one more back end.
const QUARANTINE: Duration = Duration::from_secs(600);
/// Time after the last crash after which a suspect, or one that was exonerated, is forgotten: callers give up much
/// earlier.
const SUSPECT_LIFE: Duration = Duration::from_secs(60);
/// Time after the last crash after which a recurrent content is forgotten.
const RECURRENT_LIFE: Duration = Duration::from_secs(3_600);

/// What follows from the evidence against a content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Suspicion {
    /// Nothing is held against it.
    Clear,
    /// It was under way at one crash.
    Suspected,
    /// It was under way at several crashes.
    Recurrent,
    /// It is refused.
    Quarantined,
}

impl Suspicion {
    /// Returns whether such a request may run beside no other one that back ends have ended under: if the back end ends
    /// again, it is known which of them it was.
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
    /// When the node learned of it.
    learned_at: Instant,
    /// Age at that time: it may be older than the node.
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
    /// Takes in a crash; returns whether it was news.
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

    /// Takes in that such a request was answered; returns whether that was news.
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

    /// Returns the number of crashes at which it was the only suspect.
    pub fn crashes_as_only_suspect(&self) -> usize {
        self.crashes_of(EvidenceStrength::Weak)
    }

    fn crashes_of(&self, least: EvidenceStrength) -> usize {
        let crashes = self.crashes.values();
        crashes.filter(|seen| seen.strength >= least).count()
    }

    /// Returns whether it was under way at a crash.
    pub fn has(&self, crash: CrashId) -> bool {
        self.crashes.contains_key(&crash)
    }

    /// Returns the crashes that are younger than `age`, and whether it was the only suspect.
    pub fn recent(&self, now: Instant, age: Duration) -> impl Iterator<Item = (CrashId, bool)> {
        let recent = self
            .crashes
            .iter()
            .filter(move |(_, seen)| seen.age(now) < age);
        recent.map(|(crash, seen)| (*crash, seen.strength > EvidenceStrength::Inconclusive))
    }

    /// Returns whether it was under way at several crashes, whatever has become of it.
    pub fn is_of_several_crashes(&self) -> bool {
        self.crashes.len() >= RECURRENT_CRASHES
    }

    /// Returns what follows from the evidence.
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

    /// Returns the time until the end of the quarantine, if the content is guilty.
    pub fn quarantine_left(&self, now: Instant) -> Duration {
        QUARANTINE.saturating_sub(self.age(now))
    }

    /// Returns whether the evidence is too old to be kept.
    pub fn is_over(&self, now: Instant) -> bool {
        let is_recurrent = self.suspicion(now) >= Suspicion::Recurrent;
        let life = if is_recurrent {
            RECURRENT_LIFE
        } else {
            SUSPECT_LIFE
        };
        self.age(now) >= life
    }

    /// Takes in what a peer knows; returns whether any of it was news.
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

    /// Returns what peers are told.
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

    /// Creates the evidence that a peer knows.
    pub fn heard(now: Instant, told: &ContentEvidence) -> Self {
        let mut evidence = Self::default();
        evidence.merge(now, told);
        evidence
    }
}
