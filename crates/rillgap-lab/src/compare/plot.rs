//! Plots of goodput over time, one panel for each variant.

use std::path::{Path, PathBuf};

use plotters::prelude::*;
use rillgap_core::policy::Class;

use super::figures::{RunFigures, Second};
use super::trigger::Spans;
use crate::model::scenario::Scenario;

const SIZE: (u32, u32) = (1_000, 320);
const MARGIN: u32 = 12;
const LABEL_AREA: u32 = 56;

/// One line of a panel.
struct Line {
    label: &'static str,
    color: RGBColor,
    value: fn(&Second) -> f64,
}

const LINES: [Line; 5] = [
    Line {
        label: "offered",
        color: RGBColor(170, 170, 170),
        value: |second| sum(&second.offered),
    },
    Line {
        label: "best possible",
        color: RGBColor(60, 60, 60),
        value: |second| second.best.iter().sum(),
    },
    Line {
        label: "goodput",
        color: RGBColor(31, 119, 180),
        value: |second| sum(&second.good),
    },
    Line {
        label: "protected offered",
        color: RGBColor(255, 187, 120),
        value: |second| f64::from(second.offered[Class::Critical.index()]),
    },
    Line {
        label: "protected goodput",
        color: RGBColor(214, 39, 40),
        value: |second| f64::from(second.good[Class::Critical.index()]),
    },
];

fn sum(counts: &[u32]) -> f64 {
    counts.iter().map(|count| f64::from(*count)).sum()
}

/// Draws the runs of one seed into `directory`, one panel for each variant.
///
/// # Errors
///
/// Returns why the file could not be written.
pub fn draw(
    directory: &Path,
    scenario: &Scenario,
    runs: &[&RunFigures],
) -> Result<PathBuf, PlotError> {
    let path = directory.join(format!("{}.svg", scenario.name));
    let height = SIZE.1 * runs.len() as u32;
    let root = SVGBackend::new(&path, (SIZE.0, height)).into_drawing_area();
    root.fill(&WHITE).map_err(PlotError::new)?;
    let highest = runs
        .iter()
        .flat_map(|run| &run.seconds)
        .map(|second| sum(&second.offered))
        .fold(1.0, f64::max);
    for (area, run) in root.split_evenly((runs.len(), 1)).iter().zip(runs) {
        panel(area, scenario, run, highest)?;
    }
    root.present().map_err(PlotError::new)?;
    drop(root);
    Ok(path)
}

fn panel(
    area: &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
    scenario: &Scenario,
    run: &RunFigures,
    highest: f64,
) -> Result<(), PlotError> {
    let title = format!(
        "{}: {} (seed {})",
        scenario.name,
        run.variant.name(),
        run.seed
    );
    let seconds = run.seconds.len() as f64;
    let mut chart = ChartBuilder::on(area)
        .caption(title, ("sans-serif", 18))
        .margin(MARGIN)
        .x_label_area_size(LABEL_AREA)
        .y_label_area_size(LABEL_AREA)
        .build_cartesian_2d(0.0..seconds, 0.0..highest * 1.05)
        .map_err(PlotError::new)?;
    chart
        .configure_mesh()
        .x_desc("seconds")
        .y_desc("requests per second")
        .light_line_style(WHITE)
        .draw()
        .map_err(PlotError::new)?;
    let spans = Spans::of(scenario);
    if spans.disturbed {
        let (from, to) = (spans.trigger.from as f64, spans.trigger.to as f64);
        let shade = Rectangle::new(
            [(from / 1e3, 0.0), (to / 1e3, highest * 1.05)],
            RGBColor(255, 220, 200).mix(0.4).filled(),
        );
        chart.draw_series([shade]).map_err(PlotError::new)?;
    }
    for line in &LINES {
        let points = run
            .seconds
            .iter()
            .enumerate()
            .map(|(second, counts)| (second as f64 + 0.5, (line.value)(counts)));
        let color = line.color;
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))
            .map_err(PlotError::new)?
            .label(line.label)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color.stroke_width(2)));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()
        .map_err(PlotError::new)
}

/// Why a plot could not be drawn.
#[derive(Debug, thiserror::Error)]
#[error("plot cannot be drawn: {0}")]
pub struct PlotError(String);

impl PlotError {
    fn new(error: impl std::fmt::Display) -> Self {
        Self(error.to_string())
    }
}
