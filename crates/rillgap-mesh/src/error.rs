//! Errors of links.

use std::io;

use rillgap_core::code::ResultCode;
use rillgap_core::id::NodeId;

/// Why a link was closed or never opened.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// The connection failed.
    #[error("connection failed: {0}")]
    Io(#[from] io::Error),
    /// The other side closed the connection.
    #[error("connection closed by the peer")]
    Closed,
    /// The peer did not answer in time.
    #[error("peer did not answer in time")]
    Timeout,
    /// The peer speaks another version of the protocol.
    #[error("peer speaks mesh version {theirs}, this node {ours}")]
    Version {
        /// Version of this node.
        ours: u16,
        /// Version of the peer.
        theirs: u16,
    },
    /// The first bytes are not those of a mesh link.
    #[error("not a mesh link")]
    NotMesh,
    /// A frame is longer than the limit.
    #[error("frame of more than {limit} bytes")]
    FrameTooLong {
        /// Longest frame allowed, in bytes.
        limit: usize,
    },
    /// A frame cannot be decoded.
    #[error("frame cannot be decoded")]
    FrameMalformed,
    /// Another node answers at the peer's address.
    #[error("address belongs to node {found:?}")]
    OtherNode {
        /// Node that answered.
        found: NodeId,
    },
    /// The peer refused the link.
    #[error("peer refused the link with code {0}")]
    Refused(u8),
}

impl LinkError {
    /// Returns the numbered result code under which the error is logged.
    pub const fn code(&self) -> ResultCode {
        match self {
            Self::Version { .. } => ResultCode::MeshVersion,
            Self::NotMesh | Self::FrameTooLong { .. } | Self::FrameMalformed => {
                ResultCode::MeshFrame
            }
            Self::Refused(number) if *number == ResultCode::MeshVersion.number() => {
                ResultCode::MeshVersion
            }
            _ => ResultCode::AnswerLost,
        }
    }
}
