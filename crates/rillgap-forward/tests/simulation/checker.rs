//! Checks the guarantees of a deployment against what callers and back ends observed.

use std::collections::BTreeMap;
use std::time::Duration;

use rillgap_forward::configuration::RateLimit;
use rillgap_forward::settings::RetryBound;
use rillgap_soak::notices::{AnswerNotice, NoticeChecker};
use rillgap_soak::retries::{RetryHistory, RetryLimit};

use crate::world::{Key, MAX_REVOCATION_DELAY, service_of_target};

/// Milliseconds after the acknowledgement of draining within which requests may still arrive.
const DRAIN_GRACE_MILLIS: u64 = 2_000;
/// Milliseconds within which every connected node must apply a stored configuration.
const MAX_APPLY_MILLIS: u64 = 2_000;

/// Length of the sliding window over which a tenant's requests are counted, in milliseconds.
const LIMIT_WINDOW_MILLIS: u64 = 5_000;
/// Milliseconds within which crash evidence must have reached every undisturbed node.
const PROPAGATION_MILLIS: u64 = 3_000;
/// Executions that a content may have after it has crashed three back ends and
/// [`PROPAGATION_MILLIS`] have passed.
const MAX_EXECUTIONS_AFTER_THIRD_CRASH: usize = 3;

/// Tolerance above the limit of a tenant: a fraction of it, and requests on top of that.
const LIMIT_TOLERANCE: (f64, f64) = (0.1, 20.0);

/// Returns a time of the simulation for the checker of notices.
const fn moment(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A request, as its caller and the back ends observed it.
#[derive(Clone, Debug, Default)]
struct RequestRecord {
    /// Host of the entry node.
    host: usize,
    target: String,
    is_idempotent: bool,
    is_call: bool,
    /// Whether the request is a call made by a run that is a retry.
    is_of_retry: bool,
    sent_at: u64,
    key: Option<Key>,
    /// Arrivals at back ends, also those that were rejected.
    arrivals: u32,
    executions: u32,
    /// An answer to the caller has guaranteed that the request was not executed.
    was_reported_not_run: bool,
}

impl RequestRecord {
    /// Returns the content of the request: its target and its tenant, by which retries of a caller
    /// are counted together.
    fn content(&self) -> String {
        let tenant = match self.key {
            None => "nobody",
            Some(Key::Limited) => "limited",
            Some(Key::Kept | Key::OfVersion(_)) => "steady",
        };
        format!("{} of {tenant}", self.target)
    }

    /// Counts an arrival at a back end; returns whether it is a retry.
    fn count_arrival(&mut self) -> bool {
        self.arrivals += 1;
        self.arrivals > 1 || self.is_of_retry
    }
}

/// A request as it is sent to a node.
#[derive(Clone, Copy, Debug)]
pub struct Sent<'a> {
    /// Host of the entry node.
    pub host: usize,
    pub id: &'a str,
    pub target: &'a str,
    pub is_idempotent: bool,
    /// The run of a back end that makes this call; `None` for a request of a caller.
    pub caller_run: Option<Run>,
}

/// A run of a request at a back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Run {
    /// Number of this run of the request, from 0.
    pub number: u32,
    /// Whether the run counts as a retry: the request had reached a back end before, or is a call
    /// of a run that is a retry.
    pub is_retry: bool,
}

/// An execution of a request, with the host of its entry node.
#[derive(Clone, Copy, Debug)]
struct Execution {
    started_at: u64,
    sent_at: u64,
    host: usize,
}

/// Outcomes of callers' requests that were answered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Outcomes {
    pub requests: u64,
    pub served: u64,
    /// Requests that were refused as not run because there was no capacity for them.
    pub refused: u64,
    /// Requests that failed after a back end had worked on them.
    pub failed_after_work: u64,
}

