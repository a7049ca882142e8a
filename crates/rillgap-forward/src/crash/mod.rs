//! Detects requests that crash back ends, and quarantines them.
//!
//! A request may crash the process that executes it. If nodes retry it like any request whose
//! answer was lost, and its caller sends it again, it crashes one back end after the other, faster
//! than they restart. The nodes therefore collect *evidence*: which requests were in flight when a
//! back end crashed. Requests are identified by their *content*, the fingerprint of what they ask
//! for (route, method, target, tenant and body).
//!
//! - The node beside the back end records which requests are lost with it, and sends the evidence
//!   to its peers ([`ContentEvidence`]).
//! - One crash makes *suspects* of all requests that were in flight. Only one suspect at a time
//!   runs on a back end, so that the next crash shows which one caused it. Where a service has few
//!   back ends, a suspect is not retried at once either.
//! - After a second crash a request is *recurrent*: all nodes have the evidence against it, and
//!   none retries it at once.
//! - After [`MIN_QUARANTINE_CRASHES`] crashes, [`MIN_QUARANTINE_STRONG_CRASHES`] of them as the
//!   only suspect ([`MIN_QUARANTINE_SOLE_SUSPECT_CRASHES`] while back ends also crash without it),
//!   it is *quarantined*: every node refuses it for a fixed time after the last crash. After that,
//!   the next run decides again whether it stays refused.
//! - An answer exonerates a request, even an answer from shortly before the first crash: a request
//!   that crashes every back end is never answered.
//!
//! Evidence only grows, and an exoneration outweighs all crashes, so nodes may merge the evidence
//! that they receive in any order and more than once.

mod evidence;
mod recent_answers;
mod register;

use bitcode::{Decode, Encode};
use rillgap_core::id::Fingerprint;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::incarnation::Incarnation;

pub use evidence::Suspicion;
pub use register::{CrashRegister, EvidenceUpdate, SuspicionChange};

/// Minimum number of crashes for a quarantine. Requests that are retried together are in flight
/// together at the first two crashes, so fewer would not single one out.
pub const MIN_QUARANTINE_CRASHES: usize = 3;
/// Minimum number of these crashes with strong evidence, at which the request was the only suspect
/// on the back end: a single one could be a coincidence.
pub const MIN_QUARANTINE_STRONG_CRASHES: usize = 2;
/// Minimum number of these crashes at which the request was the only suspect, whether the evidence
/// is weak or strong. It applies while back ends also crash without the request, which may then
/// more often have been in flight by chance.
pub const MIN_QUARANTINE_SOLE_SUSPECT_CRASHES: usize = 3;

/// Identifies one crash of a back end by the incarnation that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct CrashId(u64);

impl CrashId {
    /// Returns the identifier of the crash of an incarnation.
    pub fn of(incarnation: &Incarnation) -> Self {
        let started_at = incarnation.started_at_millis.unwrap_or_default();
        Self(xxh3_64_with_seed(incarnation.id.as_bytes(), started_at))
    }
}

/// Strength of the evidence that a crash gives against a request that was in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub enum EvidenceStrength {
    /// The request was not the only suspect on the back end.
    Inconclusive,
    /// The request was the only suspect, but other back ends have crashed without it and for no
    /// known reason.
    Weak,
    /// The request was the only suspect on the back end.
    Strong,
}

/// A request that was in flight when a back end crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Suspect {
    /// Content of the request.
    pub content: Fingerprint,
    /// Whether the request was the only suspect on the back end.
    pub was_only_suspect: bool,
}

/// A crash at which requests with some content were in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct CrashRecord {
    /// Identifier of the crash.
    pub crash: CrashId,
    /// Strength of the evidence against the content.
    pub strength: EvidenceStrength,
    /// Age of the crash when the message is sent, in microseconds.
    pub age_micros: u64,
}

/// Evidence about the requests with one content.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ContentEvidence {
    /// Content of the requests.
    pub content: Fingerprint,
    /// Crashes at which a request with this content was in flight.
    pub crashes: Vec<CrashRecord>,
    /// Whether a back end has answered a request with this content.
    pub is_exonerated: bool,
}
