//! Options of a run that are not part of its scenario.

use rillgap_core::admission::AdmissionSettings;
use rillgap_core::claim::ClaimFaults;

/// Options of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SimulationOptions {
    /// Whether a readable timeline is recorded.
    pub timeline: bool,
    /// Overload control of all nodes; anything but the default is a baseline.
    pub admission: AdmissionSettings,
    /// Fault that is planted to show that a checker catches it.
    pub planted: Option<PlantedFault>,
    /// Faults of the claim protocol that are planted in every node; none by default.
    pub claim_faults: ClaimFaults,
}

/// Faults that are planted to show that a checker catches them, one for each condition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlantedFault {
    /// Nodes are given a larger bound of extra attempts than the one that is promised.
    BoundRaised,
    /// Nodes are given a policy in which the highest and the lowest class are exchanged.
    ClassesExchanged,
    /// Answers of a back end reach the wrong attempts.
    AnswersMixedUp,
    /// Back ends run requests that they claim to have refused.
    RefusedRequestsRun,
    /// Back ends run every request twice.
    RequestsRunTwice,
    /// Nodes do not hear that a back end is leaving.
    LeavingUnheard,
    /// A planned stop ends the process at once.
    StopAtOnce,
    /// A restarted node begins with the first policy again.
    PolicyReverts,
}

impl PlantedFault {
    /// All planted faults, in the order of the conditions.
    pub const ALL: [Self; 8] = [
        Self::BoundRaised,
        Self::ClassesExchanged,
        Self::AnswersMixedUp,
        Self::RefusedRequestsRun,
        Self::RequestsRunTwice,
        Self::LeavingUnheard,
        Self::StopAtOnce,
        Self::PolicyReverts,
    ];
}
