//! Simulates links between nodes. A partition delays their messages until it ends.

use rillgap_forward::event::Event;
use rillgap_forward::id::LinkId;
use rillgap_forward::message::{Hello, LinkMessage, TokenResult};
use rillgap_forward::rate_limit::lease::Vote;

use crate::scenario::InjectedBug;

use super::*;

/// Milliseconds after which the opener of a connection times out.
const OPEN_TIMEOUT_MILLIS: u64 = 900;

impl World {
    pub(super) fn connect(
        &mut self,
        host: usize,
        incarnation: u32,
        link: LinkId,
        address: std::net::SocketAddr,
    ) {
        let peer = usize::from(address.port()) - 7_000;
        let is_refused = self.hosts[peer].node.is_none();
        let is_partitioned = self.is_cut(host, peer) || self.is_cut(peer, host);
        let resumes_at = self.hosts[peer].paused_until;
        let is_paused = !is_refused && !is_partitioned && resumes_at > self.now;
        if is_paused && resumes_at < self.now + OPEN_TIMEOUT_MILLIS {
            let connect = WorldEvent::Connect(host, incarnation, link, address);
            self.schedule(resumes_at, connect);
            return;
        }
        if is_paused {
            self.schedule_abandoned_link(host, peer);
        }
        if is_refused || is_partitioned || is_paused {
            let (delay, event) = if is_refused && !is_partitioned {
                (1, Event::LinkRefused(link))
            } else {
                (OPEN_TIMEOUT_MILLIS, Event::LinkClosed(link))
            };
            self.schedule(self.now + delay, WorldEvent::Node(host, incarnation, event));
            return;
        }
        let Some(node) = &mut self.hosts[peer].node else {
            return;
        };
        let accepted = node.new_link();
        let greeting = node.hello();
        let peer_incarnation = self.hosts[peer].incarnation;
        let Some(opener) = self.hosts[host].node.as_ref() else {
            return;
        };
        let hello = opener.hello();
        self.next_connection += 1;
        let id = self.next_connection;
        self.connections.insert(
            id,
            Connection {
                opener: (host, incarnation, link),
                acceptor: (peer, peer_incarnation, accepted),
                is_open: true,
                unaware_end: None,
                delayed_messages: Vec::new(),
                unanswered: BTreeSet::new(),
                last_delivery: [self.now; 2],
            },
        );
        self.by_link.insert((host, incarnation, link), id);
        self.by_link.insert((peer, peer_incarnation, accepted), id);
        self.node_event(
            peer,
            peer_incarnation,
            Event::LinkAccepted {
                link: accepted,
                hello,
            },
        );
        let event = Event::LinkOpened {
            link,
            hello: greeting,
        };
        self.schedule(self.now + 1, WorldEvent::Node(host, incarnation, event));
    }

    /// Schedules a connection that a paused host accepts when it resumes, after its opener has
    /// timed out.
    fn schedule_abandoned_link(&mut self, opener: usize, acceptor: usize) {
        let Some(node) = self.hosts[opener].node.as_ref() else {
            return;
        };
        let hello = Box::new(node.hello());
        let incarnation = self.hosts[acceptor].incarnation;
        self.schedule(
            self.now,
            WorldEvent::AbandonedLink(acceptor, incarnation, hello),
        );
    }

    /// Accepts a connection whose opener has timed out, and closes it.
    pub(super) fn accept_abandoned(&mut self, host: usize, incarnation: u32, hello: Hello) {
        let Some(node) = &mut self.hosts[host].node else {
            return;
        };
        let link = node.new_link();
        self.node_event(host, incarnation, Event::LinkAccepted { link, hello });
        let ended = Event::LinkClosed(link);
        self.schedule(self.now, WorldEvent::Node(host, incarnation, ended));
    }

