//! Messages, client and server generated from the schema in `proto/`.

#![allow(missing_docs, clippy::all)]

include!("generated/rillgap.operator.v1.rs");
