//! Ranges of seeds on the command line.

use std::ops::Range;
use std::str::FromStr;

/// A half-open range of seeds, written `A..B`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SeedRange(pub Range<u64>);

impl FromStr for SeedRange {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let expected = || format!("{text:?} is not a range of seeds such as 0..100");
        let (first, end) = text.split_once("..").ok_or_else(expected)?;
        let first: u64 = first.parse().map_err(|_| expected())?;
        let end: u64 = end.parse().map_err(|_| expected())?;
        if first >= end {
            return Err(expected());
        }
        Ok(Self(first..end))
    }
}
