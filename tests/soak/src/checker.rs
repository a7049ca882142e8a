//! Checks the documented guarantees against the events that callers, back ends and the operator
//! report.
//!
//! Each violation begins with a word for the guarantee, such as `TWICE` for a second run of a
//! request that is not idempotent. Guarantees that hold only without faults are not checked during
//! disturbances.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::crashing::{self, CrashingRequests};
use crate::deployment::{DRAIN_TIME, MAX_APPLY_TIME, MAX_REVOCATION_TIME, TENANT};
use crate::notices::NoticeChecker;
use crate::retries::RetryHistory;

/// Maximum number of violations whose texts are kept; further ones are only counted.
const MAX_VIOLATIONS: usize = 40;
/// Maximum time until an idempotent request is stopped after its caller has left.
const MAX_STOP_TIME: Duration = Duration::from_millis(700);
/// Time after a disturbance during which its effects, such as lost requests, are still excused.
const DISTURBANCE_MARGIN: Duration = Duration::from_secs(3);

/// Time within which requests are answered while nothing is disturbed.
const ANSWER_TIME: Duration = Duration::from_millis(400);
/// The same for long bodies, which slow readers read for about 3 s: their deadline.
const LONG_ANSWER_TIME: Duration = Duration::from_secs(6);
/// Prefix of the identifiers of requests that get a long body.
pub const LONG_BODY_PREFIX: &str = "long-";
/// Length of a long body, in bytes: more than the buffers of a connection hold.
const LONG_BODY_BYTES: usize = 3_000_000;

/// Time since the start of the soak.
pub type Moment = Duration;

/// A request as it was sent.
#[derive(Clone, Debug)]
pub struct Sent {
    /// Time of the send.
    pub at: Moment,
    /// Node to which the request was sent.
    pub node: usize,
    /// Method.
    pub method: &'static str,
    /// Target.
    pub target: String,
    /// Body.
    pub body: Vec<u8>,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// Service of the machine from which the request was sent.
    pub caller_service: &'static str,
    /// Version of the configuration to which the key belongs; `None` for a call, which has no key.
    pub key_version: Option<u64>,
    /// Whether the request is a call made by a run that is a retry.
    pub is_of_retry: bool,
}

/// Arrival of a request at a back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Number of this arrival of the request, from 1.
    pub number: u32,
    /// Whether it counts as a retry.
    pub is_retry: bool,
}

/// A run of a request at a back end.
#[derive(Clone, Debug)]
struct Run {
    at: Moment,
    instance: String,
    ended: Option<Moment>,
}

/// Events of a request.
#[derive(Clone, Debug, Default)]
struct RequestHistory {
    sent: Option<Sent>,
    runs: Vec<Run>,
    arrivals: u32,
    is_retry: bool,
    cancelled_at: Option<Moment>,
}

/// A request as a back end received it.
#[derive(Clone, Copy, Debug)]
pub struct Arrived<'a> {
    /// Identifier.
    pub id: &'a str,
    /// Method.
    pub method: &'a str,
    /// Target.
    pub target: &'a str,
    /// Body.
    pub body: &'a [u8],
    /// Value of `Caller-Service`.
    pub caller_service: &'a str,
    /// Value of `Tenant`.
    pub tenant: Option<&'a str>,
    /// Whether the caller's credential was forwarded.
    pub has_credential: bool,
    /// Service of the back end.
    pub service: &'static str,
    /// Label of the back end's incarnation.
    pub instance: &'a str,
}

/// A response as a caller received it.
#[derive(Clone, Copy, Debug)]
pub struct Answer<'a> {
    /// Status code.
    pub status: u16,
    /// Request identifier in the response.
    pub id: Option<&'a str>,
    /// Signature of the body; only back ends send it.
    pub signature: Option<&'a str>,
    /// Body.
    pub body: &'a [u8],
}

