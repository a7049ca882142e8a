//! Conversion between result codes and the details of a gRPC status.

use rillgap_core::code::ResultCode;
use rillgap_core::id::PolicyVersion;
use tonic::{Code, Status};
use tonic_types::{ErrorDetails, StatusExt};

use crate::error::{MessageError, OperatorError};

/// Domain of the error info in the status details; other domains are ignored.
const DOMAIN: &str = "rillgap";
const CODE_KEY: &str = "code";
const VERSION_KEY: &str = "policy_version";

/// Returns the gRPC status of a failure, with its result code and the policy version as details.
pub fn failure_status(code: ResultCode, version: PolicyVersion, detail: &str) -> Status {
    let metadata = [
        (CODE_KEY.to_owned(), code.number().to_string()),
        (VERSION_KEY.to_owned(), version.0.to_string()),
    ];
    let details = ErrorDetails::with_error_info(format!("{code:?}"), DOMAIN, metadata);
    Status::with_error_details(rpc_code(code), detail, details)
}

/// Returns the gRPC status of a malformed message.
pub fn malformed_status(error: &MessageError) -> Status {
    let detail = error.to_string();
    failure_status(ResultCode::MalformedRequest, PolicyVersion(0), &detail)
}

/// Converts a status to an error.
///
/// A status without the details of [`failure_status`] was created by the transport and is
/// converted to [`OperatorError::Unreachable`].
pub fn error_from_status(status: &Status) -> OperatorError {
    parse_failure(status).unwrap_or_else(|| OperatorError::Unreachable {
        detail: status.message().to_owned(),
    })
}

fn parse_failure(status: &Status) -> Option<OperatorError> {
    let info = status.get_details_error_info()?;
    if info.domain != DOMAIN {
        return None;
    }
    let number: u8 = info.metadata.get(CODE_KEY)?.parse().ok()?;
    let version = info.metadata.get(VERSION_KEY)?.parse().ok()?;
    Some(OperatorError::Failed {
        code: result_code(number)?,
        version: PolicyVersion(version),
        detail: status.message().to_owned(),
    })
}

fn result_code(number: u8) -> Option<ResultCode> {
    ResultCode::ALL
        .iter()
        .copied()
        .find(|code| code.number() == number)
}

fn rpc_code(code: ResultCode) -> Code {
    match code {
        ResultCode::MalformedRequest | ResultCode::PolicyInvalid => Code::InvalidArgument,
        ResultCode::VersionConflict => Code::Aborted,
        ResultCode::ChangeUnknown | ResultCode::TargetUnknown => Code::NotFound,
        ResultCode::ChangeUnsettled => Code::Unknown,
        ResultCode::NotReady | ResultCode::StoreUnavailable | ResultCode::NodeStopping => {
            Code::Unavailable
        }
        _ => Code::Internal,
    }
}
