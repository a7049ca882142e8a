//! Probes the back end's health endpoint.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use rillgap_forward::event::ProbeResult;
use rillgap_http::h1::{HeadLimits, decode_response};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::dialect::HeaderNames;

/// Timeout of a probe, from opening the connection to the end of the answer's head.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum length of an answer's head, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Status of a back end that is healthy and not leaving.
const HEALTHY_STATUS: u16 = 200;

/// Sends one probe and returns its result.
pub(super) async fn send(names: &HeaderNames, address: SocketAddr, path: &str) -> ProbeResult {
    match timeout(PROBE_TIMEOUT, exchange(names, address, path)).await {
        Ok(Ok(result)) => result,
        Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => ProbeResult::Refused,
        Ok(Err(_)) | Err(_) => ProbeResult::Unreachable,
    }
}

async fn exchange(names: &HeaderNames, address: SocketAddr, path: &str) -> io::Result<ProbeResult> {
    let mut stream = TcpStream::connect(address).await?;
    let request = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await?;
    let mut input = BytesMut::new();
    loop {
        let mut instance = String::new();
        let limits = HeadLimits {
            max_bytes: MAX_HEAD_BYTES,
        };
        let head = decode_response(&mut input, limits, false, |name, value| {
            if name.eq_ignore_ascii_case(names.instance) {
                instance = String::from_utf8_lossy(value).trim().to_owned();
            }
            false
        });
        match head {
            Ok(Some(head)) if head.status == HEALTHY_STATUS && !instance.is_empty() => {
                return Ok(ProbeResult::Healthy { instance });
            }
            Ok(Some(_)) => return Ok(ProbeResult::Unhealthy),
            Ok(None) => {}
            Err(_) => return Ok(ProbeResult::Unhealthy),
        }
        if stream.read_buf(&mut input).await? == 0 {
            return Ok(ProbeResult::Unreachable);
        }
    }
}
