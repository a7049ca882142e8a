//! Comparison of overload control with baselines, over many seeds of one scenario.
//!
//! [`plan`] runs every variant with every seed in parallel, [`measure`] turns the ledger of a
//! run into figures, [`ideal`] computes what the services could complete at best, and
//! [`summary`] takes medians and worst cases. `docs/OVERLOAD.md` defines each figure.

pub mod figures;
pub mod ideal;
pub mod layering;
pub mod measure;
pub mod occupancy;
pub mod plan;
pub mod plot;
pub mod recovery;
pub mod report;
pub mod summary;
pub mod trigger;
pub mod variant;

/// Why a comparison could not be made.
#[derive(Debug, thiserror::Error)]
pub enum CompareError {
    /// No scenario file was named.
    #[error("no scenario file given")]
    NoScenario,
    /// A scenario cannot be used.
    #[error(transparent)]
    Scenario(#[from] crate::model::scenario::ScenarioError),
    /// A simulation could not run.
    #[error(transparent)]
    Simulation(#[from] crate::sim::engine::EngineError),
    /// A plot could not be drawn.
    #[error(transparent)]
    Plot(#[from] plot::PlotError),
    /// A figure could not be written as JSON.
    #[error("figures cannot be written as JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// A report could not be written.
    #[error("report cannot be written: {0}")]
    Report(#[from] std::io::Error),
}
