//! Response bodies: a complete problem details object, or the node's answer as a stream.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use crate::exchange::AnswerPart;
use crate::inbound::Inbound;

/// The answer is incomplete: the connection must end with an error, so that the caller does not
/// take the truncated body for a complete one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("answer broken off")]
pub struct AnswerBroken;

/// Body of a response.
#[derive(Debug)]
pub enum ResponseBody {
    /// A complete body; `None` once it has been sent.
    Whole(Option<Bytes>),
    /// The node's answer, sent on while it is received.
    Streamed(AnswerStream),
}

/// Streams the body of the node's answer and checks it against the announced length.
#[derive(Debug)]
pub struct AnswerStream {
    inbound: Inbound,
    /// Bytes still expected according to the answer's `Content-Length`; `None` without that header.
    remaining: Option<u64>,
}

impl AnswerStream {
    /// Creates the stream of an answer whose head has been received.
    pub fn new(inbound: Inbound, content_length: Option<u64>) -> Self {
        Self {
            inbound,
            remaining: content_length,
        }
    }

    fn poll_chunk(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, AnswerBroken>>> {
        match self.inbound.poll_part(context) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some(AnswerPart::Body(chunk))) => Poll::Ready(Some(self.on_chunk(chunk))),
            Poll::Ready(Some(AnswerPart::End)) => {
                self.inbound.set_ended();
                Poll::Ready(self.check_end())
            }
            Poll::Ready(_) => {
                self.inbound.set_ended();
                Poll::Ready(Some(Err(AnswerBroken)))
            }
        }
    }

    fn on_chunk(&mut self, chunk: Bytes) -> Result<Bytes, AnswerBroken> {
        let length = chunk.len() as u64;
        if let Some(remaining) = &mut self.remaining {
            *remaining = remaining.checked_sub(length).ok_or(AnswerBroken)?;
            if *remaining == 0 {
                // The connection may stop polling once it has received the announced length.
                self.inbound.set_ended();
            }
        }
        self.inbound.consume(chunk.len());
        Ok(chunk)
    }

    /// Fails if the answer ends before its announced length, even if the node reports it complete.
    fn check_end(&self) -> Option<Result<Bytes, AnswerBroken>> {
        match self.remaining {
            None | Some(0) => None,
            Some(_) => Some(Err(AnswerBroken)),
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = AnswerBroken;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerBroken>>> {
        match self.get_mut() {
            Self::Whole(body) => Poll::Ready(body.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Streamed(stream) => stream
                .poll_chunk(context)
                .map(|chunk| chunk.map(|result| result.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(body) => body.is_none(),
            Self::Streamed(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => {
                SizeHint::with_exact(body.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Streamed(stream) => stream
                .remaining
                .map_or_else(SizeHint::default, SizeHint::with_exact),
        }
    }
}
