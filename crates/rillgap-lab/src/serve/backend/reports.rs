//! Health and load as the back end reports them: late, and so often misleading.

use std::collections::VecDeque;
use std::time::Duration;

use serde::Serialize;
use tokio::time::Instant;

use super::BackEnd;
use super::slots::Occupancy;

/// Time between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// Answer of the health endpoint.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct HealthReport {
    pub(super) state: ReportedState,
}

/// State that a back end reports of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(super) enum ReportedState {
    Serving,
    Leaving,
}

/// Health and load at one moment.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sample {
    at: Instant,
    pub(super) health: HealthReport,
    pub(super) load: Occupancy,
}

/// Samples from which a late one is reported.
#[derive(Debug)]
pub(super) struct Reports {
    lag: Duration,
    samples: VecDeque<Sample>,
}

impl Reports {
    /// Creates reports without samples.
    pub(super) const fn new(lag: Duration) -> Self {
        Self {
            lag,
            samples: VecDeque::new(),
        }
    }

    /// Returns the newest sample that is older than the lag, or else the oldest of all.
    pub(super) fn visible(&mut self, now: Instant) -> Option<Sample> {
        while self.next_is_visible(now) {
            self.samples.pop_front();
        }
        self.samples.front().copied()
    }

    fn next_is_visible(&self, now: Instant) -> bool {
        self.samples
            .get(1)
            .is_some_and(|next| next.at + self.lag <= now)
    }

    fn push(&mut self, sample: Sample) {
        self.samples.push_back(sample);
        self.visible(sample.at);
    }
}

impl BackEnd {
    /// Samples health and load until the task is dropped.
    pub(super) async fn sample_reports(&self) {
        loop {
            let sample = self.sample();
            self.reports().push(sample);
            tokio::time::sleep(SAMPLE_INTERVAL).await;
        }
    }

    /// Returns the report that is due now.
    pub(super) fn report(&self) -> Sample {
        let late = self.reports().visible(Instant::now());
        late.unwrap_or_else(|| self.sample())
    }

    fn sample(&self) -> Sample {
        let state = if self.is_leaving() {
            ReportedState::Leaving
        } else {
            ReportedState::Serving
        };
        Sample {
            at: Instant::now(),
            health: HealthReport { state },
            load: self.slots.occupancy(),
        }
    }
}
