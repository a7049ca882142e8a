//! Links to and from peers: opening, silence, reports.

use std::time::Duration;

use rillgap_core::time::Instant;

use super::{Node, PROTOCOL_VERSION};
use crate::action::{Action, Actions};
use crate::directory::LinkState;
use crate::id::LinkId;
use crate::message::{Hello, LinkMessage, NodeRecord, Status};
use crate::note::Note;

/// Time between two reports of a node's back end on a link, which are also signs of life.
const STATUS_INTERVAL: Duration = Duration::from_secs(1);
/// Silence of a link with requests under way after which the peer is pinged.
const PING_AFTER: Duration = Duration::from_millis(200);
/// Silence of a link with requests under way after which it is given up.
const SILENT_BUSY: Duration = Duration::from_millis(1_100);
/// Silence of a link without requests after which it is given up: three reports are missing.
const SILENT_IDLE: Duration = Duration::from_millis(3_200);

impl Node {
    pub(super) fn on_link_opened(
        &mut self,
        now: Instant,
        link: LinkId,
        hello: &Hello,
        out: &mut Actions,
    ) {
        if hello.protocol != PROTOCOL_VERSION || !self.directory.opened(now, link, hello) {
            out.push(Action::CloseLink(link));
            self.directory.closed(now, link);
            return;
        }
        note_peer(&hello.node.name, true, "link opened", out);
        self.on_offer(now, link, hello.configuration_version, out);
    }

    pub(super) fn on_link_accepted(
        &mut self,
        now: Instant,
        link: LinkId,
        hello: &Hello,
        out: &mut Actions,
    ) {
        if hello.protocol != PROTOCOL_VERSION {
            out.push(Action::CloseLink(link));
            return;
        }
        self.accepted.insert(link);
        // The introduction may have been written before the back end was confirmed.
        out.push(Action::SendOnLink {
            link,
            message: LinkMessage::Status(self.inbound.status()),
        });
        self.directory.learn(now, &hello.node);
        self.directory.hurry(now, &hello.node.name);
        self.on_offer(now, link, hello.configuration_version, out);
    }

    pub(super) fn learn(&mut self, now: Instant, record: &NodeRecord) {
        if record.name != self.settings.record.name {
            self.directory.learn(now, record);
        }
    }

    pub(super) fn on_link_closed(&mut self, now: Instant, link: LinkId, out: &mut Actions) {
        if self.accepted.remove(&link) {
            self.inbound.on_link_closed(now, link, out);
            return;
        }
        let Some((name, was_open)) = self.directory.closed(now, link) else {
            return;
        };
        if was_open {
            note_peer(&name, false, "link closed", out);
            let (outbound, mut context) = self.split(out);
            outbound.on_link_closed(now, link, &mut context);
        }
    }

    pub(super) fn keep_links(&mut self, now: Instant, out: &mut Actions) {
        self.close_silent_links(now, out);
        self.open_links(now, out);
        if now >= self.next_status {
            self.next_status = now + STATUS_INTERVAL;
            self.broadcast_status(out);
        }
    }

    pub(super) fn close_silent_links(&mut self, now: Instant, out: &mut Actions) {
        let mut silent = Vec::new();
        for peer in self.directory.peers_mut() {
            let LinkState::Open(link) = peer.link else {
                continue;
            };
            let silence = now.saturating_since(peer.heard_at);
            let limit = if peer.in_flight > 0 {
                SILENT_BUSY
            } else {
                SILENT_IDLE
            };
            if now >= self.judge_after {
                peer.suspect_if_silent(now);
            }
            if silence >= limit && now >= self.judge_after {
                silent.push(link);
            } else if peer.in_flight > 0
                && silence >= PING_AFTER
                && now.saturating_since(peer.pinged_at) >= PING_AFTER
            {
                peer.pinged(now);
                out.push(Action::SendOnLink {
                    link,
                    message: LinkMessage::Ping,
                });
            }
        }
        for link in silent {
            out.push(Action::CloseLink(link));
            self.on_link_closed(now, link, out);
        }
    }

    pub(super) fn open_links(&mut self, now: Instant, out: &mut Actions) {
        let due: Vec<NodeRecord> = self
            .directory
            .peers()
            .filter(|peer| matches!(peer.link, LinkState::Closed { retry_at } if retry_at <= now))
            .map(|peer| peer.record.clone())
            .collect();
        for record in due {
            let link = self.new_link();
            self.directory.opening(&record.name, link);
            out.push(Action::OpenLink {
                link,
                address: record.address,
            });
        }
    }

    pub(super) fn broadcast_status(&mut self, out: &mut Actions) {
        let status: Status = self.inbound.status();
        for link in &self.accepted {
            out.push(Action::SendOnLink {
                link: *link,
                message: LinkMessage::Status(status.clone()),
            });
        }
    }

    pub(super) fn broadcast(&self, message: &LinkMessage, out: &mut Actions) {
        for peer in self.directory.peers() {
            if let Some(link) = peer.open_link() {
                out.push(Action::SendOnLink {
                    link,
                    message: message.clone(),
                });
            }
        }
    }
}

fn note_peer(peer: &str, is_up: bool, cause: &'static str, out: &mut Actions) {
    out.push(Action::Note(Note::Peer {
        peer: peer.to_owned(),
        is_up,
        cause,
    }));
}
