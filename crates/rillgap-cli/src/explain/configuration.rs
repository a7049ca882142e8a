//! Description of the configuration that decided a request.

use super::Record;
use super::verdict::{ANSWERED, last};

/// Message of the log record that a configuration is in force.
const IN_FORCE: &str = "configuration: in force";
/// Message of the log record that the store was restored from a backup.
const STORE_RESTORED: &str = "store: back from a copy";

/// Describes the configuration that the node which answered a request used: its version, for how
/// long it had been in force at that node, and whether the store may have lost it since.
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
        format!(
            "; the store was restored from a backup {since:.1} s earlier and may have lost \
             this configuration"
        )
    });
    Some(format!("decided by configuration {version}{age}{lost}"))
}
