//! Requests that crash every back end that works on them: sends them and checks how often they run.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};

use crate::caller::{self, Outgoing};
use crate::checker::Moment;
use crate::soak::Soak;

/// Part of a target that makes back ends crash.
pub const CRASH_PATH: &str = "/crash";
/// Returns whether a target makes back ends crash.
pub fn is_crashing(target: &str) -> bool {
    target.contains(CRASH_PATH)
}

/// Time until a back end that crashed because of a request is replaced.
pub const CRASH_DOWNTIME: Duration = Duration::from_millis(1_500);
/// Part of the response body of a quarantined request: its result code.
pub const QUARANTINED_CODE: &str = "\"code\":55,";
/// Maximum number of runs of a crashing request after its third crash is known to all nodes.
const MAX_RUNS_AFTER_EVIDENCE: usize = 3;
/// Time within which evidence of a crash reaches all undisturbed nodes.
const EVIDENCE_PROPAGATION_TIME: Duration = Duration::from_secs(3);
/// On average one of this many cycles has a crashing request.
const CYCLES_PER_CRASHING_REQUEST: u64 = 3;
/// Time between two sends of a crashing request, in milliseconds: the minimum, and the exclusive
/// bound of the random part added to it.
const SEND_INTERVAL_MILLIS: (u64, u64) = (150, 500);
/// Deadline of crashing requests.
const DEADLINE: Duration = Duration::from_millis(1_500);
/// Stream of the random generator. It differs from the stream of the schedule, so that a seed draws
/// the same schedule with or without crashing requests.
const RANDOM_STREAM: u64 = 36;

/// Runs and crashes of crashing requests, by target.
#[derive(Debug, Default)]
pub struct CrashingRequests {
    crashes: BTreeMap<String, Vec<Moment>>,
    runs: BTreeMap<String, Vec<Moment>>,
}

impl CrashingRequests {
    /// Records that a back end starts to work on a request; other requests are ignored.
    pub fn on_run_started(&mut self, at: Moment, target: &str) {
        if is_crashing(target) {
            self.runs.entry(target.to_owned()).or_default().push(at);
        }
    }

    /// Records that a back end crashed because of a request.
    pub fn on_crash(&mut self, at: Moment, target: &str) {
        self.crashes.entry(target.to_owned()).or_default().push(at);
    }

    /// Returns when a back end has last crashed.
    pub fn last_crash(&self) -> Option<Moment> {
        self.crashes.values().flatten().copied().max()
    }

    /// Returns a violation for each target that ran too often after its third crash. Runs during a
    /// disturbance, as told by `is_disturbed` for a range of time, are not counted.
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

/// Draws for each cycle whether it has a crashing request, and sends that request repeatedly.
#[derive(Debug)]
pub struct CrashingCaller {
    soak: Arc<Soak>,
    random: ChaCha8Rng,
    number: u64,
}

impl CrashingCaller {
    /// Creates the caller whose draws are determined by `seed`.
    pub fn new(soak: Arc<Soak>, seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        random.set_stream(RANDOM_STREAM);
        Self {
            soak,
            random,
            number: 0,
        }
    }

    /// Draws whether the cycle has a crashing request; if so, sends it to random nodes for
    /// `length`.
    pub fn begin_cycle(&mut self, length: Duration) {
        if self.draw(CYCLES_PER_CRASHING_REQUEST) != 0 {
            return;
        }
        self.number += 1;
        let kind = ["/deep", "/middle", "/once"][usize::try_from(self.draw(3)).unwrap_or(0)];
        let target = format!("{kind}{CRASH_PATH}?n={}", self.number);
        let seconds = self.soak.now().as_secs_f64();
        println!("{seconds:8.3} {target} crashes back ends for {length:?}");
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
        is_of_retry: false,
        deadline: DEADLINE,
    };
    caller::exchange(soak, node, &mut None, &outgoing).await;
}