/// Numbers of requests of callers, by outcome, without those that crash back ends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Totals {
    /// Requests sent.
    pub requests: u64,
    /// Requests answered with success.
    pub served: u64,
    /// Requests refused with a status that promises that they did not run.
    pub refused: u64,
    /// Requests with any other response or none.
    pub failed: u64,
    /// Requests whose callers left before the response.
    pub cancelled: u64,
    /// Requests refused because of a revoked key.
    pub denied: u64,
}

/// Records the events of a soak and reports violations of the guarantees.
#[derive(Debug, Default)]
pub struct Checker {
    histories: BTreeMap<String, RequestHistory>,
    /// Times at which the requests of callers that have no outcome yet were sent.
    in_flight: BTreeMap<String, Moment>,
    drained_at: BTreeMap<String, Moment>,
    retries: RetryHistory,
    allowed_services: BTreeMap<String, BTreeSet<&'static str>>,
    served_versions: BTreeMap<(usize, u32), Vec<(Moment, u64)>>,
    disturbances: Vec<(Moment, Moment)>,
    planned_stops: Vec<(usize, Moment, Moment)>,
    promised_not_run: BTreeMap<String, Moment>,
    accepted_versions: BTreeMap<u64, Moment>,
    cancelled_count: u64,
    not_stopped_count: u64,
    crashing: CrashingRequests,
    notices: NoticeChecker,
    violations: Vec<String>,
    violation_count: u64,
    totals: Totals,
}

impl Checker {
    /// Creates a checker of a deployment whose retry budget has this slack.
    pub fn with_retry_slack(slack: f64) -> Self {
        Self {
            retries: RetryHistory::with_slack(slack),
            ..Self::default()
        }
    }

    /// Records a violation.
    pub fn report_violation(&mut self, at: Moment, text: &str) {
        self.violation_count += 1;
        if self.violations.len() < MAX_VIOLATIONS {
            let seconds = at.as_secs_f64();
            self.violations.push(format!("{seconds:8.3} {text}"));
        }
    }

    /// Returns the texts of the violations that are kept.
    pub fn violations(&self) -> &[String] {
        &self.violations
    }

    /// Returns the number of all violations.
    pub const fn violation_count(&self) -> u64 {
        self.violation_count
    }

    /// Returns the numbers of requests so far.
    pub const fn totals(&self) -> Totals {
        self.totals
    }

    /// Returns the number of requests of callers without an outcome.
    pub fn in_flight(&self) -> u64 {
        self.in_flight.len() as u64
    }

    /// Returns the number of requests of callers without an outcome that may still be served in time.
    pub fn in_flight_in_time(&self, now: Moment) -> u64 {
        let is_in_time = |id: &str, sent_at: Moment| {
            let answer_time = if id.starts_with(LONG_BODY_PREFIX) {
                LONG_ANSWER_TIME
            } else {
                ANSWER_TIME
            };
            sent_at + answer_time > now
        };
        let in_time = self
            .in_flight
            .iter()
            .filter(|(id, at)| is_in_time(id, **at));
        in_time.count() as u64
    }

    /// Allows requests under a prefix to run at a service.
    pub fn allow_route(&mut self, prefix: &str, service: &'static str) {
        self.allowed_services
            .entry(prefix.to_owned())
            .or_default()
            .insert(service);
    }

    /// Returns the checker of what back ends state about themselves.
    pub fn notices(&mut self) -> &mut NoticeChecker {
        &mut self.notices
    }

    /// Returns the retries that back ends received.
    pub const fn retries(&self) -> &RetryHistory {
        &self.retries
    }

    /// Records a disturbance that lasts from `from` until `until`.
    pub fn add_disturbance(&mut self, from: Moment, until: Moment) {
        self.disturbances.push((from, until));
    }

    /// Records a planned stop of a node that ends by `until`.
    pub fn add_planned_stop(&mut self, node: usize, from: Moment, until: Moment) {
        self.planned_stops.push((node, from, until));
    }

