//! Numbered result codes, used in answers to callers, in RPC status details and as exit codes.
//!
//! The numbers are stable, and at most 255 so that they can be exit codes. `docs/ERRORS.md` lists
//! them.

use bitcode::{Decode, Encode};

/// What a caller can conclude about the execution of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub enum Outcome {
    /// The request was executed, and this is its answer.
    Completed,
    /// The request was not and will not be executed.
    NotRun,
    /// It is not known whether the request was executed.
    Unknown,
}

impl Outcome {
    /// Returns the value used in answers: `completed`, `not-run` or `unknown`.
    pub const fn token(self) -> &'static str {
        match self {
            Self::Completed => "completed",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

macro_rules! result_codes {
    ($($(#[$documentation:meta])* $name:ident = $number:literal, $status:literal, $outcome:ident, $title:literal;)*) => {
        /// Numbered result of a request or a command.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
        pub enum ResultCode {
            $($(#[$documentation])* $name,)*
        }

        impl ResultCode {
            /// All codes, ordered by number.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// Returns the stable number, at most 255.
            pub const fn number(self) -> u8 {
                match self { $(Self::$name => $number,)* }
            }

            /// Returns the HTTP status of the answer to the caller.
            pub const fn http_status(self) -> u16 {
                match self { $(Self::$name => $status,)* }
            }

            /// Returns the outcome of the request that the code implies.
            pub const fn outcome(self) -> Outcome {
                match self { $(Self::$name => Outcome::$outcome,)* }
            }

            /// Returns a short English title for display.
            pub const fn title(self) -> &'static str {
                match self { $(Self::$name => $title,)* }
            }
        }
    };
}

result_codes! {
    /// Success.
    Ok = 0, 200, Completed, "success";
    /// A header is missing or contradictory, or the request or its body is malformed.
    MalformedRequest = 10, 400, NotRun, "malformed request";
    /// The route requires an `Idempotency-Key`, but none was sent.
    KeyRequired = 11, 400, NotRun, "idempotency key required";
    /// The idempotency key is not a UUID of version 7.
    KeyMalformed = 12, 400, NotRun, "idempotency key malformed";
    /// The idempotency key is older than the maximum key lifetime, so the record of its execution
    /// may have been dropped.
    KeyTooOld = 13, 400, Unknown, "idempotency key too old";
    /// The timestamp of the idempotency key is in the future.
    KeyFromFuture = 14, 400, NotRun, "idempotency key from the future";
    /// The idempotency key was used before for a different request.
    KeyReused = 15, 422, NotRun, "idempotency key reused for another request";
    /// The policy does not define this service or route.
    UnknownRoute = 16, 404, NotRun, "unknown service or route";
    /// The body is longer than the limit.
    BodyTooLong = 17, 413, NotRun, "request body too long";
    /// The headers are longer than the limit.
    HeadersTooLong = 18, 431, NotRun, "request headers too long";
    /// The request was not received completely in time.
    RequestTimeout = 19, 408, NotRun, "request not received in time";
    /// A call from a back end did not carry the token of the running request on whose behalf it is
    /// made, or came from an address that the listener does not admit.
    TokenInvalid = 20, 403, NotRun, "call token missing, stale or unknown";
    /// A back end made more calls for one inbound call than are allowed.
    CallBoundExceeded = 21, 429, NotRun, "too many calls for one request";
    /// The retry budget shared by all calls of one root request, or by all requests with the same
    /// idempotency key, is used up.
    RetryBudgetSpent = 22, 429, NotRun, "retry budget of the chain spent";
    /// The route requires an API key, but no known key was sent.
    Unauthenticated = 23, 401, NotRun, "key missing or unknown";
    /// The tenant has reached its rate limit.
    LimitReached = 24, 429, NotRun, "tenant at its limit";
    /// The request was shed at the entry, because a downstream service is overloaded or the entry
    /// itself has reached a limit.
    Overloaded = 40, 503, NotRun, "overloaded, shed at the entry";
    /// The queue of the back end was full, or too slow for the class of the request.
    QueueFull = 41, 503, NotRun, "overloaded, shed at the back end";
    /// The deadline passed, or could not be met, before the request was started.
    DeadlineUnmet = 42, 504, NotRun, "deadline cannot be met";
    /// No back end of the service accepts new requests.
    NoBackEnd = 43, 503, NotRun, "no back end available";
    /// The back end is draining, or the instance that was to run the request is gone or was
    /// replaced.
    BackEndLeaving = 44, 503, NotRun, "back end leaving service";
    /// The node is stopping.
    NodeStopping = 45, 503, NotRun, "node stopping";
    /// The node has no confirmed policy or membership, so it does not serve requests yet.
    NotReady = 46, 503, NotRun, "node not ready";
    /// The attempt was meant for another incarnation (process run) of the back end's node.
    WrongIncarnation = 47, 503, NotRun, "attempt meant for an earlier run";
    /// Another attempt with the same key prevented this one from starting; that other attempt may
    /// have been executed.
    AttemptBarred = 48, 409, Unknown, "attempt barred by another one of its key";
    /// The back end refused the request without executing it.
    BackEndShed = 49, 503, NotRun, "back end shed the request";
    /// The back end could not be reached; no part of the request was sent.
    BackEndUnreachable = 50, 503, NotRun, "back end unreachable";
    /// The caller cancelled while the request was still queued.
    Cancelled = 51, 499, NotRun, "cancelled before it was started";
    /// The configuration is not known to be recent enough to authenticate keys.
    ConfigurationUnproven = 52, 503, NotRun, "configuration not known to be the newest";
    /// The token bucket of the tenant's rate limit has no owner, or its owner did not answer in
    /// time.
    LimitUnknown = 53, 503, NotRun, "tenant's limit cannot be asked for";
    /// The parent request of this call is no longer running on the node.
    ParentEnded = 54, 503, NotRun, "the request that the call is made for has ended";
    /// Several back ends have crashed while they executed requests with this content.
    Quarantined = 55, 503, NotRun, "held back, back ends have ended under it";
    /// The back end states a rate limit in its answers, and has received as many requests as that
    /// allows.
    RateLimitStated = 56, 503, NotRun, "back end at the rate limit that it states";
    /// The node beside the back end knows that the back end has ended, and did not try it.
    BackEndDown = 57, 503, NotRun, "back end down";
    /// The request is a retry, or a call made for one, and the retry budget of the node that received
    /// it does not cover it or the calls that it would make.
    RetryNotCovered = 58, 503, NotRun, "retry not covered by the budget";
    /// The node holds as many bytes for callers, back ends and peers as it may.
    BuffersFull = 59, 503, NotRun, "no room in the buffers of the node";
    /// The request was started, but not answered in time.
    AnswerTimeout = 70, 504, Unknown, "no answer in time";
    /// The connection to the node or back end was lost after the request was sent.
    AnswerLost = 71, 502, Unknown, "answer lost";
    /// Another attempt of the same request is running or may have run.
    InProgress = 72, 409, Unknown, "an attempt with this key is running";
    /// The request with this key was started, but its result is not known: the attempt failed, or
    /// its node has ended or restarted.
    ResultLost = 73, 502, Unknown, "result of this key lost";
    /// No majority of the key's claim replicas granted or settled the claim in time.
    NoQuorum = 74, 503, Unknown, "no majority of claim replicas";
    /// The answer ended before it was complete.
    AnswerBroken = 75, 502, Unknown, "answer broken off";
    /// The request with this key completed, but its answer is no longer stored.
    AnswerForgotten = 76, 409, Unknown, "completed before, answer no longer remembered";
    /// A request with an idempotency key was refused before the key was looked up.
    KeyUnchecked = 77, 503, Unknown, "turned away before the key was looked up";
    /// The back end crashed while it executed the request.
    BackEndCrashed = 78, 502, Unknown, "back end ended";
    /// The policy is invalid.
    PolicyInvalid = 100, 400, NotRun, "policy invalid";
    /// The policy in force is not the expected version.
    VersionConflict = 101, 409, NotRun, "policy version conflict";
    /// The change is stored, but not yet confirmed by every member of the view.
    ChangePending = 102, 202, Unknown, "change pending";
    /// No change with this identifier is known.
    ChangeUnknown = 103, 404, NotRun, "change unknown";
    /// No node or back end with this name is known.
    TargetUnknown = 104, 404, NotRun, "node or back end unknown";
    /// The answer to the write was lost, so its effect is not known yet.
    ChangeUnsettled = 105, 503, Unknown, "effect of the change not yet known";
    /// The platform's store cannot be reached.
    StoreUnavailable = 130, 503, NotRun, "platform store unavailable";
    /// The platform's store sent an unexpected answer.
    StoreProtocol = 131, 502, Unknown, "platform store protocol error";
    /// A peer uses another version of the mesh protocol.
    MeshVersion = 150, 502, NotRun, "mesh protocol version mismatch";
    /// A mesh frame is malformed or too long.
    MeshFrame = 151, 502, NotRun, "mesh frame malformed";
    /// A settings or policy file cannot be read.
    SettingsUnreadable = 170, 500, NotRun, "settings unreadable";
    /// A setting is unknown or out of range.
    SettingsInvalid = 171, 500, NotRun, "settings invalid";
    /// The address of a listener cannot be bound.
    AddressInUse = 172, 500, NotRun, "address cannot be bound";
    /// The command line is malformed.
    Usage = 173, 500, NotRun, "command line malformed";
    /// The operator service cannot be reached.
    OperatorUnreachable = 174, 503, Unknown, "operator service unreachable";
    /// An internal invariant was violated.
    Internal = 199, 500, Unknown, "internal error";
}