/// Records what happens in a scenario and collects violated guarantees.
#[derive(Debug, Default)]
pub struct Checker {
    requests: BTreeMap<String, RequestRecord>,
    /// Time at which the draining of each incarnation of a back end was acknowledged.
    drain_acknowledged_at: BTreeMap<String, u64>,
    retries: RetryHistory,
    /// Time at which each version of the configuration was stored.
    stored_at: BTreeMap<u64, u64>,
    /// Times at which each executed request of the limited tenant was sent and first executed.
    limited_executions: Vec<(u64, u64)>,
    /// Executions by content.
    executions_by_content: BTreeMap<String, Vec<Execution>>,
    /// Hosts that were disturbed, with begin and end.
    disturbances: Vec<(usize, u64, u64)>,
    /// Times at which back ends crashed because of a request, by its content.
    crashes: BTreeMap<String, Vec<u64>>,
    notices: NoticeChecker,
    /// Violated guarantees; each text begins with the name of the check.
    pub violations: Vec<String>,
    /// Requests that callers sent, without calls of back ends.
    pub caller_requests: u64,
    /// Requests of callers that were answered with status 200.
    pub served: u64,
}

impl Checker {
    /// Creates a checker of a deployment with this retry bound.
    pub fn with_retry_bound(bound: RetryBound) -> Self {
        let limit = RetryLimit {
            ratio: bound.ratio,
            slack: f64::from(bound.slack),
            window: bound.window,
        };
        Self {
            retries: RetryHistory::new(limit),
            ..Self::default()
        }
    }

    /// Records a request or call that is sent to a node.
    pub fn on_sent(&mut self, now: u64, sent: &Sent<'_>) {
        let is_call = sent.caller_run.is_some();
        let is_of_retry = sent.caller_run.is_some_and(|run| run.is_retry);
        let record = RequestRecord {
            host: sent.host,
            target: sent.target.to_owned(),
            is_idempotent: sent.is_idempotent,
            is_call,
            is_of_retry,
            sent_at: now,
            ..RequestRecord::default()
        };
        self.requests.insert(sent.id.to_owned(), record);
        // A call made for a retry is itself a retry, not a request.
        if !is_of_retry {
            self.retries
                .on_request(moment(now), service_of_target(sent.target));
        }
        self.caller_requests += u64::from(!is_call);
    }

    /// Records that a request reaches a back end that does not run it.
    pub fn on_rejected(&mut self, now: u64, id: &str, service: &'static str) {
        let record = self.requests.get_mut(id);
        if record.is_some_and(RequestRecord::count_arrival) {
            self.retries.on_retry(moment(now), service);
        }
    }

    /// Records the key with which a request was sent.
    pub fn on_key(&mut self, id: &str, key: Key) {
        if let Some(record) = self.requests.get_mut(id) {
            record.key = Some(key);
        }
    }

    /// Records the time at which the store accepted a version of the configuration.
    pub fn on_configuration_stored(&mut self, now: u64, version: u64) {
        self.stored_at.insert(version, now);
    }

    /// Records that a back end begins to execute a request, and checks that it may.
    pub fn on_execution_started(
        &mut self,
        now: u64,
        id: &str,
        instance: &str,
        service: &'static str,
    ) -> Run {
        let Some(record) = self.requests.get_mut(id) else {
            self.violations
                .push(format!("UNASKED {id} was executed and never sent"));
            return Run {
                number: 0,
                is_retry: false,
            };
        };
        let run = Run {
            number: record.executions,
            is_retry: record.count_arrival(),
        };
        record.executions += 1;
        let executions = self.executions_by_content.entry(record.content());
        executions.or_default().push(Execution {
            started_at: now,
            sent_at: record.sent_at,
            host: record.host,
        });
        match record.key {
            Some(Key::OfVersion(version)) => {
                let removed = self.stored_at.get(&(version + 1)).copied();
                let bound = MAX_REVOCATION_DELAY.as_millis() as u64;
                if removed.is_some_and(|at| record.sent_at > at + bound) {
                    self.violations.push(format!(
                        "REVOKED {id} ran with the key of version {version}"
                    ));
                }
            }
            Some(Key::Limited) if run.number == 0 => {
                self.limited_executions.push((record.sent_at, now))
            }
            _ => {}
        }
        if run.is_retry {
            self.retries.on_retry(moment(now), service);
        }
        let sent_at = moment(record.sent_at);
        let violation = self
            .notices
            .on_arrival(moment(now), id, record.host, sent_at, instance);
        self.violations.extend(violation);
        if record.executions > 1 && !record.is_idempotent {
            self.violations.push(format!("TWICE {id}"));
        }
        if record.was_reported_not_run && !record.is_idempotent {
            self.violations
                .push(format!("REFUSED {id} ran after it was reported as not run"));
        }
        let drain_acknowledged_at = self.drain_acknowledged_at.get(instance).copied();
        if drain_acknowledged_at.is_some_and(|at| now > at + DRAIN_GRACE_MILLIS) {
            self.violations
                .push(format!("DRAIN {id} reached {instance}"));
        }
        run
    }

