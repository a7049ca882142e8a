//! Minimal HTTP/1.1 for callers, back ends and the store: whole messages with a `Content-Length`.
//!
//! An HTTP library is not used because it would prevent the protocol errors that back ends make on
//! purpose.

use std::io;
use std::time::Duration;

use bytes::{Buf, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Maximum number of bytes that a slow reader reads at a time.
pub const SLOW_READ_BYTES: usize = 16 * 1024;
/// Maximum number of header fields of a message.
const MAX_FIELDS: usize = 64;

/// Header fields of a message, in order.
#[derive(Clone, Debug, Default)]
pub struct Fields(Vec<(String, String)>);

impl Fields {
    /// Returns the value of the first field with this name; case is ignored.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.0
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    fn content_length(&self) -> usize {
        let length = self.get("Content-Length");
        length.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    fn closes(&self) -> bool {
        let connection = self.get("Connection");
        connection.is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

/// A complete HTTP request.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// Method as sent, such as `GET`.
    pub method: String,
    /// Request target: path and query.
    pub target: String,
    /// Header fields.
    pub fields: Fields,
    /// Whole body.
    pub body: Vec<u8>,
}

/// A complete HTTP response.
#[derive(Clone, Debug, Default)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Header fields.
    pub fields: Fields,
    /// Whole body.
    pub body: Vec<u8>,
}

impl Response {
    /// Returns whether the sender closes the connection after this response.
    pub fn closes(&self) -> bool {
        self.fields.closes()
    }
}

/// A connection that reads and writes whole messages.
#[derive(Debug)]
pub struct Connection {
    /// The underlying socket.
    pub stream: TcpStream,
    input: BytesMut,
    /// Time between two reads of a slow reader, each of [`SLOW_READ_BYTES`] at most.
    read_interval: Option<Duration>,
}

impl Connection {
    /// Wraps a socket and disables Nagle's algorithm on it.
    pub fn new(stream: TcpStream) -> Self {
        // Without this option small messages wait for acknowledgements; they still arrive, so an
        // error is ignored.
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            input: BytesMut::new(),
            read_interval: None,
        }
    }

    /// Makes the connection read [`SLOW_READ_BYTES`] at most in each interval.
    pub fn read_slowly(mut self, interval: Duration) -> Self {
        self.read_interval = Some(interval);
        self
    }

    /// Reads bytes; returns their number, 0 at the end of the stream.
    async fn read(&mut self) -> io::Result<usize> {
        let Some(interval) = self.read_interval else {
            return self.stream.read_buf(&mut self.input).await;
        };
        tokio::time::sleep(interval).await;
        let mut chunk = [0; SLOW_READ_BYTES];
        let length = self.stream.read(&mut chunk).await?;
        self.input.extend_from_slice(&chunk[..length]);
        Ok(length)
    }

    /// Reads a request; `None` if the connection ended before its first byte.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks within a request or the bytes are not a request.
    pub async fn read_request(&mut self) -> io::Result<Option<Request>> {
        loop {
            if let Some(request) = parse_request(&mut self.input)? {
                return Ok(Some(request));
            }
            if self.stream.read_buf(&mut self.input).await? == 0 {
                return match self.input.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
        }
    }

    /// Reads a response.
    ///
    /// # Errors
    ///
    /// Fails if the connection ends before the response is complete or the bytes are not a
    /// response.
    pub async fn read_response(&mut self) -> io::Result<Response> {
        loop {
            if let Some(response) = parse_response(&mut self.input)? {
                return Ok(response);
            }
            if self.read().await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Returns whether bytes were received beyond the last message read.
    pub fn has_unread(&self) -> bool {
        !self.input.is_empty()
    }

    /// Writes bytes.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Waits until the peer closes or resets the connection.
    pub async fn wait_closed(&self) {
        loop {
            if self.stream.readable().await.is_err() {
                return;
            }
            let mut byte = [0];
            match self.stream.peek(&mut byte).await {
                Ok(0) | Err(_) => return,
                // Bytes of a further request hide the close, so look again later.
                Ok(_) => tokio::time::sleep(Duration::from_millis(20)).await,
            }
        }
    }
}

/// Encodes a request.
pub fn encode_request(
    method: &str,
    target: &str,
    fields: &[(&str, String)],
    body: &[u8],
) -> Vec<u8> {
    encode(format!("{method} {target} HTTP/1.1\r\n"), fields, body)
}

/// Encodes a response.
pub fn encode_response(status: u16, fields: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    encode(format!("HTTP/1.1 {status} Status\r\n"), fields, body)
}

fn encode(mut head: String, fields: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    for (name, value) in fields {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

fn malformed(error: httparse::Error) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, error)
}

fn fields_of(headers: &[httparse::Header<'_>]) -> Fields {
    let pair = |header: &httparse::Header<'_>| {
        let value = String::from_utf8_lossy(header.value).into_owned();
        (header.name.to_owned(), value)
    };
    Fields(headers.iter().map(pair).collect())
}

/// Removes a head and the body behind it from the input and returns the body; `None` if the body is
/// not complete yet.
fn take_body(input: &mut BytesMut, head: usize, length: usize) -> Option<Vec<u8>> {
    if input.len() < head + length {
        return None;
    }
    input.advance(head);
    Some(input.split_to(length).to_vec())
}

fn parse_request(input: &mut BytesMut) -> io::Result<Option<Request>> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut parsed = httparse::Request::new(&mut headers);
    let httparse::Status::Complete(head) = parsed.parse(input).map_err(malformed)? else {
        return Ok(None);
    };
    let fields = fields_of(parsed.headers);
    let method = parsed.method.unwrap_or_default().to_owned();
    let target = parsed.path.unwrap_or_default().to_owned();
    let body = take_body(input, head, fields.content_length());
    Ok(body.map(|body| Request {
        method,
        target,
        fields,
        body,
    }))
}

fn parse_response(input: &mut BytesMut) -> io::Result<Option<Response>> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut parsed = httparse::Response::new(&mut headers);
    let httparse::Status::Complete(head) = parsed.parse(input).map_err(malformed)? else {
        return Ok(None);
    };
    let fields = fields_of(parsed.headers);
    let status = parsed.code.unwrap_or_default();
    let body = take_body(input, head, fields.content_length());
    Ok(body.map(|body| Response {
        status,
        fields,
        body,
    }))
}
