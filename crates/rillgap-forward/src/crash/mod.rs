//! Requests under which back ends end.
//!
//! A request may end the process that works on it. Repeated like any request whose answer was lost, and sent again by
//! its caller, it ends one back end after the other, faster than they come back. The nodes therefore keep
//! *evidence*: which requests were under way when a back end ended.
//!
//! - The node beside the back end sees which requests end with it, and tells peers ([`ContentEvidence`]).
//! - One crash makes *suspects* of all requests that were under way. Beside a back end only one suspect runs at a time,
//!   so that the next crash tells which one it was. Where a service has few back ends, it is not repeated at once either.
//! - After a second crash a request is *recurrent*: all nodes know it, and none repeats it at once.
//! - After [`QUARANTINE_CRASHES`] crashes, [`QUARANTINE_CRASHES_ALONE`] of them as the only suspect
//!   ([`QUARANTINE_CRASHES_DOUBTFUL`] while back ends also end without it), it is *quarantined*: every node refuses it until
//!   some time after the last crash. Then one run decides again.
//! - An answer exonerates, also one of a short time before the first crash: a request that ends every back end is never
//!   answered.
//!
//! Evidence only grows, and being exonerated outweighs all crashes, so that nodes may merge what they hear in any
//! order and more than once.

mod answered;
mod evidence;
mod register;

use bitcode::{Decode, Encode};
use rillgap_core::id::Fingerprint;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::incarnation::Incarnation;

pub use evidence::Suspicion;
pub use register::{CrashRegister, EvidenceNews, SuspicionChange};

/// Crashes from which a request may be quarantined. Requests that are repeated together meet the first two
/// crashes together.
pub const QUARANTINE_CRASHES: usize = 3;
/// Crashes among them at which the request was the only suspect at the back end: one could be bad luck.
pub const QUARANTINE_CRASHES_ALONE: usize = 2;
/// The same while back ends also end without it, so that it may have been there by chance more often.
pub const QUARANTINE_CRASHES_DOUBTFUL: usize = 3;

/// One crash of a back end, by the incarnation that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct CrashId(u64);

impl CrashId {
    /// Returns the identifier of the end of an incarnation.
    pub fn of(incarnation: &Incarnation) -> Self {
        let started_at = incarnation.started_at_millis.unwrap_or_default();
        Self(xxh3_64_with_seed(incarnation.id.as_bytes(), started_at))
    }
}

/// What a crash says of a request that was under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub enum EvidenceStrength {
    /// It was not the only suspect there.
    Inconclusive,
    /// It was the only suspect there, but other back ends have ended without it and for no known reason.
    Weak,
    /// It was the only suspect there.
    Strong,
}

/// A request that was under way when a back end ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Suspect {
    /// What it asks for.
    pub content: Fingerprint,
    /// Whether it was the only suspect there.
    pub was_alone: bool,
}

/// A crash at which requests with some content were under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct CrashRecord {
    /// The crash.
    pub crash: CrashId,
    /// What it says of the request.
    pub strength: EvidenceStrength,
    /// Age of the crash when the message is sent, in microseconds.
    pub age_micros: u64,
}

/// What is known of requests with one content.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ContentEvidence {
    /// The content.
    pub content: Fingerprint,
    /// Crashes at which such a request was under way.
    pub crashes: Vec<CrashRecord>,
    /// Whether a back end has answered such a request since.
    pub is_exonerated: bool,
}
