//! Requests that end each back end that works on them: how they are sent, and how often they may run.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};

use crate::caller::{self, Outgoing};
use crate::checker::Moment;
use crate::soak::Soak;

/// Part of a target that ends each back end that works on it.
pub const CRASH_PATH: &str = "/crash";
/// Time for which a back end that has ended so is away.
pub const CRASH_DOWNTIME: Duration = Duration::from_millis(1_500);
/// Result code of requests that are refused because back ends have ended under requests like them.
pub const QUARANTINED_CODE: &str = "\"code\":55,";
/// Runs that such a request may have once it has ended three back ends and all nodes could know.
const MAX_RUNS_AFTER_EVIDENCE: usize = 3;
/// Time after which nodes that are not disturbed know what others knew.
const EVIDENCE_PROPAGATION_TIME: Duration = Duration::from_secs(3);
/// One cycle of so many has such a request.
const CYCLES_PER_CRASHING_REQUEST: u64 = 3;
/// Shortest time between two of them, and the bound of what is drawn on top, in milliseconds.
const SEND_INTERVAL_MILLIS: (u64, u64) = (150, 500);
/// Time that their caller waits.
const DEADLINE: Duration = Duration::from_millis(1_500);
/// Sets the drawings apart from those of the schedule, which stay as they are.
const RANDOM_STREAM: u64 = 36;

/// What became of requests that end back ends.
#[derive(Debug, Default)]
pub struct CrashingRequests {
    crashes: BTreeMap<String, Vec<Moment>>,
    runs: BTreeMap<String, Vec<Moment>>,
}

impl CrashingRequests {
    /// Takes in that a back end begins to work on a request.
    pub fn on_run_started(&mut self, at: Moment, target: &str) {
        if target.contains(CRASH_PATH) {
            self.runs.entry(target.to_owned()).or_default().push(at);
        }
    }

    /// Takes in that a back end ends because of a request.
    pub fn on_crash(&mut self, at: Moment, target: &str) {
        self.crashes.entry(target.to_owned()).or_default().push(at);
    }

    /// Returns the targets that ran too often although nothing was disturbed.
    pub fn violations(
        &self,
        is_disturbed: impl Fn(Moment, Moment) -> bool,
    ) -> Vec<(Moment, String)> {
        let mut violations = Vec::new();
        for (target, crashes) in &self.crashes {
            let Some(third) = crashes.get(2) else {
                continue;
            };
            let known = *third + EVIDENCE_PROPAGATION_TIME;
            let runs = self.runs.get(target).into_iter().flatten();
            let is_late = |run: &&Moment| {
                **run > known && !is_disturbed(run.saturating_sub(EVIDENCE_PROPAGATION_TIME), **run)
            };
            let late = runs.filter(is_late).count();
            if late > MAX_RUNS_AFTER_EVIDENCE {
                let text = format!("CRASHES {target} ran {late} times after its third crash");
                violations.push((*third, text));
            }
        }
        violations
    }
}

/// Draws whether a cycle has a request that ends back ends, and sends it.
#[derive(Debug)]
pub struct CrashingCaller {
    soak: Arc<Soak>,
    random: ChaCha8Rng,
    number: u64,
}

impl CrashingCaller {
    /// Creates the caller of a seed.
    pub fn new(soak: Arc<Soak>, seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        random.set_stream(RANDOM_STREAM);
        Self {
            soak,
            random,
            number: 0,
        }
    }

    /// Begins to send such a request at any node for this long, in one cycle of a few.
    pub fn begin_cycle(&mut self, length: Duration) {
        if self.draw(CYCLES_PER_CRASHING_REQUEST) != 0 {
            return;
        }
        self.number += 1;
        let kind = ["/deep", "/middle", "/once"][usize::try_from(self.draw(3)).unwrap_or(0)];
        let target = format!("{kind}{CRASH_PATH}?n={}", self.number);
        let seconds = self.soak.now().as_secs_f64();
        println!("{seconds:8.3} {target} ends back ends for {length:?}");
        let (min, spread) = SEND_INTERVAL_MILLIS;
        let mut sends = Vec::new();
        let mut passed = 0;
        while u128::from(passed) < length.as_millis() {
            let node = self.draw(self.soak.layout.nodes as u64);
            sends.push((passed, usize::try_from(node).unwrap_or(0)));
            passed += min + self.draw(spread);
        }
        for (after, node) in sends {
            let soak = self.soak.clone();
            let target = target.clone();
            tokio::spawn(async move {
                tokio::time::sleep(Duration::from_millis(after)).await;
                send(&soak, node, target).await;
            });
        }
    }

    fn draw(&mut self, bound: u64) -> u64 {
        (u64::from(self.random.next_u32()) * bound) >> 32
    }
}

async fn send(soak: &Arc<Soak>, node: usize, target: String) {
    if !soak.machines[node].is_ready.load(Ordering::Relaxed) {
        return;
    }
    let is_idempotent = !target.starts_with("/once/");
    let outgoing = Outgoing {
        id: soak.next_id(),
        method: if is_idempotent { "GET" } else { "POST" },
        target,
        body: Vec::new(),
        is_idempotent,
        is_call: false,
        deadline: DEADLINE,
    };
    caller::exchange(soak, node, &mut None, &outgoing).await;
}
