//! Comparison of two policies, key by key.

use std::collections::BTreeMap;
use std::fmt;

use rillgap_core::policy::Policy;
use serde::Serialize;
use serde_json::Value;

/// A key whose value differs between two policies.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Difference {
    /// Path of the key, such as `service[takst].slots`.
    pub key: String,
    /// Value in the policy in force; `None` if the key is added.
    pub before: Option<String>,
    /// Value in the new policy; `None` if the key is removed.
    pub after: Option<String>,
}

impl fmt::Display for Difference {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let key = &self.key;
        match (&self.before, &self.after) {
            (Some(before), Some(after)) => write!(formatter, "~ {key}: {before} -> {after}"),
            (None, Some(after)) => write!(formatter, "+ {key} = {after}"),
            (Some(before), None) => write!(formatter, "- {key} = {before}"),
            (None, None) => write!(formatter, "  {key}"),
        }
    }
}

/// Returns the differences between the policy in force and a new one, ordered by key.
///
/// Versions are not compared, since rillgap assigns them.
pub fn between(before: &Policy, after: &Policy) -> Vec<Difference> {
    let before = values(before);
    let after = values(after);
    let keys = before.keys().chain(after.keys());
    let mut keys: Vec<&String> = keys.collect();
    keys.sort();
    keys.dedup();
    keys.into_iter()
        .filter(|key| before.get(*key) != after.get(*key))
        .map(|key| Difference {
            key: key.clone(),
            before: before.get(key).cloned(),
            after: after.get(key).cloned(),
        })
        .collect()
}

/// Returns all values of a policy by key.
fn values(policy: &Policy) -> BTreeMap<String, String> {
    let mut values = BTreeMap::new();
    insert(&mut values, "bounds", &policy.bounds);
    for service in &policy.services {
        insert(&mut values, &format!("service[{}]", service.name), service);
    }
    for route in &policy.routes {
        let key = format!("route[{} {}{}]", route.service, route.method, route.path);
        insert(&mut values, &key, route);
    }
    for back_end in &policy.back_ends {
        insert(
            &mut values,
            &format!("back-end[{}]", back_end.name),
            back_end,
        );
    }
    values
}

/// Adds the fields of one entry of the policy. All types of entries are plain structs, so they
/// serialize to JSON objects; anything else is ignored.
fn insert(values: &mut BTreeMap<String, String>, key: &str, entry: &impl Serialize) {
    let Ok(Value::Object(fields)) = serde_json::to_value(entry) else {
        return;
    };
    for (field, value) in fields {
        values.insert(format!("{key}.{field}"), value.to_string());
    }
}
