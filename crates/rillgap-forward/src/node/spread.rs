//! The configuration: put in force, offered to peers, asked from them.

use std::sync::Arc;
use std::time::Duration;

use rillgap_core::time::Instant;

use super::{Node, Offer};
use crate::action::{Action, Actions};
use crate::configuration::{Configuration, RouteTable};
use crate::id::LinkId;
use crate::message::LinkMessage;
use crate::note::Note;

/// Time after a newer version was heard of in which the node waits for the store to bring it.
const OFFER_PATIENCE: Duration = Duration::from_millis(200);
/// Time after which a second peer is asked for a configuration that the first has not sent.
const QUERY_PATIENCE: Duration = Duration::from_millis(300);

impl Node {
    /// Puts a configuration in force unless it is not newer.
    pub(super) fn adopt(
        &mut self,
        now: Instant,
        configuration: Configuration,
        source: &'static str,
        out: &mut Actions,
    ) {
        if self.table.is_some() && configuration.version <= self.configuration_version() {
            return;
        }
        out.push(Action::Note(Note::Configuration {
            version: configuration.version,
            routes: configuration.routes.len(),
            tenants: configuration.tenants.len(),
            source,
        }));
        let version = configuration.version;
        let table = RouteTable::new(configuration);
        self.freshness.adopted(version);
        self.limit_tenants(&table);
        self.table = Some(Arc::new(table));
        if self.offer.is_some_and(|offer| offer.version <= version) {
            self.offer = None;
        }
        self.broadcast(&LinkMessage::ConfigurationOffer(version), out);
        // The health endpoint's path may be known now.
        let table = self.table.clone();
        self.inbound.poll(now, table.as_deref(), out);
    }

    pub(super) fn on_offer(&mut self, now: Instant, link: LinkId, version: u64, out: &mut Actions) {
        let own = self.configuration_version();
        if version < own {
            out.push(Action::SendOnLink {
                link,
                message: LinkMessage::ConfigurationOffer(own),
            });
        }
        if version > own && self.offer.is_none_or(|offer| offer.version < version) {
            let ask_at = self.when_to_query(now, version);
            let peer = self.peer_name(link);
            out.push(Action::Note(Note::NewerConfiguration {
                version,
                own,
                peer,
            }));
            self.offer = Some(Offer {
                link,
                version,
                ask_at,
            });
        }
    }

    /// Returns when to ask a peer for a version: after the store had time to bring it, or another peer
    /// to answer.
    fn when_to_query(&self, now: Instant, version: u64) -> Instant {
        let is_asked = self.queried.filter(|(queried, _)| *queried >= version);
        if let Some((_, since)) = is_asked {
            return now.max(since + QUERY_PATIENCE);
        }
        if self.store.expects_configuration() {
            return now + OFFER_PATIENCE;
        }
        now
    }

    pub(super) fn on_query(&mut self, link: LinkId, version: u64, out: &mut Actions) {
        let Some(table) = self
            .table
            .as_ref()
            .filter(|table| table.version() > version)
        else {
            return;
        };
        out.push(Action::SendOnLink {
            link,
            message: LinkMessage::Configuration(Arc::new(table.configuration().clone())),
        });
    }

    pub(super) fn ask_for_offer(&mut self, now: Instant, out: &mut Actions) {
        if let Some(offer) = self.offer.filter(|offer| offer.ask_at <= now) {
            self.offer = None;
            self.queried = Some((offer.version, now));
            out.push(Action::Note(Note::ConfigurationQuery {
                version: offer.version,
                own: self.configuration_version(),
                peer: self.peer_name(offer.link),
            }));
            out.push(Action::SendOnLink {
                link: offer.link,
                message: LinkMessage::ConfigurationQuery(self.configuration_version()),
            });
        }
    }
    /// Returns the name of the peer at the other end of a link, empty if the link has ended.
    fn peer_name(&mut self, link: LinkId) -> String {
        let peer = self.directory.by_link(link);
        peer.map_or_else(String::new, |peer| peer.record.name.clone())
    }
}
