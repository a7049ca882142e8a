//! What truly happened, as callers and back ends saw it, and the promises it is held against.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::crashing::{self, CrashingRequests};
use crate::deployment::{DRAIN_TIME, MAX_APPLY_TIME, MAX_REVOCATION_TIME, TENANT};
use crate::retries::RetryHistory;

/// Violations that are kept; more are only counted.
const MAX_VIOLATIONS: usize = 40;
/// Time after its caller has left within which a repeatable request must have been stopped.
const MAX_STOP_TIME: Duration = Duration::from_millis(700);
/// Time before and after a disturbance in which a lost request may be its doing.
const DISTURBANCE_MARGIN: Duration = Duration::from_secs(3);

/// Time since the start of the soak.
pub type Moment = Duration;

/// A request as its sender knows it.
#[derive(Clone, Debug)]
pub struct Sent {
    /// When it was sent.
    pub at: Moment,
    /// Node that it was sent to.
    pub node: usize,
    /// Method.
    pub method: &'static str,
    /// Target.
    pub target: String,
    /// Body.
    pub body: Vec<u8>,
    /// Whether it may run more than once.
    pub is_idempotent: bool,
    /// Service of the machine on which it began.
    pub caller_service: &'static str,
    /// Version of the configuration that holds its key; `None` for a call, which shows none.
    pub key_version: Option<u64>,
}

/// A run of a request at a back end.
#[derive(Clone, Debug)]
struct Run {
    at: Moment,
    instance: String,
    ended: Option<Moment>,
}

/// What became of a request.
#[derive(Clone, Debug, Default)]
struct RequestHistory {
    sent: Option<Sent>,
    runs: Vec<Run>,
    arrivals: u32,
    is_retry: bool,
    cancelled_at: Option<Moment>,
}

/// What a back end got.
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
    /// Service that the request is said to come from.
    pub caller_service: &'a str,
    /// Tenant that the request is said to belong to.
    pub tenant: Option<&'a str>,
    /// Whether the caller's credential has been passed on.
    pub shows_credential: bool,
    /// Service of the back end.
    pub service: &'static str,
    /// Incarnation of the back end.
    pub instance: &'a str,
}

/// What a caller got.
#[derive(Clone, Copy, Debug)]
pub struct Answer<'a> {
    /// Status code.
    pub status: u16,
    /// Identifier that came back.
    pub id: Option<&'a str>,
    /// Signature of a back end.
    pub signature: Option<&'a str>,
    /// Body.
    pub body: &'a [u8],
}

/// Figures of a soak.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Totals {
    /// Requests of callers.
    pub requests: u64,
    /// Those answered with success.
    pub served: u64,
    /// Those refused with a promise.
    pub refused: u64,
    /// Those that ended otherwise.
    pub failed: u64,
    /// Those whose callers left before an answer.
    pub cancelled: u64,
    /// Those with a key that was taken away, which were denied.
    pub denied: u64,
}

/// What truly happened.
#[derive(Debug, Default)]
pub struct Checker {
    histories: BTreeMap<String, RequestHistory>,
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
    violations: Vec<String>,
    violation_count: u64,
    totals: Totals,
}

impl Checker {
    /// Notes a broken promise.
    pub fn report_violation(&mut self, at: Moment, text: &str) {
        self.violation_count += 1;
        if self.violations.len() < MAX_VIOLATIONS {
            let seconds = at.as_secs_f64();
            self.violations.push(format!("{seconds:8.3} {text}"));
        }
    }

    /// Returns the broken promises.
    pub fn violations(&self) -> &[String] {
        &self.violations
    }

    /// Returns the number of broken promises.
    pub const fn violation_count(&self) -> u64 {
        self.violation_count
    }

    /// Returns the figures so far.
    pub const fn totals(&self) -> Totals {
        self.totals
    }

    /// Takes in that a configuration lets requests under a prefix go to a service.
    pub fn allow_route(&mut self, prefix: &str, service: &'static str) {
        self.allowed_services
            .entry(prefix.to_owned())
            .or_default()
            .insert(service);
    }

