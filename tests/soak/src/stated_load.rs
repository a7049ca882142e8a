//! Loads that stand-in back ends state in their answers and on their health endpoint.

use std::sync::atomic::{AtomicU32, Ordering};

/// Texts that are no load, or an absurd one.
const GARBLED: [&str; 6] = [
    "",
    "much",
    "1,2",
    "-3,0,8,100",
    "1,0,8,100,7",
    "99999999999,0,0,0",
];
/// Slowdowns that a back end at its usual speed states, in percent.
const FALSE_PERCENT: [u32; 4] = [1, 25, 800, 100_000];

/// How truthfully a back end states its load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Truth {
    /// States nothing.
    Silent,
    /// States what holds.
    True,
    /// States what cannot be read.
    Garbled,
    /// States any slowdown, whatever its speed.
    False,
}

/// All kinds, each as likely as any other in a seed with stated loads.
pub const TRUTHS: [Truth; 4] = [Truth::Silent, Truth::True, Truth::Garbled, Truth::False];

/// Load that the back end of a machine states.
#[derive(Debug, Default)]
pub struct StatedLoad {
    /// Index of the kind in [`TRUTHS`].
    truth: AtomicU32,
    /// Number of statements so far.
    count: AtomicU32,
}

impl StatedLoad {
    /// Sets the kind by its index in [`TRUTHS`].
    pub fn set(&self, truth: u32) {
        self.truth.store(truth, Ordering::Relaxed);
    }

    /// Returns the text of the next statement; `None` if the back end states nothing.
    pub fn next(&self, running: usize, slots: usize, slowdown_factor: u32) -> Option<String> {
        let number = self.count.fetch_add(1, Ordering::Relaxed) as usize;
        let percent = match TRUTHS[self.truth.load(Ordering::Relaxed) as usize % TRUTHS.len()] {
            Truth::Silent => return None,
            Truth::Garbled => return Some(GARBLED[number % GARBLED.len()].to_owned()),
            Truth::True => 100 * slowdown_factor.max(1),
            Truth::False => FALSE_PERCENT[number % FALSE_PERCENT.len()],
        };
        Some(format!("{running},0,{slots},{percent}"))
    }
}
