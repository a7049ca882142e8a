//! What is compared.

use rillgap_core::admission::{AdmissionSettings, ControlMode};
use serde::Serialize;

/// One way of control.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Variant {
    /// All mechanisms of rillgap.
    Rillgap,
    /// No control: everything is sent on, and nodes and services retry at each hop.
    NoControl,
    /// Fixed concurrency limits, queues in order of arrival, a fixed number of retries.
    FixedLimits,
}

impl Variant {
    /// All variants, in the order of reports.
    pub const ALL: [Self; 3] = [Self::Rillgap, Self::NoControl, Self::FixedLimits];

    /// Returns the name used in reports.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Rillgap => "rillgap",
            Self::NoControl => "no control",
            Self::FixedLimits => "fixed limits",
        }
    }

    /// Returns the settings that nodes run with.
    pub const fn admission(self) -> AdmissionSettings {
        AdmissionSettings::new(match self {
            Self::Rillgap => ControlMode::Full,
            Self::NoControl => ControlMode::None,
            Self::FixedLimits => ControlMode::Fixed,
        })
    }
}
