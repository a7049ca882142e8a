//! The two deployments that ship as scenarios.

use std::str::FromStr;

use serde::{Deserialize, Serialize};

use super::scenario::{Scenario, ScenarioError};

/// A deployment that ships with the lab.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Deployment {
    /// Taxi dispatch in Trondheim.
    Trondheim,
    /// Drill-core archive in Jylland.
    Jylland,
}

impl Deployment {
    /// Both deployments.
    pub const ALL: [Self; 2] = [Self::Trondheim, Self::Jylland];

    /// Returns the name used on the command line.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Trondheim => "trondheim",
            Self::Jylland => "jylland",
        }
    }

    /// Returns the scenario of an ordinary minute.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the file that ships.
    pub fn scenario(self) -> Result<Scenario, ScenarioError> {
        Scenario::parse(match self {
            Self::Trondheim => include_str!("../../scenarios/trondheim.toml"),
            Self::Jylland => include_str!("../../scenarios/jylland.toml"),
        })
    }
}

impl FromStr for Deployment {
    type Err = String;

    fn from_str(name: &str) -> Result<Self, Self::Err> {
        Self::ALL
            .into_iter()
            .find(|deployment| deployment.name() == name)
            .ok_or_else(|| format!("{name:?} is neither trondheim nor jylland"))
    }
}
