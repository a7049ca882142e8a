//! One line of a log.

use serde::Serialize;
use serde_json::{Map, Value};

/// Fields that stand in [`Record`] themselves, or that nobody needs to see.
const OMITTED_FIELDS: [&str; 6] = ["message", "time", "uptime", "level", "request", "node"];

/// One line of a log.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Record {
    /// Node that wrote it.
    pub node: String,
    /// Time of day in seconds, by the clock of the node's machine.
    pub time: f64,
    /// What happened.
    pub message: String,
    /// Request that it is about.
    pub request: Option<String>,
    /// The other fields.
    pub fields: Map<String, Value>,
}

impl Record {
    /// Reads a line: a JSON object, with or without words before it, the last of which then names
    /// the node. `None` if it is something else.
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

    /// Returns a field with a text.
    pub fn text(&self, name: &str) -> Option<&str> {
        self.fields.get(name).and_then(Value::as_str)
    }

    /// Returns a field with a number.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.fields.get(name).and_then(Value::as_u64)
    }

    /// Returns the other fields as `name=value`, in their order.
    pub fn detail(&self) -> String {
        let pair = |(name, value): (&String, &Value)| match value {
            Value::String(text) => format!("{name}={text}"),
            value => format!("{name}={value}"),
        };
        let pairs: Vec<String> = self.fields.iter().map(pair).collect();
        pairs.join(" ")
    }
}