    /// Takes in that something unplanned goes on between two moments.
    pub fn add_disturbance(&mut self, from: Moment, until: Moment) {
        self.disturbances.push((from, until));
    }

    /// Takes in a planned stop of a node.
    pub fn add_planned_stop(&mut self, node: usize, from: Moment, until: Moment) {
        self.planned_stops.push((node, from, until));
    }

    /// Takes in that a request is sent; `service` is where it should go.
    pub fn on_sent(&mut self, id: &str, sent: Sent, service: &'static str, is_call: bool) {
        if !is_call {
            self.totals.requests += 1;
        }
        let at = sent.at;
        self.retries.on_request(at, service);
        self.histories.entry(id.to_owned()).or_default().sent = Some(sent);
    }

    /// Takes in that a request reached a back end, whether or not it runs there.
    pub fn on_arrived(&mut self, at: Moment, arrived: &Arrived<'_>) {
        let parent = arrived.id.rsplit_once('.').map(|(parent, _)| parent);
        let retries_parent = parent
            .and_then(|parent| self.histories.get(parent))
            .is_some_and(|history| history.is_retry);
        let history = self.histories.entry(arrived.id.to_owned()).or_default();
        history.arrivals += 1;
        let is_retry = history.arrivals > 1 || retries_parent;
        history.is_retry |= is_retry;
        if is_retry {
            self.retries.on_retry(at, arrived.service);
        }
    }

    /// Takes in that a back end begins to work on a request.
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

    /// Takes in that a back end has stopped to work on a request.
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

    /// Takes in that a back end ends because of a request that it works on.
    pub fn on_crash(&mut self, at: Moment, target: &str) {
        self.crashing.on_crash(at, target);
    }

    /// Takes in that a request was refused because back ends have ended under requests like it.
    pub fn on_quarantined(&mut self, at: Moment, target: &str) {
        if !target.contains(crashing::CRASH_PATH) {
            let text = format!("HELD {target} was refused although it ends no back end");
            self.report_violation(at, &text);
        }
    }

    /// Takes in that an incarnation's announcement that it leaves was acknowledged.
    pub fn on_drain_acknowledged(&mut self, at: Moment, instance: &str) {
        self.drained_at.entry(instance.to_owned()).or_insert(at);
    }

    /// Takes in an answer to a request.
    pub fn on_answer(&mut self, at: Moment, id: &str, answer: &Answer<'_>, is_call: bool) {
        if !is_call {
            match answer.status {
                200..300 => self.totals.served += 1,
                408 | 421 | 429 | 503 => self.totals.refused += 1,
                401 if self.shows_old_key(id) => self.totals.denied += 1,
                _ => self.totals.failed += 1,
            }
        }
        if answer.signature.is_some() && answer.id != Some(id) {
            let text = format!("MIXED {id} got the answer of {:?}", answer.id);
            self.report_violation(at, &text);
        }
        if (200..300).contains(&answer.status) {
            self.check_success(at, id, answer);
        }
    }

    /// Returns whether a request shows a key that was taken away by a version accepted meanwhile.
    fn shows_old_key(&self, id: &str) -> bool {
        let sent = self
            .histories
            .get(id)
            .and_then(|history| history.sent.as_ref());
        let version = sent.and_then(|sent| sent.key_version);
        version.is_some_and(|version| self.accepted_versions.contains_key(&(version + 1)))
    }

