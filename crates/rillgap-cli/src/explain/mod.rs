//! Explains from the logs of nodes how a request ended and why.

mod configuration;
mod record;
mod verdict;

use std::collections::BTreeSet;
use std::io::{self, BufRead};

use serde::Serialize;

pub use record::Record;
pub use verdict::Verdict;

/// Time before the first log record of a request from which events at its nodes are shown, in
/// seconds.
const CONTEXT_SECONDS: f64 = 5.0;
/// Maximum number of node events that are kept while logs are read; later ones are dropped.
const MAX_NODE_EVENTS: usize = 200_000;

/// Explanation of a request from logs.
#[derive(Clone, Debug, Serialize)]
pub struct Explanation {
    /// Identifier of the request.
    pub request: String,
    /// How the request ended and why.
    pub verdict: Verdict,
    /// Configuration that decided the request; `None` if the logs do not show it.
    pub configuration: Option<String>,
    /// Log records of the request, of its calls and of the requests that it is a call of, by time.
    pub path: Vec<Record>,
    /// Log records without a request, such as lost peers, from the nodes on the path shortly before
    /// and during the request, by time.
    #[serde(rename = "beliefs")]
    pub node_events: Vec<Record>,
}

/// Reads logs and keeps the records that are needed to explain a request.
#[derive(Debug)]
pub struct Explainer {
    request: String,
    path: Vec<Record>,
    node_events: Vec<Record>,
}

impl Explainer {
    /// Creates an explainer of the request with this identifier.
    pub fn new(request: &str) -> Self {
        Self {
            request: request.to_owned(),
            path: Vec::new(),
            node_events: Vec::new(),
        }
    }

    /// Reads a log. `node` is the node of lines that do not name one themselves.
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

    /// Returns the explanation from all logs that were read.
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

/// Returns whether an identifier equals another one or extends it after a separator. The identifier
/// of a call extends that of its parent request.
fn extends(id: &str, shorter: &str) -> bool {
    let rest = id.strip_prefix(shorter);
    rest.is_some_and(|rest| !rest.starts_with(|next: char| next.is_alphanumeric()))
}
