//! Shares of the kinds of requests in a load.

use std::str::FromStr;

use rand::{Rng, RngExt};

use super::request::{RequestKind, UnknownKind};

/// Kinds of requests with their weights, written `booking=70,browse=20,bulk=10`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Mix {
    weights: Vec<(RequestKind, u32)>,
    total: u32,
}

/// A mix is malformed.
#[derive(Debug, thiserror::Error)]
pub enum MixError {
    /// A part is not of the form `KIND=WEIGHT`.
    #[error("{0:?} is not of the form KIND=WEIGHT")]
    Malformed(String),
    /// A kind is unknown.
    #[error(transparent)]
    Kind(#[from] UnknownKind),
    /// All weights are zero, or their sum is too large.
    #[error("the weights must add up to a number from 1 to 4294967295")]
    Total,
}

impl FromStr for Mix {
    type Err = MixError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let parts = text.split(',').filter(|part| !part.is_empty());
        let weights: Vec<(RequestKind, u32)> = parts.map(parse_weight).collect::<Result<_, _>>()?;
        let sum: u64 = weights.iter().map(|(_, weight)| u64::from(*weight)).sum();
        match u32::try_from(sum) {
            Ok(total) if total > 0 => Ok(Self { weights, total }),
            _ => Err(MixError::Total),
        }
    }
}

impl Mix {
    /// Draws a kind by its weight.
    pub fn draw(&self, random: &mut impl Rng) -> RequestKind {
        let mut point = random.random_range(0..self.total);
        for (kind, weight) in &self.weights {
            if point < *weight {
                return *kind;
            }
            point -= weight;
        }
        unreachable!("the point lies below the sum of all weights")
    }
}

fn parse_weight(part: &str) -> Result<(RequestKind, u32), MixError> {
    let malformed = || MixError::Malformed(part.to_owned());
    let (kind, weight) = part.split_once('=').ok_or_else(malformed)?;
    let weight = weight.parse().map_err(|_| malformed())?;
    Ok((kind.parse()?, weight))
}
