//! Errors of mesh links.

use std::io;

use rillgap_core::code::ResultCode;
use rillgap_core::id::NodeId;

/// Reason why a link was closed or could not be opened.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// An operation on the connection failed.
    #[error("connection failed: {0}")]
    Io(#[from] io::Error),
    /// The peer closed the connection, or the event ring of this node is closed.
    #[error("connection closed by the peer")]
    Closed,
    /// Connecting, exchanging hellos or writing a frame timed out.
    #[error("peer did not answer in time")]
    Timeout,
    /// The peer uses another version of the mesh protocol.
    #[error("peer uses mesh version {theirs}, this node uses {ours}")]
    Version {
        /// Version of this node.
        ours: u16,
        /// Version of the peer.
        theirs: u16,
    },
    /// The connection does not start with the magic bytes of a hello.
    #[error("not a mesh link")]
    NotMesh,
    /// A frame exceeds the maximum length.
    #[error("frame exceeds {limit} bytes")]
    FrameTooLong {
        /// Maximum length of a frame, in bytes.
        limit: usize,
    },
    /// A frame is empty, of an unknown kind or cannot be decoded.
    #[error("frame cannot be decoded")]
    FrameMalformed,
    /// A node other than the expected peer answered at the address.
    #[error("address belongs to node {found:?}")]
    OtherNode {
        /// Node that answered.
        found: NodeId,
    },
    /// The peer refused the link with the number of a result code.
    #[error("peer refused the link with code {0}")]
    Refused(u8),
}

impl LinkError {
    /// Returns the result code that is logged, and sent to the peer if its link is refused.
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
