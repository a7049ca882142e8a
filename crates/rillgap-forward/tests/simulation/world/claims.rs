//! False claims on links that requests did not run, which the checker must detect.

use rillgap_core::code::ResultCode;
use rillgap_forward::message::{
    ForwardResponse, ForwardResult, LinkMessage, Load, NotRunProof, Timing,
};

use crate::scenario::InjectedBug;

use super::*;

/// One of this many requests is falsely reported as not started.
const FALSE_CLAIM_INTERVAL: u64 = 20;

impl World {
    /// Records which requests of a link have no response, and lets a claim end another request.
    pub(super) fn tamper_with_claims(
        &mut self,
        sender: (usize, u32, LinkId),
        mut message: LinkMessage,
    ) -> LinkMessage {
        let id = self.by_link.get(&sender);
        let Some(connection) = id.and_then(|id| self.connections.get_mut(id)) else {
            return message;
        };
        let from_opener = connection.opener == sender;
        match &mut message {
            LinkMessage::Request { sequence, .. } => {
                connection.unanswered.insert((from_opener, *sequence));
            }
            LinkMessage::Cancel(sequence) => {
                connection.unanswered.remove(&(from_opener, *sequence));
            }
            LinkMessage::Response(response) => {
                let is_claim = matches!(response.result, ForwardResult::NotRun { .. });
                if is_claim && self.injected_bug == InjectedBug::CrossedClaims {
                    let of_same_sender =
                        |(is_opener, _): &&(bool, Sequence)| *is_opener != from_opener;
                    let other = connection.unanswered.iter().find(of_same_sender);
                    response.sequence = other.map_or(response.sequence, |(_, sequence)| *sequence);
                }
                connection
                    .unanswered
                    .remove(&(!from_opener, response.sequence));
            }
            _ => {}
        }
        message
    }

    /// Reports a request that is delivered as not started.
    pub(super) fn claim_not_started(&mut self, id: u64, to_opener: bool, message: &LinkMessage) {
        let LinkMessage::Request { sequence, .. } = message else {
            return;
        };
        if self.injected_bug == InjectedBug::FalseNotStarted && self.draw(FALSE_CLAIM_INTERVAL) == 0
        {
            self.transmit(id, !to_opener, not_started(*sequence));
        }
    }

    /// Reports the requests in flight on a link that ends as not started.
    pub(super) fn claim_not_run_at_link_end(&mut self, id: u64) {
        if self.injected_bug != InjectedBug::LinkEndAsNotRun {
            return;
        }
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let unanswered = std::mem::take(&mut connection.unanswered);
        let ends = (connection.opener, connection.acceptor);
        for (from_opener, sequence) in unanswered {
            let (host, incarnation, link) = if from_opener { ends.0 } else { ends.1 };
            let message = not_started(sequence);
            let event = Event::Link { link, message };
            self.schedule(self.now, WorldEvent::Node(host, incarnation, event));
        }
    }
}

/// Returns the response that a request was not started.
fn not_started(sequence: Sequence) -> LinkMessage {
    LinkMessage::Response(ForwardResponse {
        sequence,
        load: Load::default(),
        downstream_levels: Vec::new(),
        has_failed_call: false,
        timing: Timing::default(),
        result: ForwardResult::NotRun {
            code: ResultCode::QueueFull,
            proof: NotRunProof::NotStarted,
            retry_after_millis: 100,
        },
    })
}
