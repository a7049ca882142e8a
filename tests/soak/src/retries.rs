//! Checks that the retries of all nodes together stay within the retry budget.

use std::collections::BTreeMap;

use crate::checker::Moment;
use crate::deployment::{RETRY_RATIO, RETRY_SLACK, RETRY_WINDOW};

/// Times of requests for each service and of retries that reached it.
#[derive(Debug, Default)]
pub struct RetryHistory {
    requests: BTreeMap<&'static str, Vec<Moment>>,
    retries: BTreeMap<&'static str, Vec<Moment>>,
}

impl RetryHistory {
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
        let services = self.retries.iter();
        services
            .filter_map(|(service, retries)| self.violation_of(service, retries))
            .collect()
    }

    /// Returns for each service with retries the largest share of the bound that a window has used.
    pub fn peak_shares(&self) -> Vec<(&'static str, f64)> {
        let services = self.retries.iter();
        services
            .map(|(service, retries)| (*service, self.peak_share_of(service, retries)))
            .collect()
    }

    fn peak_share_of(&self, service: &str, retries: &[Moment]) -> f64 {
        let requests = self.requests.get(service).map_or(&[][..], Vec::as_slice);
        let shares = retries.iter().map(|end| {
            let start = end.saturating_sub(RETRY_WINDOW);
            let is_within = |at: &&Moment| **at > start && **at <= *end;
            let count = retries.iter().filter(is_within).count();
            count as f64 / bound_of(max_requests(requests, *end))
        });
        shares.fold(0.0, f64::max)
    }

    fn violation_of(&self, service: &str, retries: &[Moment]) -> Option<(Moment, String)> {
        let requests = self.requests.get(service).map_or(&[][..], Vec::as_slice);
        for (index, end) in retries.iter().enumerate() {
            let start = end.saturating_sub(RETRY_WINDOW);
            let count = retries[..=index].iter().filter(|at| **at > start).count();
            let requested = max_requests(requests, *end);
            if count as f64 > bound_of(requested) {
                let text = format!("BUDGET {service}: {count} retries, {requested} requests");
                return Some((*end, text));
            }
        }
        None
    }
}

/// Returns the number of retries that are allowed in a window for a service with so many requests.
fn bound_of(requests: usize) -> f64 {
    requests as f64 * RETRY_RATIO + RETRY_SLACK
}

/// Returns the largest number of requests in three windows: the one that ends at `end`, and those
/// that end half a window and a whole window earlier.
fn max_requests(requests: &[Moment], end: Moment) -> usize {
    let count = |end: Moment| {
        let start = end.saturating_sub(RETRY_WINDOW);
        let is_within = |at: &&Moment| **at >= start && **at <= end;
        requests.iter().filter(is_within).count()
    };
    let earlier = [RETRY_WINDOW / 2, RETRY_WINDOW];
    earlier
        .iter()
        .map(|offset| count(end.saturating_sub(*offset)))
        .fold(count(end), usize::max)
}
