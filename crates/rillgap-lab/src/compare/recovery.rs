//! Recovery time: how long after the trigger goodput is back to what it was.

use serde::Serialize;

/// Length of the bins that recovery is judged by, in milliseconds.
pub const BIN_MILLIS: u64 = 250;
/// Time for which goodput must stay back, in milliseconds.
pub const STAY_MILLIS: u64 = 3_000;
/// Share of the former goodput that counts as back.
pub const BACK_SHARE: f64 = 0.95;

/// Least share of good requests before the trigger.
pub const LEAST_BEFORE: f64 = 0.5;

/// Requests created in one bin, and those of them that were good.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Bin {
    /// Requests created.
    pub offered: u32,
    /// Requests completed within their deadline.
    pub good: u32,
}

impl Bin {
    /// Returns the share of good requests; one if there were none at all.
    pub fn share(self) -> f64 {
        if self.offered == 0 {
            1.0
        } else {
            f64::from(self.good) / f64::from(self.offered)
        }
    }
}

/// Recovery time.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Recovery {
    /// Goodput came back after this many seconds and stayed.
    Seconds(f64),
    /// Goodput did not come back before the run ended.
    Never,
}

impl Recovery {
    /// Returns the seconds, infinite for never.
    pub fn seconds(self) -> f64 {
        match self {
            Self::Seconds(seconds) => seconds,
            Self::Never => f64::INFINITY,
        }
    }
}

impl std::fmt::Display for Recovery {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Seconds(seconds) => write!(formatter, "{seconds:.2} s"),
            Self::Never => formatter.write_str("never"),
        }
    }
}

/// Returns the recovery time from bins that begin at the end of the trigger.
///
/// `before` is the share of good requests before the trigger. If that was below
/// [`LEAST_BEFORE`], there is nothing to come back to and recovery is `never`.
pub fn recovery(bins: &[Bin], before: f64) -> Recovery {
    if before < LEAST_BEFORE {
        return Recovery::Never;
    }
    let stay = (STAY_MILLIS / BIN_MILLIS) as usize;
    let back = |bin: &Bin| bin.share() >= BACK_SHARE * before;
    bins.windows(stay)
        .position(|window| window.iter().all(back))
        .map_or(Recovery::Never, |position| {
            Recovery::Seconds(position as f64 * BIN_MILLIS as f64 / 1_000.0)
        })
}
