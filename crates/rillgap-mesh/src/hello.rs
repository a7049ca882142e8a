//! Handshake of a link: each side sends a hello with its protocol version, node and incarnation.
//!
//! The layout is fixed and independent of the frame codec, so that every version can read the
//! hello of every other version: 8 bytes magic, then, all big-endian, version (2 bytes), result
//! code (1 byte), node (8 bytes) and incarnation (8 bytes).

use rillgap_core::code::ResultCode;
use rillgap_core::id::{Incarnation, NodeId};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

use crate::error::LinkError;

/// Version of the mesh protocol; links from and to nodes of other versions are refused.
pub const MESH_VERSION: u16 = 3;

/// First bytes of every hello.
const MAGIC: [u8; 8] = *b"rillgap\n";

/// Length of an encoded hello in bytes.
pub const HELLO_LENGTH: usize = 27;

const VERSION_OFFSET: usize = 8;
const CODE_OFFSET: usize = 10;
const NODE_OFFSET: usize = 11;
const INCARNATION_OFFSET: usize = 19;

/// First message that each side of a link sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hello {
    /// Protocol version of the sender.
    pub version: u16,
    /// Number of a result code: zero if the link is accepted, otherwise the reason of the refusal.
    pub code: u8,
    /// Node that sends the hello.
    pub node: NodeId,
    /// Incarnation (process lifetime) of the sender.
    pub incarnation: Incarnation,
}

impl Hello {
    /// Creates a hello with this node's protocol version and no refusal.
    pub const fn new(node: NodeId, incarnation: Incarnation) -> Self {
        Self {
            version: MESH_VERSION,
            code: ResultCode::Ok.number(),
            node,
            incarnation,
        }
    }

    /// Returns a copy of this hello that refuses the link with `code`.
    pub const fn refusing(self, code: ResultCode) -> Self {
        Self {
            code: code.number(),
            ..self
        }
    }

    /// Encodes the hello in the layout of the module documentation.
    pub fn encode(&self) -> [u8; HELLO_LENGTH] {
        let mut bytes = [0; HELLO_LENGTH];
        bytes[..VERSION_OFFSET].copy_from_slice(&MAGIC);
        bytes[VERSION_OFFSET..CODE_OFFSET].copy_from_slice(&self.version.to_be_bytes());
        bytes[CODE_OFFSET] = self.code;
        bytes[NODE_OFFSET..INCARNATION_OFFSET].copy_from_slice(&self.node.0.to_be_bytes());
        bytes[INCARNATION_OFFSET..].copy_from_slice(&self.incarnation.0.to_be_bytes());
        bytes
    }

    /// Decodes a hello from the layout of the module documentation.
    ///
    /// # Errors
    ///
    /// Returns [`LinkError::NotMesh`] if the magic bytes differ, and [`LinkError::Version`] if the
    /// sender uses another protocol version.
    pub fn decode(bytes: &[u8; HELLO_LENGTH]) -> Result<Self, LinkError> {
        if bytes[..VERSION_OFFSET] != MAGIC {
            return Err(LinkError::NotMesh);
        }
        let version = u16::from_be_bytes([bytes[VERSION_OFFSET], bytes[VERSION_OFFSET + 1]]);
        if version != MESH_VERSION {
            return Err(LinkError::Version {
                ours: MESH_VERSION,
                theirs: version,
            });
        }
        Ok(Self {
            version,
            code: bytes[CODE_OFFSET],
            node: NodeId(read_u64(bytes, NODE_OFFSET)),
            incarnation: Incarnation(read_u64(bytes, INCARNATION_OFFSET)),
        })
    }
}

fn read_u64(bytes: &[u8; HELLO_LENGTH], offset: usize) -> u64 {
    let mut value = [0; 8];
    value.copy_from_slice(&bytes[offset..offset + 8]);
    u64::from_be_bytes(value)
}

/// Exchanges hellos as the connecting side and returns the peer's hello.
///
/// # Errors
///
/// Fails if the connection fails, the reply is not a hello of this version or the peer refuses
/// the link.
pub async fn connect<S>(stream: &mut S, own: Hello) -> Result<Hello, LinkError>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    stream.write_all(&own.encode()).await?;
    let reply = read_hello(stream).await?;
    if reply.code != ResultCode::Ok.number() {
        return Err(LinkError::Refused(reply.code));
    }
    Ok(reply)
}

/// Exchanges hellos as the accepting side and returns the peer's hello.
///
/// # Errors
///
/// Fails if writing fails, if reading fails or if the first bytes are not a hello of this version.
/// In the last two cases, a refusing hello is sent to the peer before the connection is closed.
pub async fn accept<S>(stream: &mut S, own: Hello) -> Result<Hello, LinkError>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    match read_hello(stream).await {
        Ok(hello) => {
            stream.write_all(&own.encode()).await?;
            Ok(hello)
        }
        Err(error) => {
            let refusal = own.refusing(error.code());
            // Best effort: the connection is closed even if the refusal cannot be sent.
            let _ = stream.write_all(&refusal.encode()).await;
            let _ = stream.shutdown().await;
            Err(error)
        }
    }
}

async fn read_hello<S>(stream: &mut S) -> Result<Hello, LinkError>
where
    S: AsyncRead + Unpin,
{
    let mut bytes = [0; HELLO_LENGTH];
    // Check the magic first, so that a peer that sends fewer bytes than a hello is refused without
    // waiting for the rest.
    stream.read_exact(&mut bytes[..VERSION_OFFSET]).await?;
    if bytes[..VERSION_OFFSET] != MAGIC {
        return Err(LinkError::NotMesh);
    }
    stream.read_exact(&mut bytes[VERSION_OFFSET..]).await?;
    Hello::decode(&bytes)
}
