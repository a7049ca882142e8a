//! Attempts of a request: choice of the node, dispatch, cancellation and end.

use rillgap_core::time::Instant;

use super::request::{Request, RequestKey};
use super::{Outbound, OutboundContext, Target};
use crate::action::Action;
use crate::balancer::Candidate;
use crate::id::{LinkId, Sequence};
use crate::message::{LinkMessage, Load};

/// Utilization of a back end that would queue a new request.
const FULL_UTILIZATION: f64 = 1.0;

impl Outbound {
    /// Sends a request to a node that it has not been sent to yet, or answers it if there is none.
    pub(super) fn dispatch(
        &mut self,
        now: Instant,
        key: RequestKey,
        context: &mut OutboundContext<'_>,
    ) {
        let Some(request) = self.requests.get(&key) else {
            return;
        };
        let candidates = self.candidates(now, request, context);
        let remaining = request.deadline.saturating_since(now);
        let Some(target) = self.balancer.choose(candidates, remaining) else {
            self.answer_without_target(now, key, context);
            return;
        };
        self.next_sequence += 1;
        let sequence = Sequence(self.next_sequence);
        let Some(request) = self.requests.get_mut(&key) else {
            return;
        };
        let (link, name) = match target {
            Target::Local => (LinkId::LOCAL, self.own_name.as_str()),
            Target::Peer(index, link) => (link, context.directory.peer(index).record.name.as_str()),
        };
        self.rate_shares.spend(now, name);
        let remembered = match target {
            Target::Local => None,
            Target::Peer(index, _) => context.directory.peer(index).forgotten_rate_limit(),
        };
        let max_retry_wait = self.budget.max_queue_time();
        let forwarded =
            request.begin_attempt(now, link, name, sequence, remembered, max_retry_wait);
        self.by_sequence.insert(sequence, key);
        if let Some(peer) = context.directory.by_link(link) {
            peer.request_sent(now);
        }
        context.out.push(Action::SendOnLink {
            link,
            message: LinkMessage::Request {
                sequence,
                request: forwarded,
            },
        });
    }

    /// Returns the serving nodes of the request's service that it has not been sent to yet.
    pub(super) fn candidates(
        &self,
        now: Instant,
        request: &Request,
        context: &OutboundContext<'_>,
    ) -> Vec<Candidate<Target>> {
        let service = &request.forwarded.service;
        let level = request.forwarded.level;
        let mut candidates = Vec::new();
        let inbound = context.inbound;
        let serves = inbound.is_serving() && inbound.service() == service && !context.is_stopping;
        if serves && !request.is_excluded(&self.own_name) {
            let load = inbound.load();
            let ahead = load.ahead_of(level);
            let utilization = f64::from(ahead) / f64::from(load.limit.max(1));
            let utilization = self.with_rate_share(now, &self.own_name, utilization);
            candidates.push(candidate(Target::Local, true, utilization, load));
        }
        for (index, peer) in context.directory.linked(service) {
            let Some(link) = peer.serving_link() else {
                continue;
            };
            if request.is_excluded(&peer.record.name) {
                continue;
            }
            let target = Target::Peer(index, link);
            let is_local = peer.record.zone == self.own_zone;
            let load = peer.status().load;
            let name = &peer.record.name;
            let utilization = self.with_rate_share(now, name, peer.utilization(level));
            candidates.push(candidate(target, is_local, utilization, load));
        }
        candidates
    }

    /// Returns the utilization of the back end beside a node, to which a full one is added once this node
    /// has used up its share of the rate limit.
    fn with_rate_share(&self, now: Instant, node: &str, utilization: f64) -> f64 {
        if self.rate_shares.is_used_up(now, node) {
            utilization + FULL_UTILIZATION
        } else {
            utilization
        }
    }

    /// Returns the attempts in flight on a link.
    pub(super) fn attempts_on_link(&self, link: LinkId) -> Vec<(RequestKey, Sequence)> {
        let requests = self.requests.iter();
        requests
            .flat_map(|(key, request)| {
                let sequences = request.in_flight_on(link);
                sequences.map(|sequence| (*key, sequence))
            })
            .collect()
    }

    /// Cancels the attempts in flight, if any, of a request that stays registered.
    pub(super) fn cancel_attempts_by_key(
        &mut self,
        key: RequestKey,
        context: &mut OutboundContext<'_>,
    ) {
        if let Some(mut request) = self.requests.remove(&key) {
            self.cancel_attempts(&mut request, context);
            self.requests.insert(key, request);
        }
    }

    /// Ends the attempts in flight, if any, and sends their nodes a cancellation.
    pub(super) fn cancel_attempts(
        &mut self,
        request: &mut Request,
        context: &mut OutboundContext<'_>,
    ) {
        for sequence in request.in_flight() {
            let Some(link) = request.end_attempt(sequence) else {
                continue;
            };
            request.may_have_run = true;
            self.by_sequence.remove(&sequence);
            self.release(link, context);
            context.out.push(Action::SendOnLink {
                link,
                message: LinkMessage::Cancel(sequence),
            });
        }
    }

    /// Ends an attempt whose result is known.
    pub(super) fn end_attempt(
        &mut self,
        key: RequestKey,
        sequence: Sequence,
        context: &mut OutboundContext<'_>,
    ) {
        self.by_sequence.remove(&sequence);
        let request = self.requests.get_mut(&key);
        if let Some(link) = request.and_then(|request| request.end_attempt(sequence)) {
            self.release(link, context);
        }
    }

    pub(super) fn release(&mut self, link: LinkId, context: &mut OutboundContext<'_>) {
        if let Some(peer) = context.directory.by_link(link) {
            peer.request_ended();
        }
    }
}

fn candidate(target: Target, is_local: bool, utilization: f64, load: Load) -> Candidate<Target> {
    Candidate {
        target,
        is_local,
        utilization,
        limit: load.limit,
        mean_micros: load.mean_micros,
        failing_permille: load.failing_permille,
    }
}
