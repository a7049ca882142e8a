//! Checks that the retries of all nodes together stay within the retry budget.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::checker::Moment;
use crate::deployment::{RETRY_RATIO, RETRY_SLACK, RETRY_WINDOW};

/// Bound on the retries that a service receives from all nodes together in any window.
#[derive(Clone, Copy, Debug)]
pub struct RetryLimit {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries allowed on top of the ratio.
    pub slack: f64,
    /// Length of the sliding window in which requests and retries are counted.
    pub window: Duration,
}

impl RetryLimit {
    /// Returns the number of retries that are allowed for so many requests.
    fn allowed(&self, requests: usize) -> f64 {
        requests as f64 * self.ratio + self.slack
    }
}

/// Times of requests for each service and of retries that reached it.
#[derive(Debug)]
pub struct RetryHistory {
    limit: RetryLimit,
    requests: BTreeMap<&'static str, Vec<Moment>>,
    retries: BTreeMap<&'static str, Vec<Moment>>,
}

impl Default for RetryHistory {
    /// Creates an empty history with the retry budget of the soaked deployment.
    fn default() -> Self {
        Self::with_slack(RETRY_SLACK)
    }
}

impl RetryHistory {
    /// Creates an empty history with the ratio and window of the soaked deployment.
    pub const fn with_slack(slack: f64) -> Self {
        Self::new(RetryLimit {
            ratio: RETRY_RATIO,
            slack,
            window: RETRY_WINDOW,
        })
    }

    /// Creates an empty history.
    pub const fn new(limit: RetryLimit) -> Self {
        Self {
            limit,
            requests: BTreeMap::new(),
            retries: BTreeMap::new(),
        }
    }

    /// Records that a request for a service is sent.
    pub fn on_request(&mut self, at: Moment, service: &'static str) {
        self.requests.entry(service).or_default().push(at);
    }

    /// Records that a retry reached a back end of a service.
    pub fn on_retry(&mut self, at: Moment, service: &'static str) {
        self.retries.entry(service).or_default().push(at);
    }

    /// Returns for each service the first window with more retries than the budget allows.
    pub fn violations(&self) -> Vec<(Moment, String)> {
        let services = self.retries.keys();
        services
            .filter_map(|service| self.violation_of(service))
            .collect()
    }

    /// Returns for each service with retries the largest share of the bound that a window has used.
    pub fn peak_shares(&self) -> Vec<(&'static str, f64)> {
        let services = self.retries.keys();
        services
            .map(|service| (*service, self.peak_share_of(service)))
            .collect()
    }

    fn peak_share_of(&self, service: &str) -> f64 {
        let windows = self.windows(service);
        let shares = windows
            .iter()
            .map(|window| window.retries as f64 / window.allowed);
        shares.fold(0.0, f64::max)
    }

    fn violation_of(&self, service: &str) -> Option<(Moment, String)> {
        let windows = self.windows(service);
        let is_broken = |window: &&Window| window.retries as f64 > window.allowed;
        let broken = windows.iter().find(is_broken)?;
        let Window {
            end,
            retries,
            requests,
            ..
        } = broken;
        let text = format!("BUDGET {service}: {retries} retries, {requests} requests");
        Some((*end, text))
    }

    /// Returns the windows that end with each of the retries of a service.
    fn windows(&self, service: &str) -> Vec<Window> {
        let requests = sorted(self.requests.get(service));
        let retries = sorted(self.retries.get(service));
        let length = self.limit.window;
        let window = |(index, end): (usize, &Moment)| {
            let start = end.saturating_sub(length);
            let requests = max_requests(&requests, *end, length);
            Window {
                end: *end,
                retries: index + 1 - retries.partition_point(|at| *at <= start),
                requests,
                allowed: self.limit.allowed(requests),
            }
        };
        retries.iter().enumerate().map(window).collect()
    }
}

/// Retries of a service in a window, and what is allowed.
#[derive(Clone, Copy, Debug)]
struct Window {
    end: Moment,
    retries: usize,
    /// Requests in the window that has most of the three that count.
    requests: usize,
    allowed: f64,
}

/// Returns times in their order. Concurrent tasks may have recorded them in another one.
fn sorted(times: Option<&Vec<Moment>>) -> Vec<Moment> {
    let mut times = times.cloned().unwrap_or_default();
    times.sort_unstable();
    times
}

/// Returns the largest number of requests in three windows: the one that ends at `end`, and those
/// that end half a window and a whole window earlier. `requests` are sorted.
fn max_requests(requests: &[Moment], end: Moment, length: Duration) -> usize {
    let count = |end: Moment| {
        let start = end.saturating_sub(length);
        let first = requests.partition_point(|at| *at < start);
        requests.partition_point(|at| *at <= end) - first
    };
    let earlier = [length / 2, length];
    earlier
        .iter()
        .map(|offset| count(end.saturating_sub(*offset)))
        .fold(count(end), usize::max)
}
