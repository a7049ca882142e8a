//! Parser of log lines.

use serde::Serialize;
use serde_json::{Map, Value};

/// Fields left out of [`Record::fields`]: those with a field of their own, and those without use in
/// an explanation.
const OMITTED_FIELDS: [&str; 6] = ["message", "time", "uptime", "level", "request", "node"];

/// Parsed log line.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Record {
    /// Node that wrote the line.
    pub node: String,
    /// Wall-clock time of the node's machine, in seconds since the Unix epoch.
    pub time: f64,
    /// Message of the record, such as `outbound: answered`.
    pub message: String,
    /// Identifier of the request; `None` if the record concerns no single request.
    pub request: Option<String>,
    /// All other fields.
    pub fields: Map<String, Value>,
}

impl Record {
    /// Parses a line that holds a JSON object; `None` for other lines.
    ///
    /// The node is the `node` field of the object, else the last word before the object, else
    /// `node`.
    pub fn parse(line: &str, node: &str) -> Option<Self> {
        let start = line.find('{')?;
        let mut fields: Map<String, Value> = serde_json::from_str(line[start..].trim_end()).ok()?;
        let text = |fields: &Map<String, Value>, name: &str| {
            let value = fields.get(name).and_then(Value::as_str);
            value.map(str::to_owned)
        };
        let message = text(&fields, "message")?;
        let request = text(&fields, "request");
        let time = fields.get("time").and_then(Value::as_f64)?;
        let prefix = line[..start].split_whitespace().last();
        let node = text(&fields, "node").unwrap_or_else(|| prefix.unwrap_or(node).to_owned());
        fields.retain(|name, _| !OMITTED_FIELDS.contains(&name.as_str()));
        Some(Self {
            node,
            time,
            message,
            request,
            fields,
        })
    }

    /// Returns a text field; `None` if it is missing or of another type.
    pub fn text(&self, name: &str) -> Option<&str> {
        self.fields.get(name).and_then(Value::as_str)
    }

    /// Returns an unsigned integer field; `None` if it is missing or of another type.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.fields.get(name).and_then(Value::as_u64)
    }

    /// Formats [`Self::fields`] as `name=value` pairs.
    pub fn detail(&self) -> String {
        let pair = |(name, value): (&String, &Value)| match value {
            Value::String(text) => format!("{name}={text}"),
            value => format!("{name}={value}"),
        };
        let pairs: Vec<String> = self.fields.iter().map(pair).collect();
        pairs.join(" ")
    }
}
