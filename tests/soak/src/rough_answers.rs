//! Whole answers as connections of real processes may deliver them: in pieces, with pauses, behind
//! interim answers, before a reset or a close, or with several late copies.

use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::time::sleep;

use crate::soak::Soak;
use crate::wire::Connection;

/// Time for which answers are delivered roughly in a cycle.
const LENGTH: Duration = Duration::from_secs(12);
/// Percentage of the answers that are delivered roughly.
const ROUGH_PERCENT: u32 = 20;
/// Length of a piece, in bytes.
const PIECE_BYTES: usize = 7;
/// Maximum pause between the head and the body of an answer, in milliseconds.
const MAX_PAUSE_MILLIS: u64 = 60;
/// Maximum time between an answer and the end of its connection, in milliseconds.
const MAX_END_DELAY_MILLIS: u64 = 20;
/// Times between the late copies of an answer.
const COPY_DELAYS: [Duration; 3] = [
    Duration::from_millis(5),
    Duration::from_millis(60),
    Duration::from_millis(150),
];
/// Interim answer.
const INTERIM: &[u8] = b"HTTP/1.1 102 Processing\r\n\r\n";

/// Schedules the rough answers of one cycle.
pub fn begin_cycle(soak: &Arc<Soak>) {
    let now = soak.now();
    soak.checker().add_disturbance(now, now + LENGTH);
    let soak = soak.clone();
    tokio::spawn(async move {
        set_percent(&soak, ROUGH_PERCENT);
        sleep(LENGTH).await;
        set_percent(&soak, 0);
    });
}

fn set_percent(soak: &Soak, percent: u32) {
    for machine in &soak.machines {
        machine.rough_percent.store(percent, Ordering::Relaxed);
    }
}

/// Sends a whole answer in a randomly chosen form; returns whether the connection stays open.
///
/// # Errors
///
/// Fails if the connection breaks.
pub async fn send(soak: &Soak, connection: &mut Connection, answer: &[u8]) -> io::Result<bool> {
    match soak.draw(6) {
        0 => {
            for piece in answer.chunks(PIECE_BYTES) {
                connection.write(piece).await?;
                tokio::task::yield_now().await;
            }
        }
        1 => {
            let (head, body) = answer.split_at(answer.len() / 2);
            connection.write(head).await?;
            sleep(Duration::from_millis(soak.draw(MAX_PAUSE_MILLIS))).await;
            connection.write(body).await?;
        }
        2 => {
            connection.write(INTERIM).await?;
            connection.write(INTERIM).await?;
            connection.write(answer).await?;
        }
        3 => {
            connection.write(answer).await?;
            sleep(Duration::from_millis(soak.draw(MAX_END_DELAY_MILLIS))).await;
            let _ = connection.stream.set_zero_linger();
            return Ok(false);
        }
        4 => {
            connection.write(answer).await?;
            sleep(Duration::from_millis(soak.draw(MAX_END_DELAY_MILLIS))).await;
            return Ok(false);
        }
        _ => {
            connection.write(answer).await?;
            for delay in COPY_DELAYS {
                sleep(delay).await;
                connection.write(answer).await?;
            }
        }
    }
    Ok(true)
}
