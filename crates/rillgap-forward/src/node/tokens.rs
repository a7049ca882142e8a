//! Tokens of tenants' buckets: queries to the owners, grants from the buckets that this node owns.

use std::time::Duration;

use rillgap_core::time::Instant;

use super::Node;
use crate::action::{Action, Actions};
use crate::configuration::RouteTable;
use crate::directory::PeerIndex;
use crate::id::LinkId;
use crate::log_record::LogRecord;
use crate::message::{LinkMessage, NodeRecord, TokenAnswer, TokenQuery, TokenResult};
use crate::rate_limit::bucket::Grant;
use crate::rate_limit::entry::TokenDemand;
use crate::rate_limit::ownership::{Owner, TenantHash};

/// Time for which a node that cannot get the votes for any bucket leaves them to others. Longer than
/// votes are in force, so that they are not needed at two nodes in turn.
const LOCKOUT_PAUSE: Duration = Duration::from_secs(2);

impl Node {
    /// Applies the set of tenants with a rate limit.
    pub(super) fn apply_tenant_limits(&mut self, now: Instant, table: &RouteTable) {
        let tenants = &table.configuration().tenants;
        let limited = tenants.iter().filter(|tenant| tenant.limit.is_some());
        let hashes: Vec<TenantHash> = limited.map(|tenant| TenantHash::of(&tenant.name)).collect();
        // Nodes agree on the owners of buckets only if all of them have the same list of nodes.
        if !hashes.is_empty() && (!self.store.has_listed() || self.directory.is_partial()) {
            self.has_full_membership = false;
            self.store.request_full_list(now);
        }
        self.directory.set_limited_tenants(hashes);
        self.buckets.retain(|tenant| table.tenant(tenant).is_some());
    }

    /// Offers to own buckets once all nodes are known, while the node is in contact with most of
    /// its peers.
    pub(super) fn offer_buckets(&mut self, now: Instant, out: &mut Actions) {
        if self.leases.is_locked_out(now) {
            self.offers_buckets_from = now + LOCKOUT_PAUSE;
        }
        let offers = self.table.is_some()
            && self.has_full_membership
            && self.stopping_since.is_none()
            && now >= self.offers_buckets_from
            && self.directory.is_in_contact_with_majority(now);
        if offers == self.can_own_buckets_since.is_some() {
            return;
        }
        self.can_own_buckets_since = offers.then_some(now);
        self.leases.clear();
        out.push(Action::Log(LogRecord::BucketOffer {
            offers,
            peers: self.directory.len(),
        }));
        self.broadcast_status(now, out);
    }

    /// Queries the owners of buckets for the tokens that are needed.
    pub(super) fn query_tokens(&mut self, now: Instant, out: &mut Actions) {
        for demand in self.outbound.token_queries_due(now) {
            let hash = TenantHash::of(&demand.tenant);
            self.directory.mark_tenant_in_use(hash);
            match self.bucket_owner(now, hash, &demand.tenant, out) {
                Owner::Local { since } => self.grant_locally(now, demand, since, out),
                // The query is repeated soon.
                Owner::Unconfirmed => {}
                Owner::Peer(index, link) => {
                    self.directory.query_sent(now, index);
                    if demand.is_repeated {
                        self.directory.probe_voters(now, hash);
                    }
                    // An owner that does not answer may be down: the repeated query goes to its
                    // successor too, which then probes the owner.
                    let next = self.directory.next_owner_link(hash, index);
                    let next = next.filter(|_| demand.is_repeated);
                    send_query(demand, next.into_iter().chain([link]), out);
                }
                // A link to the owner is opened soon if the owner is up. If it is down, its
                // successor may already have noticed.
                Owner::Unlinked(index) => {
                    let next = self.directory.next_owner_link(hash, index);
                    send_query(demand, next, out);
                }
                Owner::Unavailable => {
                    let (outbound, mut context) = self.split_outbound(out);
                    outbound.on_no_owner(now, &demand.tenant, &mut context);
                }
            }
        }
    }

