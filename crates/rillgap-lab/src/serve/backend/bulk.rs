//! Long downloads, sent part by part.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, SizeHint};
use tokio::time::{Sleep, sleep};

use super::work::RunningRequest;
use crate::answer::BulkBody;
use crate::serve::http::ResponseBody;

/// How a long download is sent.
#[derive(Clone, Copy, Debug)]
pub(super) struct BulkPace {
    /// Pause before each part.
    pub(super) pause: Duration,
    /// Bytes after which nothing more comes although the connection stays open.
    pub(super) silent_after: Option<u64>,
}

/// Body of a long download, which holds its slot until its end.
struct BulkStream {
    body: BulkBody,
    pace: BulkPace,
    sent: u64,
    pause: Pin<Box<Sleep>>,
    request: Option<RunningRequest>,
}

/// Makes the body of a long download.
pub(super) fn bulk_stream(body: BulkBody, pace: BulkPace, request: RunningRequest) -> ResponseBody {
    BulkStream {
        body,
        pace,
        sent: 0,
        pause: Box::pin(sleep(pace.pause)),
        request: Some(request),
    }
    .boxed()
}

impl BulkStream {
    fn is_silent(&self) -> bool {
        self.pace
            .silent_after
            .is_some_and(|bytes| self.sent >= bytes)
    }

    fn finish(&mut self) {
        if let Some(request) = self.request.take() {
            request.complete();
        }
    }
}

impl Body for BulkStream {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.is_silent() {
            return Poll::Pending;
        }
        if !self.pace.pause.is_zero() {
            ready!(self.pause.as_mut().poll(context));
            self.pause = Box::pin(sleep(self.pace.pause));
        }
        let Some(chunk) = self.body.next() else {
            self.finish();
            return Poll::Ready(None);
        };
        self.sent += chunk.len() as u64;
        if self.body.remaining() == 0 {
            self.finish();
        }
        Poll::Ready(Some(Ok(Frame::data(chunk))))
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.body.remaining())
    }
}