    /// Takes in that a connection ended without an answer to a request; `was_kept` if the connection
    /// had carried another one before.
    pub fn on_no_answer(&mut self, at: Moment, id: &str, is_call: bool, was_reused: bool) {
        if !is_call {
            self.totals.failed += 1;
        }
        let Some(history) = self.histories.get(id) else {
            return;
        };
        let Some(sent) = history.sent.clone() else {
            return;
        };
        // A request that crosses the close of a kept connection was not taken, unless it was passed on.
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

    /// Takes in that a caller has left.
    pub fn on_caller_left(&mut self, at: Moment, id: &str) {
        if let Some(history) = self.histories.get_mut(id) {
            self.totals.cancelled += 1;
            history.cancelled_at = Some(at);
        }
    }

    /// Takes in that a node has served a route which came with a version.
    pub fn on_version_served(&mut self, at: Moment, node: usize, incarnation: u32, version: u64) {
        let served_versions = self.served_versions.entry((node, incarnation)).or_default();
        served_versions.push((at, version));
    }

    /// Takes in that a version of the configuration is accepted.
    pub fn on_version_accepted(&mut self, at: Moment, version: u64) {
        self.accepted_versions.insert(version, at);
    }

    /// Takes in that a node does not know a route which came with a version and still stands.
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
                "CONFIG node {node} denies version {version}, but served {known} at {since:.3}"
            );
            self.report_violation(sent, &text);
        }
        let accepted = self
            .accepted_versions
            .get(&version)
            .copied()
            .unwrap_or(sent);
        // A disturbance excuses a node only until it has been in touch for the time that it then has.
        let since = sent.saturating_sub(MAX_APPLY_TIME);
        let was_planned = self.planned_stops.iter().any(|(other, from, until)| {
            *other == node && *from <= sent && *until + DISTURBANCE_MARGIN >= since
        });
        if accepted < since && !was_planned && !self.is_disturbed(since, sent) {
            let text = format!("CONFIG node {node} denies version {version} for too long");
            self.report_violation(sent, &text);
        }
    }

    /// Returns whether something unplanned went on between two moments, or shortly before.
    fn is_disturbed(&self, from: Moment, until: Moment) -> bool {
        self.disturbances
            .iter()
            .any(|(begin, end)| *begin <= until && *end + DISTURBANCE_MARGIN >= from)
    }

    /// Judges everything that can only be judged when all is over.
    pub fn conclude(&mut self, now: Moment) {
        self.check_promises();
        self.check_budget();
        self.check_stopping(now);
        self.check_crashing();
    }

    /// Takes in that a request was answered with a promise that it did not run and never will.
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
            let text = format!("REFUSED {id} was promised not to have run, but has");
            self.report_violation(at, &text);
        }
    }

    fn check_content(&mut self, at: Moment, arrived: &Arrived<'_>) {
        let sent = self
            .histories
            .get(arrived.id)
            .and_then(|history| history.sent.as_ref());
        let fault = match sent {
            None => Some("nobody sent it"),
            Some(sent) if sent.method != arrived.method => Some("method changed"),
            Some(sent) if sent.target != arrived.target => Some("target changed"),
            Some(sent) if sent.body != arrived.body => Some("body changed"),
            Some(sent) if sent.caller_service != arrived.caller_service => Some("other caller"),
            Some(_) if arrived.shows_credential => Some("credential passed on"),
            Some(sent) if arrived.tenant != sent.key_version.map(|_| TENANT) => {
                Some("other tenant")
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

    /// A key stands in one version and must have stopped working some time after the next one.
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
            let text = format!("MIXED {id} got {length} bytes that no back end gave");
            self.report_violation(at, &text);
        }
    }

    fn check_budget(&mut self) {
        for (at, text) in self.retries.violations() {
            self.report_violation(at, &text);
        }
    }

    /// Judges whether work for callers that have left is stopped.
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
                "GONE {} of {} requests went on without their callers",
                self.not_stopped_count, self.cancelled_count
            );
            self.report_violation(now, &text);
        }
    }
}

/// Returns the first segment of a target, which names its route.
pub fn prefix_of(target: &str) -> &str {
    let end = target
        .char_indices()
        .filter(|(_, character)| *character == '/')
        .nth(1);
    end.map_or(target, |(index, _)| &target[..=index])
}

/// Returns the body that an incarnation answers a request with.
pub fn body_of(id: &str, instance: &str) -> Vec<u8> {
    let unit = format!("{id} at {instance};");
    let count = 1 + xxh3_64(id.as_bytes()) % 200;
    unit.repeat(usize::try_from(count).unwrap_or(1))
        .into_bytes()
}

/// Returns the signature of a body.
pub fn signature_of(body: &[u8]) -> String {
    format!("{:016x}", xxh3_64(body))
}
