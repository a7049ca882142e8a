//! What a whole answer looks like, agreed between the stand-in back end and its callers.
//!
//! Every answer names its caller and carries a digest of its body, so that a caller can tell
//! that the answer is its own and complete.

use bytes::{BufMut, Bytes, BytesMut};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

/// Header with which a caller names itself, and which the answer returns.
pub const CALLER_ID_HEADER: &str = "x-caller-id";
/// Header with the digest of the answer's body, in hexadecimal.
pub const BODY_DIGEST_HEADER: &str = "x-body-digest";
/// Header with the length of the answer's body in bytes.
pub const BODY_LENGTH_HEADER: &str = "x-body-length";
/// Length of one part of a long download, in bytes.
pub const BULK_CHUNK_BYTES: usize = 16 * 1024;

/// Body of the answer to a short request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShortAnswer {
    /// Service that answered.
    pub service: String,
    /// Back end that answered.
    pub back_end: String,
    /// Method and path as the back end got them.
    pub request: String,
    /// Caller as the back end was told.
    pub caller: String,
    /// How often the back end has run the request's idempotency key, or zero without a key.
    pub executions: u32,
    /// Digest of the request's body, in hexadecimal.
    pub request_digest: String,
    /// Answers that the back end got to its own calls.
    pub downstream: Vec<DownstreamAnswer>,
}

/// What a back end got in answer to one of its own calls.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DownstreamAnswer {
    /// Service that was called.
    pub service: String,
    /// Status of the answer, or zero if none came.
    pub status: u16,
    /// Back end that answered, or what went wrong.
    pub detail: String,
}

/// Returns the digest of a whole body, as in [`BODY_DIGEST_HEADER`].
pub fn digest(body: &[u8]) -> String {
    format!("{:016x}", xxh3_64(body))
}

/// Digest of a body that arrives in parts.
#[derive(Default)]
pub struct RunningDigest {
    hasher: Xxh3,
    length: u64,
}

impl RunningDigest {
    /// Takes in the next part.
    pub fn update(&mut self, part: &[u8]) {
        self.hasher.update(part);
        self.length += part.len() as u64;
    }

    /// Returns the number of bytes taken in.
    pub const fn length(&self) -> u64 {
        self.length
    }

    /// Returns the digest of all parts, as in [`BODY_DIGEST_HEADER`].
    pub fn finish(&self) -> String {
        format!("{:016x}", self.hasher.digest())
    }
}

/// Body of a long download, different for every caller and in every part.
#[derive(Clone, Debug)]
pub struct BulkBody {
    block: Bytes,
    remaining: u64,
    position: u64,
}

impl BulkBody {
    /// Creates the body of a download of `length` bytes for a caller.
    pub fn new(caller: &str, length: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(xxh3_64(caller.as_bytes()));
        let mut block = vec![0; BULK_CHUNK_BYTES];
        random.fill_bytes(&mut block);
        Self {
            block: block.into(),
            remaining: length,
            position: 0,
        }
    }

    /// Returns the number of bytes that are still to come.
    pub const fn remaining(&self) -> u64 {
        self.remaining
    }

    /// Returns the digest of all that is still to come.
    pub fn digest(&self) -> String {
        let mut digest = RunningDigest::default();
        self.clone().for_each(|chunk| digest.update(&chunk));
        digest.finish()
    }
}

impl Iterator for BulkBody {
    type Item = Bytes;

    fn next(&mut self) -> Option<Bytes> {
        if self.remaining == 0 {
            return None;
        }
        let mut chunk = BytesMut::with_capacity(BULK_CHUNK_BYTES);
        chunk.put_u64(self.position);
        chunk.put_slice(&self.block[chunk.len()..]);
        let length = self.remaining.min(BULK_CHUNK_BYTES as u64);
        chunk.truncate(length as usize);
        self.remaining -= length;
        self.position += 1;
        Some(chunk.freeze())
    }
}
