//! Distribution of the configuration: activation, offers to peers, queries to peers.

use std::sync::Arc;
use std::time::Duration;

use rillgap_core::time::Instant;

use super::Node;
use crate::action::{Action, Actions};
use crate::configuration::{Configuration, RouteTable};
use crate::id::LinkId;
use crate::log_record::LogRecord;
use crate::message::LinkMessage;

/// Time for which the node waits for the store to deliver a newer version before it queries a peer
/// that has offered it.
const STORE_DELIVERY_TIMEOUT: Duration = Duration::from_millis(200);

impl Node {
    /// Puts a configuration in force unless the current one is the same version or newer.
    pub(super) fn apply_configuration(
        &mut self,
        now: Instant,
        configuration: Configuration,
        source: &'static str,
        out: &mut Actions,
    ) {
        if self.table.is_some() && configuration.version <= self.configuration_version() {
            return;
        }
        out.push(Action::Log(LogRecord::Configuration {
            version: configuration.version,
            routes: configuration.routes.len(),
            tenants: configuration.tenants.len(),
            source,
        }));
        let version = configuration.version;
        let table = RouteTable::new(configuration);
        self.freshness.on_configuration_in_force(version);
        self.apply_tenant_limits(now, &table);
        self.table = Some(Arc::new(table));
        self.configured_at = Some(now);
        self.offers.on_configuration_in_force(version);
        self.store.on_configuration_in_force();
        self.broadcast(&LinkMessage::ConfigurationOffer(version), out);
        // The new configuration may define the path of the health endpoint.
        let table = self.table.clone();
        self.inbound.poll(now, table.as_deref(), out);
    }

    pub(super) fn on_offer(&mut self, now: Instant, link: LinkId, version: u64, out: &mut Actions) {
        let own_version = self.configuration_version();
        if version < own_version {
            out.push(Action::SendOnLink {
                link,
                message: LinkMessage::ConfigurationOffer(own_version),
            });
        }
        self.observe_version(now, link, version, out);
    }

    /// Records the version of the configuration that the peer on a link has.
    pub(super) fn observe_version(
        &mut self,
        now: Instant,
        link: LinkId,
        version: u64,
        out: &mut Actions,
    ) {
        let own_version = self.configuration_version();
        if version <= own_version {
            return;
        }
        let delay = if self.store.has_configuration_call_in_flight() {
            STORE_DELIVERY_TIMEOUT
        } else {
            Duration::ZERO
        };
        if self.offers.on_offer(now, link, version, now + delay) {
            let peer = self.peer_name(link);
            out.push(Action::Log(LogRecord::NewerConfiguration {
                version,
                own_version,
                peer,
            }));
        }
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

    /// Sends a query for a newer configuration to a peer that has offered it.
    pub(super) fn query_configuration(&mut self, now: Instant, out: &mut Actions) {
        let Some(query) = self.offers.take_due(now) else {
            return;
        };
        let own_version = self.configuration_version();
        out.push(Action::Log(LogRecord::ConfigurationQuery {
            version: query.version,
            own_version,
            peer: self.peer_name(query.link),
        }));
        out.push(Action::SendOnLink {
            link: query.link,
            message: LinkMessage::ConfigurationQuery(own_version),
        });
    }

    /// Returns the name of the peer at the other end of a link, empty if the link has ended.
    pub(super) fn peer_name(&mut self, link: LinkId) -> String {
        let peer = self.directory.by_link(link);
        peer.map_or_else(String::new, |peer| peer.record.name.clone())
    }
}
