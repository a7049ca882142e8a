//! From a request's identifier to its cause, by the logs of nodes alone.

mod configuration;
mod record;
mod verdict;

use std::collections::BTreeSet;
use std::io::{self, BufRead};

use serde::Serialize;

pub use record::Record;
pub use verdict::Verdict;

/// Time before a request's first line from which changes of what its nodes believe are shown, in
/// seconds.
const CONTEXT_SECONDS: f64 = 5.0;
/// Most lines about beliefs that are kept while logs are read.
const MAX_NODE_EVENTS: usize = 200_000;

/// What logs tell of a request.
#[derive(Clone, Debug, Serialize)]
pub struct Explanation {
    /// Identifier that was asked for.
    pub request: String,
    /// How the request ended and why.
    pub verdict: Verdict,
    /// Which configuration decided, and for how long it had been in force there, if the logs tell.
    pub configuration: Option<String>,
    /// Lines about the request, its calls and the requests that it was made for, in their order.
    pub path: Vec<Record>,
    /// What the nodes on that path began to believe shortly before.
    #[serde(rename = "beliefs")]
    pub node_events: Vec<Record>,
}

/// Reads logs and keeps what a request needs.
#[derive(Debug)]
pub struct Explainer {
    request: String,
    path: Vec<Record>,
    node_events: Vec<Record>,
}

impl Explainer {
    /// Creates an explainer of a request.
    pub fn new(request: &str) -> Self {
        Self {
            request: request.to_owned(),
            path: Vec::new(),
            node_events: Vec::new(),
        }
    }

    /// Reads a log; `node` names the node of lines that do not.
    ///
    /// # Errors
    ///
    /// Fails if the log cannot be read.
    pub fn read(&mut self, node: &str, log: impl BufRead) -> io::Result<()> {
        for line in log.split(b'\n') {
            let line = line?;
            let text = String::from_utf8_lossy(&line);
            if let Some(record) = Record::parse(&text, node) {
                self.add_record(record);
            }
        }
        Ok(())
    }

    /// Returns what the logs tell.
    pub fn explain(mut self) -> Explanation {
        let by_time = |left: &Record, right: &Record| left.time.total_cmp(&right.time);
        self.path.sort_by(by_time);
        let mut node_events = self.relevant_node_events();
        node_events.sort_by(by_time);
        Explanation {
            verdict: Verdict::of(&self.request, &self.path),
            configuration: configuration::describe(&self.request, &self.path, &self.node_events),
            request: self.request,
            path: self.path,
            node_events,
        }
    }

    fn add_record(&mut self, record: Record) {
        match &record.request {
            Some(id) if extends(id, &self.request) || extends(&self.request, id) => {
                self.path.push(record);
            }
            Some(_) => {}
            None if self.node_events.len() < MAX_NODE_EVENTS => self.node_events.push(record),
            None => {}
        }
    }

    fn relevant_node_events(&self) -> Vec<Record> {
        let (Some(first), Some(last)) = (self.path.first(), self.path.last()) else {
            return Vec::new();
        };
        let span = first.time - CONTEXT_SECONDS..=last.time;
        let nodes: BTreeSet<&str> = self
            .path
            .iter()
            .flat_map(|record| [Some(record.node.as_str()), record.text("peer")])
            .flatten()
            .collect();
        self.node_events
            .iter()
            .filter(|record| span.contains(&record.time) && nodes.contains(record.node.as_str()))
            .cloned()
            .collect()
    }
}

/// Returns whether an identifier is another one or extends it behind a separator, as that of a call
/// extends that of the request which it is made for.
fn extends(id: &str, shorter: &str) -> bool {
    let rest = id.strip_prefix(shorter);
    rest.is_some_and(|rest| !rest.starts_with(|next: char| next.is_alphanumeric()))
}
