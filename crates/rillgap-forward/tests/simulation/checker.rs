//! Judges a day by what callers and back ends saw.

use std::collections::BTreeMap;

use crate::world::{Key, MAX_REVOCATION_DELAY, TENANT_LIMIT};

/// Milliseconds after the acknowledgement of draining in which requests may still arrive.
const DRAIN_GRACE_MILLIS: u64 = 2_000;
/// Milliseconds after a stored configuration by which every node in touch uses it.
const MAX_APPLY_MILLIS: u64 = 2_000;
/// Milliseconds of a day after which the share served again is judged.
const RETRY_WINDOW_MILLIS: u64 = 10_000;

/// Milliseconds over which a tenant's requests are summed.
const LIMIT_WINDOW_MILLIS: u64 = 5_000;
/// Milliseconds after which nodes that are not disturbed know what others knew.
const PROPAGATION_MILLIS: u64 = 3_000;
/// Runs that a request may have after it has crashed three back ends and all nodes could know.
const MAX_EXECUTIONS_AFTER_THIRD_CRASH: usize = 3;

/// What a tenant may have beyond its limit, as a share and on top of that.
const LIMIT_TOLERANCE: (f64, f64) = (0.1, 20.0);

/// One request, as its caller and the back ends saw it.
#[derive(Clone, Debug, Default)]
struct RequestRecord {
    host: usize,
    target: String,
    is_idempotent: bool,
    is_call: bool,
    sent_at: u64,
    key: Option<Key>,
    executions: u32,
    was_reported_not_run: bool,
}

impl RequestRecord {
    /// Returns what the request asks for and of which tenant: the same again is the same work.
    fn content(&self) -> String {
        let tenant = match self.key {
            None => "nobody",
            Some(Key::Limited) => "limited",
            Some(Key::Kept | Key::OfVersion(_)) => "steady",
        };
        format!("{} of {tenant}", self.target)
    }
}

/// A run of a request, with the host at which it began.
#[derive(Clone, Copy, Debug)]
struct Execution {
    started_at: u64,
    sent_at: u64,
    host: usize,
}

/// Judges a day.
#[derive(Debug, Default)]
pub struct Checker {
    requests: BTreeMap<String, RequestRecord>,
    drain_acknowledged_at: BTreeMap<String, u64>,
    arrivals: Vec<(u64, String, bool)>,
    /// When each version of the configuration was stored.
    stored_at: BTreeMap<u64, u64>,
    /// When each request of the tenant with a limit that ran was sent, and when it ran.
    limited_executions: Vec<(u64, u64)>,
    /// When back ends began to work on each target, by caller.
    executions_by_content: BTreeMap<String, Vec<Execution>>,
    /// Hosts that were disturbed, from when to when.
    disturbances: Vec<(usize, u64, u64)>,
    /// When back ends have ended under each target, by caller.
    crashes: BTreeMap<String, Vec<u64>>,
    /// What was broken.
    pub violations: Vec<String>,
    /// Requests of callers.
    pub caller_requests: u64,
    /// Those that were answered with success.
    pub served: u64,
}

impl Checker {
    /// A caller sends a request.
    pub fn on_sent(
        &mut self,
        now: u64,
        host: usize,
        id: &str,
        target: &str,
        is_idempotent: bool,
        is_call: bool,
    ) {
        let record = RequestRecord {
            host,
            target: target.to_owned(),
            is_idempotent,
            is_call,
            sent_at: now,
            ..RequestRecord::default()
        };
        self.requests.insert(id.to_owned(), record);
        self.caller_requests += u64::from(!is_call);
    }

    /// The caller of a request shows a key.
    pub fn on_key(&mut self, id: &str, key: Key) {
        if let Some(record) = self.requests.get_mut(id) {
            record.key = Some(key);
        }
    }

    /// The operator's configuration is accepted.
    pub fn on_configuration_stored(&mut self, now: u64, version: u64) {
        self.stored_at.insert(version, now);
    }

