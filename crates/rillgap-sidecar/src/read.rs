//! Reads from sockets without keeping a buffer for connections that are idle.
//!
//! A node keeps many connections that are idle most of the time. A buffer for each of them would
//! make up most of the memory of the process.

use std::future::poll_fn;
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::task::ready;

use bytes::BytesMut;
use tokio::io::{AsyncRead, ReadBuf};
use tokio::net::TcpStream;
use tokio::net::tcp::ReadHalf;

/// Maximum number of bytes of one read.
const MAX_READ_BYTES: usize = 16 * 1024;
/// Maximum capacity that an empty buffer keeps, in bytes.
const MAX_EMPTY_CAPACITY: usize = 1024;

/// Waits until bytes arrive on a socket and appends them to `input`; returns their number, 0 at the
/// end of the stream. No bytes are lost if the future is dropped before it is ready.
///
/// A read that does not fill its buffer has emptied the socket. The runtime records that, so no
/// second system call is needed to find it out.
///
/// # Errors
///
/// Fails if the connection is lost.
pub async fn read_some(stream: &mut ReadHalf<'_>, input: &mut BytesMut) -> io::Result<usize> {
    poll_fn(|context| {
        let mut chunk = [MaybeUninit::uninit(); MAX_READ_BYTES];
        let mut buffer = ReadBuf::uninit(&mut chunk);
        ready!(Pin::new(&mut *stream).poll_read(context, &mut buffer))?;
        input.extend_from_slice(buffer.filled());
        Ok(buffer.filled().len()).into()
    })
    .await
}

/// Waits until bytes arrive on a socket and drops them, using `buffer`; returns their number, 0 at the
/// end of the stream.
///
/// # Errors
///
/// Fails if the connection is lost.
pub async fn discard_some(stream: &mut TcpStream, buffer: &mut BytesMut) -> io::Result<usize> {
    buffer.clear();
    let (mut receiving, _) = stream.split();
    read_some(&mut receiving, buffer).await
}

/// Frees the memory of a buffer if it is empty and has more than `MAX_EMPTY_CAPACITY`.
pub fn release_if_empty(buffer: &mut BytesMut) {
    if buffer.is_empty() && buffer.capacity() > MAX_EMPTY_CAPACITY {
        *buffer = BytesMut::new();
    }
}
