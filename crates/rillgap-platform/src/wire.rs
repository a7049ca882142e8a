//! JSON format of the platform's answers.

use std::collections::BTreeMap;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use rillgap_core::id::NodeName;
use rillgap_core::store::{Machine, ModifyIndex, StoreObject};
use serde::Deserialize;

use crate::error::PlatformError;

/// Metadata key of the machine list that holds the state of a machine.
const STATE_KEY: &str = "state";
/// Value of [`STATE_KEY`] for a machine that is leaving.
const STATE_LEAVING: &str = "leaving";

/// Object in the answer to `GET /v1/kv/KEY`.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct KeyValue {
    modify_index: u64,
    value: Option<String>,
}

/// Machine in the answer to `GET /v1/catalog/nodes`.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct CatalogNode {
    node: String,
    #[serde(default)]
    meta: Option<BTreeMap<String, String>>,
}

/// Decodes the answer to a read of one object.
///
/// # Errors
///
/// Returns [`PlatformError::Malformed`] if the answer is not a list with one object.
pub(crate) fn decode_object(body: &[u8]) -> Result<StoreObject, PlatformError> {
    let objects: Vec<KeyValue> = decode_json(body)?;
    let [object] = objects.as_slice() else {
        return Err(PlatformError::Malformed(format!(
            "{} objects in place of one",
            objects.len()
        )));
    };
    let encoded = object.value.as_deref().unwrap_or_default();
    let value = STANDARD
        .decode(encoded)
        .map_err(|error| PlatformError::Malformed(error.to_string()))?;
    Ok(StoreObject {
        index: ModifyIndex(object.modify_index),
        value: Some(value),
    })
}

/// Decodes the machine list.
///
/// # Errors
///
/// Returns [`PlatformError::Malformed`] if the answer is not a list of machines.
pub(crate) fn decode_machines(body: &[u8]) -> Result<Vec<Machine>, PlatformError> {
    let nodes: Vec<CatalogNode> = decode_json(body)?;
    Ok(nodes.into_iter().map(machine).collect())
}

/// Decodes the answer to a conditional put: whether the value was written.
///
/// # Errors
///
/// Returns [`PlatformError::Malformed`] if the answer is neither `true` nor `false`.
pub(crate) fn decode_put_result(body: &[u8]) -> Result<bool, PlatformError> {
    decode_json(body)
}

fn machine(node: CatalogNode) -> Machine {
    let state = node.meta.as_ref().and_then(|meta| meta.get(STATE_KEY));
    Machine {
        node: NodeName::new(node.node),
        leaving: state.is_some_and(|state| state == STATE_LEAVING),
    }
}

fn decode_json<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, PlatformError> {
    serde_json::from_slice(body).map_err(|error| PlatformError::Malformed(error.to_string()))
}
