//! Links between nodes: connections that may be cut, with messages held meanwhile.

use rillgap_forward::event::Event;
use rillgap_forward::id::LinkId;
use rillgap_forward::message::{Hello, LinkMessage, TokenResult};

use crate::day::Planted;

use super::*;

/// Milliseconds after which an opener gives a connection up.
const OPEN_TIMEOUT: u64 = 900;

impl World {
    pub(super) fn connect(
        &mut self,
        host: usize,
        run: u32,
        link: LinkId,
        address: std::net::SocketAddr,
    ) {
        let peer = usize::from(address.port()) - 7_000;
        let refused = self.hosts[peer].node.is_none();
        let is_cut = self.is_cut(host, peer);
        let thaw = self.hosts[peer].frozen_until;
        let is_frozen = !refused && !is_cut && thaw > self.now;
        if is_frozen && thaw < self.now + OPEN_TIMEOUT {
            let connect = Happening::Connect(host, run, link, address);
            self.at(thaw, connect);
            return;
        }
        if is_frozen {
            self.leave_connection(host, peer);
        }
        if refused || is_cut || is_frozen {
            let delay = if refused { 1 } else { OPEN_TIMEOUT };
            let event = Event::LinkClosed(link);
            self.at(self.now + delay, Happening::Node(host, run, event));
            return;
        }
        let Some(node) = &mut self.hosts[peer].node else {
            return;
        };
        let accepted = node.new_link();
        let greeting = node.hello();
        let peer_run = self.hosts[peer].run;
        let Some(opener) = self.hosts[host].node.as_ref() else {
            return;
        };
        let hello = opener.hello();
        self.next_connection += 1;
        let id = self.next_connection;
        self.connections.insert(
            id,
            Connection {
                opener: (host, run, link),
                acceptor: (peer, peer_run, accepted),
                is_open: true,
                held: Vec::new(),
                last_delivery: [self.now; 2],
            },
        );
        self.by_link.insert((host, run, link), id);
        self.by_link.insert((peer, peer_run, accepted), id);
        self.node_event(
            peer,
            peer_run,
            Event::LinkAccepted {
                link: accepted,
                hello,
            },
        );
        let event = Event::LinkOpened {
            link,
            hello: greeting,
        };
        self.at(self.now + 1, Happening::Node(host, run, event));
    }

    /// A host that stands still accepts a connection once it goes on; its opener has given it up by then.
    fn leave_connection(&mut self, opener: usize, acceptor: usize) {
        let Some(node) = self.hosts[opener].node.as_ref() else {
            return;
        };
        let hello = Box::new(node.hello());
        let run = self.hosts[acceptor].run;
        self.at(self.now, Happening::Abandoned(acceptor, run, hello));
    }

    /// A host accepts a connection that its opener has given up.
    pub(super) fn accept_abandoned(&mut self, host: usize, run: u32, hello: Hello) {
        let Some(node) = &mut self.hosts[host].node else {
            return;
        };
        let link = node.new_link();
        self.node_event(host, run, Event::LinkAccepted { link, hello });
        let ended = Event::LinkClosed(link);
        self.at(self.now, Happening::Node(host, run, ended));
    }

    pub(super) fn send(&mut self, host: usize, run: u32, link: LinkId, mut message: LinkMessage) {
        if self.planted == Planted::ManyTokens {
            multiply_tokens(&mut message);
        }
        let Some(id) = self.by_link.get(&(host, run, link)).copied() else {
            return;
        };
        let Some(connection) = self.connections.get(&id).filter(|known| known.is_open) else {
            return;
        };
        let to_opener = connection.acceptor == (host, run, link);
        let (opener, acceptor) = (connection.opener.0, connection.acceptor.0);
        if self.is_cut(opener, acceptor) {
            if let Some(connection) = self.connections.get_mut(&id) {
                connection.held.push((to_opener, message));
            }
            return;
        }
        self.transmit(id, to_opener, message);
    }

    pub(super) fn transmit(&mut self, id: u64, to_opener: bool, message: LinkMessage) {
        let delay = 1 + self.draw(3);
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let last = &mut connection.last_delivery[usize::from(to_opener)];
        *last = (self.now + delay).max(*last);
        let time = *last;
        self.at(time, Happening::Message(id, to_opener, message));
    }

    pub(super) fn deliver(&mut self, id: u64, to_opener: bool, message: LinkMessage) {
        let Some(connection) = self.connections.get(&id).filter(|known| known.is_open) else {
            return;
        };
        let (host, run, link) = if to_opener {
            connection.opener
        } else {
            connection.acceptor
        };
        if self.hosts[host].frozen_until > self.now {
            let thaw = self.hosts[host].frozen_until;
            self.at(thaw, Happening::Message(id, to_opener, message));
            return;
        }
        self.node_event(host, run, Event::Link { link, message });
    }

    /// Closes a connection; both ends are told.
    pub(super) fn close(&mut self, id: u64) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        if !std::mem::replace(&mut connection.is_open, false) {
            return;
        }
        let ends = [connection.opener, connection.acceptor];
        for (host, run, link) in ends {
            self.by_link.remove(&(host, run, link));
            let event = Event::LinkClosed(link);
            self.at(self.now + 1, Happening::Node(host, run, event));
        }
    }

    pub(super) fn is_cut(&self, one: usize, other: usize) -> bool {
        self.cut.contains(&one) || self.cut.contains(&other)
    }
}

fn multiply_tokens(message: &mut LinkMessage) {
    if let LinkMessage::TokenAnswer(answer) = message
        && let TokenResult::Granted { tokens, .. } = &mut answer.result
    {
        *tokens *= 3;
    }
}
