//! Counts of a service's requests and retries by time slice, over the last two windows of the retry
//! bound.
//!
//! The bound compares the retries in a window with the requests in the best of three windows: the
//! same one, the one before it, and the one half a window before it. While callers hold requests
//! back because a service refuses, the older windows have most.

use std::time::Duration;

use rillgap_core::time::Instant;

/// Number of slices that a window is divided into.
pub const SLICES_PER_WINDOW: usize = 20;
/// Number of slices within which a retry reaches its back end after it was charged.
pub const ARRIVAL_SLICES: usize = 2;
/// Number of slices that are kept: two windows and the slice that has not ended.
const KEPT_SLICES: usize = 2 * SLICES_PER_WINDOW + 1;
/// Weight of the requests of a window in its bound; the window before it has the rest. It is small
/// because requests become fewer while a service fails, which is when retries are needed.
const SAME_WINDOW_WEIGHT: f64 = 0.25;
/// Position of the first slice of the present window; the last position is the present slice.
pub const PRESENT_WINDOW: usize = SLICES_PER_WINDOW;

/// Returns the number of the slice at `now` if slices have this length.
pub fn slice_number(now: Instant, slice: Duration) -> u64 {
    let length = u64::try_from(slice.as_micros()).unwrap_or(u64::MAX);
    now.as_micros() / length.max(1)
}

/// Counts by slice; a slice is known by its number.
#[derive(Clone, Debug)]
pub struct RequestWindow {
    /// Ring buffer; a slice is at its number modulo the length.
    counts: [u32; KEPT_SLICES],
    newest: u64,
}

impl Default for RequestWindow {
    fn default() -> Self {
        Self {
            counts: [0; KEPT_SLICES],
            newest: 0,
        }
    }
}

impl RequestWindow {
    /// Counts one request in the slice `number`.
    pub fn count(&mut self, number: u64) {
        self.advance(number);
        self.counts[position(number)] += 1;
    }

    /// Returns the counts of all kept slices, seen from the slice `number`.
    pub fn sums(&mut self, number: u64) -> WindowSums {
        self.advance(number);
        let mut before = [0; KEPT_SLICES + 1];
        let oldest = number + KEPT_SLICES as u64 + 1;
        for index in 0..KEPT_SLICES {
            let count = self.counts[position(oldest + index as u64)];
            before[index + 1] = before[index] + count;
        }
        WindowSums { before }
    }

    /// Removes the slices that have become too old.
    fn advance(&mut self, number: u64) {
        let passed = number.saturating_sub(self.newest);
        let removed = passed.min(KEPT_SLICES as u64);
        for ago in 0..removed {
            self.counts[position(number - ago)] = 0;
        }
        self.newest = self.newest.max(number);
    }
}

fn position(number: u64) -> usize {
    (number % KEPT_SLICES as u64) as usize
}

/// Sums over the kept slices; position 0 is the oldest slice.
#[derive(Clone, Copy, Debug)]
pub struct WindowSums {
    /// Sum of the slices before each position.
    before: [u32; KEPT_SLICES + 1],
}

impl WindowSums {
    /// Returns the sum of the slice at `first` and all later ones.
    pub fn since(&self, first: usize) -> u32 {
        self.between(first, KEPT_SLICES)
    }

    /// Returns the weighted mean of two windows: the one that begins at `first`, as far as it has
    /// passed, and the one before it. `first` is at least [`PRESENT_WINDOW`].
    ///
    /// A window may begin anywhere within its first slice. That slice belongs to the first of the
    /// two windows, which has the smaller weight, and the second one is shorter by a slice, so the
    /// mean is never above the better one of the two exact windows.
    pub fn weighted_mean(&self, first: usize) -> f64 {
        let same = self.since(first);
        let before = self.between(first + 1 - SLICES_PER_WINDOW, first);
        SAME_WINDOW_WEIGHT * f64::from(same) + (1.0 - SAME_WINDOW_WEIGHT) * f64::from(before)
    }

    /// Returns the positions at which a window that contains the present slice can begin.
    pub fn window_beginnings() -> std::ops::Range<usize> {
        PRESENT_WINDOW..KEPT_SLICES
    }

    fn between(&self, first: usize, end: usize) -> u32 {
        self.before[end] - self.before[first]
    }
}

/// Returns the number of retries that are left under a bound of `ratio` times the weighted mean
/// of two windows, in every window that contains the present slice; negative if more were sent.
///
/// A retry arrives up to [`ARRIVAL_SLICES`] after it was charged, so those that were charged so long
/// before a window count towards it.
pub fn remaining_retries(requests: &WindowSums, retries: &WindowSums, ratio: f64) -> f64 {
    WindowSums::window_beginnings()
        .map(|first| {
            let charged = retries.since(first - ARRIVAL_SLICES);
            requests.weighted_mean(first) * ratio - f64::from(charged)
        })
        .fold(f64::INFINITY, f64::min)
}