    /// Records that a request is sent; `service` is the service to which its route leads. Calls of
    /// back ends are not counted in the totals.
    pub fn on_sent(&mut self, id: &str, sent: Sent, service: &'static str, is_call: bool) {
        if !is_call && !crashing::is_crashing(&sent.target) {
            self.totals.requests += 1;
            self.in_flight.insert(id.to_owned(), sent.at);
        }
        // A call made for a retry is itself a retry, not a request.
        if !sent.is_of_retry {
            self.retries.on_request(sent.at, service);
        }
        self.histories.entry(id.to_owned()).or_default().sent = Some(sent);
    }

    /// Records that a request reached a back end, whether or not it runs there.
    pub fn on_arrived(&mut self, at: Moment, arrived: &Arrived<'_>) -> Arrival {
        let parent = arrived.id.rsplit_once('.').map(|(parent, _)| parent);
        let is_parent_retry = parent
            .and_then(|parent| self.histories.get(parent))
            .is_some_and(|history| history.is_retry);
        let history = self.histories.entry(arrived.id.to_owned()).or_default();
        history.arrivals += 1;
        let sent = history.sent.as_ref();
        // Without a record of the call, it counts as one of the last run of its parent.
        let is_of_retry = sent.map_or(is_parent_retry, |sent| sent.is_of_retry);
        let arrival = Arrival {
            number: history.arrivals,
            is_retry: history.arrivals > 1 || is_of_retry,
        };
        history.is_retry |= arrival.is_retry;
        let violation = sent.and_then(|sent| {
            let instance = arrived.instance;
            self.notices
                .on_arrival(at, arrived.id, sent.node, sent.at, instance)
        });
        if arrival.is_retry {
            self.retries.on_retry(at, arrived.service);
        }
        if let Some(text) = violation {
            self.report_violation(at, &text);
        }
        arrival
    }

    /// Records that a back end starts to work on a request, and checks all guarantees about runs.
    pub fn on_run_started(&mut self, at: Moment, arrived: &Arrived<'_>) {
        self.check_content(at, arrived);
        self.check_route(at, arrived);
        self.check_drain(at, arrived);
        self.check_key(at, arrived);
        self.crashing.on_run_started(at, arrived.target);
        let history = self.histories.entry(arrived.id.to_owned()).or_default();
        let is_idempotent = history.sent.as_ref().is_none_or(|sent| sent.is_idempotent);
        history.runs.push(Run {
            at,
            instance: arrived.instance.to_owned(),
            ended: None,
        });
        if !is_idempotent && history.runs.len() > 1 {
            let runs: Vec<String> = history
                .runs
                .iter()
                .map(|run| format!("{:.3} at {}", run.at.as_secs_f64(), run.instance))
                .collect();
            let text = format!("TWICE {} ran {}", arrived.id, runs.join(", "));
            self.report_violation(at, &text);
        }
    }

    /// Records that a back end no longer works on a request.
    pub fn on_run_ended(&mut self, at: Moment, id: &str, instance: &str) {
        if let Some(history) = self.histories.get_mut(id)
            && let Some(run) = history
                .runs
                .iter_mut()
                .rev()
                .find(|run| run.instance == instance && run.ended.is_none())
        {
            run.ended = Some(at);
        }
    }

    /// Records that a back end crashes because of a request.
    pub fn on_crash(&mut self, at: Moment, target: &str) {
        self.crashing.on_crash(at, target);
    }

    /// Checks that a request refused as quarantined is one that crashes back ends.
    pub fn on_quarantined(&mut self, at: Moment, target: &str) {
        if !crashing::is_crashing(target) {
            let text = format!("HELD {target} was quarantined although it crashes no back end");
            self.report_violation(at, &text);
        }
    }

    /// Records the first acknowledgement of an incarnation's drain.
    pub fn on_drain_acknowledged(&mut self, at: Moment, instance: &str) {
        self.drained_at.entry(instance.to_owned()).or_insert(at);
    }

