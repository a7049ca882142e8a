//! Generated code of the schema.

#![allow(missing_docs, clippy::all)]

include!("generated/rillgap.operator.v1.rs");
