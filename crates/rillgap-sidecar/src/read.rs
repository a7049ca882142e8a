//! Reads from sockets that hold memory only while bytes are there.
//!
//! A node keeps many connections that are idle most of the time. A buffer set aside for each of them
//! would make up most of the memory of the process.

use std::future::poll_fn;
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::task::ready;

use bytes::BytesMut;
use tokio::io::{AsyncRead, ReadBuf};
use tokio::net::tcp::ReadHalf;

/// Most bytes that are read at a time.
const MAX_READ_BYTES: usize = 16 * 1024;
/// Capacity that an empty buffer may keep, in bytes.
const MAX_EMPTY_CAPACITY: usize = 1024;

/// Waits until something arrives on a socket and appends it to `input`; returns the number of bytes, 0
/// at the end of the stream. Nothing is lost if the future is dropped before it is ready.
///
/// A read that does not fill its buffer has emptied the socket; the runtime remembers that, so no
/// second system call is needed to learn it.
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

/// Frees the memory of a buffer that is empty.
pub fn release_if_empty(buffer: &mut BytesMut) {
    if buffer.is_empty() && buffer.capacity() > MAX_EMPTY_CAPACITY {
        *buffer = BytesMut::new();
    }
}
