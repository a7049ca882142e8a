//! Probes the back end's health endpoint.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use rillgap_forward::back_end_notice::LoadNotice;
use rillgap_forward::event::ProbeResult;
use rillgap_http::h1::{HeadLimits, HeadScan, decode_response};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::dialect::Dialect;

/// Timeout of a probe, from opening the connection to the end of the answer's head.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum length of an answer's head, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Status of a back end that is healthy and not leaving.
const HEALTHY_STATUS: u16 = 200;

/// Result of a probe, with the load that the answer states.
pub(super) struct ProbeAnswer {
    pub result: ProbeResult,
    pub load: LoadNotice,
}

impl ProbeAnswer {
    const fn without_load(result: ProbeResult) -> Self {
        Self {
            result,
            load: LoadNotice::Absent,
        }
    }
}

/// Sends one probe and returns its answer.
pub(super) async fn send(dialect: &dyn Dialect, address: SocketAddr, path: &str) -> ProbeAnswer {
    match timeout(PROBE_TIMEOUT, exchange(dialect, address, path)).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
            ProbeAnswer::without_load(ProbeResult::Refused)
        }
        Ok(Err(_)) | Err(_) => ProbeAnswer::without_load(ProbeResult::Unreachable),
    }
}

async fn exchange(
    dialect: &dyn Dialect,
    address: SocketAddr,
    path: &str,
) -> io::Result<ProbeAnswer> {
    let names = dialect.headers();
    let mut stream = TcpStream::connect(address).await?;
    let request = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await?;
    let mut input = BytesMut::new();
    let mut scan = HeadScan::default();
    loop {
        if stream.read_buf(&mut input).await? == 0 {
            return Ok(ProbeAnswer::without_load(ProbeResult::Unreachable));
        }
        if input.len() <= MAX_HEAD_BYTES && !scan.is_due(&input) {
            continue;
        }
        let mut instance = String::new();
        let mut load = LoadNotice::Absent;
        let limits = HeadLimits {
            max_bytes: MAX_HEAD_BYTES,
        };
        let head = decode_response(&mut input, limits, false, |name, value| {
            if name.eq_ignore_ascii_case(names.instance) {
                instance = String::from_utf8_lossy(value).trim().to_owned();
            } else if name.eq_ignore_ascii_case(names.load) {
                load = load.and(dialect.load_notice(value));
            }
            false
        });
        match head {
            Ok(Some(head)) if head.status == HEALTHY_STATUS && !instance.is_empty() => {
                let result = ProbeResult::Healthy { instance };
                return Ok(ProbeAnswer { result, load });
            }
            Ok(Some(_)) => return Ok(ProbeAnswer::without_load(ProbeResult::Unhealthy)),
            Ok(None) => {}
            Err(_) => return Ok(ProbeAnswer::without_load(ProbeResult::Unhealthy)),
        }
    }
}