    /// Records a response to a request, and checks that it belongs to the request.
    pub fn on_answer(&mut self, at: Moment, id: &str, answer: &Answer<'_>, is_call: bool) {
        self.in_flight.remove(id);
        if self.is_counted(id, is_call) {
            match answer.status {
                200..300 => self.totals.served += 1,
                408 | 421 | 429 | 503 => self.totals.refused += 1,
                401 if self.uses_revoked_key(id) => self.totals.denied += 1,
                _ => self.totals.failed += 1,
            }
        }
        if answer.signature.is_some() && answer.id != Some(id) {
            let text = format!("MIXED {id} got the response of {:?}", answer.id);
            self.report_violation(at, &text);
        }
        if (200..300).contains(&answer.status) {
            self.check_success(at, id, answer);
        }
    }

    /// Returns whether a request is counted in the totals: it is a caller's and crashes no back end.
    fn is_counted(&self, id: &str, is_call: bool) -> bool {
        let history = self.histories.get(id);
        let sent = history.and_then(|history| history.sent.as_ref());
        !is_call && sent.is_none_or(|sent| !crashing::is_crashing(&sent.target))
    }

    /// Returns when a request has last crashed a back end.
    pub fn last_crash(&self) -> Option<Moment> {
        self.crashing.last_crash()
    }

    /// Returns whether a request uses a key that an accepted version has revoked.
    fn uses_revoked_key(&self, id: &str) -> bool {
        let sent = self
            .histories
            .get(id)
            .and_then(|history| history.sent.as_ref());
        let version = sent.and_then(|sent| sent.key_version);
        version.is_some_and(|version| self.accepted_versions.contains_key(&(version + 1)))
    }

    /// Records that a request got no response, and checks that it was not lost to a planned stop.
    /// `was_reused` tells whether the connection had carried an earlier request.
    pub fn on_no_answer(&mut self, at: Moment, id: &str, is_call: bool, was_reused: bool) {
        self.in_flight.remove(id);
        if self.is_counted(id, is_call) {
            self.totals.failed += 1;
        }
        let Some(history) = self.histories.get(id) else {
            return;
        };
        let Some(sent) = history.sent.clone() else {
            return;
        };
        // The node may close an idle connection while a request is on its way. Such a request was
        // not accepted, unless it reached a back end.
        if was_reused && history.arrivals == 0 {
            return;
        }
        let is_disturbed = self.is_disturbed(sent.at, at);
        let was_planned = self
            .planned_stops
            .iter()
            .any(|(node, from, until)| *node == sent.node && *from <= at && *until >= sent.at);
        if was_planned && !is_disturbed {
            let since = sent.at.as_secs_f64();
            let text = format!("LOST {id}, sent {since:.3} to node {}", sent.node);
            self.report_violation(at, &text);
        }
    }

    /// Records that a caller left before the response to its request.
    pub fn on_caller_left(&mut self, at: Moment, id: &str) {
        self.in_flight.remove(id);
        if let Some(history) = self.histories.get_mut(id) {
            self.totals.cancelled += 1;
            history.cancelled_at = Some(at);
        }
    }

    /// Records that an incarnation of a node served a route that a version added.
    pub fn on_version_served(&mut self, at: Moment, node: usize, incarnation: u32, version: u64) {
        let served_versions = self.served_versions.entry((node, incarnation)).or_default();
        served_versions.push((at, version));
    }

    /// Records that a version of the configuration is accepted.
    pub fn on_version_accepted(&mut self, at: Moment, version: u64) {
        self.accepted_versions.insert(version, at);
    }

