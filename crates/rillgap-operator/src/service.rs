//! gRPC service that forwards the calls of operators to the node.

use std::future::Future;

use rillgap_core::code::ResultCode;
use rillgap_core::id::PolicyVersion;
use rillgap_core::operator::{OperatorReply, OperatorRequest};
use tokio::net::TcpListener;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::transport::Server;
use tonic::{Request, Response, Status};

use crate::convert;
use crate::handle::OperatorHandle;
use crate::schema;
use crate::schema::operator_server::{Operator, OperatorServer};
use crate::status;

/// Maximum number of concurrent calls on one connection.
const MAX_CALLS_PER_CONNECTION: usize = 16;

/// Maximum size of a request, in bytes; fits a policy of about 20,000 back ends.
const MAX_REQUEST_BYTES: usize = 2 * 1024 * 1024;

/// Operator service of one node.
#[derive(Clone, Debug)]
pub struct OperatorService {
    node: OperatorHandle,
}

impl OperatorService {
    /// Creates a service that forwards calls to `node`.
    pub fn new(node: OperatorHandle) -> Self {
        Self { node }
    }

    /// Wraps the service in the generated server, which can be added to a tonic server.
    pub fn into_server(self) -> OperatorServer<Self> {
        OperatorServer::new(self).max_decoding_message_size(MAX_REQUEST_BYTES)
    }

    /// Sends a request to the node; converts [`OperatorReply::Failed`] and a stopped node to a
    /// [`Status`].
    async fn call_node(&self, request: OperatorRequest) -> Result<OperatorReply, Status> {
        let reply = self.node.call(request).await.map_err(|error| {
            status::failure_status(
                ResultCode::NodeStopping,
                PolicyVersion(0),
                &error.to_string(),
            )
        })?;
        match reply {
            OperatorReply::Failed {
                code,
                version,
                detail,
            } => Err(status::failure_status(code, version, &detail)),
            reply => Ok(reply),
        }
    }

    async fn call_node_for_change(
        &self,
        request: OperatorRequest,
    ) -> Result<schema::Change, Status> {
        match self.call_node(request).await? {
            OperatorReply::Change { version, state } => {
                Ok(convert::change_to_schema(version, state))
            }
            reply => Err(unexpected(&reply)),
        }
    }
}

/// Serves calls on `listener` until `stop` completes and the open calls are finished.
pub async fn serve(
    listener: TcpListener,
    node: OperatorHandle,
    stop: impl Future<Output = ()>,
) -> Result<(), tonic::transport::Error> {
    Server::builder()
        .concurrency_limit_per_connection(MAX_CALLS_PER_CONNECTION)
        .add_service(OperatorService::new(node).into_server())
        .serve_with_incoming_shutdown(TcpListenerStream::new(listener), stop)
        .await
}

#[tonic::async_trait]
impl Operator for OperatorService {
    async fn get_policy(
        &self,
        _request: Request<schema::GetPolicyRequest>,
    ) -> Result<Response<schema::GetPolicyResponse>, Status> {
        match self.call_node(OperatorRequest::GetPolicy).await? {
            OperatorReply::Policy(policy) => Ok(Response::new(schema::GetPolicyResponse {
                policy: Some(convert::policy_to_schema(policy)),
            })),
            reply => Err(unexpected(&reply)),
        }
    }

    async fn apply_policy(
        &self,
        request: Request<schema::ApplyPolicyRequest>,
    ) -> Result<Response<schema::ApplyPolicyResponse>, Status> {
        let request = request.into_inner();
        let policy = request.policy.unwrap_or_default();
        let policy = convert::policy_from_schema(policy)
            .map_err(|error| invalid_policy(&error.to_string()))?;
        let change = convert::parse_change_id(&request.change_id)
            .map_err(|error| status::malformed_status(&error))?;
        let expected = request.expected_version.map(PolicyVersion);
        let change = self
            .call_node_for_change(OperatorRequest::ApplyPolicy {
                policy,
                expected,
                change,
            })
            .await?;
        Ok(Response::new(schema::ApplyPolicyResponse {
            change: Some(change),
        }))
    }

    async fn set_back_end_state(
        &self,
        request: Request<schema::SetBackEndStateRequest>,
    ) -> Result<Response<schema::SetBackEndStateResponse>, Status> {
        let request = request.into_inner();
        let state = convert::back_end_state_from_schema("state", request.state)
            .map_err(|error| status::malformed_status(&error))?;
        let change = convert::parse_change_id(&request.change_id)
            .map_err(|error| status::malformed_status(&error))?;
        let change = self
            .call_node_for_change(OperatorRequest::SetBackEndState {
                back_end: rillgap_core::id::BackEndName(request.back_end),
                state,
                change,
            })
            .await?;
        Ok(Response::new(schema::SetBackEndStateResponse {
            change: Some(change),
        }))
    }

    async fn get_change(
        &self,
        request: Request<schema::GetChangeRequest>,
    ) -> Result<Response<schema::GetChangeResponse>, Status> {
        let change = convert::parse_change_id(&request.into_inner().change_id)
            .map_err(|error| status::malformed_status(&error))?;
        let change = self
            .call_node_for_change(OperatorRequest::GetChange { change })
            .await?;
        Ok(Response::new(schema::GetChangeResponse {
            change: Some(change),
        }))
    }

    async fn get_status(
        &self,
        _request: Request<schema::GetStatusRequest>,
    ) -> Result<Response<schema::GetStatusResponse>, Status> {
        match self.call_node(OperatorRequest::GetStatus).await? {
            OperatorReply::Status {
                policy,
                view,
                serving,
                members,
            } => Ok(Response::new(convert::status_to_schema(
                policy, view, serving, members,
            ))),
            reply => Err(unexpected(&reply)),
        }
    }

    async fn stop_node(
        &self,
        _request: Request<schema::StopNodeRequest>,
    ) -> Result<Response<schema::StopNodeResponse>, Status> {
        match self.call_node(OperatorRequest::StopNode).await? {
            OperatorReply::Stopping => Ok(Response::new(schema::StopNodeResponse {})),
            reply => Err(unexpected(&reply)),
        }
    }
}

fn invalid_policy(detail: &str) -> Status {
    status::failure_status(ResultCode::PolicyInvalid, PolicyVersion(0), detail)
}

fn unexpected(reply: &OperatorReply) -> Status {
    log::error!("operator: the node gave an unexpected reply; reply={reply:?}");
    status::failure_status(ResultCode::Internal, PolicyVersion(0), "unexpected reply")
}
