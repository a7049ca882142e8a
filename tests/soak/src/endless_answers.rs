//! Back ends that send bytes without end in place of an answer, until the node closes the
//! connection.

use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::time::sleep;

use crate::soak::Soak;
use crate::wire::Connection;

/// Time for which a back end sends bytes without end in a cycle.
const LENGTH: Duration = Duration::from_secs(9);
/// Percentage of the answers that have no end while a back end is affected.
const ENDLESS_PERCENT: u32 = 30;
/// On average one of this many back ends is affected in a cycle; at least one is.
const BACK_ENDS_PER_ENDLESS_ONE: u64 = 3;
/// Number of bytes that are written at once.
const BLOCK_BYTES: usize = 16 * 1024;
/// Time between two bytes of a trickle.
const TRICKLE_INTERVAL: Duration = Duration::from_millis(15);

/// Schedules the endless answers of one cycle.
pub fn begin_cycle(soak: &Arc<Soak>) {
    let now = soak.now();
    soak.checker().add_disturbance(now, now + LENGTH);
    let nodes = soak.layout.nodes as u64;
    let first = soak.draw(nodes);
    let affected: Vec<usize> = (0..soak.layout.nodes)
        .filter(|node| *node as u64 == first || soak.draw(BACK_ENDS_PER_ENDLESS_ONE) == 0)
        .collect();
    println!(
        "{:8.3} endless answers of back ends {affected:?}",
        now.as_secs_f64()
    );
    let soak = soak.clone();
    tokio::spawn(async move {
        let set = |percent: u32| {
            for node in &affected {
                let machine = &soak.machines[*node];
                machine.endless_percent.store(percent, Ordering::Relaxed);
            }
        };
        set(ENDLESS_PERCENT);
        sleep(LENGTH).await;
        set(0);
    });
}

/// Where an answer has no end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    /// The value of a header field.
    Head,
    /// Interim answers.
    Interim,
    /// Answers to other requests.
    Foreign,
    /// The body, of which a length is announced that is never reached.
    Length,
    /// The body, which ends with the connection.
    UntilClose,
    /// Chunks.
    Chunks,
    /// The extension of a chunk.
    ChunkExtension,
    /// Chunks of one byte with a long extension each.
    TinyChunks,
    /// Trailers.
    Trailers,
    /// The head, byte by byte.
    HeadTrickle,
    /// The body, byte by byte.
    BodyTrickle,
}

impl Form {
    /// All forms.
    pub const ALL: [Self; 11] = [
        Self::Head,
        Self::Interim,
        Self::Foreign,
        Self::Length,
        Self::UntilClose,
        Self::Chunks,
        Self::ChunkExtension,
        Self::TinyChunks,
        Self::Trailers,
        Self::HeadTrickle,
        Self::BodyTrickle,
    ];

    /// Returns the bytes before those without end.
    fn begin(self, head: &str) -> String {
        match self {
            Self::Head | Self::HeadTrickle => format!("{head}X-Filler: "),
            Self::Interim | Self::Foreign => String::new(),
            Self::Length => format!("{head}Content-Length: 1000000000000\r\n\r\n"),
            Self::BodyTrickle => format!("{head}Content-Length: 1000000\r\n\r\n"),
            Self::UntilClose => format!("{head}\r\n"),
            Self::Chunks | Self::TinyChunks => {
                format!("{head}Transfer-Encoding: chunked\r\n\r\n")
            }
            Self::ChunkExtension => {
                format!("{head}Transfer-Encoding: chunked\r\n\r\n1;filler=")
            }
            Self::Trailers => format!("{head}Transfer-Encoding: chunked\r\n\r\n0\r\n"),
        }
    }

    /// Returns the bytes that are repeated without end.
    fn block(self) -> Vec<u8> {
        let repeat = |text: &str| text.repeat(BLOCK_BYTES.div_ceil(text.len())).into_bytes();
        match self {
            Self::Head | Self::Length | Self::UntilClose | Self::ChunkExtension => repeat("x"),
            Self::Interim => repeat("HTTP/1.1 100 Continue\r\n\r\n"),
            Self::Foreign => {
                repeat("HTTP/1.1 200 OK\r\nAttempt-Id: another\r\nContent-Length: 3\r\n\r\nabc")
            }
            Self::Chunks => repeat(&format!("400\r\n{}\r\n", "x".repeat(0x400))),
            Self::TinyChunks => repeat(&format!("1;{}\r\nx\r\n", "e".repeat(2_000))),
            Self::Trailers => repeat("X-Filler: x\r\n"),
            Self::HeadTrickle | Self::BodyTrickle => b"x".to_vec(),
        }
    }
}

/// Sends bytes without end until the peer closes the connection. `head` holds the status line and
/// the header fields of the answer.
///
/// # Errors
///
/// Fails once the connection is closed.
pub async fn send(connection: &mut Connection, form: Form, head: &str) -> io::Result<()> {
    connection.write(form.begin(head).as_bytes()).await?;
    let block = form.block();
    let is_trickle = matches!(form, Form::HeadTrickle | Form::BodyTrickle);
    loop {
        connection.write(&block).await?;
        if is_trickle {
            sleep(TRICKLE_INTERVAL).await;
        }
    }
}
