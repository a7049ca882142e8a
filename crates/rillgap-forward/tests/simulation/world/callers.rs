//! Simulates callers: their requests, keys, disconnects and retries.

use std::time::Duration;

use rillgap_forward::action::CallerAnswer;
use rillgap_forward::credential::Credential;
use rillgap_forward::event::{CallerRequest, Event};
use rillgap_forward::id::{ConnectionId, PipelineIndex};

use super::*;

/// Suffix of targets that a single caller requests, always with the same key.
const SINGLE_CALLER_SUFFIX: &str = "/one-caller";

/// Suffix of targets that are requested with the key of the limited tenant.
const LIMITED_SUFFIX: &str = "/limited";

/// Time for which a slow caller reads an answer, in milliseconds: minimum and exclusive maximum. With
/// the deadline of a request it ends within the grace period of a stop.
const SLOW_READ_RANGE_MILLIS: (u64, u64) = (100, 2_000);

/// Time in which the links of a node end once their last messages are sent, in milliseconds.
const LINK_END_MILLIS: u64 = 5;

impl World {
    /// Schedules the next turn of the caller at `host` and sends a request with a random target. One
    /// caller in 20 disconnects within 100 ms.
    pub(super) fn on_caller_turn(&mut self, host: usize) {
        if self.now >= self.callers_until {
            return;
        }
        let pause = (20 + self.draw(80)) * self.caller_pause_factor;
        self.schedule(self.now + pause, WorldEvent::CallerSends(host));
        if self.hosts[host].node.is_none() {
            return;
        }
        let kind = match self.draw(4) {
            0 => "/once/calls",
            1 => "/deep/direct",
            _ => "/front/calls",
        };
        let is_popular = self.popular_percent > 0 && self.draw(100) < self.popular_percent;
        let item = if is_popular { 0 } else { self.next_request };
        let target = format!("{kind}/{item}");
        let connection = self.send_caller_request(host, target, 1);
        if self.draw(20) == 0 {
            let incarnation = self.hosts[host].incarnation;
            let leave = self.now + self.draw(100);
            self.schedule(
                leave,
                WorldEvent::CallerDisconnects(host, incarnation, connection),
            );
        }
    }

    /// Sends a request of a caller to the node of `host`, as the attempt with the number
    /// `attempts`.
    fn send_caller_request(&mut self, host: usize, target: String, attempts: u32) -> ConnectionId {
        self.next_request += 1;
        let id = format!("r{}", self.next_request);
        let is_idempotent = !target.starts_with("/once/");
        let connection = self.send_request(&Sent {
            host,
            id: &id,
            target: &target,
            is_idempotent,
            caller_run: None,
        });
        let request = CallerAttempt {
            id,
            target,
            attempts,
        };
        self.hosts[host].callers.insert(connection, request);
        connection
    }

    /// Sends a request of the limited tenant without calls, and schedules the next one. Times are whole
    /// milliseconds, so that some turns send several requests.
    pub(super) fn on_limited_caller_turn(&mut self, host: usize, pause_micros: u64) {
        if self.now >= self.callers_until {
            return;
        }
        let due = |number: u64| number * pause_micros / 1_000;
        let first = (self.now * 1_000).div_ceil(pause_micros);
        let mut number = first;
        while due(number) <= self.now {
            let target = format!(
                "{}{LIMITED_SUFFIX}",
                target_without_calls(service(self.bucket_owners()[0]))
            );
            if self.hosts[host].node.is_some() {
                self.send_caller_request(host, target, 1);
            }
            number += 1;
        }
        self.schedule(
            due(number),
            WorldEvent::LimitedCallerSends { host, pause_micros },
        );
    }

    /// Sends a crashing request to a random host and schedules the next one, 200 to 800 ms later.
    pub(super) fn send_crashing_request(&mut self, target: &'static str) {
        if self.now >= self.callers_until {
            return;
        }
        let pause = 200 + self.draw(600);
        self.schedule(self.now + pause, WorldEvent::CrashingRequest(target));
        self.resend_at_random_host(target.to_owned(), 1);
    }

    /// Sends a request of a caller to a random host, unless the node of the host is stopped.
    pub(super) fn resend_at_random_host(&mut self, target: String, attempts: u32) {
        let size = self.size() as u64;
        let host = self.draw(size) as usize;
        if self.hosts[host].node.is_some() {
            self.send_caller_request(host, target, attempts);
        }
    }

    /// Schedules a retry by the caller of a failed request that is idempotent or was reported as
    /// not run.
    fn schedule_caller_retry(&mut self, request: &CallerAttempt, status: u16) {
        let is_safe_to_retry = !request.target.starts_with("/once/") || status == 503;
        let should_retry = status >= 500 && request.attempts < self.max_caller_attempts;
        if should_retry && is_safe_to_retry {
            let retry = WorldEvent::CallerRetry {
                target: request.target.clone(),
                attempts: request.attempts + 1,
            };
            let pause = 50 + self.draw(250);
            self.schedule(self.now + pause, retry);
        }
    }

