//! Scenario files that extend another file.
//!
//! A file with `extends = "other.toml"` takes everything from that file, whose path is
//! relative to its own. Tables are merged key by key; lists and values replace those below.

use std::path::Path;

use toml::{Table, Value};

use crate::model::scenario::{Scenario, ScenarioError};

/// Key that names the file to extend.
const EXTENDS: &str = "extends";
/// Most files that extend one another.
const MAX_DEPTH: usize = 8;

/// Reads a scenario with the files that it extends, and checks it.
///
/// # Errors
///
/// Returns why a file cannot be read, parsed or used.
pub fn load(path: &Path) -> Result<Scenario, ScenarioError> {
    let table = load_table(path, MAX_DEPTH)?;
    let text =
        toml::to_string(&table).map_err(|error| ScenarioError::Invalid(error.to_string()))?;
    Scenario::parse(&text)
}

fn load_table(path: &Path, depth: usize) -> Result<Table, ScenarioError> {
    let text = std::fs::read_to_string(path).map_err(|source| ScenarioError::Unreadable {
        path: path.display().to_string(),
        source,
    })?;
    let mut table: Table = toml::from_str(&text)?;
    let Some(base) = table.remove(EXTENDS) else {
        return Ok(table);
    };
    let Some(base) = base.as_str().filter(|_| depth > 0) else {
        let reason = format!(
            "{}: extends must name a file, without a cycle",
            path.display()
        );
        return Err(ScenarioError::Invalid(reason));
    };
    let directory = path.parent().unwrap_or(Path::new("."));
    let mut merged = load_table(&directory.join(base), depth - 1)?;
    merge(&mut merged, table);
    Ok(merged)
}

fn merge(into: &mut Table, from: Table) {
    for (key, value) in from {
        match (into.get_mut(&key), value) {
            (Some(Value::Table(below)), Value::Table(above)) => merge(below, above),
            (_, value) => {
                into.insert(key, value);
            }
        }
    }
}
