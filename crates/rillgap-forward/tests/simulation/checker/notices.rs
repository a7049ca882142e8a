//! Checks that back ends receive no more requests than their answers allow.
//!
//! A rate limit and a departure bind a node from when it has passed on an answer that states them.

use std::collections::BTreeMap;

/// Milliseconds after a back end first states a rate limit from which it is checked.
const LIMIT_NOTICE_MILLIS: u64 = 3_000;
/// Milliseconds after a node has passed on a limit from which its requests count towards it.
const LIMIT_AWARE_MILLIS: u64 = 500;
/// Length of the sliding window over which arrivals are counted, in milliseconds.
const LIMIT_WINDOW_MILLIS: u64 = 4_000;
/// Tolerance above the stated limit: a factor on it, and requests on top of that.
const LIMIT_TOLERANCE: (f64, f64) = (1.5, 5.0);
/// Milliseconds after a node has passed on a departure in which its callers may still send requests
/// that reach the back end.
const LEAVING_GRACE_MILLIS: u64 = 2_000;

/// Notices of a back end in an answer that a caller receives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerNotice {
    /// Incarnation of the back end.
    pub instance: String,
    /// Stated rate limit, in requests per second.
    pub rate_limit: Option<u32>,
    /// Whether the back end states that it is leaving.
    pub is_leaving: bool,
}

impl AnswerNotice {
    /// Encodes the notices as the header fields of an answer.
    pub fn encode(&self) -> Vec<u8> {
        let rate_limit = self.rate_limit.map(|rate| rate.to_string());
        let rate_limit = rate_limit.unwrap_or_default();
        format!("{} {rate_limit} {}", self.instance, self.is_leaving).into_bytes()
    }

    /// Decodes the header fields of an answer; `None` if no back end has sent it.
    pub fn decode(fields: &[u8]) -> Option<Self> {
        let text = std::str::from_utf8(fields).ok()?;
        let mut parts = text.split(' ');
        let notice = Self {
            instance: parts.next()?.to_owned(),
            rate_limit: parts.next()?.parse().ok(),
            is_leaving: parts.next()? == "true",
        };
        Some(notice)
    }
}

/// Arrival of a request at a back end, from a node that knew its rate limit.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    at: u64,
    host: usize,
}

/// Records notices and the arrivals that they restrict.
#[derive(Debug, Default)]
pub struct NoticeChecker {
    /// Since when each host has passed on the rate limit of an incarnation.
    knows_limit: BTreeMap<(usize, String), u64>,
    /// Since when each host has passed on the departure of an incarnation.
    knows_leaving: BTreeMap<(usize, String), u64>,
    /// Changes of the stated limit of each incarnation, in the order of time.
    limits: BTreeMap<String, Vec<(u64, Option<u32>)>>,
    /// Arrivals that count towards the limit of an incarnation.
    arrivals: BTreeMap<String, Vec<Arrival>>,
}

impl NoticeChecker {
    /// Records the limit that an incarnation states from now on.
    pub fn on_rate_limit_changed(&mut self, now: u64, instance: &str, rate_limit: Option<u32>) {
        let changes = self.limits.entry(instance.to_owned()).or_default();
        changes.push((now, rate_limit));
        if rate_limit.is_none() {
            self.knows_limit.retain(|(_, known), _| known != instance);
        }
    }

    /// Records that a host has passed on an answer.
    pub fn on_passed_on(&mut self, now: u64, host: usize, notice: &AnswerNotice) {
        let key = (host, notice.instance.clone());
        if notice.rate_limit.is_some() {
            self.knows_limit.entry(key.clone()).or_insert(now);
        }
        if notice.is_leaving {
            self.knows_leaving.entry(key).or_insert(now);
        }
    }

    /// Drops what a host knew before its restart or freeze.
    pub fn on_host_frozen(&mut self, host: usize) {
        self.knows_limit.retain(|(known, _), _| *known != host);
        self.knows_leaving.retain(|(known, _), _| *known != host);
    }

    /// Drops the limits that a host knew before its links changed. Departures bind it still.
    pub fn on_host_cut(&mut self, host: usize) {
        self.knows_limit.retain(|(known, _), _| *known != host);
    }

    /// Records the arrival of a request at an incarnation. Returns a violation if the node of
    /// `host` knew that the incarnation is leaving.
    pub fn on_arrival(
        &mut self,
        now: u64,
        id: &str,
        host: usize,
        sent_at: u64,
        instance: &str,
    ) -> Option<String> {
        let key = (host, instance.to_owned());
        let knows_limit = self.knows_limit.get(&key);
        if knows_limit.is_some_and(|since| since + LIMIT_AWARE_MILLIS <= now) {
            let arrivals = self.arrivals.entry(instance.to_owned()).or_default();
            arrivals.push(Arrival { at: now, host });
        }
        let since = self.knows_leaving.get(&key)?;
        (sent_at > since + LEAVING_GRACE_MILLIS).then(|| {
            format!("DRAIN {id} of n{host} reached {instance}, which had stated that it leaves")
        })
    }

    /// Returns the windows in which an incarnation received more than its stated limit allows, at
    /// most one for each incarnation.
    pub fn rate_violations(&self) -> Vec<String> {
        let by_instance = self.arrivals.iter();
        by_instance
            .filter_map(|(instance, arrivals)| self.rate_violation(instance, arrivals))
            .collect()
    }

    fn rate_violation(&self, instance: &str, arrivals: &[Arrival]) -> Option<String> {
        let changes = self.limits.get(instance)?;
        let (first_stated, _) = changes.first()?;
        let mut first = 0;
        for last in arrivals {
            while arrivals[first].at + LIMIT_WINDOW_MILLIS <= last.at {
                first += 1;
            }
            if last.at < first_stated + LIMIT_NOTICE_MILLIS {
                continue;
            }
            let from = last.at - LIMIT_WINDOW_MILLIS;
            let Some(accepted) = accepted_requests(changes, from, last.at) else {
                continue;
            };
            let within = arrivals[first..]
                .iter()
                .take_while(|arrival| arrival.at <= last.at);
            let count = within.count();
            let (factor, extra) = LIMIT_TOLERANCE;
            if count as f64 > accepted * factor + extra {
                return Some(format!(
                    "LIMIT {instance} received {count} requests in the window up to {} ms, last \
                     from n{}; its limit accepts {accepted}",
                    last.at, last.host
                ));
            }
        }
        None
    }
}

/// Returns the number of requests that the stated limits accept in a time range, in which the time
/// before the first statement counts like the first limit; `None` if no limit is stated in a part
/// of it.
fn accepted_requests(changes: &[(u64, Option<u32>)], from: u64, to: u64) -> Option<f64> {
    let mut accepted = 0.0;
    for (index, (at, rate)) in changes.iter().enumerate() {
        let begin = if index == 0 { from } else { (*at).max(from) };
        let end = changes.get(index + 1).map_or(to, |(next, _)| *next).min(to);
        if begin < end {
            accepted += f64::from((*rate)?) * (end - begin) as f64 / 1_000.0;
        }
    }
    Some(accepted)
}
