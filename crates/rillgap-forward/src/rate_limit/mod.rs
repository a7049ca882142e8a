//! Limits on the requests of a tenant, summed over all nodes.
//!
//! Each tenant's bucket of tokens has one *owner* among the nodes ([`ownership`]). The nodes where
//! requests come in ask it for tokens ahead of need and spend them ([`entry`]); the owner takes them
//! out of the bucket ([`bucket`]). Tokens live for [`TOKEN_LIFE`]. `docs/design/tenants.md` has the
//! argument for the bound and the ways that were weighed.

pub mod bucket;
pub mod entry;
pub mod ownership;

use std::time::Duration;

/// Time after its request was sent at which a token is void: what a lost owner has given out cannot
/// add up with what its successor gives out.
pub const TOKEN_LIFE: Duration = Duration::from_millis(300);
