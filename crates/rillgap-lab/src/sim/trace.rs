//! The header by which the simulation knows what a request truly is.
//!
//! Nodes forward it like any other header and never look at it.

use rillgap_core::request::{Header, RequestHead};

use super::body::word;
use super::event::RootIndex;
use super::ledger::Asker;

/// Name of the header.
const HEADER: &str = "lab-trace";
const CALLER: u64 = 0;
const BACK_END: u64 = 1;

/// What a request truly is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Trace {
    /// Root request that it serves.
    pub root: RootIndex,
    /// Who asked for it.
    pub asker: Asker,
}

impl Trace {
    /// Builds the header.
    pub fn header(self) -> Header {
        let (kind, index) = match self.asker {
            Asker::Caller(submission) => (CALLER, submission),
            Asker::BackEnd(call) => (BACK_END, call),
        };
        let mut value = Vec::with_capacity(24);
        for word in [self.root as u64, kind, index as u64] {
            value.extend_from_slice(&word.to_le_bytes());
        }
        Header {
            name: HEADER.to_owned(),
            value,
        }
    }

    /// Reads the header of a request.
    pub fn read(head: &RequestHead) -> Option<Self> {
        let header = head.headers.iter().find(|header| header.name == HEADER)?;
        let root = word(&header.value, 0)? as usize;
        let index = word(&header.value, 2)? as usize;
        let asker = if word(&header.value, 1)? == CALLER {
            Asker::Caller(index)
        } else {
            Asker::BackEnd(index)
        };
        Some(Self { root, asker })
    }
}
