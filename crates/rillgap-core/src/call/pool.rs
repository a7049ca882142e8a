//! The budget of extra attempts that one call of a chain may spend.
//!
//! A root request starts with a fixed number of extra attempts. Every call of its chain
//! holds a part of that number, lends a share to the calls it makes and takes back what
//! their answers return unspent. What is lent is never available twice and a lost answer
//! returns nothing, so the sum over the chain never exceeds the number at the root.

/// Extra attempts held by one call.
#[derive(Debug)]
pub struct RetryPool {
    left: u8,
}

impl RetryPool {
    /// Creates a pool of `left` extra attempts.
    pub const fn new(left: u8) -> Self {
        Self { left }
    }

    /// Returns the extra attempts that are held and not lent.
    pub const fn left(&self) -> u8 {
        self.left
    }

    /// Takes half of the pool, rounded up, to lend it to an attempt.
    pub fn lend(&mut self) -> u8 {
        let share = self.left.div_ceil(2);
        self.left -= share;
        share
    }

    /// Takes back what an attempt that was lent `lent` returns as `unspent`.
    ///
    /// A peer cannot return more than it was lent.
    pub fn restore(&mut self, lent: u8, unspent: u8) {
        self.left = self.left.saturating_add(unspent.min(lent));
    }

    /// Lowers the pool to `most`, if it holds more.
    pub fn limit(&mut self, most: u8) {
        self.left = self.left.min(most);
    }

    /// Spends one extra attempt; returns whether there was one.
    pub fn spend(&mut self) -> bool {
        let available = self.left > 0;
        self.left = self.left.saturating_sub(1);
        available
    }
}
