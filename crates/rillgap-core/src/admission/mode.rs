//! Which overload control is in force; anything but the full one is a baseline for experiments.

/// How much of the overload control is active.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ControlMode {
    /// All mechanisms.
    #[default]
    Full,
    /// No control: every request is started at once and every hop may retry.
    None,
    /// A fixed concurrency limit with a queue in order of arrival.
    Fixed,
}

/// Settings of admission at one node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AdmissionSettings {
    /// How much of the overload control is active.
    pub mode: ControlMode,
}

impl AdmissionSettings {
    /// Creates settings with the given mode.
    pub const fn new(mode: ControlMode) -> Self {
        Self { mode }
    }

    /// Returns whether work that nobody waits for any more is cancelled.
    pub const fn cancels_abandoned_work(&self) -> bool {
        matches!(self.mode, ControlMode::Full)
    }

    /// Returns whether the baseline limits only the attempts of each hop, not of the chain.
    pub const fn has_unbounded_chain(&self) -> bool {
        !matches!(self.mode, ControlMode::Full)
    }
}
