//! Whether repeats of requests stay within the bound that all nodes share.

use std::collections::BTreeMap;

use crate::checker::Moment;
use crate::deployment::{RETRY_RATIO, RETRY_SLACK, RETRY_WINDOW};

/// Requests for the services, and repeats that reached them.
#[derive(Debug, Default)]
pub struct RetryHistory {
    requests: BTreeMap<&'static str, Vec<Moment>>,
    retries: BTreeMap<&'static str, Vec<Moment>>,
}

impl RetryHistory {
    /// Takes in that a request for a service is sent.
    pub fn on_request(&mut self, at: Moment, service: &'static str) {
        self.requests.entry(service).or_default().push(at);
    }

    /// Takes in that a repeat has reached a service.
    pub fn on_retry(&mut self, at: Moment, service: &'static str) {
        self.retries.entry(service).or_default().push(at);
    }

    /// Returns the first window of each service in which there were more repeats than the bound allows.
    pub fn violations(&self) -> Vec<(Moment, String)> {
        let services = self.retries.iter();
        services
            .filter_map(|(service, retries)| self.violation_of(service, retries))
            .collect()
    }

    fn violation_of(&self, service: &str, retries: &[Moment]) -> Option<(Moment, String)> {
        let requests = self.requests.get(service).map_or(&[][..], Vec::as_slice);
        for (index, end) in retries.iter().enumerate() {
            let start = end.saturating_sub(RETRY_WINDOW);
            let count = retries[..=index].iter().filter(|at| **at > start).count();
            let asked = max_requests(requests, *end);
            let bound = asked as f64 * RETRY_RATIO + RETRY_SLACK;
            if count as f64 > bound {
                let text = format!("BUDGET {service}: {count} repeats, {asked} requests");
                return Some((*end, text));
            }
        }
        None
    }
}

/// Returns the requests in the window that ends at a moment, in the one before it or in the one half
/// a window before it, whichever has most.
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
