//! One run of a back end, from its start to its end.
//!
//! A back end may start again under the identifier that it had. It then holds and knows nothing of before, so
//! nothing that was learned of the earlier run holds for the later one: the identifier and the start together
//! tell runs apart. Requests and answers of the health endpoint name the identifier alone; there, the latest run
//! that has announced itself is meant, since one address is held by one process.

use std::fmt;

/// One run of a back end.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation {
    /// Identifier that the back end gives itself.
    pub id: String,
    /// Unix time of its start in milliseconds, if it tells.
    pub started_at_millis: Option<u64>,
}

impl Incarnation {
    /// Creates the incarnation of a back end that does not tell when it has started.
    pub fn without_start(id: &str) -> Self {
        Self {
            id: id.to_owned(),
            started_at_millis: None,
        }
    }

    /// Returns whether this is an earlier run under the identifier of `other`. One that does not tell its start
    /// is earlier than one that does.
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
