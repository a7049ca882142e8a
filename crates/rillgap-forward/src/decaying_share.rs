//! Exponentially decaying share of events that have a property.

use std::time::Duration;

use rillgap_core::time::Instant;

/// Share of counted events, of which older ones weigh less.
#[derive(Clone, Debug)]
pub struct DecayingShare {
    time_constant: Duration,
    hits: f64,
    events: f64,
    decayed_at: Instant,
}

impl DecayingShare {
    /// Creates a share in which an event has 1/e of its weight left after this time.
    pub const fn new(time_constant: Duration) -> Self {
        Self {
            time_constant,
            hits: 0.0,
            events: 0.0,
            decayed_at: Instant::from_micros(0),
        }
    }

    /// Counts an event.
    pub fn record(&mut self, now: Instant, is_hit: bool) {
        let kept = self.kept(now);
        self.decayed_at = self.decayed_at.max(now);
        self.hits = self.hits * kept + f64::from(u8::from(is_hit));
        self.events = self.events * kept + 1.0;
    }

    /// Returns the share of hits, from 0 to 1, as if `prior` further events without the property had
    /// been counted: few events then give no large share.
    pub fn share(&self, now: Instant, prior: f64) -> f64 {
        let kept = self.kept(now);
        self.hits * kept / (self.events * kept + prior)
    }

    fn kept(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_since(self.decayed_at).as_secs_f64();
        (-elapsed / self.time_constant.as_secs_f64()).exp()
    }
}
