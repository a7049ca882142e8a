//! Names and formats that a platform uses for HTTP messages to and from a node.

use rillgap_forward::back_end_notice::LoadNotice;
use rillgap_forward::event::Heartbeat;
use rillgap_forward::incarnation::Incarnation;

/// Names of header fields.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Identifier that the caller gives a request; back ends repeat it in the answer.
    pub request_id: &'static str,
    /// Time for which the sender waits for the answer, in milliseconds.
    pub deadline_millis: &'static str,
    /// Marks a genuine answer of a back end.
    pub signature: &'static str,
    /// Incarnation of the back end that is to run the request.
    pub expected_instance: &'static str,
    /// Marks an answer to a request that was not run.
    pub not_executed: &'static str,
    /// Service of the entry node, which received the request from the caller.
    pub caller_service: &'static str,
    /// Incarnation of the back end that answers.
    pub instance: &'static str,
    /// Requests per second that the answering back end accepts from all nodes together.
    pub rate_limit: &'static str,
    /// Load that the answering back end states of itself.
    pub load: &'static str,
    /// Marks an answer of a back end that is leaving service.
    pub leaving: &'static str,
    /// Credential of the caller; never passed on if tenants are configured.
    pub credential: &'static str,
    /// Tenant of the request; set by nodes for the back end.
    pub tenant: &'static str,
}

/// A call of the platform or of the back end to the node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlCall {
    /// Asks whether the node accepts new callers.
    Readiness,
    /// A heartbeat of a back end.
    Heartbeat(Heartbeat),
    /// Announces that a back end leaves service.
    Leave {
        /// Incarnation of the back end; without its start time if the call does not contain it.
        incarnation: Incarnation,
    },
}

/// Why a call to the node is refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ControlError {
    /// The node has no such call.
    #[error("no such call")]
    UnknownCall,
    /// The body is malformed.
    #[error("malformed body: {0}")]
    Malformed(String),
}

/// Names and formats that a platform uses over HTTP.
pub trait Dialect {
    /// Returns the names of header fields.
    fn headers(&self) -> &HeaderNames;

    /// Returns the identifier of the parent of a call: the request on which a back end worked when
    /// it made the call. `None` if `request_id` does not contain it. It is a hint, which the node
    /// uses only if its back end is working on that request.
    fn parent_id<'a>(&self, request_id: &'a str) -> Option<&'a str>;

    /// Returns the key that the value of a credential field holds, if it has the expected form.
    fn key<'a>(&self, credential: &'a [u8]) -> Option<&'a [u8]>;

    /// Reads the value of a field that states the load of a back end; never returns
    /// [`LoadNotice::Absent`].
    fn load_notice(&self, value: &[u8]) -> LoadNotice;

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
