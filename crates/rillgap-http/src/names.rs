//! Names of the headers that nodes and back ends use; `docs/operators/http.md` describes them.

/// Idempotency key of a caller: a UUID of version 7, bare or as a quoted string.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Time for which the sender still waits for an answer, in the syntax of gRPC.
pub const TIMEOUT: &str = "grpc-timeout";

/// Trace context, as defined by the W3C recommendation.
pub const TRACE_PARENT: &str = "traceparent";

/// Token of the request that a back end is working on: 32 hexadecimal digits.
pub const CALL_TOKEN: &str = "rillgap-call";

/// `true` on a back end's answer 503 if the request was refused before it ran.
pub const NOT_RUN: &str = "rillgap-not-run";

/// `1` on any answer of a back end that is leaving service.
pub const LEAVING: &str = "rillgap-leaving";

/// Seconds after which a caller may retry.
pub const RETRY_AFTER: &str = "retry-after";

/// Milliseconds after which a caller may retry.
pub const RETRY_AFTER_MILLIS: &str = "retry-after-ms";

/// Prefix of the headers that only nodes and back ends may set.
pub const RESERVED_PREFIX: &str = "rillgap-";
