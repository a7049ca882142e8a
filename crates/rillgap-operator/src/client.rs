//! Typed client of the operator service.

use std::time::Duration;

use rillgap_core::id::{BackEndName, ChangeId, NodeName, PolicyVersion, ViewVersion, ZoneName};
use rillgap_core::operator::{ChangeState, MemberStatus};
use rillgap_core::policy::{BackEndState, Policy};
use tonic::transport::{Channel, Endpoint};
use tonic::{Request, Status};
use uuid::Uuid;

use crate::convert;
use crate::error::{MessageError, OperatorError};
use crate::schema;
use crate::schema::operator_client::OperatorClient as GeneratedClient;
use crate::status;

/// Maximum size of a response, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Stored change of the policy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Policy version that the change created.
    pub version: PolicyVersion,
    /// Whether all nodes of the membership view have confirmed the change.
    pub state: ChangeState,
}

/// Status of the deployment, as reported by one node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DeploymentStatus {
    /// Policy version in force at the node; zero if there is none.
    pub policy: PolicyVersion,
    /// Membership view in force at the node.
    pub view: ViewVersion,
    /// Whether the node serves requests.
    pub serving: bool,
    /// Members of the view.
    pub members: Vec<MemberStatus>,
}

/// Client of the operator service of one node. It does not retry failed calls.
#[derive(Clone, Debug)]
pub struct OperatorClient {
    generated: GeneratedClient<Channel>,
    timeout: Duration,
}

impl OperatorClient {
    /// Creates a client of the node at `address` (`IP:PORT`). The first call opens the connection.
    ///
    /// A call that is not answered within `timeout` fails with [`OperatorError::Unreachable`].
    pub fn new(address: &str, timeout: Duration) -> Result<Self, OperatorError> {
        let endpoint = Endpoint::from_shared(format!("http://{address}"))
            .map_err(|error| unreachable(&error))?
            .connect_timeout(timeout);
        Ok(Self::from_channel(endpoint.connect_lazy(), timeout))
    }

    /// Creates a client that uses an existing channel.
    pub fn from_channel(channel: Channel, timeout: Duration) -> Self {
        let generated = GeneratedClient::new(channel).max_decoding_message_size(MAX_RESPONSE_BYTES);
        Self { generated, timeout }
    }

    /// Returns the policy in force at the node.
    pub async fn get_policy(&mut self) -> Result<Policy, OperatorError> {
        let request = self.request(schema::GetPolicyRequest {});
        let response = self
            .generated
            .get_policy(request)
            .await
            .map_err(error_from_status)?;
        let policy = response
            .into_inner()
            .policy
            .ok_or_else(|| missing_field("policy"))?;
        Ok(convert::policy_from_schema(policy)?)
    }

    /// Replaces the policy if its version is `expected`; with `None`, whatever its version.
    ///
    /// After [`OperatorError::Unreachable`] the call can be retried with the same `change`.
    pub async fn apply_policy(
        &mut self,
        policy: Policy,
        expected: Option<PolicyVersion>,
        change: ChangeId,
    ) -> Result<Change, OperatorError> {
        let request = self.request(schema::ApplyPolicyRequest {
            policy: Some(convert::policy_to_schema(policy)),
            expected_version: expected.map(|version| version.0),
            change_id: format_change_id(change),
        });
        let response = self
            .generated
            .apply_policy(request)
            .await
            .map_err(error_from_status)?;
        Ok(convert::change_from_schema(response.into_inner().change)?)
    }

    /// Sets the state of a back end, to take it out of service or to restore it.
    ///
    /// After [`OperatorError::Unreachable`] the call can be retried with the same `change`.
    pub async fn set_back_end_state(
        &mut self,
        back_end: BackEndName,
        state: BackEndState,
        change: ChangeId,
    ) -> Result<Change, OperatorError> {
        let request = self.request(schema::SetBackEndStateRequest {
            back_end: back_end.0,
            state: convert::back_end_state_to_schema(state).into(),
            change_id: format_change_id(change),
        });
        let response = self
            .generated
            .set_back_end_state(request)
            .await
            .map_err(error_from_status)?;
        Ok(convert::change_from_schema(response.into_inner().change)?)
    }

    /// Returns the version and state of a change.
    pub async fn get_change(&mut self, change: ChangeId) -> Result<Change, OperatorError> {
        let request = self.request(schema::GetChangeRequest {
            change_id: format_change_id(change),
        });
        let response = self
            .generated
            .get_change(request)
            .await
            .map_err(error_from_status)?;
        Ok(convert::change_from_schema(response.into_inner().change)?)
    }

    /// Returns the node's view of the members and of the versions in force.
    pub async fn get_status(&mut self) -> Result<DeploymentStatus, OperatorError> {
        let request = self.request(schema::GetStatusRequest {});
        let response = self
            .generated
            .get_status(request)
            .await
            .map_err(error_from_status)?;
        let status = response.into_inner();
        Ok(DeploymentStatus {
            policy: PolicyVersion(status.policy_version),
            view: ViewVersion(status.view_version),
            serving: status.serving,
            members: status.members.into_iter().map(member_from_schema).collect(),
        })
    }

    /// Starts a planned stop of the node.
    pub async fn stop_node(&mut self) -> Result<(), OperatorError> {
        let request = self.request(schema::StopNodeRequest {});
        self.generated
            .stop_node(request)
            .await
            .map_err(error_from_status)?;
        Ok(())
    }

    fn request<T>(&self, message: T) -> Request<T> {
        let mut request = Request::new(message);
        request.set_timeout(self.timeout);
        request
    }
}

/// Formats a change identifier as a UUID.
pub fn format_change_id(change: ChangeId) -> String {
    Uuid::from_u128(change.0).to_string()
}

/// Parses a change identifier from the text form of a UUID.
pub fn parse_change_id(text: &str) -> Result<ChangeId, MessageError> {
    convert::parse_change_id(text)
}

fn member_from_schema(member: schema::MemberStatus) -> MemberStatus {
    MemberStatus {
        node: NodeName(member.node),
        zone: ZoneName(member.zone),
        reachable: member.reachable,
        policy: PolicyVersion(member.policy_version),
    }
}

fn missing_field(field: &str) -> MessageError {
    MessageError::Missing {
        field: field.to_owned(),
    }
}

fn unreachable(error: &tonic::transport::Error) -> OperatorError {
    OperatorError::Unreachable {
        detail: error.to_string(),
    }
}

fn error_from_status(status: Status) -> OperatorError {
    status::error_from_status(&status)
}
