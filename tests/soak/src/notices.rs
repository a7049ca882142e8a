//! Checks that back ends receive no more requests than their answers allow. The simulation of
//! `rillgap-forward` uses this checker, too.
//!
//! A rate limit and a departure bind a node from when it has passed on an answer that states them.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::checker::Moment;

/// Time after a back end first states a rate limit from which it is checked.
const LIMIT_NOTICE_TIME: Duration = Duration::from_millis(3_000);
/// Time after a node has passed on a limit from which its requests count towards it.
const LIMIT_AWARE_TIME: Duration = Duration::from_millis(500);
/// Length of the sliding window over which arrivals are counted.
const LIMIT_WINDOW_TIME: Duration = Duration::from_millis(4_000);
/// Tolerance above the stated limit: a factor on it, and requests on top of that.
const LIMIT_TOLERANCE: (f64, f64) = (1.5, 5.0);
/// Time after a node has passed on a departure in which its callers may still send requests that
/// reach the back end.
const LEAVING_GRACE_TIME: Duration = Duration::from_millis(2_000);

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
    at: Moment,
    node: usize,
}

/// Records notices and the arrivals that they restrict.
#[derive(Debug, Default)]
pub struct NoticeChecker {
    /// Since when each node has passed on the rate limit of an incarnation.
    knows_limit: BTreeMap<(usize, String), Moment>,
    /// Since when each node has passed on the departure of an incarnation.
    knows_leaving: BTreeMap<(usize, String), Moment>,
    /// Changes of the stated limit of each incarnation, in the order of time.
    limits: BTreeMap<String, Vec<(Moment, Option<u32>)>>,
    /// Arrivals that count towards the limit of an incarnation.
    arrivals: BTreeMap<String, Vec<Arrival>>,
    /// Times in which requests to an incarnation were delayed after its node had sent them.
    delays: BTreeMap<String, Vec<(Moment, Moment)>>,
}

impl NoticeChecker {
    /// Records the limit that an incarnation states from now on, if it differs from the one before.
    pub fn on_rate_limit(&mut self, now: Moment, instance: &str, rate_limit: Option<u32>) {
        let before = self.limits.get(instance).and_then(|changes| changes.last());
        if before.and_then(|(_, before)| *before) == rate_limit {
            return;
        }
        let changes = self.limits.entry(instance.to_owned()).or_default();
        changes.push((now, rate_limit));
        if rate_limit.is_none() {
            self.knows_limit.retain(|(_, known), _| known != instance);
        }
    }

    /// Records that a node has passed on an answer.
    pub fn on_passed_on(&mut self, now: Moment, node: usize, notice: &AnswerNotice) {
        let key = (node, notice.instance.clone());
        if notice.rate_limit.is_some() {
            self.knows_limit.entry(key.clone()).or_insert(now);
        }
        if notice.is_leaving {
            self.knows_leaving.entry(key).or_insert(now);
        }
    }

    /// Records that requests to an incarnation are delayed after its node has sent them, so that
    /// they arrive in bursts.
    pub fn on_delivery_delayed(&mut self, instance: &str, from: Moment, until: Moment) {
        let delays = self.delays.entry(instance.to_owned()).or_default();
        delays.push((from, until));
    }

    /// Drops what a node knew before its restart or freeze.
    pub fn on_node_frozen(&mut self, node: usize) {
        self.knows_limit.retain(|(known, _), _| *known != node);
        self.knows_leaving.retain(|(known, _), _| *known != node);
    }

    /// Drops the limits that a node knew before its links changed. Departures bind it still.
    pub fn on_node_cut(&mut self, node: usize) {
        self.knows_limit.retain(|(known, _), _| *known != node);
    }

    /// Records the arrival of a request at an incarnation. Returns a violation if the node of
    /// `node` knew that the incarnation is leaving.
    pub fn on_arrival(
        &mut self,
        now: Moment,
        id: &str,
        node: usize,
        sent_at: Moment,
        instance: &str,
    ) -> Option<String> {
        let key = (node, instance.to_owned());
        let knows_limit = self.knows_limit.get(&key);
        if knows_limit.is_some_and(|since| *since + LIMIT_AWARE_TIME <= now) {
            let arrivals = self.arrivals.entry(instance.to_owned()).or_default();
            arrivals.push(Arrival { at: now, node });
        }
        let since = self.knows_leaving.get(&key)?;
        (sent_at > *since + LEAVING_GRACE_TIME).then(|| {
            format!("DRAIN {id} of node {node} reached {instance}, which had stated that it leaves")
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
            while arrivals[first].at + LIMIT_WINDOW_TIME <= last.at {
                first += 1;
            }
            if last.at < *first_stated + LIMIT_NOTICE_TIME {
                continue;
            }
            let from = last.at.saturating_sub(LIMIT_WINDOW_TIME);
            let mut delays = self.delays.get(instance).into_iter().flatten();
            if delays.any(|(begin, end)| *begin <= last.at && from <= *end) {
                continue;
            }
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
                    "LIMIT {instance} received {count} requests in the window up to {:.3} s, last \
                     from node {}; its limit accepts {accepted:.1}",
                    last.at.as_secs_f64(),
                    last.node
                ));
            }
        }
        None
    }
}

/// Returns the number of requests that the stated limits accept in a time range, in which the time
/// before the first statement counts like the first limit; `None` if no limit is stated in a part
/// of it.
fn accepted_requests(changes: &[(Moment, Option<u32>)], from: Moment, to: Moment) -> Option<f64> {
    let mut accepted = 0.0;
    for (index, (at, rate)) in changes.iter().enumerate() {
        let begin = if index == 0 { from } else { (*at).max(from) };
        let end = changes.get(index + 1).map_or(to, |(next, _)| *next).min(to);
        if begin < end {
            accepted += f64::from((*rate)?) * (end - begin).as_secs_f64();
        }
    }
    Some(accepted)
}
