//! Conversions of policy changes and of the deployment status.

use rillgap_core::id::{ChangeId, NodeName, PolicyVersion, ViewVersion};
use rillgap_core::operator::{ChangeState, MemberStatus};
use uuid::Uuid;

use crate::client::Change;
use crate::error::MessageError;
use crate::schema;

/// Parses the identifier of a change from the text form of a UUID.
pub fn parse_change_id(text: &str) -> Result<ChangeId, MessageError> {
    Uuid::parse_str(text)
        .map(|id| ChangeId(id.as_u128()))
        .map_err(|_| MessageError::ChangeId {
            value: text.to_owned(),
        })
}

/// Converts the version and state of a change to its schema message.
pub fn change_to_schema(version: PolicyVersion, state: ChangeState) -> schema::Change {
    let (state, missing, nodes) = match state {
        ChangeState::Accepted => (schema::ChangeState::Accepted, 0, Vec::new()),
        ChangeState::Pending { missing, nodes } => (schema::ChangeState::Pending, missing, nodes),
    };
    schema::Change {
        version: version.0,
        state: state.into(),
        missing,
        missing_nodes: nodes.into_iter().map(|node| node.0).collect(),
    }
}

/// Converts a change from its schema message.
pub fn change_from_schema(change: Option<schema::Change>) -> Result<Change, MessageError> {
    let change = change.ok_or_else(|| MessageError::Missing {
        field: "change".to_owned(),
    })?;
    let state = match change.state() {
        schema::ChangeState::Accepted => ChangeState::Accepted,
        schema::ChangeState::Pending => ChangeState::Pending {
            missing: change.missing,
            nodes: change.missing_nodes.into_iter().map(NodeName).collect(),
        },
        schema::ChangeState::Unspecified => {
            return Err(MessageError::UnknownValue {
                field: "change.state".to_owned(),
                value: change.state,
            });
        }
    };
    Ok(Change {
        version: PolicyVersion(change.version),
        state,
    })
}

/// Converts the status of the deployment to its schema message.
pub fn status_to_schema(
    policy: PolicyVersion,
    view: ViewVersion,
    serving: bool,
    members: Vec<MemberStatus>,
) -> schema::GetStatusResponse {
    schema::GetStatusResponse {
        policy_version: policy.0,
        view_version: view.0,
        serving,
        members: members.into_iter().map(member_to_schema).collect(),
    }
}

fn member_to_schema(member: MemberStatus) -> schema::MemberStatus {
    schema::MemberStatus {
        node: member.node.0,
        zone: member.zone.0,
        reachable: member.reachable,
        policy_version: member.policy.0,
    }
}
