//! The requests that a connection to the back end has carried.
//!
//! A back end may send a second copy of an answer at any later time, in place of the next answer.
//! The copy names the request and not the attempt, so a further attempt on the same connection
//! could get the answer to an earlier one. Each attempt of a request therefore uses a connection
//! that has not carried the request.

use std::collections::BTreeSet;
use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher};

/// Number of requests after which a connection is closed, which bounds its memory of them.
const MAX_CARRIED_REQUESTS: usize = 512;

/// Identifiers of the requests that a connection has carried, as hashes.
#[derive(Debug, Default)]
pub(super) struct CarriedRequests {
    hashes: BTreeSet<u64>,
}

impl CarriedRequests {
    /// Records that a request is sent on the connection.
    pub fn record(&mut self, request_id: &str) {
        self.hashes.insert(hash(request_id));
    }

    /// Returns whether the connection has carried a request. May rarely return `true` for another
    /// request with the same hash, which then uses another connection too.
    pub fn contains(&self, request_id: &str) -> bool {
        self.hashes.contains(&hash(request_id))
    }

    /// Returns whether the connection must not carry further requests.
    pub fn is_full(&self) -> bool {
        self.hashes.len() >= MAX_CARRIED_REQUESTS
    }
}

fn hash(request_id: &str) -> u64 {
    BuildHasherDefault::<DefaultHasher>::default().hash_one(request_id)
}
