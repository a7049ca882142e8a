//! Endpoints by which demo and tests look at the back end and change it.

use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::Deserialize;

use super::BackEnd;
use crate::serve::http::{ResponseBody, empty_response, json_response, read_body, read_json};

/// A change of faults; what it leaves out stays as it is.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultChange {
    /// Factor on the service time.
    pub slowdown: Option<f64>,
    /// Bytes after which a long download goes silent.
    pub silent_after_bytes: Option<u64>,
}

impl BackEnd {
    /// Changes the faults that the back end shows.
    pub fn set_faults(&self, change: &FaultChange) {
        let mut faults = self.faults();
        if let Some(slowdown) = change.slowdown {
            faults.slowdown = slowdown;
        }
        if change.silent_after_bytes.is_some() {
            faults.silent_after_bytes = change.silent_after_bytes;
        }
    }

    /// Answers a request to `/admin/NAME`.
    pub(super) async fn administer(
        &self,
        name: &str,
        request: Request<Incoming>,
    ) -> Response<ResponseBody> {
        match (request.method().clone(), name) {
            (Method::GET, "counters") => json_response(StatusCode::OK, &self.counters()),
            (Method::GET, "executions") => json_response(StatusCode::OK, &self.executions()),
            (Method::PUT, "state") => self.change_state(request.into_body()).await,
            (Method::PUT, "faults") => self.change_faults(request.into_body()).await,
            _ => empty_response(StatusCode::NOT_FOUND),
        }
    }

    async fn change_state(&self, body: Incoming) -> Response<ResponseBody> {
        let state = read_body(body).await.unwrap_or_default();
        match state.as_ref() {
            b"leaving" => self.set_leaving(true),
            b"serving" => self.set_leaving(false),
            _ => return empty_response(StatusCode::BAD_REQUEST),
        }
        empty_response(StatusCode::NO_CONTENT)
    }

    async fn change_faults(&self, body: Incoming) -> Response<ResponseBody> {
        match read_json::<FaultChange>(body).await {
            Some(change) => {
                self.set_faults(&change);
                empty_response(StatusCode::NO_CONTENT)
            }
            None => empty_response(StatusCode::BAD_REQUEST),
        }
    }
}
