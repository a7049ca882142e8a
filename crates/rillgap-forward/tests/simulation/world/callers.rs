//! Callers and their requests.

use std::time::Duration;

use rillgap_forward::action::CallerAnswer;
use rillgap_forward::credential::Credential;
use rillgap_forward::event::{CallerRequest, Event};
use rillgap_forward::id::{ConnectionId, PipelineIndex};

use super::*;

/// End of targets that only one caller asks for.
const ONE_CALLER: &str = "/one-caller";

impl World {
    pub(super) fn caller(&mut self, host: usize) {
        if self.now >= self.callers_until {
            return;
        }
        let pause = 20 + self.draw(80);
        self.at(self.now + pause, Happening::Caller(host));
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
        let connection = self.ask(host, target, 1);
        if self.draw(20) == 0 {
            let run = self.hosts[host].run;
            let leave = self.now + self.draw(100);
            self.at(leave, Happening::Leave(host, run, connection));
        }
    }

    /// Sends a request of a caller.
    fn ask(&mut self, host: usize, target: String, tries: u32) -> ConnectionId {
        self.next_request += 1;
        let id = format!("r{}", self.next_request);
        let is_idempotent = !target.starts_with("/once/");
        let connection = self.request(host, &id, &target, is_idempotent, false);
        let request = CallerTry { id, target, tries };
        self.hosts[host].callers.insert(connection, request);
        connection
    }

    pub(super) fn send_crashing_request(&mut self, target: &'static str) {
        if self.now >= self.callers_until {
            return;
        }
        let pause = 200 + self.draw(600);
        self.at(self.now + pause, Happening::CrashingRequest(target));
        self.come_again(target.to_owned(), 1);
    }

    pub(super) fn come_again(&mut self, target: String, tries: u32) {
        let size = self.size() as u64;
        let host = self.draw(size) as usize;
        if self.hosts[host].node.is_some() {
            self.ask(host, target, tries);
        }
    }

    /// Lets the caller of a request that has failed come again, as callers do of what may be repeated or
    /// surely did not run.
    fn decide_to_come_again(&mut self, request: &CallerTry, status: u16) {
        let may_repeat = !request.target.starts_with("/once/") || status == 503;
        let is_wanted = status >= 500 && request.tries < self.most_tries;
        if is_wanted && may_repeat {
            let again = Happening::Again {
                target: request.target.clone(),
                tries: request.tries + 1,
            };
            let pause = 50 + self.draw(250);
            self.at(self.now + pause, again);
        }
    }

    pub(super) fn request(
        &mut self,
        host: usize,
        id: &str,
        target: &str,
        is_idempotent: bool,
        is_call: bool,
    ) -> ConnectionId {
        self.judge
            .sent(self.now, host, id, target, is_idempotent, is_call);
        let is_of_one_caller = target.ends_with(ONE_CALLER);
        let key = match is_call {
            true => None,
            false if is_of_one_caller => Some(Key::Kept),
            false => Some(self.draw_key()),
        };
        if let Some(key) = key {
            self.judge.keyed(id, key);
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
        let run = self.hosts[host].run;
        self.at(self.now + 1, Happening::Node(host, run, event));
        connection
    }

    /// Draws the key of a caller: mostly one that stays, sometimes one of this or an earlier version.
    fn draw_key(&mut self) -> Key {
        match self.draw(20) {
            0 => Key::OfVersion(self.stored_version.saturating_sub(self.draw(3))),
            1..=4 => Key::Limited,
            _ => Key::Kept,
        }
    }

    pub(super) fn answer(&mut self, host: usize, connection: ConnectionId, answer: &CallerAnswer) {
        let entry = &mut self.hosts[host];
        if let Some(key) = entry.calls.remove(&connection) {
            let status = if answer.status == 200 { 200 } else { 500 };
            self.finish_work(host, &key, status);
            return;
        }
        let Some(request) = entry.callers.remove(&connection) else {
            return;
        };
        let body = String::from_utf8_lossy(&answer.body).into_owned();
        self.statuses.insert(request.id.clone(), answer.status);
        self.judge.answered(&request.id, answer.status, &body);
        self.decide_to_come_again(&request, answer.status);
    }
}
