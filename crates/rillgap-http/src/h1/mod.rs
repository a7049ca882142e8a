//! HTTP/1.1 messages on a byte stream: heads, bodies and their framing.
//!
//! `hyper` serves the requests of one connection one after the other. Callers that pipeline need
//! theirs to run side by side, and a back end's connection must be judged byte by byte (second
//! answers, answers without a length), so these connections are driven by this codec. Heads are
//! parsed by `httparse`.

mod body;
mod error;
mod head;
mod request;
mod response;

pub use body::{BodyDecoder, BodyProgress, Framing};
pub use error::MessageError;
pub use head::{Connection, FieldBlock, HeadLimits};
pub use request::{RequestHead, decode_request};
pub use response::{ResponseHead, decode_response, encode_status_line};
