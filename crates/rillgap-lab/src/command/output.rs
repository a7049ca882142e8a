//! Forms in which commands print their reports.

use std::fmt::Display;
use std::str::FromStr;

use serde::Serialize;

/// Form of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutputForm {
    /// Text for people.
    Text,
    /// One JSON document on one line.
    Json,
}

impl FromStr for OutputForm {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err("text and json are allowed".to_owned()),
        }
    }
}

impl OutputForm {
    /// Prints a report to standard output.
    pub fn print(self, report: &(impl Display + Serialize)) {
        match self {
            Self::Text => print!("{report}"),
            // Reports hold numbers, strings and lists, which always serialize.
            Self::Json => println!("{}", serde_json::to_string(report).unwrap_or_default()),
        }
    }
}
