//! Records the contents of recently answered requests.

use std::collections::BTreeSet;
use std::time::Duration;

use rillgap_core::id::Fingerprint;
use rillgap_core::time::Instant;

/// Time after which a new generation begins. An answer is remembered for less than two generations:
/// back ends of another version may crash on a request that earlier ones have answered.
const GENERATION_DURATION: Duration = Duration::from_secs(30);
/// Number of contents in a generation after which a new one begins. Two generations take 0.2 MB at
/// most.
const MAX_GENERATION_CONTENTS: usize = 2_048;

/// Contents of recently answered requests, in two generations.
#[derive(Clone, Debug, Default)]
pub(super) struct RecentAnswers {
    current: BTreeSet<Fingerprint>,
    previous: BTreeSet<Fingerprint>,
    began_at: Instant,
}

impl RecentAnswers {
    /// Records that a request was answered.
    pub fn record(&mut self, now: Instant, content: Fingerprint) {
        self.rotate_generations(now);
        if self.current.len() >= MAX_GENERATION_CONTENTS {
            self.begin_generation(now);
        }
        self.current.insert(content);
    }

    /// Returns whether a request with this content was answered recently.
    pub fn contains(&mut self, now: Instant, content: Fingerprint) -> bool {
        self.rotate_generations(now);
        self.current.contains(&content) || self.previous.contains(&content)
    }

    fn rotate_generations(&mut self, now: Instant) {
        let age = now.saturating_since(self.began_at);
        if age < GENERATION_DURATION {
            return;
        }
        if age >= GENERATION_DURATION * 2 {
            self.current.clear();
        }
        self.begin_generation(now);
    }

    fn begin_generation(&mut self, now: Instant) {
        self.previous = std::mem::take(&mut self.current);
        self.began_at = now;
    }
}
