//! Faults and other scheduled happenings of a scenario.

use rillgap_core::id::{BackEndName, NodeName, ServiceName, ZoneName};
use serde::{Deserialize, Serialize};

/// A fault with its time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct TimedFault {
    /// When it begins, in milliseconds of virtual time.
    pub at_millis: u64,
    /// How long it lasts, in milliseconds; zero for faults that are over at once.
    #[serde(default)]
    pub for_millis: u64,
    /// What happens.
    #[serde(flatten)]
    pub fault: Fault,
}

/// Something that is scheduled to happen.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(
    tag = "kind",
    rename_all = "kebab-case",
    rename_all_fields = "kebab-case"
)]
pub enum Fault {
    /// A node loses its memory and links; it is started again when the fault ends.
    KillNode {
        /// The node.
        node: NodeName,
    },
    /// A node does nothing while the clock goes on, and continues when the fault ends.
    FreezeNode {
        /// The node.
        node: NodeName,
    },
    /// A node is asked to stop as planned; it is started again when the fault ends.
    StopNode {
        /// The node.
        node: NodeName,
    },
    /// Nothing passes from one zone to another.
    CutZones {
        /// Zone of the senders.
        from: ZoneName,
        /// Zone of the receivers; all others if absent.
        #[serde(default)]
        to: Option<ZoneName>,
        /// Whether the other direction still works.
        #[serde(default)]
        one_way: bool,
    },
    /// Nothing passes from or to one node.
    CutNode {
        /// The node.
        node: NodeName,
        /// Whether the node can still send.
        #[serde(default)]
        one_way: bool,
    },
    /// The store does not answer.
    StoreDown,
    /// The store answers late.
    StoreSlow {
        /// Additional latency, in milliseconds.
        extra_millis: u64,
    },
    /// Writes take effect and their answers are lost.
    StoreLosesAnswers,
    /// Reads are served from a copy of the moment at which the fault began.
    StoreStale,
    /// The machine list no longer changes.
    MachineListStuck,
    /// All back ends of a service are slower.
    SlowService {
        /// The service.
        service: ServiceName,
        /// Factor on the time of work.
        factor: f64,
    },
    /// One back end loses its memory and connections; it is started cold when the fault ends.
    KillBackEnd {
        /// The back end.
        back_end: BackEndName,
    },
    /// One back end sends nothing further, even halfway through a body.
    SilenceBackEnd {
        /// The back end.
        back_end: BackEndName,
    },
    /// One back end announces that it is leaving; it serves again when the fault ends.
    AnnounceLeaving {
        /// The back end.
        back_end: BackEndName,
    },
    /// The machine list says that a node's machine is leaving.
    MachineLeaving {
        /// The node.
        node: NodeName,
    },
    /// A group of callers sends more.
    Surge {
        /// Name of the group; all groups if absent.
        #[serde(default)]
        caller: Option<String>,
        /// Factor on the rate.
        factor: f64,
    },
    /// An operator drains a back end, and takes it back when the fault ends.
    DrainBackEnd {
        /// The back end.
        back_end: BackEndName,
        /// Node through which the operator works.
        through: NodeName,
    },
    /// An operator applies a changed policy.
    ApplyPolicy {
        /// Node through which the operator works.
        through: NodeName,
        /// New queue bound of all services, in milliseconds, by which the change is known.
        queue_millis: u32,
    },
}
