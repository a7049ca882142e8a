//! One call of a caller, from its start to its whole answer.
#![allow(
    clippy::disallowed_methods,
    reason = "latency is measured in real time"
)]

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use rillgap_http::names;
use uuid::Uuid;

use super::check::{ReceivedBody, check_own_and_whole, parse_refusal};
use super::pacer::PlannedCall;
use super::request::RequestShape;
use crate::answer::CALLER_ID_HEADER;

/// How a call ended, as its caller sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallResult {
    /// A whole answer of its own.
    Whole,
    /// A refusal with a numbered code.
    Refused {
        /// Number of the code.
        code: u8,
        /// Whether the answer states that the request was not run.
        not_run: bool,
        /// Time after which the caller may come back.
        retry_after: Duration,
    },
    /// An answer with an error status and without a numbered code.
    ErrorStatus {
        /// The status.
        status: u16,
    },
    /// An answer of another caller, or one with a wrong digest or length.
    Wrong {
        /// What is wrong.
        detail: String,
    },
    /// The connection was lost before the answer was whole.
    Cut {
        /// What the HTTP library reported.
        detail: String,
    },
    /// No connection could be made, so nothing was sent.
    NotConnected,
    /// No whole answer came within the caller's time.
    TimedOut,
}

impl CallResult {
    /// Returns whether the call may be repeated: it was not run, or its key keeps a repeat from
    /// running it twice.
    const fn may_be_repeated(&self, keyed: bool) -> bool {
        match self {
            Self::NotConnected => true,
            Self::Refused { not_run, .. } => *not_run || keyed,
            _ => false,
        }
    }

    /// Returns how long to wait before a repeat; another listener may be asked at once.
    fn pause(&self, attempts: u32) -> Duration {
        match self {
            Self::Refused { retry_after, .. } if attempts > 1 => *retry_after,
            _ => Duration::ZERO,
        }
    }
}

/// What became of one call.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// How the last attempt ended.
    pub result: CallResult,
    /// Time from the start of the first attempt to the end.
    pub latency: Duration,
    /// Time by which the call began later than planned.
    pub late: Duration,
    /// Attempts that were made.
    pub attempts: u32,
    /// Codes of the refusals after which the call was repeated.
    pub repeated_codes: Vec<u8>,
}

/// Sends calls to listeners in turn.
pub struct Caller {
    targets: Vec<SocketAddr>,
    timeout: Duration,
    attempts: u32,
    run: Uuid,
    http: Client<HttpConnector, Full<Bytes>>,
}

impl Caller {
    /// Creates a caller that makes up to `attempts` for a call that may be repeated.
    pub fn new(targets: Vec<SocketAddr>, timeout: Duration, attempts: u32) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Self {
            targets,
            timeout,
            attempts: attempts.max(1),
            run: Uuid::new_v4(),
            http: Client::builder(TokioExecutor::new()).build(connector),
        }
    }

    /// Makes a planned call.
    pub async fn call(&self, planned: PlannedCall, shape: &RequestShape) -> CallRecord {
        let start = Instant::now();
        let key = shape.keyed.then(Uuid::now_v7);
        let mut attempts = 0;
        let mut repeated_codes = Vec::new();
        let result = loop {
            let position = planned.number.wrapping_add(u64::from(attempts));
            let target = self.targets[position as usize % self.targets.len()];
            attempts += 1;
            let result = self.attempt(target, planned.number, shape, key).await;
            if !result.may_be_repeated(shape.keyed) || attempts >= self.attempts {
                break result;
            }
            if let CallResult::Refused { code, .. } = result {
                repeated_codes.push(code);
            }
            tokio::time::sleep(result.pause(attempts)).await;
        };
        CallRecord {
            result,
            latency: start.elapsed(),
            late: start.saturating_duration_since(planned.due),
            attempts,
            repeated_codes,
        }
    }

    async fn attempt(
        &self,
        target: SocketAddr,
        number: u64,
        shape: &RequestShape,
        key: Option<Uuid>,
    ) -> CallResult {
        let caller = format!("{}-{number}", self.run.simple());
        let mut request = Request::builder()
            .method(shape.method.clone())
            .uri(format!("http://{target}{}", shape.path))
            .header(CALLER_ID_HEADER, &caller)
            .header(names::TIMEOUT, format!("{}m", self.timeout.as_millis()));
        if let Some(key) = key {
            request = request.header(names::IDEMPOTENCY_KEY, key.to_string());
        }
        let body = if shape.keyed {
            Bytes::from(format!("{{\"caller\":\"{caller}\"}}"))
        } else {
            Bytes::new()
        };
        let Ok(request) = request.body(Full::new(body)) else {
            return CallResult::Wrong {
                detail: "request cannot be formed".to_owned(),
            };
        };
        tokio::time::timeout(self.timeout, self.exchange(request, &caller))
            .await
            .unwrap_or(CallResult::TimedOut)
    }

    async fn exchange(&self, request: Request<Full<Bytes>>, caller: &str) -> CallResult {
        let response = match self.http.request(request).await {
            Ok(response) => response,
            Err(error) if error.is_connect() => return CallResult::NotConnected,
            Err(error) => {
                return CallResult::Cut {
                    detail: format!("before the answer: {error:?}"),
                };
            }
        };
        let (head, body) = response.into_parts();
        match receive(body).await {
            Ok(received) => judge(head.status, &head.headers, &received, caller),
            Err(error) => CallResult::Cut {
                detail: format!("in the answer: {error:?}"),
            },
        }
    }
}

async fn receive(mut body: Incoming) -> Result<ReceivedBody, hyper::Error> {
    let mut received = ReceivedBody::default();
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            received.push(&data);
        }
    }
    Ok(received)
}

fn judge(
    status: StatusCode,
    headers: &HeaderMap,
    received: &ReceivedBody,
    caller: &str,
) -> CallResult {
    if let Some(refusal) = parse_refusal(headers, received) {
        return CallResult::Refused {
            code: refusal.code,
            not_run: refusal.not_run(),
            retry_after: refusal.retry_after(),
        };
    }
    if let Err(detail) = check_own_and_whole(headers, received, caller) {
        return CallResult::Wrong { detail };
    }
    if status.is_success() {
        CallResult::Whole
    } else {
        CallResult::ErrorStatus {
            status: status.as_u16(),
        }
    }
}
