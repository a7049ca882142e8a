//! Links to and from peers: opening, timeouts, status reports.

use std::time::Duration;

use rillgap_core::time::Instant;

use super::{Node, PROTOCOL_VERSION};
use crate::action::{Action, Actions};
use crate::id::LinkId;
use crate::log_record::LogRecord;
use crate::message::{Hello, LinkMessage, Status};
use crate::peer::Peer;

/// Interval between status reports on a link, which also serve as heartbeats. Answers report the
/// load as well, so links in use need no shorter interval.
const STATUS_INTERVAL: Duration = Duration::from_secs(3);
/// Minimum interval between reports of a load that has changed much; answers report the load as
/// well.
const MIN_LOAD_REPORT_INTERVAL: Duration = Duration::from_millis(400);
/// Interval between status reports of a node that watches the store: other nodes take over the
/// watch when its reports stop.
const WATCHER_STATUS_INTERVAL: Duration = Duration::from_millis(700);
/// Minimum and maximum silence on a link with requests in flight after which the peer is pinged. In
/// between the delay is the peer's mean service time multiplied by `PING_DELAY_FACTOR`: most
/// requests are answered by then.
const PING_DELAY_RANGE: (Duration, Duration) =
    (Duration::from_millis(250), Duration::from_millis(600));
const PING_DELAY_FACTOR: f64 = 1.5;
/// Time without a message after which a link with requests in flight is closed.
const BUSY_LINK_TIMEOUT: Duration = Duration::from_millis(1_100);
/// Time without a message after which a link without requests is closed: two status reports are
/// missing.
const IDLE_LINK_TIMEOUT: Duration = Duration::from_millis(7_500);

impl Node {
    pub(super) fn on_link_opened(
        &mut self,
        now: Instant,
        link: LinkId,
        hello: &Hello,
        out: &mut Actions,
    ) {
        if hello.protocol != PROTOCOL_VERSION || !self.directory.on_opened(now, link, hello) {
            out.push(Action::CloseLink(link));
            self.directory.on_closed(now, link);
            return;
        }
        self.observe_incarnation(now, &hello.node.name, hello.incarnation);
        log_peer(&hello.node.name, true, "link opened", out);
        self.send_current_state(now, link, hello, out);
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
        self.observe_incarnation(now, &hello.node.name, hello.incarnation);
        if let Some(replaced) = self.directory.on_accepted(now, link, hello) {
            out.push(Action::CloseLink(replaced));
            self.offers.link_ended(now, replaced);
            self.end_link(now, replaced, out);
        }
        log_peer(&hello.node.name, true, "link accepted", out);
        self.send_current_state(now, link, hello, out);
    }

    /// Sends the state that may have changed since the node's own `Hello` was encoded.
    fn send_current_state(&mut self, now: Instant, link: LinkId, hello: &Hello, out: &mut Actions) {
        out.push(Action::SendOnLink {
            link,
            message: LinkMessage::Status(self.status(now)),
        });
        self.send_known_evidence(now, link, hello, out);
        self.exchange_epochs(now, link, hello, out);
        self.on_offer(now, link, hello.configuration_version, out);
    }

    /// Records the store epoch in the peer's `Hello`, and sends the node's own epoch if it is
    /// later.
    fn exchange_epochs(&mut self, now: Instant, link: LinkId, hello: &Hello, out: &mut Actions) {
        if let Some(epoch) = hello.store_epoch {
            self.observe_epoch(now, epoch, Some(link), out);
        }
        let own_epoch = self
            .store
            .epoch()
            .filter(|own_epoch| Some(*own_epoch) > hello.store_epoch);
        if let Some(epoch) = own_epoch {
            let message = LinkMessage::StoreEpoch(epoch);
            out.push(Action::SendOnLink { link, message });
        }
    }

    pub(super) fn on_link_closed(&mut self, now: Instant, link: LinkId, out: &mut Actions) {
        self.offers.link_ended(now, link);
        let Some((name, was_in_use)) = self.directory.on_closed(now, link) else {
            return;
        };
        if was_in_use {
            log_peer(&name, false, "link closed", out);
        }
        self.end_link(now, link, out);
    }

    pub(super) fn on_link_refused(&mut self, now: Instant, link: LinkId, out: &mut Actions) {
        if let Some(peer) = self.directory.on_refused(now, link) {
            self.lease_voter.withdraw(peer);
        }
        self.on_link_closed(now, link, out);
    }

    /// Ends everything that is in flight on a link, in both directions.
    fn end_link(&mut self, now: Instant, link: LinkId, out: &mut Actions) {
        self.watch_relay.link_ended(link);
        self.inbound.on_link_closed(now, link, out);
        let (outbound, mut context) = self.split_outbound(out);
        outbound.on_link_closed(now, link, &mut context);
    }

