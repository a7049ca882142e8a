//! Conversions between the messages of the schema and the types of `rillgap-core`.

mod change;
mod policy;

pub use change::{change_from_schema, change_to_schema, parse_change_id, status_to_schema};
pub use policy::{
    back_end_state_from_schema, back_end_state_to_schema, policy_from_schema, policy_to_schema,
};
