//! Decodes response heads and encodes status lines.

use bytes::{Buf, BytesMut};

use super::body::Framing;
use super::error::MessageError;
use super::head::{Connection, ControlFields, FieldBlock, HeadLimits, MAX_FIELDS};

/// Lowest status of a final response; after a lower one another response to the same request
/// follows.
const FIRST_FINAL_STATUS: u16 = 200;

/// A response's head, with the fields that may be passed on.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// Status code.
    pub status: u16,
    /// Whether the connection stays open after the message.
    pub connection: Connection,
    /// How the end of the body is determined.
    pub framing: Framing,
    /// End-to-end fields, without those for which the caller's filter returned `false`.
    pub fields: FieldBlock,
}

impl ResponseHead {
    /// Returns whether another response to the same request follows.
    pub const fn is_interim(&self) -> bool {
        self.status < FIRST_FINAL_STATUS
    }
}

/// Decodes a response head and removes it from `buffer`; `None` if it has not arrived completely.
///
/// `keep` is called with each field and returns whether it is passed on if it is an end-to-end
/// field; it may also record the value.
///
/// # Errors
///
/// Fails if the bytes are not a response head or exceed the limits.
pub fn decode_response(
    buffer: &mut BytesMut,
    limits: HeadLimits,
    is_answer_to_head: bool,
    mut keep: impl FnMut(&str, &[u8]) -> bool,
) -> Result<Option<ResponseHead>, MessageError> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut response = httparse::Response::new(&mut fields);
    let Some(length) = limits.length_of_head(response.parse(buffer), buffer.len())? else {
        return Ok(None);
    };
    let status = response.code.unwrap_or_default();
    let control = ControlFields::read(response.headers)?;
    let framing = match control.announced_framing()? {
        _ if has_no_body(status, is_answer_to_head) => Framing::None,
        Some(framing) => framing,
        None => Framing::UntilClose,
    };
    let connection = match framing {
        Framing::UntilClose => Connection::Close,
        _ => control.connection(response.version.unwrap_or(1)),
    };
    let mut block = FieldBlock::default();
    for field in response.headers.iter() {
        let wanted = keep(field.name, field.value);
        if wanted && control.is_end_to_end(field.name) {
            block.push(field.name, field.value);
        }
    }
    buffer.advance(length);
    Ok(Some(ResponseHead {
        status,
        connection,
        framing,
        fields: block,
    }))
}

/// Appends the status line of a response.
pub fn encode_status_line(status: u16, output: &mut Vec<u8>) {
    let reason = http::StatusCode::from_u16(status)
        .ok()
        .and_then(|status| status.canonical_reason())
        .unwrap_or("Status");
    output.extend_from_slice(format!("HTTP/1.1 {status} {reason}\r\n").as_bytes());
}

/// Returns whether a response has no body, regardless of its fields (RFC 9112, section 6.3).
fn has_no_body(status: u16, is_answer_to_head: bool) -> bool {
    is_answer_to_head || status < FIRST_FINAL_STATUS || status == 204 || status == 304
}
