//! Share of requests that the back end itself has failed of late.
//!
//! A back end that loses answers, hangs or fails requests may look well to its health endpoint. The
//! node beside it sees how requests end and reports the share, so that others send their requests
//! to sounder back ends of the service.

use std::time::Duration;

use rillgap_core::time::Instant;

/// Time in which what was counted loses all but 1/e of its weight.
const MEMORY: Duration = Duration::from_millis(1_500);
/// Requests that are taken to have gone well before any was counted, so that one failure of few
/// does not condemn a back end.
const PRIOR: f64 = 5.0;

/// Share of requests that the back end itself has failed of late.
#[derive(Clone, Debug, Default)]
pub(super) struct FailureShare {
    failed: f64,
    ended: f64,
    decayed_at: Instant,
}

impl FailureShare {
    /// Takes in how a request ended.
    pub fn record(&mut self, now: Instant, is_failure: bool) {
        self.decay(now);
        self.ended += 1.0;
        if is_failure {
            self.failed += 1.0;
        }
    }

    /// Returns the share, in thousandths.
    pub fn permille(&mut self, now: Instant) -> u32 {
        self.decay(now);
        (self.failed * 1_000.0 / (self.ended + PRIOR)) as u32
    }

    fn decay(&mut self, now: Instant) {
        let elapsed = now.saturating_since(self.decayed_at).as_secs_f64();
        self.decayed_at = now;
        let kept = (-elapsed / MEMORY.as_secs_f64()).exp();
        self.failed *= kept;
        self.ended *= kept;
    }
}
