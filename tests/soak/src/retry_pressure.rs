//! Retries at several levels of a chain while the retry budget is small: back ends of a service
//! reject requests, then those above it lose answers, and nodes are killed in series beside back
//! ends that live on.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};
use tokio::time::sleep;

use crate::deployment::{Layout, SERVICES};
use crate::faults::Targets;
use crate::node;
use crate::soak::{Machine, Soak};

/// Number of calls to the deepest service that a run of the middle one makes under retry pressure.
pub const MIDDLE_CALLS: u32 = 4;
/// Distinguishes the seed of the retry pressure from that of other faults.
const SEED_MASK: u64 = 0x5265_7472_7950_7265;
/// Factors on the time between two requests of a caller, of which one is drawn for each cycle.
const PAUSE_FACTORS: [u32; 4] = [1, 2, 6, 20];
/// Range of the time at which back ends begin to reject requests, in milliseconds.
const BEGIN_RANGE_MILLIS: (u64, u64) = (0, 2_000);
/// Range of the time for which they reject, and for which those above lose answers after it, in
/// milliseconds.
const LENGTH_RANGE_MILLIS: (u64, u64) = (3_500, 6_000);
/// Range of the percentages of requests that are rejected or whose answers are lost.
const PERCENT_RANGE: (u64, u64) = (40, 90);
/// Range of the number of times that a node is killed in a series.
const KILLS_RANGE: (u64, u64) = (2, 6);
/// Range of the time between two kills of a node, in milliseconds.
const KILL_INTERVAL_RANGE_MILLIS: (u64, u64) = (700, 1_800);
/// Time for which a killed process is down.
const KILL_DOWNTIME: Duration = Duration::from_millis(100);
/// Time after the last kill until the node serves again.
const RESTART_MARGIN: Duration = Duration::from_secs(1);
/// On average one of this many back ends goes on with requests whose connection was closed.
const BACK_ENDS_PER_FINISHING_ONE: u64 = 3;

/// Selects the field of a machine that controls a fault of its back end.
type PercentField = fn(&Machine) -> &AtomicU32;

/// Draws and carries out the retry pressure of a soak, apart from other faults.
#[derive(Debug)]
pub struct RetryPressure {
    soak: Arc<Soak>,
    targets: Arc<Targets>,
    random: ChaCha8Rng,
}

impl RetryPressure {
    /// Creates the retry pressure that `seed` determines.
    pub fn new(soak: Arc<Soak>, targets: Arc<Targets>, seed: u64) -> Self {
        Self {
            soak,
            targets,
            random: ChaCha8Rng::seed_from_u64(seed ^ SEED_MASK),
        }
    }

    /// Schedules the failures and kills of one cycle.
    pub fn begin_cycle(&mut self) {
        let factor = PAUSE_FACTORS[self.draw((0, PAUSE_FACTORS.len() as u64)) as usize];
        self.soak.pause_factor.store(factor, Ordering::Relaxed);
        for node in 0..self.soak.layout.nodes {
            let finishes = self.draw((0, BACK_ENDS_PER_FINISHING_ONE)) == 0;
            let machine = &self.soak.machines[node];
            machine
                .finishes_abandoned_work
                .store(finishes, Ordering::Relaxed);
        }
        let begin = millis(self.draw(BEGIN_RANGE_MILLIS));
        let rejecting = self.draw((1, SERVICES.len() as u64)) as usize;
        let rejected_for = millis(self.draw(LENGTH_RANGE_MILLIS));
        let lost_for = millis(self.draw(LENGTH_RANGE_MILLIS));
        self.fail_service(rejecting, begin, rejected_for, |machine| {
            &machine.rejected_percent
        });
        for above in 0..rejecting {
            self.fail_service(above, begin + rejected_for, lost_for, |machine| {
                &machine.lost_percent
            });
        }
        for node in 0..self.soak.layout.nodes {
            if self.draw((0, 2)) == 0 {
                self.kill_in_series(node, begin);
            }
        }
    }

    /// Makes all back ends of a service fail a part of their requests.
    fn fail_service(
        &mut self,
        service: usize,
        begin: Duration,
        length: Duration,
        choose: PercentField,
    ) {
        let percent = self.draw(PERCENT_RANGE) as u32;
        let name = SERVICES[service];
        let now = self.soak.now();
        let mut checker = self.soak.checker();
        checker.add_disturbance(now + begin, now + begin + length);
        drop(checker);
        println!("{name}: {percent}% fail after {begin:?} for {length:?}");
        let soak = self.soak.clone();
        tokio::spawn(async move {
            sleep(begin).await;
            set_percent(&soak, name, choose, percent);
            sleep(length).await;
            set_percent(&soak, name, choose, 0);
        });
    }

    /// Kills a node's process again and again.
    fn kill_in_series(&mut self, node: usize, begin: Duration) {
        let kills = self.draw(KILLS_RANGE) as u32;
        let interval = millis(self.draw(KILL_INTERVAL_RANGE_MILLIS));
        let now = self.soak.now() + begin;
        let until = now + interval * kills + RESTART_MARGIN;
        self.soak.checker().add_disturbance(now, until);
        println!("node {node}: {kills} kills after {begin:?}, one in {interval:?}");
        let actions = self.targets.nodes[node].clone();
        tokio::spawn(async move {
            sleep(begin).await;
            for _ in 0..kills {
                // The channel is closed at the end of the soak.
                let _ = actions.send(node::Action::Kill(KILL_DOWNTIME));
                sleep(interval).await;
            }
        });
    }

    /// Draws a number of a range, whose end is exclusive.
    fn draw(&mut self, (first, end): (u64, u64)) -> u64 {
        first + ((u64::from(self.random.next_u32()) * (end - first)) >> 32)
    }
}

fn set_percent(soak: &Soak, service: &str, choose: PercentField, percent: u32) {
    for (node, machine) in soak.machines.iter().enumerate() {
        if Layout::service(node) == service {
            choose(machine).store(percent, Ordering::Relaxed);
        }
    }
}

const fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}
