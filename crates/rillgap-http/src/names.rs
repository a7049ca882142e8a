//! Names of the headers that a node understands; `docs/operators/http.md` describes them.

/// Idempotency key of a caller: a UUID of version 7, bare or as a quoted string.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Time the sender still waits, in the syntax of gRPC.
pub const TIMEOUT: &str = "grpc-timeout";

/// Trace context of the W3C recommendation.
pub const TRACE_PARENT: &str = "traceparent";

/// Token of the inbound call that a back end is serving: 32 hexadecimal digits.
pub const CALL_TOKEN: &str = "rillgap-call";

/// `true` on a back end's answer 503 if the request was refused before it ran.
pub const NOT_RUN: &str = "rillgap-not-run";

/// `1` on any answer of a back end that is leaving service.
pub const LEAVING: &str = "rillgap-leaving";

/// Seconds after which a caller may come back.
pub const RETRY_AFTER: &str = "retry-after";

/// Milliseconds after which a caller may come back.
pub const RETRY_AFTER_MILLIS: &str = "retry-after-ms";

/// Prefix of the headers that only nodes and back ends may set.
pub const RESERVED_PREFIX: &str = "rillgap-";
