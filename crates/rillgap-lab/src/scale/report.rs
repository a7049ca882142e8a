//! Results of an experiment at one size.

use std::fmt;

use serde::Serialize;

/// Results at all sizes.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ScaleReport {
    /// Seed of the runs.
    pub seed: u64,
    /// One entry for each size.
    pub sizes: Vec<SizeReport>,
}

/// Results at one size.
#[derive(Clone, Debug, Default, Serialize)]
pub struct SizeReport {
    /// Number of nodes.
    pub nodes: usize,
    /// Resident memory of the process for each node, once the deployment stands.
    pub memory_bytes_per_node: u64,
    /// Seconds from the start of all nodes until all are in one view.
    pub formation_seconds: Option<f64>,
    /// Everything from the start to then.
    pub formation: PhaseReport,
    /// Bytes of the encoded policy.
    pub policy_bytes: usize,
    /// The first policy.
    pub first_change: ChangeReport,
    /// Nothing happens.
    pub steady: Option<PhaseReport>,
    /// Requests with keys.
    pub keyed: Option<KeyedReport>,
    /// A change of policy while nothing else happens.
    pub change: Option<ChangeReport>,
    /// Slow nodes, frozen nodes and links cut one way.
    pub slow: Option<FaultReport>,
    /// Nodes restarted at once.
    pub restart: Option<FaultReport>,
    /// All nodes of a zone killed at once.
    pub zone: Option<FaultReport>,
    /// A region cut off.
    pub region: Option<FaultReport>,
    /// Platform away while nodes are replaced.
    pub store_away: Option<FaultReport>,
}

/// Cost during some time.
#[derive(Clone, Debug, Default, Serialize)]
pub struct PhaseReport {
    /// Virtual seconds.
    pub seconds: f64,
    /// Cost by the role at its end.
    pub roles: Vec<RoleReport>,
    /// The platform.
    pub store: StoreReport,
}

/// Cost of the nodes of one role, both ways, frame headers included.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RoleReport {
    /// `member`, `relay`, `store reader` or `all`.
    pub role: &'static str,
    /// Number of nodes.
    pub nodes: usize,
    /// Control bytes a second with peers.
    pub bytes: Spread,
    /// Control messages a second.
    pub messages: Spread,
    /// Bytes a second with the platform.
    pub store_bytes: Spread,
    /// Processor time in percent of one core.
    pub processor_percent: Spread,
}

/// Mean, 99th percentile and worst of a set of nodes.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Spread {
    /// Mean.
    pub mean: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Worst.
    pub worst: f64,
}

impl Spread {
    /// Makes the spread of some values.
    pub fn of(mut values: Vec<f64>) -> Self {
        if values.is_empty() {
            return Self::default();
        }
        values.sort_by(f64::total_cmp);
        let last = values.len() - 1;
        Self {
            mean: values.iter().sum::<f64>() / values.len() as f64,
            p99: values[last * 99 / 100],
            worst: values[last],
        }
    }
}

/// Load at the platform.
#[derive(Clone, Debug, Default, Serialize)]
pub struct StoreReport {
    /// Requests.
    pub requests: u64,
    /// Most requests within one second.
    pub peak_requests: u64,
    /// Different nodes that asked.
    pub askers: usize,
    /// Most nodes of one region that had a blocking query open at the same time.
    pub peak_readers_of_region: usize,
    /// Most nodes of one region that asked for anything within one second.
    pub peak_askers_of_region: usize,
    /// Writes.
    pub writes: u64,
    /// Writes that met a conflict.
    pub conflicts: u64,
    /// Bytes a second, both ways.
    pub bytes_per_second: f64,
}

/// Spread of one change of policy.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ChangeReport {
    /// Nodes that could be reached when it was asked for.
    pub reachable: usize,
    /// Nodes of them at which it came into force.
    pub in_force: usize,
    /// Seconds until it was in force at half of them.
    pub median_seconds: f64,
    /// Seconds until it was in force at the last of them.
    pub last_seconds: f64,
    /// Seconds until the operator was told that it is accepted, if that happened.
    pub accepted_seconds: Option<f64>,
}

/// A fault and what followed.
#[derive(Clone, Debug, Default, Serialize)]
pub struct FaultReport {
    /// Hosts that the fault concerns.
    pub hosts: usize,
    /// Cost from its begin to the end of the watch.
    pub cost: PhaseReport,
    /// Seconds from the fault's end until all running nodes are in one view and serve.
    pub recovery_seconds: Option<f64>,
    /// A change of policy asked for during the fault.
    pub change: ChangeReport,
    /// Running nodes that were removed from the view although they ran.
    pub false_removals: usize,
    /// Nodes outside the fault that stopped serving at some time.
    pub stopped_serving: usize,
}