    pub(super) fn maintain_links(&mut self, now: Instant, out: &mut Actions) {
        self.close_silent_links(now, out);
        self.open_links(now, out);
        self.update_followed(out);
        self.update_watch(now, out);
        self.query_freshness(now, out);
        self.offer_buckets(now, out);
        self.send_status_when_due(now, out);
    }

    /// Sends the periodic status report, at once if the node begins or ceases to watch the store.
    fn send_status_when_due(&mut self, now: Instant, out: &mut Actions) {
        let is_watching = self.store.is_watching(now);
        if now < self.next_status && is_watching == self.reported_watching {
            return;
        }
        self.reported_watching = is_watching;
        let interval = if is_watching {
            WATCHER_STATUS_INTERVAL
        } else {
            STATUS_INTERVAL
        };
        self.next_status = now + interval;
        self.broadcast_status(now, out);
    }

    pub(super) fn close_silent_links(&mut self, now: Instant, out: &mut Actions) {
        let mut timed_out = Vec::new();
        let may_time_out = now >= self.peer_timeouts_after;
        let inbound = &self.inbound;
        self.directory.for_each_linked(|peer| {
            let Some(link) = peer.open_link() else {
                return;
            };
            let unanswered = peer.unanswered_for(now);
            let is_idle = peer.in_flight == 0 && !inbound.has_requests_of(link);
            // Requests from the peer keep the link open: if its process was paused, it may resume
            // and still wait for their answers.
            let is_timed_out =
                is_idle && now.saturating_since(peer.last_received_at) >= IDLE_LINK_TIMEOUT;
            if may_time_out {
                peer.suspect_if_silent(now);
            }
            if may_time_out && (is_timed_out || unanswered >= BUSY_LINK_TIMEOUT) {
                timed_out.push(link);
                return;
            }
            let delay = ping_delay(peer);
            let is_ping_due = now.saturating_since(peer.last_ping_at) >= delay;
            if unanswered >= delay && is_ping_due {
                peer.record_ping_sent(now);
                out.push(Action::SendOnLink {
                    link,
                    message: LinkMessage::Ping,
                });
            }
        });
        for link in timed_out {
            out.push(Action::CloseLink(link));
            self.on_link_closed(now, link, out);
        }
    }

    pub(super) fn open_links(&mut self, now: Instant, out: &mut Actions) {
        let relay = &self.watch_relay;
        self.directory
            .update_subset(now, |link| relay.has_recent_contact(now, link));
        for index in self.directory.peers_to_connect(now) {
            let address = self.directory.peer(index).record.address;
            let link = self.new_link();
            self.directory.mark_opening(index, link);
            out.push(Action::OpenLink { link, address });
        }
    }

    /// Returns the status that is reported to the peers.
    pub(super) fn status(&self, now: Instant) -> Status {
        Status {
            is_watching: self.store.is_watching(now),
            can_own_buckets: self.can_own_buckets_since.is_some(),
            ..self.inbound.status()
        }
    }

    /// Reports changes to the peers: at once if they decide whether peers may send requests to this
    /// node, at a limited rate if only the load has changed.
    pub(super) fn report_changes(&mut self, now: Instant, out: &mut Actions) {
        let may_report_load = now >= self.status_sent_at + MIN_LOAD_REPORT_INTERVAL;
        let is_due =
            self.inbound.take_status_change() || may_report_load && self.inbound.take_load_change();
        if is_due {
            self.broadcast_status(now, out);
        }
    }

    pub(super) fn broadcast_status(&mut self, now: Instant, out: &mut Actions) {
        self.status_sent_at = now;
        let status = self.status(now);
        self.broadcast(&LinkMessage::Status(status), out);
    }

    pub(super) fn broadcast(&self, message: &LinkMessage, out: &mut Actions) {
        for link in self.directory.open_links() {
            out.push(Action::SendOnLink {
                link,
                message: message.clone(),
            });
        }
    }
}

/// Returns the time without a message on a busy link after which the peer is pinged.
fn ping_delay(peer: &Peer) -> Duration {
    let mean = Duration::from_micros(u64::from(peer.status().load.mean_micros));
    let (shortest, longest) = PING_DELAY_RANGE;
    mean.mul_f64(PING_DELAY_FACTOR).clamp(shortest, longest)
}

fn log_peer(peer: &str, is_up: bool, cause: &'static str, out: &mut Actions) {
    out.push(Action::Log(LogRecord::Peer {
        peer: peer.to_owned(),
        is_up,
        cause,
    }));
}
