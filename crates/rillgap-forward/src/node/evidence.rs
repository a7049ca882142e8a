//! Distribution of the evidence against requests that are suspected of crashing back ends.

use rillgap_core::time::Instant;

use super::Node;
use crate::action::{Action, Actions};
use crate::crash::ContentEvidence;
use crate::id::LinkId;
use crate::log_record::LogRecord;
use crate::message::{Hello, LinkMessage};

impl Node {
    pub(super) fn on_evidence(&mut self, now: Instant, link: LinkId, evidence: &[ContentEvidence]) {
        let exonerates = self.inbound.crashes_mut().merge(now, evidence);
        self.evidence_source = (!exonerates).then_some(link);
    }

    /// Sends changed evidence to the peers: that of several crashes to all, that of a single one
    /// only to peers with the same service. Every node forwards what is new to it, so that the
    /// evidence reaches all of them.
    pub(super) fn send_new_evidence(&mut self, now: Instant, out: &mut Actions) {
        let crashes = self.inbound.crashes_mut();
        for change in crashes.take_suspicion_changes() {
            out.push(Action::Log(LogRecord::SuspicionChanged(change)));
        }
        let source = self.evidence_source.take();
        let updates = crashes.take_unsent_evidence(now);
        let all_links = self.directory.open_links();
        send_evidence(&updates.for_all, all_links, source, out);
        let service = self.inbound.service();
        let same_service = self.directory.linked(service);
        let links = same_service.filter_map(|(_, peer)| peer.open_link());
        send_evidence(&updates.for_service, links, source, out);
    }

    /// Sends the evidence known here to the peer at the other end of a new link.
    pub(super) fn send_known_evidence(
        &self,
        now: Instant,
        link: LinkId,
        hello: &Hello,
        out: &mut Actions,
    ) {
        if self.inbound.crashes().is_empty() {
            return;
        }
        let known = self.inbound.crashes().all_evidence(now);
        send_evidence(&known.for_all, [link].into_iter(), None, out);
        if hello.status.service == self.inbound.service() {
            send_evidence(&known.for_service, [link].into_iter(), None, out);
        }
    }
}

fn send_evidence(
    evidence: &[ContentEvidence],
    links: impl Iterator<Item = LinkId>,
    source: Option<LinkId>,
    out: &mut Actions,
) {
    if evidence.is_empty() {
        return;
    }
    for link in links.filter(|link| Some(*link) != source) {
        out.push(Action::SendOnLink {
            link,
            message: LinkMessage::CrashEvidence(evidence.to_vec()),
        });
    }
}