    /// Checks whether a node may lack a route that a version added and that is still configured: it
    /// must not have served that version or a later one before, and must not be too late in
    /// applying it.
    pub fn on_version_unknown(
        &mut self,
        sent: Moment,
        node: usize,
        incarnation: u32,
        version: u64,
    ) {
        let served_versions = self.served_versions.entry((node, incarnation)).or_default();
        let earlier = served_versions
            .iter()
            .find(|(at, known)| *at < sent && *known >= version)
            .copied();
        if let Some((at, known)) = earlier {
            let since = at.as_secs_f64();
            let text = format!(
                "CONFIG node {node} lacks version {version}, but served {known} at {since:.3}"
            );
            self.report_violation(sent, &text);
        }
        let accepted = self
            .accepted_versions
            .get(&version)
            .copied()
            .unwrap_or(sent);
        // A disturbance or a planned stop excuses a node until the margin and then the whole apply
        // time have passed.
        let since = sent.saturating_sub(MAX_APPLY_TIME);
        let was_planned = self.planned_stops.iter().any(|(other, from, until)| {
            *other == node && *from <= sent && *until + DISTURBANCE_MARGIN >= since
        });
        if accepted < since && !was_planned && !self.is_disturbed(since, sent) {
            let text = format!("CONFIG node {node} lacks version {version} for too long");
            self.report_violation(sent, &text);
        }
    }

    /// Returns whether there was a disturbance between two times or within [`DISTURBANCE_MARGIN`]
    /// before.
    fn is_disturbed(&self, from: Moment, until: Moment) -> bool {
        self.disturbances
            .iter()
            .any(|(begin, end)| *begin <= until && *end + DISTURBANCE_MARGIN >= from)
    }

    /// Checks the guarantees that can only be checked at the end of the soak.
    pub fn conclude(&mut self, now: Moment) {
        self.check_promises();
        self.check_budget();
        self.check_stopping(now);
        self.check_crashing();
        for text in self.notices.rate_violations() {
            self.report_violation(now, &text);
        }
    }

    /// Records that a request was refused with a promise that it did not run and never will.
    pub fn on_promised_not_run(&mut self, at: Moment, id: &str) {
        self.promised_not_run.insert(id.to_owned(), at);
    }

    fn check_crashing(&mut self) {
        let is_disturbed = |from, until| self.is_disturbed(from, until);
        for (at, text) in self.crashing.violations(is_disturbed) {
            self.report_violation(at, &text);
        }
    }

    fn check_promises(&mut self) {
        let is_broken = |id: &String| {
            self.histories.get(id).is_some_and(|history| {
                let once = history
                    .sent
                    .as_ref()
                    .is_some_and(|sent| !sent.is_idempotent);
                once && !history.runs.is_empty()
            })
        };
        let broken: Vec<(String, Moment)> = self
            .promised_not_run
            .iter()
            .filter(|(id, _)| is_broken(id))
            .map(|(id, at)| (id.clone(), *at))
            .collect();
        for (id, at) in broken {
            let text = format!("REFUSED {id} was refused as not run, but has run");
            self.report_violation(at, &text);
        }
    }

    fn check_content(&mut self, at: Moment, arrived: &Arrived<'_>) {
        let sent = self
            .histories
            .get(arrived.id)
            .and_then(|history| history.sent.as_ref());
        let fault = match sent {
            None => Some("never sent"),
            Some(sent) if sent.method != arrived.method => Some("method changed"),
            Some(sent) if sent.target != arrived.target => Some("target changed"),
            Some(sent) if sent.body != arrived.body => Some("body changed"),
            Some(sent) if sent.caller_service != arrived.caller_service => {
                Some("caller service changed")
            }
            Some(_) if arrived.has_credential => Some("credential forwarded"),
            Some(sent) if arrived.tenant != sent.key_version.map(|_| TENANT) => {
                Some("wrong tenant")
            }
            Some(_) => None,
        };
        if let Some(fault) = fault {
            let text = format!("UNASKED {}: {fault}", arrived.id);
            self.report_violation(at, &text);
        }
    }

    fn check_route(&mut self, at: Moment, arrived: &Arrived<'_>) {
        let prefix = prefix_of(arrived.target);
        let allowed_services = self.allowed_services.get(prefix);
        if allowed_services.is_none_or(|services| !services.contains(arrived.service)) {
            let text = format!(
                "ROUTE {} {} ran at {}",
                arrived.id, arrived.target, arrived.service
            );
            self.report_violation(at, &text);
        }
    }

