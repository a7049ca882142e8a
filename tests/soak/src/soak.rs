//! What all parts of a soak share.

use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};
use serde_json::Value;
use tokio::time::Instant;

use crate::checker::{Checker, Moment};
use crate::deployment::Layout;
use crate::store::Store;

/// What a node's run and its back end's behaviour are at the moment.
#[derive(Debug, Default)]
pub struct Machine {
    /// Run of the node's process.
    pub incarnation: AtomicU32,
    /// Whether the node has said that it is ready.
    pub is_ready: AtomicBool,
    /// Answers of the back end that are lost, in percent.
    pub lost_percent: AtomicU32,
    /// Answers of the back end that are spoiled, in percent.
    pub corrupted_percent: AtomicU32,
    /// Requests that the back end fails, in percent.
    pub failed_percent: AtomicU32,
    /// How many times as long the back end works; 0 counts as 1.
    pub slowdown_factor: AtomicU32,
}

/// What all parts of a soak share.
#[derive(Debug)]
pub struct Soak {
    /// Addresses.
    pub layout: Layout,
    /// The store.
    pub store: Arc<Store>,
    /// Machines.
    pub machines: Vec<Machine>,
    /// Newest version of the configuration.
    pub version: AtomicU64,
    /// Whether the store comes back from copies, and back ends keep their identifiers over a start.
    pub has_renewals: bool,
    /// Newest configuration, as the operator has written it.
    configuration: Mutex<Value>,
    start: Instant,
    checker: Mutex<Checker>,
    random: Mutex<ChaCha8Rng>,
    next_request: AtomicU64,
}

impl Soak {
    /// Creates a soak whose draws follow from `seed`.
    pub fn new(layout: Layout, seed: u64, has_renewals: bool) -> Arc<Self> {
        Arc::new(Self {
            layout,
            store: Store::new(layout.nodes),
            machines: (0..layout.nodes).map(|_| Machine::default()).collect(),
            version: AtomicU64::new(0),
            has_renewals,
            configuration: Mutex::default(),
            start: Instant::now(),
            checker: Mutex::default(),
            random: Mutex::new(ChaCha8Rng::seed_from_u64(seed)),
            next_request: AtomicU64::new(0),
        })
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Moment {
        self.start.elapsed()
    }

    /// Returns the judge.
    pub fn checker(&self) -> MutexGuard<'_, Checker> {
        self.checker.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the newest configuration, as the operator has written it.
    pub fn configuration(&self) -> MutexGuard<'_, Value> {
        self.configuration
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns a number below `bound`, for what need not repeat.
    pub fn draw(&self, bound: u64) -> u64 {
        let mut random = self.random.lock().unwrap_or_else(PoisonError::into_inner);
        (u64::from(random.next_u32()) * bound) >> 32
    }

    /// Returns whether a draw hits, in percent.
    pub fn draw_percent(&self, percent: &AtomicU32) -> bool {
        let percent = percent.load(Ordering::Relaxed);
        percent > 0 && self.draw(100) < u64::from(percent)
    }

    /// Returns a new identifier of a request.
    pub fn next_id(&self) -> String {
        let number = self.next_request.fetch_add(1, Ordering::Relaxed);
        format!("r{number}")
    }

    /// Returns the run of a node's process.
    pub fn incarnation_of(&self, node: usize) -> u32 {
        self.machines[node].incarnation.load(Ordering::Relaxed)
    }
}
