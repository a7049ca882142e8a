//! Decodes request heads.

use bytes::{Buf, BytesMut};

use super::body::Framing;
use super::error::MessageError;
use super::head::{Connection, ControlFields, FieldBlock, HeadLimits, MAX_FIELDS};

/// A request's head, with the fields that may be passed on.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// Method as sent.
    pub method: String,
    /// Target as sent, path with query.
    pub target: String,
    /// Value of `Host`, empty if there is none.
    pub host: String,
    /// Whether the connection stays open after the message.
    pub connection: Connection,
    /// Whether the sender waits for `100 Continue` before the body.
    pub expects_continue: bool,
    /// How the end of the body is determined.
    pub framing: Framing,
    /// End-to-end fields, without those for which the caller's filter returned `false`.
    pub fields: FieldBlock,
}

/// Decodes a request head and removes it from `buffer`; `None` if it has not arrived completely.
///
/// `keep` is called with each end-to-end field and returns whether it is passed on; it may also
/// record the value.
///
/// # Errors
///
/// Fails if the bytes are not a request head or exceed the limits.
pub fn decode_request(
    buffer: &mut BytesMut,
    limits: HeadLimits,
    mut keep: impl FnMut(&str, &[u8]) -> bool,
) -> Result<Option<RequestHead>, MessageError> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut request = httparse::Request::new(&mut fields);
    let Some(length) = limits.length_of_head(request.parse(buffer), buffer.len())? else {
        return Ok(None);
    };
    let minor = request.version.unwrap_or(1);
    let control = ControlFields::read(request.headers)?;
    let mut head = RequestHead {
        method: request.method.unwrap_or_default().to_owned(),
        target: request.path.unwrap_or_default().to_owned(),
        host: String::new(),
        connection: control.connection(minor),
        expects_continue: false,
        framing: control.announced_framing()?.unwrap_or(Framing::None),
        fields: FieldBlock::default(),
    };
    for field in request.headers.iter() {
        if field.name.eq_ignore_ascii_case("host") {
            head.host = String::from_utf8_lossy(field.value).trim().to_owned();
        }
        if field.name.eq_ignore_ascii_case("expect") {
            head.expects_continue = field.value.eq_ignore_ascii_case(b"100-continue");
            continue;
        }
        if control.is_end_to_end(field.name) && keep(field.name, field.value) {
            head.fields.push(field.name, field.value);
        }
    }
    buffer.advance(length);
    Ok(Some(head))
}