    /// A back end begins to work on a request.
    pub fn on_execution_started(&mut self, now: u64, id: &str, instance: &str, service: &str) {
        let Some(record) = self.requests.get_mut(id) else {
            self.violations.push(format!("UNASKED {id}"));
            return;
        };
        record.executions += 1;
        let executions = self.executions_by_content.entry(record.content());
        executions.or_default().push(Execution {
            started_at: now,
            sent_at: record.sent_at,
            host: record.host,
        });
        let is_retry = record.executions > 1;
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
            Some(Key::Limited) if !is_retry => self.limited_executions.push((record.sent_at, now)),
            _ => {}
        }
        self.arrivals.push((now, service.to_owned(), is_retry));
        if record.executions > 1 && !record.is_idempotent {
            self.violations.push(format!("TWICE {id}"));
        }
        if record.was_reported_not_run && !record.is_idempotent {
            self.violations
                .push(format!("REFUSED {id} ran after the promise"));
        }
        let drain_acknowledged_at = self.drain_acknowledged_at.get(instance).copied();
        if drain_acknowledged_at.is_some_and(|at| now > at + DRAIN_GRACE_MILLIS) {
            self.violations
                .push(format!("DRAIN {id} reached {instance}"));
        }
    }

    /// A back end ends while it works on a request, and because of it.
    pub fn on_crash(&mut self, now: u64, id: &str) {
        if let Some(record) = self.requests.get(id) {
            let crashes = self.crashes.entry(record.content());
            crashes.or_default().push(now);
        }
    }

    /// A host is disturbed from a moment to another: what it cannot know meanwhile is not held against it.
    pub fn on_disturbance(&mut self, host: usize, from: u64, to: u64) {
        self.disturbances.push((host, from, to));
    }

    fn was_undisturbed(&self, execution: &Execution) -> bool {
        let touches = |(host, from, to): &(usize, u64, u64)| {
            *host == execution.host
                && *from <= execution.sent_at
                && execution.sent_at < to + PROPAGATION_MILLIS
        };
        !self.disturbances.iter().any(touches)
    }

    /// Judges how often requests that crash back ends were run once three had ended and all nodes could
    /// know.
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

    /// A node acknowledges that a back end drains.
    pub fn on_drain_acknowledged(&mut self, now: u64, instance: &str) {
        self.drain_acknowledged_at
            .entry(instance.to_owned())
            .or_insert(now);
    }

    /// A caller gets an answer, of the run of `body` if it is a success.
    pub fn on_answer(&mut self, id: &str, status: u16, body: &str) {
        let Some(record) = self.requests.get_mut(id) else {
            self.violations
                .push(format!("MIXED answer to {id}, which nobody sent"));
            return;
        };
        let is_not_run = matches!(status, 408 | 421 | 429 | 503);
        if is_not_run && !record.is_idempotent && record.executions > 0 {
            self.violations.push(format!("REFUSED {id} had run"));
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

    /// A node puts a configuration in force.
    pub fn on_configuration_in_force(&mut self, node: &str, before: u64, version: u64) {
        if version < before {
            self.violations.push(format!(
                "CONFIG {node} went from {before} back to {version}"
            ));
        }
    }

    /// A node in touch still uses `version` at the end of `since` milliseconds with `stored`.
    pub fn check_configuration(&mut self, node: &str, version: u64, stored: u64, since: u64) {
        if version < stored && since > MAX_APPLY_MILLIS {
            self.violations
                .push(format!("CONFIG {node} has {version}, {stored} is stored"));
        }
    }

    /// Judges the budget of repeats: arrivals past the first within any window.
    pub fn check_budget(&mut self, ratio: f64, slack: f64) {
        let mut by_service: BTreeMap<String, Vec<(u64, bool)>> = BTreeMap::new();
        for (at, service, is_retry) in &self.arrivals {
            let arrivals = by_service.entry(service.clone()).or_default();
            arrivals.push((*at, *is_retry));
        }
        for (service, arrivals) in by_service {
            let mut first = 0;
            for last in 0..arrivals.len() {
                while arrivals[first].0 + RETRY_WINDOW_MILLIS < arrivals[last].0 {
                    first += 1;
                }
                let window = &arrivals[first..=last];
                let again = window.iter().filter(|(_, is_retry)| *is_retry).count();
                let requests = window.len() - again;
                if again as f64 > ratio * requests as f64 + slack {
                    self.violations
                        .push(format!("BUDGET {service}: {again} of {requests}"));
                    return;
                }
            }
        }
    }

    /// Judges the limit of the tenant that has one: requests that are sent and run within any window.
    pub fn check_limit(&mut self) {
        let (share, more) = LIMIT_TOLERANCE;
        let seconds = LIMIT_WINDOW_MILLIS as f64 / 1_000.0;
        let bound = (TENANT_LIMIT.per_second * seconds + TENANT_LIMIT.burst) * (1.0 + share) + more;
        for (from, _) in &self.limited_executions {
            let to = from + LIMIT_WINDOW_MILLIS;
            let within = self
                .limited_executions
                .iter()
                .filter(|(sent, ran)| sent >= from && *ran < to);
            let count = within.count();
            if count as f64 > bound {
                self.violations
                    .push(format!("LIMIT {count} from {from} on"));
                return;
            }
        }
    }

    /// Returns how much callers whose key is always good have asked for from a moment on, and how much of it was
    /// served at any try, without what crashes back ends.
    pub fn count_other_requests(
        &self,
        answered: &BTreeMap<String, u16>,
        from: u64,
        to: u64,
    ) -> (usize, usize) {
        let mut works: BTreeMap<&str, bool> = BTreeMap::new();
        for (id, record) in &self.requests {
            let is_other = record.key == Some(Key::Kept) && !record.target.contains("crash");
            if is_other && (from..to).contains(&record.sent_at) {
                *works.entry(&record.target).or_default() |= answered.get(id) == Some(&200);
            }
        }
        let served = works.values().filter(|is_served| **is_served).count();
        (works.len(), served)
    }

    /// Judges the recovery: the share served of what was sent from a moment on.
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
            self.violations
                .push(format!("RECOVER {served} of {} served", statuses.len()));
        }
    }
}
