//! Tells when further bytes of a head are worth decoding.

/// Scan of a head that arrives in pieces.
///
/// A head is decoded from its begin each time. Decoding it for each byte of a sender that sends byte by byte
/// would take time quadratic in its length, so it is decoded when it may be complete, and when its
/// length has doubled, which finds malformed bytes early.
#[derive(Clone, Copy, Debug, Default)]
pub struct HeadScan {
    /// Number of bytes that were searched for the end of the head.
    searched: usize,
    /// Number of bytes that were decoded last.
    decoded: usize,
}

impl HeadScan {
    /// Returns whether the bytes of a head received so far should be decoded.
    pub fn is_due(&mut self, received: &[u8]) -> bool {
        let from = self.searched.saturating_sub(3).min(received.len());
        let is_complete = has_end(&received[from..]);
        self.searched = received.len();
        let is_due = is_complete || received.len() >= self.decoded * 2;
        if is_due {
            self.decoded = received.len();
        }
        is_due
    }
}

/// Returns whether bytes contain an empty line.
fn has_end(bytes: &[u8]) -> bool {
    let mut rest = bytes;
    while let Some(position) = rest.iter().position(|byte| *byte == b'\n') {
        rest = &rest[position + 1..];
        if rest.starts_with(b"\n") || rest.starts_with(b"\r\n") {
            return true;
        }
    }
    false
}
