//! Planted fault: a proxy in front of a node's links that reports some of the requests it forwards
//! as not started. The soak must find that they run although they were refused, or run twice.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Buf, BytesMut};
use rillgap_core::code::ResultCode;
use rillgap_forward::id::Sequence;
use rillgap_forward::message::{
    ForwardResponse, ForwardResult, LinkMessage, Load, NotRunProof, Timing,
};
use rillgap_sidecar::link::{Frame, FrameDecoder, FrameEncoder};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

/// One of this many requests is reported falsely.
const FALSE_CLAIM_INTERVAL: u64 = 20;
/// Time after which a request is reported as not started.
const CLAIM_DELAY: Duration = Duration::from_millis(2);
/// Length of the field with the length of a frame, in bytes.
const LENGTH_BYTES: usize = 4;

/// Starts the proxy, which listens on `listen` and forwards to `server`.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn start(listen: SocketAddr, server: SocketAddr) -> io::Result<()> {
    let listener = TcpListener::bind(listen).await?;
    tokio::spawn(async move {
        loop {
            if let Ok((client, _)) = listener.accept().await {
                tokio::spawn(relay(client, server));
            }
        }
    });
    Ok(())
}

async fn relay(client: TcpStream, server: SocketAddr) {
    let Ok(upstream) = TcpStream::connect(server).await else {
        return;
    };
    let _ = (client.set_nodelay(true), upstream.set_nodelay(true));
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = upstream.into_split();
    let (claims, claimed) = mpsc::unbounded_channel();
    tokio::select! {
        _ = pass_requests(client_read, server_write, claims) => {}
        _ = pass_responses(server_read, client_write, claimed) => {}
    }
}

/// Forwards frames and picks the requests that are reported falsely.
async fn pass_requests(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    claims: mpsc::UnboundedSender<Sequence>,
) -> io::Result<()> {
    let mut decoder = FrameDecoder::default();
    let mut input = BytesMut::new();
    let mut requests = 0;
    loop {
        let frame = read_frame(&mut from, &mut input).await?;
        to.write_all(&frame).await?;
        let decoded = decoder.decode(&mut frame.clone());
        let Ok(Some(Frame::Message(LinkMessage::Request { sequence, .. }))) = decoded else {
            continue;
        };
        requests += 1;
        if requests % FALSE_CLAIM_INTERVAL == 0 {
            let claims = claims.clone();
            tokio::spawn(async move {
                tokio::time::sleep(CLAIM_DELAY).await;
                // The channel is closed if the link has ended.
                let _ = claims.send(sequence);
            });
        }
    }
}

/// Forwards frames, with the false reports between them.
async fn pass_responses(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut claimed: mpsc::UnboundedReceiver<Sequence>,
) -> io::Result<()> {
    let mut encoder = FrameEncoder::default();
    let mut input = BytesMut::new();
    loop {
        tokio::select! {
            frame = read_frame(&mut from, &mut input) => to.write_all(&frame?).await?,
            Some(sequence) = claimed.recv() => {
                let mut frame = BytesMut::new();
                let is_encoded = encoder.encode(&not_started(sequence), &mut frame).is_ok();
                if is_encoded {
                    to.write_all(&frame).await?;
                }
            }
        }
    }
}

/// Reads a frame with its length. No bytes are lost if the future is dropped before it is ready.
async fn read_frame(from: &mut OwnedReadHalf, input: &mut BytesMut) -> io::Result<BytesMut> {
    loop {
        if input.len() >= LENGTH_BYTES {
            let length = (&input[..LENGTH_BYTES]).get_u32() as usize;
            if input.len() >= LENGTH_BYTES + length {
                return Ok(input.split_to(LENGTH_BYTES + length));
            }
        }
        if from.read_buf(input).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
}

fn not_started(sequence: Sequence) -> LinkMessage {
    LinkMessage::Response(ForwardResponse {
        sequence,
        load: Load::default(),
        downstream_levels: Vec::new(),
        has_failed_call: false,
        timing: Timing::default(),
        result: ForwardResult::NotRun {
            code: ResultCode::QueueFull,
            proof: NotRunProof::NotStarted,
            retry_after_millis: 100,
        },
    })
}
