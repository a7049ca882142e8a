//! Recorded traces give their stated outcomes.

use std::path::Path;
use std::sync::Arc;

use googletest::prelude::*;
use rillgap_lab::model::recorded::RecordedTrace;
use rillgap_lab::observe::{self, usability};
use rillgap_lab::sim::engine;
use rillgap_lab::sim::options::SimulationOptions;

#[gtest]
fn every_recorded_trace_gives_its_stated_outcome() -> Result<()> {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("traces");
    let mut replayed = 0;
    for entry in std::fs::read_dir(directory)? {
        let path = entry?.path();
        let trace = RecordedTrace::load(&path)?;
        let scenario = Arc::new(trace.scenario()?);
        let outcome = engine::run(&scenario, trace.seed, SimulationOptions::default())?;
        expect_that!(observe::check(&outcome), is_empty(), "{}", path.display());
        let keyed = usability::measure(&outcome);
        println!("{}: {keyed:?}", path.display());
        let least = keyed.wanted * u64::from(trace.outcome.keyed_completed_percent);
        expect_that!(keyed.completed * 100, ge(least), "{}", path.display());
        replayed += 1;
    }
    expect_that!(replayed, gt(0));
    Ok(())
}
