//! HTTP/1.1 messages on a byte stream: heads, bodies and their framing.
//!
//! This codec is used in place of `hyper` where `hyper` does not suffice. `hyper` serves the
//! requests of one connection one after the other, but pipelined requests of callers have to run
//! concurrently. On connections to back ends each byte has to be checked, to detect second answers
//! and answers without a length. Heads are parsed by `httparse`.

mod body;
mod error;
mod head;
mod request;
mod response;
mod scan;

pub use body::{BodyDecoder, BodyProgress, Framing};
pub use error::MessageError;
pub use head::{Connection, FieldBlock, HeadLimits};
pub use request::{RequestHead, decode_request};
pub use response::{ResponseHead, decode_response, encode_status_line};
pub use scan::HeadScan;