/// Cost of requests with keys.
#[derive(Clone, Debug, Default, Serialize)]
pub struct KeyedReport {
    /// Requests sent.
    pub sent: u64,
    /// Requests answered whole.
    pub answered: u64,
    /// Messages of claims for each request.
    pub claim_messages: f64,
    /// Their bytes.
    pub claim_bytes: f64,
    /// Messages of the data path for each request.
    pub call_messages: f64,
    /// Their bytes.
    pub call_bytes: f64,
    /// Processor time of all nodes for each request beyond the steady state, in microseconds.
    pub processor_micros: f64,
    /// Resident memory that each request left behind, in bytes, over all nodes.
    pub memory_bytes: f64,
}

impl fmt::Display for ScaleReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for size in &self.sizes {
            write!(formatter, "{size}")?;
        }
        Ok(())
    }
}

impl fmt::Display for SizeReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "== {} nodes, 22 zones, 6 regions", self.nodes)?;
        writeln!(
            formatter,
            "memory a node: {:.2} MB; formed in {} s; policy {} bytes",
            self.memory_bytes_per_node as f64 / 1e6,
            seconds(self.formation_seconds),
            self.policy_bytes
        )?;
        write_phase(formatter, "formation", &self.formation)?;
        write_change(formatter, "first policy", &self.first_change)?;
        if let Some(steady) = &self.steady {
            write_phase(formatter, "steady", steady)?;
        }
        if let Some(change) = &self.change {
            write_change(formatter, "change", change)?;
        }
        if let Some(keyed) = &self.keyed {
            write_keyed(formatter, keyed)?;
        }
        let faults = [
            ("slow nodes", &self.slow),
            ("restart", &self.restart),
            ("zone lost", &self.zone),
            ("region cut", &self.region),
            ("store away", &self.store_away),
        ];
        for (name, fault) in faults {
            if let Some(fault) = fault {
                write_fault(formatter, name, fault)?;
            }
        }
        Ok(())
    }
}

fn seconds(value: Option<f64>) -> String {
    value.map_or_else(|| "not reached".to_owned(), |value| format!("{value:.1}"))
}

fn write_phase(formatter: &mut fmt::Formatter<'_>, name: &str, phase: &PhaseReport) -> fmt::Result {
    for role in &phase.roles {
        writeln!(
            formatter,
            "  {name:<12} {:<13} n={:<5} B/s mean {:>8.0} p99 {:>8.0} worst {:>8.0} | msg/s {:>6.1} worst {:>6.1} | cpu % {:>6.3} worst {:>6.3} | store B/s worst {:>8.0}",
            role.role,
            role.nodes,
            role.bytes.mean,
            role.bytes.p99,
            role.bytes.worst,
            role.messages.mean,
            role.messages.worst,
            role.processor_percent.mean,
            role.processor_percent.worst,
            role.store_bytes.worst,
        )?;
    }
    let store = &phase.store;
    writeln!(
        formatter,
        "  {name:<12} store: {:.0} s, {} requests, peak {}/s, readers of a region at most {}, askers {}, of a region in a second {}, writes {}, conflicts {}, {:.0} B/s",
        phase.seconds,
        store.requests,
        store.peak_requests,
        store.peak_readers_of_region,
        store.askers,
        store.peak_askers_of_region,
        store.writes,
        store.conflicts,
        store.bytes_per_second,
    )
}

fn write_change(
    formatter: &mut fmt::Formatter<'_>,
    name: &str,
    change: &ChangeReport,
) -> fmt::Result {
    writeln!(
        formatter,
        "  {name:<12} policy in force at {} of {} reachable: median {:.2} s, last {:.2} s, accepted after {} s",
        change.in_force,
        change.reachable,
        change.median_seconds,
        change.last_seconds,
        seconds(change.accepted_seconds),
    )
}

fn write_fault(formatter: &mut fmt::Formatter<'_>, name: &str, fault: &FaultReport) -> fmt::Result {
    write_phase(formatter, name, &fault.cost)?;
    write_change(formatter, name, &fault.change)?;
    writeln!(
        formatter,
        "  {name:<12} hosts {}, all in one view and serving after {} s, false removals {}, others that stopped serving {}",
        fault.hosts,
        seconds(fault.recovery_seconds),
        fault.false_removals,
        fault.stopped_serving,
    )
}

fn write_keyed(formatter: &mut fmt::Formatter<'_>, keyed: &KeyedReport) -> fmt::Result {
    writeln!(
        formatter,
        "  keyed        {} sent, {} answered; a request: claims {:.1} messages {:.0} bytes, calls {:.1} messages {:.0} bytes, cpu {:.0} us, memory {:.0} bytes",
        keyed.sent,
        keyed.answered,
        keyed.claim_messages,
        keyed.claim_bytes,
        keyed.call_messages,
        keyed.call_bytes,
        keyed.processor_micros,
        keyed.memory_bytes,
    )
}
