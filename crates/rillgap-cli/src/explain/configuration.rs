//! The configuration by which a request was decided, and its age.

use super::Record;
use super::verdict::{ANSWERED, last};

/// Message of the line that tells that a configuration is in force.
const IN_FORCE: &str = "configuration: in force";
/// Message of the line that tells that the store has come back from a copy.
const STORE_RESTORED: &str = "store: back from a copy";

/// Describes the configuration by which the owner of a request has decided: for how long it had been in force there, and
/// whether the store may have lost it meanwhile.
pub(super) fn describe(request: &str, path: &[Record], node_events: &[Record]) -> Option<String> {
    let answer = last(path, request, ANSWERED)?;
    let version = answer.number("configuration")?;
    let node = &answer.node;
    let of_node = |message: &'static str| {
        node_events.iter().filter(move |record| {
            record.node == *node && record.message == message && record.time <= answer.time
        })
    };
    let in_force = of_node(IN_FORCE).filter(|record| record.number("version") == Some(version));
    let in_force_at = in_force.map(|record| record.time).reduce(f64::max);
    let restored_at = of_node(STORE_RESTORED)
        .map(|record| record.time)
        .reduce(f64::max);
    let age = in_force_at.map_or_else(String::new, |at| {
        format!(", in force there for {:.1} s", answer.time - at)
    });
    let lost = restored_at.filter(|at| Some(*at) > in_force_at);
    let lost = lost.map_or_else(String::new, |at| {
        let since = answer.time - at;
        format!("; the store came back from a copy {since:.1} s before and may have lost it")
    });
    Some(format!("decided by configuration {version}{age}{lost}"))
}
