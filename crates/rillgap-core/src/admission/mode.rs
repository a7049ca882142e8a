//! Selection of the overload control. All modes but [`ControlMode::Full`] are baselines for
//! experiments.

/// How much of the overload control is active.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ControlMode {
    /// All mechanisms.
    #[default]
    Full,
    /// No control: every request is started at once and every hop may retry.
    None,
    /// A fixed concurrency limit with a first-in, first-out queue.
    Fixed,
}

/// Settings of admission control at one node.
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

    /// Returns whether requests are cancelled once no caller waits for their answer.
    pub const fn cancels_abandoned_work(&self) -> bool {
        matches!(self.mode, ControlMode::Full)
    }

    /// Returns whether attempts are limited per hop only, without a limit for the whole chain, as
    /// in the baselines.
    pub const fn has_unbounded_chain(&self) -> bool {
        !matches!(self.mode, ControlMode::Full)
    }
}
