//! Back ends that reject requests and send some of the rejections a second time, late, so that the
//! copy arrives where the answer to the next attempt should be.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::time::sleep;

use crate::soak::Soak;

/// Time for which back ends reject requests in a cycle.
const LENGTH: Duration = Duration::from_secs(12);
/// Percentage of the requests that are rejected.
const REJECTED_PERCENT: u32 = 45;
/// Percentage of the rejections that are sent a second time.
const REPEATED_PERCENT: u32 = 20;

/// Schedules the rejections of one cycle.
pub fn begin_cycle(soak: &Arc<Soak>) {
    let now = soak.now();
    soak.checker().add_disturbance(now, now + LENGTH);
    let soak = soak.clone();
    tokio::spawn(async move {
        set_percents(&soak, REJECTED_PERCENT, REPEATED_PERCENT);
        sleep(LENGTH).await;
        set_percents(&soak, 0, 0);
    });
}

fn set_percents(soak: &Soak, rejected: u32, repeated: u32) {
    for machine in &soak.machines {
        machine.rejected_percent.store(rejected, Ordering::Relaxed);
        machine
            .repeated_rejection_percent
            .store(repeated, Ordering::Relaxed);
    }
}
