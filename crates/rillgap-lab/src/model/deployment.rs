//! The two deployments that ship as scenarios.

use super::scenario::{Scenario, ScenarioError};

/// A deployment that ships with the lab.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
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

    /// Returns the deployment with this name.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL
            .into_iter()
            .find(|deployment| deployment.name() == name)
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