    /// Records that a process exits in a planned stop, with the requests whose answers callers have
    /// not read to the end.
    pub fn on_planned_exit<'a>(&mut self, unread: impl Iterator<Item = &'a String>) {
        let lost = unread.map(|id| format!("LOST {id}: the answer was cut by a planned stop"));
        self.violations.extend(lost);
    }

    /// Records that a request has crashed the back end that executed it.
    pub fn on_crash(&mut self, now: u64, id: &str) {
        if let Some(record) = self.requests.get(id) {
            let crashes = self.crashes.entry(record.content());
            crashes.or_default().push(now);
        }
    }

    /// Records the begin and end of a disturbance of a host.
    ///
    /// Requests that the host receives during the disturbance, or within [`PROPAGATION_MILLIS`]
    /// after it, are not checked: crash evidence may not have reached its node.
    pub fn on_disturbance(&mut self, host: usize, from: u64, to: u64) {
        self.disturbances.push((host, from, to));
    }

    fn was_undisturbed(&self, execution: &Execution) -> bool {
        let overlaps = |(host, from, to): &(usize, u64, u64)| {
            *host == execution.host
                && *from <= execution.sent_at
                && execution.sent_at < to + PROPAGATION_MILLIS
        };
        !self.disturbances.iter().any(overlaps)
    }

    /// Checks that a content is hardly executed any more once it has crashed three back ends and
    /// this evidence has reached the nodes.
    pub fn check_crashing_requests(&mut self) {
        for (content, crashes) in &self.crashes {
            let Some(third) = crashes.get(2) else {
                continue;
            };
            let known = third + PROPAGATION_MILLIS;
            let executions = self.executions_by_content[content].iter();
            let late = executions.filter(|execution| {
                execution.started_at > known && self.was_undisturbed(execution)
            });
            let late = late.count();
            if late > MAX_EXECUTIONS_AFTER_THIRD_CRASH {
                self.violations.push(format!(
                    "CRASHES {content} ran {late} times after its third crash, {} crashes in all",
                    crashes.len()
                ));
            }
        }
    }

    /// Records that an answer with notices of its back end was passed on by the node of a host.
    pub fn on_notice_passed_on(&mut self, now: u64, host: usize, notice: &AnswerNotice) {
        self.notices.on_passed_on(moment(now), host, notice);
    }

    /// Records the rate limit that the answers of a back end state from now on.
    pub fn on_rate_limit_changed(&mut self, now: u64, instance: &str, rate_limit: Option<u32>) {
        self.notices
            .on_rate_limit(moment(now), instance, rate_limit);
    }

    /// Records that the node of a host has restarted or was frozen: it may have lost all notices.
    pub fn on_host_frozen(&mut self, host: usize) {
        self.notices.on_node_frozen(host);
    }

    /// Records that the links of a host were cut or are restored.
    pub fn on_host_cut(&mut self, host: usize) {
        self.notices.on_node_cut(host);
    }

    /// Checks the stated rate limits of all back ends.
    pub fn check_rate_limits(&mut self) {
        self.violations.extend(self.notices.rate_violations());
    }

    /// Records the first acknowledgement that a back end drains.
    pub fn on_drain_acknowledged(&mut self, now: u64, instance: &str) {
        self.drain_acknowledged_at
            .entry(instance.to_owned())
            .or_insert(now);
    }

    /// Checks the answer to a request; the body of a successful one is the identifier of the
    /// request that was executed.
    pub fn on_answer(&mut self, id: &str, status: u16, body: &str) {
        let Some(record) = self.requests.get_mut(id) else {
            self.violations
                .push(format!("MIXED answer to {id}, which nobody sent"));
            return;
        };
        let is_not_run = matches!(status, 408 | 421 | 429 | 503);
        if is_not_run && !record.is_idempotent && record.executions > 0 {
            self.violations
                .push(format!("REFUSED {id} was reported as not run and had run"));
        }
        record.was_reported_not_run |= is_not_run;
        if status == 200 && body != id {
            self.violations
                .push(format!("MIXED {id} got the answer of {body}"));
        }
        if status == 200 && record.executions == 0 {
            self.violations
                .push(format!("MIXED {id} succeeded and did not run"));
        }
        self.served += u64::from(status == 200 && !record.is_call);
    }

    /// Checks that the version of the configuration in force at a node does not decrease.
    pub fn on_configuration_in_force(&mut self, node: &str, before: u64, version: u64) {
        if version < before {
            self.violations.push(format!(
                "CONFIG {node} went from version {before} back to {version}"
            ));
        }
    }

    /// Checks that a node with `version` in force has applied version `stored`, which the store has
    /// held for `since` milliseconds.
    pub fn check_configuration(&mut self, node: &str, version: u64, stored: u64, since: u64) {
        if version < stored && since > MAX_APPLY_MILLIS {
            self.violations.push(format!(
                "CONFIG {node} has version {version} in force, {stored} is stored"
            ));
        }
    }

    /// Checks the retry budget of each service: retries within any window, with the calls that
    /// retried runs make.
    pub fn check_budget(&mut self) {
        let violations = self.retries.violations();
        self.violations
            .extend(violations.into_iter().map(|(_, text)| text));
    }

    /// Checks the limit of the limited tenant: requests that are both sent and executed within any
    /// window.
    pub fn check_limit(&mut self, limit: RateLimit) {
        let (fraction, extra) = LIMIT_TOLERANCE;
        let seconds = LIMIT_WINDOW_MILLIS as f64 / 1_000.0;
        let bound = (limit.per_second * seconds + limit.burst) * (1.0 + fraction) + extra;
        for (from, _) in &self.limited_executions {
            let to = from + LIMIT_WINDOW_MILLIS;
            let within = self
                .limited_executions
                .iter()
                .filter(|(sent, ran)| sent >= from && *ran < to);
            let count = within.count();
            if count as f64 > bound {
                self.violations.push(format!(
                    "LIMIT {count} requests within the window that begins at {from} ms"
                ));
                return;
            }
        }
    }

    /// Returns the number of requests of the limited tenant that were first executed in a time range.
    pub fn limited_executions(&self, from: u64, to: u64) -> usize {
        let executions = self.limited_executions.iter();
        executions.filter(|(_, at)| (from..to).contains(at)).count()
    }

    /// Returns the number of targets that callers with a permanent key requested in a time range,
    /// and how many of them were served by any attempt. Targets that crash back ends are left out.
    pub fn count_other_requests(
        &self,
        answered: &BTreeMap<String, u16>,
        from: u64,
        to: u64,
    ) -> (usize, usize) {
        let mut served_by_target: BTreeMap<&str, bool> = BTreeMap::new();
        for (id, record) in &self.requests {
            let is_other = record.key == Some(Key::Kept) && !record.target.contains("crash");
            if is_other && (from..to).contains(&record.sent_at) {
                *served_by_target.entry(&record.target).or_default() |=
                    answered.get(id) == Some(&200);
            }
        }
        let served = served_by_target
            .values()
            .filter(|is_served| **is_served)
            .count();
        (served_by_target.len(), served)
    }

    /// Returns the outcomes of the requests that callers sent in a time range.
    pub fn outcomes(&self, answered: &BTreeMap<String, u16>, from: u64, to: u64) -> Outcomes {
        let mut outcomes = Outcomes::default();
        for (id, record) in &self.requests {
            if record.is_call || !(from..to).contains(&record.sent_at) {
                continue;
            }
            let Some(status) = answered.get(id) else {
                // The caller has disconnected.
                continue;
            };
            outcomes.requests += 1;
            outcomes.served += u64::from(*status == 200);
            outcomes.refused += u64::from(*status == 503);
            outcomes.failed_after_work += u64::from(*status != 200 && record.executions > 0);
        }
        outcomes
    }

    /// Checks the recovery: a quarter of the requests sent in a time range must have succeeded.
    pub fn check_recovery(&mut self, answered: &BTreeMap<String, u16>, from: u64, to: u64) {
        let late = self
            .requests
            .iter()
            .filter(|(_, record)| !record.is_call && (from..to).contains(&record.sent_at));
        let statuses: Vec<Option<u16>> = late.map(|(id, _)| answered.get(id).copied()).collect();
        let served = statuses
            .iter()
            .filter(|status| **status == Some(200))
            .count();
        if served * 4 < statuses.len() {
            self.violations.push(format!(
                "RECOVER {served} of {} requests served",
                statuses.len()
            ));
        }
    }
}