    pub(super) fn send_request(&mut self, sent: &Sent<'_>) -> ConnectionId {
        self.checker.on_sent(self.now, sent);
        let Sent {
            host, id, target, ..
        } = *sent;
        let is_of_single_caller = target.ends_with(SINGLE_CALLER_SUFFIX);
        let key = match sent.caller_run {
            Some(_) if self.injected_bug == InjectedBug::AnonymousCalls => Some(Key::Kept),
            Some(_) => None,
            None if is_of_single_caller => Some(Key::Kept),
            None if target.ends_with(LIMITED_SUFFIX) => Some(Key::Limited),
            None => Some(self.draw_key()),
        };
        if let Some(key) = key {
            self.checker.on_key(id, key);
        }
        let credential = key.map_or(Credential::Absent, |key| Credential::Key(key.digest()));
        self.next_connection += 1;
        let connection = ConnectionId(self.next_connection);
        let request = CallerRequest {
            request_id: id.to_owned(),
            method: "GET".to_owned(),
            target: target.to_owned(),
            host: "h".to_owned(),
            fields: Vec::new(),
            body: Vec::new(),
            credential,
            deadline: Some(Duration::from_millis(900)),
            parent_id: id.rsplit_once('.').map(|(parent, _)| parent.to_owned()),
        };
        let event = Event::Request {
            connection,
            pipeline_index: PipelineIndex(0),
            request,
        };
        let incarnation = self.hosts[host].incarnation;
        self.schedule(self.now + 1, WorldEvent::Node(host, incarnation, event));
        connection
    }

    /// Draws the key of a caller: mostly a permanent one, sometimes that of the limited tenant, or
    /// one of the current or an earlier version of the configuration.
    fn draw_key(&mut self) -> Key {
        match self.draw(20) {
            0 => Key::OfVersion(self.stored_version.saturating_sub(self.draw(3))),
            1..=4 => Key::Limited,
            _ => Key::Kept,
        }
    }

    /// Lets the caller read its answer slowly, for a part of all answers.
    fn begin_slow_read(&mut self, host: usize, connection: ConnectionId, id: &str) {
        if self.slow_reader_percent == 0 || self.draw(100) >= self.slow_reader_percent {
            return;
        }
        let (min, max) = SLOW_READ_RANGE_MILLIS;
        let read_at = self.now + min + self.draw(max - min);
        let entry = &mut self.hosts[host];
        entry.unread.insert(connection, id.to_owned());
        let read = WorldEvent::AnswerRead(host, entry.incarnation, connection);
        self.schedule(read_at, read);
    }

    /// Records that a caller has its whole answer.
    pub(super) fn on_answer_read(
        &mut self,
        host: usize,
        incarnation: u32,
        connection: ConnectionId,
    ) {
        let entry = &mut self.hosts[host];
        if entry.incarnation == incarnation {
            entry.unread.remove(&connection);
            self.report_ended_connections(host);
        }
    }

    /// Tells a node that waits for it that all callers have their answers and all messages have
    /// reached its peers.
    pub(super) fn report_ended_connections(&mut self, host: usize) {
        let entry = &self.hosts[host];
        let forgets_readers = self.injected_bug == InjectedBug::ForgottenReaders;
        if entry.ends_connections && (entry.unread.is_empty() || forgets_readers) {
            let event = WorldEvent::Node(host, entry.incarnation, Event::ConnectionsEnded);
            self.schedule(self.now + LINK_END_MILLIS, event);
        }
    }

    pub(super) fn on_answer(
        &mut self,
        host: usize,
        connection: ConnectionId,
        answer: &CallerAnswer,
    ) {
        if let Some(notice) = AnswerNotice::decode(&answer.fields) {
            self.checker.on_notice_passed_on(self.now, host, &notice);
        }
        let entry = &mut self.hosts[host];
        if let Some(key) = entry.calls.remove(&connection) {
            self.on_call_answered(host, &key, answer.status);
            return;
        }
        let Some(request) = entry.callers.remove(&connection) else {
            return;
        };
        let is_unknown = matches!(answer.status, 502 | 504);
        let status = match self.injected_bug {
            InjectedBug::FalsePromise if is_unknown => 503,
            _ => answer.status,
        };
        let body = String::from_utf8_lossy(&answer.body).into_owned();
        self.statuses.insert(request.id.clone(), status);
        self.checker.on_answer(&request.id, status, &body);
        self.begin_slow_read(host, connection, &request.id);
        self.schedule_caller_retry(&request, status);
    }
}
