//! Peer: operators. Schema, generated code, service and client.
