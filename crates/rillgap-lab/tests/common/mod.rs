//! Stand-ins that serve inside a test, on free ports.
#![allow(dead_code, reason = "each test file uses its own part")]

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use rillgap_lab::serve::backend::{self, BackEnd, BackEndSettings};
use rillgap_lab::serve::bind;
use rillgap_lab::serve::platform::{self, MachineEntry, Platform, PlatformSettings};

/// Any free port of the loopback address.
const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Serves a platform and returns where.
pub async fn serve_platform(
    machine_lag: Duration,
    machines: &[&str],
) -> (SocketAddr, Arc<Platform>) {
    let listener = bind(ANY_PORT).await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let platform = Platform::new(PlatformSettings {
        machine_lag,
        machines: machines.iter().map(|node| machine(node, false)).collect(),
    });
    tokio::spawn(platform::serve(listener, Arc::clone(&platform)));
    (address, platform)
}

/// Makes an entry of the machine list.
pub fn machine(node: &str, leaving: bool) -> MachineEntry {
    MachineEntry {
        node: node.to_owned(),
        leaving,
    }
}

/// Settings of a back end that answers at once.
pub fn back_end_settings() -> BackEndSettings {
    BackEndSettings {
        name: "takst-1".to_owned(),
        service: "takst".to_owned(),
        slots: 2,
        queue: 1,
        service_time: Duration::ZERO,
        node: None,
        source: ANY_PORT.ip(),
        calls: Vec::new(),
        call_attempts: 1,
        cold_start: Duration::ZERO,
        report_lag: Duration::ZERO,
    }
}

/// Serves a back end and returns where.
pub async fn serve_back_end(settings: BackEndSettings) -> (SocketAddr, Arc<BackEnd>) {
    let listener = bind(ANY_PORT).await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let back_end = BackEnd::new(settings);
    tokio::spawn(backend::serve(listener, Arc::clone(&back_end)));
    (address, back_end)
}

/// Sends a GET request with headers and returns the whole answer.
pub async fn get(address: SocketAddr, path: &str, headers: &[(&str, &str)]) -> Response<Bytes> {
    let mut request = Request::get(format!("http://{address}{path}"));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::<Bytes>::default()).expect("a request");
    let client = Client::builder(TokioExecutor::new()).build_http();
    let response = client.request(request).await.expect("an answer");
    let (head, body) = response.into_parts();
    let body = body.collect().await.expect("a whole body").to_bytes();
    Response::from_parts(head, body)
}

/// Waits until a condition holds; the test's own time limit ends a wait in vain.
pub async fn until(condition: impl Fn() -> bool) {
    while !condition() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}
