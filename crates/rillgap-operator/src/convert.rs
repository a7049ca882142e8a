//! Conversions between the messages of the schema and the types of the core.

mod change;
mod policy;

pub use change::{change_from_schema, change_id, change_to_schema, status_to_schema};
pub use policy::{back_end_state, policy_from_schema, policy_to_schema, state_to_schema};
