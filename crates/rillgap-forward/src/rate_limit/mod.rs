//! Rate limits on the requests of a tenant, summed over all nodes.
//!
//! Each tenant's token bucket has one *owner* among the nodes ([`ownership`]), which holds a lease on it
//! ([`lease`]). The entry nodes, which receive the tenant's requests, prefetch tokens from the owner and spend them ([`entry`]);
//! the owner takes them from the bucket ([`bucket`]). Tokens expire after [`TOKEN_LIFETIME`]. While a
//! tenant is short of tokens, the owner determines the admission level below which requests have no
//! chance of one ([`tenant_level`]); entry nodes refuse these without a query.
//! `docs/design/tenants.md` derives the bound that follows for the sum of requests and compares the
//! alternatives.

pub mod bucket;
pub mod demand;
pub mod entry;
mod known_level;
pub mod lease;
pub mod level_change;
pub mod ownership;
pub mod tenant_level;

use std::time::Duration;

/// Lifetime of a token, counted from the sending of the query for it. It is so short that tokens
/// granted by a lost owner have expired before its successor grants new ones, so the two do not add
/// up.
pub const TOKEN_LIFETIME: Duration = Duration::from_millis(300);
