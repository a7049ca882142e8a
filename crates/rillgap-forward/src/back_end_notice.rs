//! Notices that a back end gives about itself in its answers.
//!
//! A notice describes the incarnation that sent the answer, not the request. It arrives earlier than
//! the next heartbeat, and also while heartbeats are lost.

use std::fmt;

use bitcode::{Decode, Encode};

/// Thousandths of a request per second in one request per second.
const THOUSANDTHS: f64 = 1_000.0;

/// A rate of requests, with a resolution of a thousandth of a request per second.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct RequestRate {
    thousandths: u32,
}

impl RequestRate {
    /// Returns the rate of this many requests per second, rounded down; `None` if the number is
    /// negative or not finite. A rate above the range of the type saturates.
    pub fn from_per_second(per_second: f64) -> Option<Self> {
        let is_valid = per_second.is_finite() && per_second >= 0.0;
        is_valid.then_some(Self {
            thousandths: (per_second * THOUSANDTHS) as u32,
        })
    }

    /// Returns the number of requests per second.
    pub fn per_second(self) -> f64 {
        f64::from(self.thousandths) / THOUSANDTHS
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.per_second())
    }
}

/// What an answer states about the rate of requests that its back end accepts from all nodes
/// together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RateLimitNotice {
    /// The answer states no limit.
    #[default]
    Unlimited,
    /// The back end accepts this rate.
    Limited(RequestRate),
    /// The answer states a limit that cannot be read.
    Unreadable,
    /// The answer shows neither a limit nor that there is none.
    Unknown,
}

impl RateLimitNotice {
    /// Combines two values of one answer: the lowest readable limit counts.
    pub fn stricter(self, other: Self) -> Self {
        match (self, other) {
            (Self::Limited(left), Self::Limited(right)) => Self::Limited(left.min(right)),
            (Self::Limited(rate), _) | (_, Self::Limited(rate)) => Self::Limited(rate),
            (Self::Unreadable, _) | (_, Self::Unreadable) => Self::Unreadable,
            (Self::Unknown, other) | (other, Self::Unknown) => other,
            (Self::Unlimited, Self::Unlimited) => Self::Unlimited,
        }
    }
}

/// Load that a back end states of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StatedLoad {
    /// Number of requests that run.
    pub running: u32,
    /// Number of requests that wait at the back end.
    pub waiting: u32,
    /// Number of requests that may run at the same time.
    pub slots: u32,
    /// Time that work takes at the moment, in percent of the usual time; `None` if it is not stated.
    pub slowdown_percent: Option<u32>,
}

/// What an answer states about the load of its back end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadNotice {
    /// The answer states no load.
    #[default]
    Absent,
    /// The load as stated.
    Stated(StatedLoad),
    /// The answer states a load that cannot be read, or several.
    Unreadable,
}

impl LoadNotice {
    /// Combines two values of one answer: a load that is stated twice is not believed.
    pub fn and(self, other: Self) -> Self {
        match (self, other) {
            (Self::Absent, notice) | (notice, Self::Absent) => notice,
            _ => Self::Unreadable,
        }
    }
}

/// Notices of a back end in one answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BackEndNotice {
    /// Rate of requests that the back end accepts.
    pub rate_limit: RateLimitNotice,
    /// Whether the back end is leaving service.
    pub is_leaving: bool,
    /// Load of the back end.
    pub load: LoadNotice,
}
