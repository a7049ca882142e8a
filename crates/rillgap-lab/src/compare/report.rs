//! Tables of a comparison, as text for people and as JSON for programs.

use std::fmt::Write;

use rillgap_core::policy::Class;
use serde::Serialize;

use super::summary::{RecoverySpread, Spread, Summary};

/// A comparison of one scenario.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Comparison {
    /// Name of the scenario.
    pub scenario: String,
    /// First and last seed.
    pub seeds: (u64, u64),
    /// One summary for each variant.
    pub variants: Vec<Summary>,
}

const HEADINGS: [&str; 11] = [
    "variant",
    "goodput of best",
    "of offered",
    "protected",
    "standard",
    "browsing",
    "bulk",
    "wasted",
    "recovery",
    "retries",
    "fairness",
];

impl Comparison {
    /// Returns the comparison as a Markdown table, `median (worst)` in each cell.
    pub fn table(&self) -> String {
        let mut text = format!(
            "### {} (seeds {} to {})\n\n| {} |\n|{}\n",
            self.scenario,
            self.seeds.0,
            self.seeds.1,
            HEADINGS.join(" | "),
            "---|".repeat(HEADINGS.len()),
        );
        for summary in &self.variants {
            let _ = writeln!(text, "| {} |", cells(summary).join(" | "));
        }
        if let Some(first) = self.variants.first() {
            let _ = writeln!(
                text,
                "\nProtected demand that fits: {} of offered.",
                percent(&first.protected_best)
            );
        }
        for summary in &self.variants {
            let _ = writeln!(
                text,
                "Requests refused at least once, {}: {:.0} ({:.0}).",
                summary.variant.name(),
                summary.refused.median,
                summary.refused.worst
            );
        }
        text
    }
}

fn cells(summary: &Summary) -> Vec<String> {
    let class = |class: Class| percent(&summary.class_goodput[class.index()]);
    vec![
        summary.variant.name().to_owned(),
        percent(&summary.goodput_of_best),
        percent(&summary.goodput_of_offered),
        percent(&summary.protected_goodput),
        class(Class::Standard),
        class(Class::Sheddable),
        class(Class::Bulk),
        percent(&summary.wasted),
        recovery(summary.recovery.as_ref()),
        format!(
            "{:.0} ({:.0})",
            summary.highest_retries.median, summary.highest_retries.worst
        ),
        format!(
            "{:.3} ({:.3})",
            summary.fairness.median, summary.fairness.worst
        ),
    ]
}

fn percent(spread: &Spread) -> String {
    format!(
        "{:.1}% ({:.1}%)",
        100.0 * spread.median,
        100.0 * spread.worst
    )
}

fn recovery(spread: Option<&RecoverySpread>) -> String {
    spread.map_or_else(
        || "no trigger".to_owned(),
        |spread| format!("{} ({})", spread.median, spread.worst),
    )
}
