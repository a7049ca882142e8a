//! State shared by all parts of a soak.

use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};
use serde_json::Value;
use tokio::time::Instant;

use crate::checker::{Checker, Moment};
use crate::deployment::Layout;
use crate::stated_load::StatedLoad;
use crate::store::Store;

/// Current state of a machine: the node's process, and the faults injected into its back end.
#[derive(Debug, Default)]
pub struct Machine {
    /// Number of starts of the node's process so far, which identifies the current incarnation.
    pub incarnation: AtomicU32,
    /// Whether the node's last readiness probe succeeded.
    pub is_ready: AtomicBool,
    /// Percentage of the back end's responses that are lost.
    pub lost_percent: AtomicU32,
    /// Percentage of the back end's responses that are corrupted.
    pub corrupted_percent: AtomicU32,
    /// Percentage of requests that the back end answers with an error.
    pub failed_percent: AtomicU32,
    /// Percentage of requests that the back end rejects as not run.
    pub rejected_percent: AtomicU32,
    /// Percentage of the rejections that the back end sends a second time, late.
    pub repeated_rejection_percent: AtomicU32,
    /// Percentage of the back end's whole answers that are delivered roughly.
    pub rough_percent: AtomicU32,
    /// Percentage of the back end's answers that have no end.
    pub endless_percent: AtomicU32,
    /// Whether the back end goes on with requests whose connection was closed.
    pub finishes_abandoned_work: AtomicBool,
    /// Factor by which the back end's work takes longer; 0 counts as 1.
    pub slowdown_factor: AtomicU32,
    /// Rate limit that the back end's responses state, in requests per second; 0 for none.
    pub rate_limit: AtomicU32,
    /// Load that the back end states.
    pub stated_load: StatedLoad,
    /// Label of the back end's current incarnation.
    pub instance: Mutex<String>,
}

impl Machine {
    /// Records the label of the back end's current incarnation.
    pub fn set_instance(&self, label: &str) {
        let mut instance = self.instance.lock().unwrap_or_else(PoisonError::into_inner);
        label.clone_into(&mut instance);
    }

    /// Returns the label of the back end's current incarnation.
    pub fn instance(&self) -> String {
        let instance = self.instance.lock().unwrap_or_else(PoisonError::into_inner);
        instance.clone()
    }

    /// Returns the rate limit that the back end's responses state, in requests per second.
    pub fn stated_rate_limit(&self) -> Option<u32> {
        let rate = self.rate_limit.load(Ordering::Relaxed);
        (rate > 0).then_some(rate)
    }
}

/// State shared by all parts of a soak.
#[derive(Debug)]
pub struct Soak {
    /// Number of machines and their addresses.
    pub layout: Layout,
    /// The fake platform store.
    pub store: Arc<Store>,
    /// State of each machine, by index.
    pub machines: Vec<Machine>,
    /// Newest accepted version of the configuration; 0 before the first one.
    pub version: AtomicU64,
    /// Whether the store is restored from backups and back ends may restart under their identifier.
    pub has_renewals: bool,
    /// Number of calls to the deepest service that a run of the middle one makes.
    pub middle_calls: u32,
    /// Factor on the time between two requests of a caller; 0 counts as 1.
    pub pause_factor: AtomicU32,
    /// Newest configuration as written to the store.
    configuration: Mutex<Value>,
    start: Instant,
    checker: Mutex<Checker>,
    random: Mutex<ChaCha8Rng>,
    next_request: AtomicU64,
}

impl Soak {
    /// Creates a soak whose random draws are determined by `seed`.
    pub fn new(layout: Layout, seed: u64, has_renewals: bool, middle_calls: u32) -> Arc<Self> {
        Arc::new(Self {
            layout,
            store: Store::new(layout.nodes),
            machines: (0..layout.nodes).map(|_| Machine::default()).collect(),
            version: AtomicU64::new(0),
            has_renewals,
            middle_calls,
            pause_factor: AtomicU32::new(1),
            configuration: Mutex::default(),
            start: Instant::now(),
            checker: Mutex::new(Checker::with_retry_slack(layout.retry_slack)),
            random: Mutex::new(ChaCha8Rng::seed_from_u64(seed)),
            next_request: AtomicU64::new(0),
        })
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Moment {
        self.start.elapsed()
    }

    /// Locks and returns the checker.
    pub fn checker(&self) -> MutexGuard<'_, Checker> {
        self.checker.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks and returns the newest configuration as written to the store.
    pub fn configuration(&self) -> MutexGuard<'_, Value> {
        self.configuration
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Draws a number below `bound`. All tasks share this generator, so the order of draws differs
    /// between runs of one seed; the schedule has its own generator.
    pub fn draw(&self, bound: u64) -> u64 {
        let mut random = self.random.lock().unwrap_or_else(PoisonError::into_inner);
        (u64::from(random.next_u32()) * bound) >> 32
    }

    /// Returns `true` with the given probability, in percent.
    pub fn draw_percent(&self, percent: &AtomicU32) -> bool {
        let percent = percent.load(Ordering::Relaxed);
        percent > 0 && self.draw(100) < u64::from(percent)
    }

    /// Returns a new request identifier.
    pub fn next_id(&self) -> String {
        let number = self.next_request.fetch_add(1, Ordering::Relaxed);
        format!("r{number}")
    }

    /// Returns the current incarnation of a node's process.
    pub fn incarnation_of(&self, node: usize) -> u32 {
        self.machines[node].incarnation.load(Ordering::Relaxed)
    }
}
