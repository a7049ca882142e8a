//! Reads from sockets that hold memory only while bytes are there.
//!
//! A node keeps many connections that are idle most of the time. A buffer set aside for each of them
//! would make up most of the memory of the process.

use std::io;

use bytes::BytesMut;
use tokio::net::TcpStream;

/// Most bytes that are read at a time.
const READ_SIZE: usize = 16 * 1024;
/// Capacity that an empty buffer may keep, in bytes.
const KEPT_CAPACITY: usize = 1024;

/// Appends what has arrived on a socket to `input`; returns the number of bytes, 0 at the end of the
/// stream.
///
/// # Errors
///
/// Fails as [`TcpStream::try_read`] does, with [`io::ErrorKind::WouldBlock`] if nothing has arrived.
pub fn try_read(stream: &TcpStream, input: &mut BytesMut) -> io::Result<usize> {
    let mut chunk = [0; READ_SIZE];
    let length = stream.try_read(&mut chunk)?;
    input.extend_from_slice(&chunk[..length]);
    Ok(length)
}

/// Frees the memory of a buffer that is empty.
pub fn release_if_empty(buffer: &mut BytesMut) {
    if buffer.is_empty() && buffer.capacity() > KEPT_CAPACITY {
        *buffer = BytesMut::new();
    }
}
