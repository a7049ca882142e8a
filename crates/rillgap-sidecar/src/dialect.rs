//! What a platform calls the things that a node says and hears over HTTP.

use rillgap_forward::event::Heartbeat;
use rillgap_forward::incarnation::Incarnation;

/// Names of header fields.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Caller's identifier of a request; back ends give it back.
    pub request_id: &'static str,
    /// Milliseconds for which the sender waits.
    pub deadline_millis: &'static str,
    /// Mark of a genuine answer of a back end.
    pub signature: &'static str,
    /// Incarnation of the back end that is to run the request.
    pub expected_instance: &'static str,
    /// Mark of an answer to a request that was not run.
    pub not_executed: &'static str,
    /// Service beside whose back end the request began.
    pub caller_service: &'static str,
    /// Incarnation of the back end that answers.
    pub instance: &'static str,
    /// What a caller shows to be known by; never passed on where tenants are configured.
    pub credential: &'static str,
    /// Tenant that a request belongs to, as the back end is told.
    pub tenant: &'static str,
}

/// A call of the platform or of the back end to the node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlCall {
    /// Are new callers welcome?
    Readiness,
    /// A heartbeat of a back end.
    Heartbeat(Heartbeat),
    /// A back end leaves.
    Leave {
        /// Incarnation; without its start if the call does not tell it.
        incarnation: Incarnation,
    },
}

/// Why a call to the node is refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ControlError {
    /// No such call.
    #[error("no such call")]
    UnknownCall,
    /// The body is malformed.
    #[error("malformed body: {0}")]
    Malformed(String),
}

/// How a platform speaks.
pub trait Dialect {
    /// Returns the names of header fields.
    fn headers(&self) -> &HeaderNames;

    /// Returns the identifier of the request for which a back end made the one with this
    /// identifier, if identifiers tell. It is a hint: the node believes it only if its back end
    /// works on that request.
    fn parent_id<'a>(&self, request_id: &'a str) -> Option<&'a str>;

    /// Returns the key that the value of a credential field holds, if it has the expected form.
    fn key<'a>(&self, credential: &'a [u8]) -> Option<&'a [u8]>;

    /// Reads a call to the node.
    ///
    /// # Errors
    ///
    /// Fails if there is no such call or its body is malformed.
    fn control_call(
        &self,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> Result<ControlCall, ControlError>;
}