    /// Checks that no request with a revoked key runs: the version after that of the key revokes
    /// it, and the key must stop working within [`MAX_REVOCATION_TIME`].
    fn check_key(&mut self, at: Moment, arrived: &Arrived<'_>) {
        let history = self.histories.get(arrived.id);
        let Some(sent) = history.and_then(|history| history.sent.as_ref()) else {
            return;
        };
        let Some(version) = sent.key_version else {
            return;
        };
        let removed = self.accepted_versions.get(&(version + 1)).copied();
        if removed.is_some_and(|moment| moment + MAX_REVOCATION_TIME < sent.at) {
            let text = format!("REVOKED {} ran with a key of version {version}", arrived.id);
            self.report_violation(at, &text);
        }
    }

    fn check_drain(&mut self, at: Moment, arrived: &Arrived<'_>) {
        let acknowledged = self.drained_at.get(arrived.instance).copied();
        if acknowledged.is_some_and(|moment| moment + DRAIN_TIME < at) {
            let text = format!("DRAIN {} ran at {}", arrived.id, arrived.instance);
            self.report_violation(at, &text);
        }
    }

    fn check_success(&mut self, at: Moment, id: &str, answer: &Answer<'_>) {
        let runs = self
            .histories
            .get(id)
            .map_or(&[][..], |history| &history.runs[..]);
        let is_genuine = runs.iter().any(|run| {
            let expected = body_of(id, &run.instance);
            let signature = signature_of(&expected);
            answer.body == expected && answer.signature == Some(signature.as_str())
        });
        if !is_genuine {
            let length = answer.body.len();
            let text = format!("MIXED {id} got {length} bytes that no back end sent");
            self.report_violation(at, &text);
        }
    }

    fn check_budget(&mut self) {
        for (at, text) in self.retries.violations() {
            self.report_violation(at, &text);
        }
    }

    /// Checks that work for callers that have left is stopped; single exceptions are tolerated.
    fn check_stopping(&mut self, now: Moment) {
        for history in self.histories.values() {
            let (Some(cancelled_at), Some(sent)) = (history.cancelled_at, &history.sent) else {
                continue;
            };
            let late = cancelled_at + MAX_STOP_TIME;
            let is_calm = !self.is_disturbed(cancelled_at, late);
            if !sent.is_idempotent || !is_calm || late > now {
                continue;
            }
            self.cancelled_count += 1;
            let goes_on = history
                .runs
                .iter()
                .any(|run| run.at < cancelled_at && run.ended.is_none_or(|ended| ended > late));
            self.not_stopped_count += u64::from(goes_on);
        }
        if self.not_stopped_count > 4 && self.not_stopped_count * 4 > self.cancelled_count {
            let text = format!(
                "GONE {} of {} requests kept running after their callers had left",
                self.not_stopped_count, self.cancelled_count
            );
            self.report_violation(now, &text);
        }
    }
}

/// Returns the first segment of a target, with its slashes; it is the path prefix of a route.
pub fn prefix_of(target: &str) -> &str {
    let end = target
        .char_indices()
        .filter(|(_, character)| *character == '/')
        .nth(1);
    end.map_or(target, |(index, _)| &target[..=index])
}

/// Returns the body with which an incarnation responds to a request. Its length depends on the
/// identifier.
pub fn body_of(id: &str, instance: &str) -> Vec<u8> {
    let unit = format!("{id} at {instance};");
    if id.starts_with(LONG_BODY_PREFIX) {
        return unit.repeat(LONG_BODY_BYTES / unit.len()).into_bytes();
    }
    let count = 1 + xxh3_64(id.as_bytes()) % 200;
    unit.repeat(usize::try_from(count).unwrap_or(1))
        .into_bytes()
}

/// Returns the signature of a body.
pub fn signature_of(body: &[u8]) -> String {
    format!("{:016x}", xxh3_64(body))
}
