//! One process lifetime of a back end.
//!
//! A back end may restart under the identifier that it had before. It has then lost all state, so
//! what was recorded about the earlier incarnation does not hold for the later one: the identifier
//! and the start time together distinguish incarnations. Requests and answers of the health
//! endpoint contain the identifier alone; there it denotes the latest incarnation that has
//! announced itself, since one process at a time holds an address.

use std::fmt;

use rillgap_core::fingerprint::fingerprint;
use rillgap_core::id::Fingerprint;

/// One process lifetime of a back end.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation {
    /// Identifier that the back end has chosen.
    pub id: String,
    /// Unix time of its start in milliseconds; `None` if the back end does not state it.
    pub started_at_millis: Option<u64>,
}

impl Incarnation {
    /// Creates the incarnation of a back end that does not state its start.
    pub fn without_start(id: &str) -> Self {
        Self {
            id: id.to_owned(),
            started_at_millis: None,
        }
    }

    /// Returns the fingerprint that stands for the incarnation in messages.
    pub fn fingerprint(&self) -> Fingerprint {
        let started_at = self.started_at_millis.unwrap_or_default();
        fingerprint(&[self.id.as_bytes(), &started_at.to_be_bytes()])
    }

    /// Returns whether this is an earlier incarnation under the identifier of `other`. An
    /// incarnation without a start is earlier than one with a start.
    pub fn precedes(&self, other: &Self) -> bool {
        self.id == other.id && self.started_at_millis < other.started_at_millis
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.id)?;
        match self.started_at_millis {
            Some(millis) => write!(formatter, "@{millis}"),
            None => Ok(()),
        }
    }
}
