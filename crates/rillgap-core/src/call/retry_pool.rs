//! The budget of extra attempts (retries) that one call of a chain may spend.
//!
//! A root request starts with a fixed number of extra attempts. Each call of its chain holds a
//! part of that number: it lends some to the attempts that it makes, and gets back those that
//! their answers return as unspent. Lent attempts are subtracted from the lender's pool and a
//! lost answer returns none, so the sum over the chain never exceeds the number at the root.

/// Extra attempts held by one call.
#[derive(Debug)]
pub struct RetryPool {
    available: u8,
}

impl RetryPool {
    /// Creates a pool of `available` extra attempts.
    pub const fn new(available: u8) -> Self {
        Self { available }
    }

    /// Returns the extra attempts that are held and not lent.
    pub const fn available(&self) -> u8 {
        self.available
    }

    /// Removes half of the pool, rounded down, and returns it as the part to lend to an attempt.
    ///
    /// The last extra attempt stays here: one that is lent further down while the attempt fails is
    /// lost with it, and the retry would begin at a call higher up, which runs more again.
    pub fn lend(&mut self) -> u8 {
        let lent = self.available / 2;
        self.available -= lent;
        lent
    }

    /// Adds the `unspent` ones of `lent` extra attempts to the pool again.
    ///
    /// A peer cannot return more than it was lent.
    pub fn restore(&mut self, lent: u8, unspent: u8) {
        self.available = self.available.saturating_add(unspent.min(lent));
    }

    /// Reduces the pool to at most `max` extra attempts.
    pub fn limit(&mut self, max: u8) {
        self.available = self.available.min(max);
    }

    /// Spends one extra attempt; returns whether there was one.
    pub fn spend(&mut self) -> bool {
        let is_available = self.available > 0;
        self.available = self.available.saturating_sub(1);
        is_available
    }
}
