//! Recorded traces: a seed or a scenario with its stated outcome.

use std::path::Path;

use serde::{Deserialize, Serialize};

use super::deployment::Deployment;
use super::exploration;
use super::fault::TimedFault;
use super::scenario::{Scenario, ScenarioError};

/// A run with its stated outcome.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct RecordedTrace {
    /// What went wrong when it was recorded, for people.
    pub reason: String,
    /// Deployment that ran.
    pub deployment: Deployment,
    /// Seed of all random numbers.
    pub seed: u64,
    /// Faults as they were; they are kept here because draws of a seed may change.
    #[serde(default, rename = "fault")]
    pub faults: Vec<TimedFault>,
    /// What must be seen.
    pub outcome: StatedOutcome,
}

/// What must be seen when a trace is replayed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct StatedOutcome {
    /// Least share of the requests with a key that must complete, in percent.
    #[serde(default)]
    pub keyed_completed_percent: u8,
}

impl RecordedTrace {
    /// Reads a trace.
    ///
    /// # Errors
    ///
    /// Returns why the file cannot be read or parsed.
    pub fn load(path: &Path) -> Result<Self, ScenarioError> {
        let text = std::fs::read_to_string(path).map_err(|source| ScenarioError::Unreadable {
            path: path.display().to_string(),
            source,
        })?;
        Ok(toml::from_str(&text)?)
    }

    /// Returns the scenario that ran.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the deployment's file.
    pub fn scenario(&self) -> Result<Scenario, ScenarioError> {
        let mut scenario = exploration::draw(self.deployment, self.seed)?;
        scenario.faults.clone_from(&self.faults);
        Ok(scenario)
    }
}
