//! Times at which calls are begun.
#![allow(
    clippy::disallowed_methods,
    reason = "load is sent in real time; a thread's sleep is finer than the runtime's timer"
)]

use std::time::{Duration, Instant};

use tokio::sync::mpsc;

/// Calls that may wait to be begun; if they do, the machine is too busy for the rate.
const PLANNED_QUEUE: usize = 4096;

/// A call that is due.
#[derive(Clone, Copy, Debug)]
pub struct PlannedCall {
    /// Position in the load, from zero.
    pub number: u64,
    /// When it was to begin.
    pub due: Instant,
}

/// Plans calls at a steady rate per second for a time, on a thread of its own.
pub fn pace(rate: f64, duration: Duration) -> mpsc::Receiver<PlannedCall> {
    let (sender, receiver) = mpsc::channel(PLANNED_QUEUE);
    std::thread::spawn(move || plan_calls(rate, duration, &sender));
    receiver
}

fn plan_calls(rate: f64, duration: Duration, sender: &mpsc::Sender<PlannedCall>) {
    let start = Instant::now();
    let count = (rate * duration.as_secs_f64()).round() as u64;
    for number in 0..count {
        let due = start + Duration::from_secs_f64(number as f64 / rate);
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
        if sender.blocking_send(PlannedCall { number, due }).is_err() {
            return;
        }
    }
}
