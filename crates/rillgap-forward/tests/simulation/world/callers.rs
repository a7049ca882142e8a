//! Callers and their requests.

use std::time::Duration;

use rillgap_forward::action::CallerAnswer;
use rillgap_forward::credential::Credential;
use rillgap_forward::event::{CallerRequest, Event};
use rillgap_forward::id::{ConnectionId, Turn};

use super::*;

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
        self.next_request += 1;
        let id = format!("r{}", self.next_request);
        let (target, is_idempotent) = match self.draw(4) {
            0 => ("/once/calls", false),
            1 => ("/deep/direct", true),
            _ => ("/front/calls", true),
        };
        let connection = self.request(host, &id, target, is_idempotent, false);
        self.hosts[host].callers.insert(connection, id);
        if self.draw(20) == 0 {
            let run = self.hosts[host].run;
            let leave = self.now + self.draw(100);
            self.at(leave, Happening::Leave(host, run, connection));
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
        self.judge.sent(self.now, id, is_idempotent, is_call);
        let key = (!is_call).then(|| self.draw_key());
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
            turn: Turn(0),
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
        let Some(id) = entry.callers.remove(&connection) else {
            return;
        };
        let body = String::from_utf8_lossy(&answer.body).into_owned();
        self.statuses.insert(id.clone(), answer.status);
        self.judge.answered(&id, answer.status, &body);
    }
}