    pub(super) fn on_token_query(
        &mut self,
        now: Instant,
        link: LinkId,
        query: TokenQuery,
        out: &mut Actions,
    ) {
        let hash = TenantHash::of(&query.tenant);
        let result = match self.bucket_owner(now, hash, &query.tenant, out) {
            Owner::Local { since } => {
                let grant = self.grant(now, &query.tenant, since, query.wanted, &query.seen);
                grant.map(granted)
            }
            Owner::Peer(index, link) => {
                self.probe_owner(now, index, link, out);
                self.directory.probe_voters(now, hash);
                Some(TokenResult::OwnedBy(self.record_of(index)))
            }
            Owner::Unlinked(index) => {
                // The querying node may have found that this owner is down. Opening a link to it
                // shows.
                self.directory.mark_tenant_in_use(hash);
                Some(TokenResult::OwnedBy(self.record_of(index)))
            }
            // The query is repeated soon.
            Owner::Unconfirmed | Owner::Unavailable => None,
        };
        if let Some(result) = result {
            out.push(Action::SendOnLink {
                link,
                message: LinkMessage::TokenAnswer(TokenAnswer {
                    number: query.number,
                    tenant: query.tenant,
                    result,
                }),
            });
        }
    }

    /// Probes the owner, so that its loss is noticed: the querying node may not have a link to it.
    fn probe_owner(&mut self, now: Instant, owner: PeerIndex, link: LinkId, out: &mut Actions) {
        self.directory.query_sent(now, owner);
        out.push(Action::SendOnLink {
            link,
            message: LinkMessage::Ping,
        });
    }

    fn record_of(&self, peer: PeerIndex) -> NodeRecord {
        self.directory.peer(peer).record.clone()
    }

    pub(super) fn on_token_answer(&mut self, now: Instant, answer: TokenAnswer, out: &mut Actions) {
        match answer.result {
            TokenResult::Granted {
                tokens,
                wait_millis,
                level,
                shortage_millis,
            } => {
                let grant = Grant {
                    tokens,
                    wait_millis,
                    level,
                    shortage_millis,
                };
                self.deliver_tokens(now, &answer.tenant, answer.number, grant, out);
            }
            // The query is repeated soon, then to this owner.
            TokenResult::OwnedBy(record) => self.directory.add_or_update(now, &record),
        }
    }

    fn grant_locally(
        &mut self,
        now: Instant,
        demand: TokenDemand,
        since: Instant,
        out: &mut Actions,
    ) {
        let grant = self.grant(now, &demand.tenant, since, demand.tokens, &demand.seen);
        if let Some(grant) = grant {
            self.deliver_tokens(now, &demand.tenant, demand.number, grant, out);
        }
    }

    fn deliver_tokens(
        &mut self,
        now: Instant,
        tenant: &str,
        number: u64,
        grant: Grant,
        out: &mut Actions,
    ) {
        let (outbound, mut context) = self.split_outbound(out);
        outbound.on_tokens(now, tenant, number, grant, &mut context);
    }

    /// Returns the number of tenants whose bucket this node owns and that are short of tokens.
    pub fn short_tenants(&self) -> usize {
        self.buckets.short_tenants()
    }

    /// Updates the levels of owned tenants that are short of tokens, and logs changes.
    pub(super) fn update_tenant_levels(&mut self, now: Instant, out: &mut Actions) {
        for change in self.buckets.poll(now) {
            out.push(Action::Log(LogRecord::TenantLimit(change)));
        }
    }

    /// Takes tokens out of a bucket that this node owns. Returns `None` if this node's
    /// configuration does not contain the tenant yet; a tenant without a limit here is granted all
    /// requested tokens.
    fn grant(
        &mut self,
        now: Instant,
        tenant: &str,
        since: Instant,
        requested: u32,
        seen: &[(u8, u32)],
    ) -> Option<Grant> {
        let tenant = self.table.as_ref()?.tenant(tenant)?.clone();
        Some(match tenant.limit {
            Some(limit) => self
                .buckets
                .grant(now, &tenant.name, limit, since, requested, seen),
            None => Grant {
                tokens: requested,
                ..Grant::default()
            },
        })
    }
}

fn granted(grant: Grant) -> TokenResult {
    TokenResult::Granted {
        tokens: grant.tokens,
        wait_millis: grant.wait_millis,
        level: grant.level,
        shortage_millis: grant.shortage_millis,
    }
}

fn send_query(demand: TokenDemand, links: impl IntoIterator<Item = LinkId>, out: &mut Actions) {
    let query = TokenQuery {
        number: demand.number,
        tenant: demand.tenant,
        wanted: demand.tokens,
        seen: demand.seen,
    };
    for link in links {
        out.push(Action::SendOnLink {
            link,
            message: LinkMessage::TokenQuery(query.clone()),
        });
    }
}