    pub(super) fn send(
        &mut self,
        host: usize,
        incarnation: u32,
        link: LinkId,
        mut message: LinkMessage,
    ) {
        if self.injected_bug == InjectedBug::ExcessTokens {
            multiply_tokens(&mut message);
        }
        let mut message = self.tamper_with_claims((host, incarnation, link), message);
        let Some(id) = self.by_link.get(&(host, incarnation, link)).copied() else {
            return;
        };
        if self.injected_bug == InjectedBug::FalseContacts
            && self.ignored_watchers.contains(&host)
            && let LinkMessage::StoreContact(report) = &mut message
        {
            report.age_micros = Some(0);
        }
        self.forge_vote(id, (host, incarnation, link), &message);
        let Some(connection) = self.connections.get(&id).filter(|known| known.is_open) else {
            return;
        };
        let to_opener = connection.acceptor == (host, incarnation, link);
        let receiver = match to_opener {
            true => connection.opener.0,
            false => connection.acceptor.0,
        };
        if self.is_cut(host, receiver) {
            if let Some(connection) = self.connections.get_mut(&id) {
                connection.delayed_messages.push((to_opener, message));
            }
            return;
        }
        self.transmit(id, to_opener, message);
    }

    /// Answers a request for a vote that does not reach its receiver.
    fn forge_vote(&mut self, id: u64, sender: (usize, u32, LinkId), message: &LinkMessage) {
        let LinkMessage::VoteRequest(request) = message else {
            return;
        };
        let connection = &self.connections[&id];
        let is_cut = self.is_cut(connection.opener.0, connection.acceptor.0);
        if self.injected_bug != InjectedBug::ForgedVotes || !is_cut {
            return;
        }
        let (host, incarnation, link) = sender;
        let message = LinkMessage::Vote(Vote {
            number: request.number,
            is_granted: true,
            is_abstaining: false,
            held: Vec::new(),
            not_lost: Vec::new(),
            uncontested_millis: u32::MAX,
        });
        let event = Event::Link { link, message };
        self.schedule(self.now + 1, WorldEvent::Node(host, incarnation, event));
    }

    pub(super) fn transmit(&mut self, id: u64, to_opener: bool, message: LinkMessage) {
        let delay = self.draw_message_delay(&message);
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let last = &mut connection.last_delivery[usize::from(to_opener)];
        *last = (self.now + delay).max(*last);
        let time = *last;
        self.schedule(time, WorldEvent::Message(id, to_opener, message));
    }

    pub(super) fn deliver(&mut self, id: u64, to_opener: bool, message: LinkMessage) {
        let Some(connection) = self.connections.get(&id).filter(|known| known.is_open) else {
            return;
        };
        let (host, incarnation, link) = if to_opener {
            connection.opener
        } else {
            connection.acceptor
        };
        if self.hosts[host].paused_until > self.now {
            let resumes_at = self.hosts[host].paused_until;
            self.schedule(resumes_at, WorldEvent::Message(id, to_opener, message));
            return;
        }
        self.claim_not_started(id, to_opener, &message);
        self.node_event(host, incarnation, Event::Link { link, message });
    }

    /// Closes a connection at the end of `closer`, and notifies both ends: the other one once no
    /// partition separates them.
    pub(super) fn close(&mut self, id: u64, closer: usize) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        if !std::mem::replace(&mut connection.is_open, false) {
            return;
        }
        self.claim_not_run_at_link_end(id);
        let Some(connection) = self.connections.get(&id) else {
            return;
        };
        let ends = [connection.opener, connection.acceptor];
        for end in ends {
            if self.is_cut(closer, end.0) {
                if let Some(connection) = self.connections.get_mut(&id) {
                    connection.unaware_end = Some(end);
                }
            } else {
                self.notify_closed(end);
            }
        }
    }

    /// Notifies one end of a connection that it is closed.
    pub(super) fn notify_closed(&mut self, end: (usize, u32, LinkId)) {
        self.by_link.remove(&end);
        let (host, incarnation, link) = end;
        let event = Event::LinkClosed(link);
        self.schedule(self.now + 1, WorldEvent::Node(host, incarnation, event));
    }

    /// Returns whether nothing that one host sends reaches another.
    pub(super) fn is_cut(&self, from: usize, to: usize) -> bool {
        let is_partitioned = self.partitioned.contains(&from) || self.partitioned.contains(&to);
        from != to && (is_partitioned || self.cuts.contains(&(from, to)))
    }
}

fn multiply_tokens(message: &mut LinkMessage) {
    if let LinkMessage::TokenAnswer(answer) = message
        && let TokenResult::Granted { tokens, .. } = &mut answer.result
    {
        *tokens *= 3;
    }
}
