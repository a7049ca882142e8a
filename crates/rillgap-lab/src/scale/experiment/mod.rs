//! The experiment at one size: forms a deployment, measures it, and lets faults happen.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rillgap_core::policy::Policy;
use rillgap_core::time::Instant;

use crate::scale::fleet::Fleet;
use crate::scale::layout::Layout;
use crate::scale::measure::resident_bytes;
use crate::scale::meter::{HostMeter, Part};
use crate::scale::report::{
    ChangeReport, FaultReport, KeyedReport, PhaseReport, RoleReport, SizeReport, Spread,
    StoreReport,
};

mod change;
mod watch;

use watch::Watch;

/// Nodes of the full size that are restarted at once.
const RESTARTED: usize = 130;
/// Full size.
const FULL_SIZE: usize = 1_900;
/// Step at which conditions are looked at.
const STEP: Duration = Duration::from_millis(100);
/// Longest time that a condition is waited for.
const LIMIT: Duration = Duration::from_secs(180);
/// Longest time that the formation of the deployment is waited for.
const FORMATION_LIMIT: Duration = Duration::from_secs(60);
/// What is run.
#[derive(Clone, Debug)]
pub struct ExperimentOptions {
    /// Number of nodes.
    pub nodes: usize,
    /// Seed of the run.
    pub seed: u64,
    /// Time for which the platform is away.
    pub store_away: Duration,
    /// Time over which the steady state and the requests with keys are measured.
    pub steady: Duration,
    /// Parts that are run after the deployment stands.
    pub parts: BTreeSet<ExperimentPart>,
}

/// One part of the experiment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ExperimentPart {
    /// Nothing happens, then one change of policy, then requests with keys.
    Steady,
    /// Slow nodes, frozen nodes and links cut one way.
    Slow,
    /// Nodes restarted at once.
    Restart,
    /// A zone lost.
    Zone,
    /// A region cut off.
    Region,
    /// The platform away.
    Store,
}

impl ExperimentPart {
    /// All parts with their names.
    pub const ALL: [(&'static str, Self); 6] = [
        ("steady", Self::Steady),
        ("slow", Self::Slow),
        ("restart", Self::Restart),
        ("zone", Self::Zone),
        ("region", Self::Region),
        ("store", Self::Store),
    ];

    /// Returns the part of a name.
    pub fn from_name(name: &str) -> Option<Self> {
        let found = Self::ALL.iter().find(|(known, _)| *known == name);
        found.map(|(_, part)| *part)
    }
}

/// Runs the experiment.
pub fn run(options: &ExperimentOptions) -> SizeReport {
    let memory_before = resident_bytes();
    let layout = Layout {
        nodes: options.nodes,
    };
    let mut experiment = Experiment {
        fleet: Fleet::new(layout, options.seed),
        policy: layout.policy(),
        next_request: 0,
    };
    let mut report = SizeReport {
        nodes: options.nodes,
        policy_bytes: bitcode::encode(&experiment.policy).len(),
        ..SizeReport::default()
    };
    experiment.form(&mut report);
    report.memory_bytes_per_node =
        resident_bytes().saturating_sub(memory_before) / options.nodes as u64;
    for part in &options.parts {
        match part {
            ExperimentPart::Steady => experiment.measure_steady(options.steady, &mut report),
            ExperimentPart::Slow => report.slow = Some(experiment.slow_nodes()),
            ExperimentPart::Restart => report.restart = Some(experiment.restart()),
            ExperimentPart::Zone => report.zone = Some(experiment.lose_zone()),
            ExperimentPart::Region => report.region = Some(experiment.cut_region()),
            ExperimentPart::Store => {
                report.store_away = Some(experiment.store_away(options.store_away));
            }
        }
    }
    report
}

struct Experiment {
    fleet: Fleet,
    policy: Policy,
    next_request: u64,
}

impl Experiment {
    fn form(&mut self, report: &mut SizeReport) {
        log::info!("scale: {} nodes start", self.fleet.hosts.len());
        for host in 0..self.fleet.hosts.len() {
            self.fleet.start(host);
        }
        let begin = self.fleet.time;
        let formed = self.fleet.run_until(FORMATION_LIMIT, STEP, is_one_view);
        log::info!(
            "scale: formed after {formed:?}, view {:?}",
            self.fleet.view_version(0)
        );
        report.formation_seconds = formed.map(|formed| formed.as_secs_f64());
        report.formation = self.phase(begin);
        self.fleet.run(Duration::from_secs(15));
        report.first_change = self.change_policy(0);
        self.fleet.run(Duration::from_secs(15));
    }

    fn measure_steady(&mut self, duration: Duration, report: &mut SizeReport) {
        log::info!("scale: steady state");
        self.fleet.reset_meters();
        let begin = self.fleet.time;
        self.fleet.run(duration);
        report.steady = Some(self.phase(begin));
        let processor = self.processor();
        report.change = Some(self.change_policy(1));
        self.fleet.run(Duration::from_secs(5));
        report.keyed = Some(self.keyed(duration, processor));
    }

    /// Sends requests with keys for a while.
    fn keyed(&mut self, duration: Duration, steady_processor: Duration) -> KeyedReport {
        let memory_before = resident_bytes();
        self.fleet.reset_meters();
        self.fleet.set_load(Some(Duration::from_secs(2)));
        self.fleet.run(duration);
        self.fleet.set_load(None);
        let count = self.fleet.keyed.sent.max(1) as f64;
        let processor = self.processor().saturating_sub(steady_processor);
        let sum = |part: Part| {
            let hosts = self.fleet.hosts.iter();
            let traffic = hosts.map(|host| host.meter.sent.get(&part).copied().unwrap_or_default());
            traffic.fold((0, 0), |sum, traffic| {
                (sum.0 + traffic.messages, sum.1 + traffic.bytes)
            })
        };
        let (claims, calls) = (sum(Part::Claim), sum(Part::Call));
        KeyedReport {
            sent: self.fleet.keyed.sent,
            answered: self.fleet.keyed.answered,
            claim_messages: claims.0 as f64 / count,
            claim_bytes: claims.1 as f64 / count,
            call_messages: calls.0 as f64 / count,
            call_bytes: calls.1 as f64 / count,
            processor_micros: processor.as_secs_f64() * 1e6 / count,
            memory_bytes: resident_bytes().saturating_sub(memory_before) as f64 / count,
        }
    }

    /// Returns the processor time of all nodes since the meters were reset.
    fn processor(&self) -> Duration {
        let hosts = self.fleet.hosts.iter();
        let sum: Duration = hosts.map(|host| host.meter.processor).sum();
        sum.mul_f64(self.fleet.phase_clock.share())
    }

    /// A twentieth of the hosts is slow, some freeze for 0.5 to 3 s, and some links are cut one way.
    fn slow_nodes(&mut self) -> FaultReport {
        log::info!("scale: slow nodes");
        let begin = self.begin_fault();
        let count = (self.fleet.hosts.len() / 20).max(1);
        let slow = self.draw_hosts(count);
        for &host in &slow {
            self.fleet
                .network
                .slow_host(host, Duration::from_millis(1_200));
        }
        for _ in 0..count {
            let from = self.fleet.random.position(self.fleet.hosts.len());
            let to = self.fleet.random.position(self.fleet.hosts.len());
            self.fleet.network.cut_link(from, to);
        }
        let mut watch = Watch::new(&slow);
        for _ in 0..60 {
            let frozen = self.fleet.random.position(self.fleet.hosts.len());
            let millis = 500 + self.fleet.random.up_to(2_500);
            self.fleet.freeze(frozen, Duration::from_millis(millis));
            watch.excuse(frozen);
            self.fleet.run(Duration::from_secs(1));
            watch.look(&self.fleet);
        }
        let change = self.change_policy(2);
        let mut report = self.end_fault(begin, slow.len(), change);
        watch.write(&mut report);
        report
    }

    fn restart(&mut self) -> FaultReport {
        log::info!("scale: restart");
        let begin = self.begin_fault();
        let hosts = self.draw_hosts(self.restarted());
        let mut watch = Watch::new(&hosts);
        for &host in &hosts {
            self.fleet.start(host);
        }
        self.fleet.run(Duration::from_secs(1));
        watch.look(&self.fleet);
        let change = self.change_policy(3);
        watch.look(&self.fleet);
        let mut report = self.end_fault(begin, hosts.len(), change);
        watch.write(&mut report);
        report
    }

    fn restarted(&self) -> usize {
        (self.fleet.hosts.len() * RESTARTED / FULL_SIZE).max(2)
    }

    fn lose_zone(&mut self) -> FaultReport {
        log::info!("scale: zone lost");
        let begin = self.begin_fault();
        let zone = Layout::zones() - 1;
        let hosts: Vec<usize> = (0..self.fleet.hosts.len())
            .filter(|host| self.fleet.layout.place(*host).zone == zone)
            .collect();
        let mut watch = Watch::new(&hosts);
        for &host in &hosts {
            self.fleet.kill(host);
        }
        self.fleet.run(Duration::from_secs(2));
        let change = self.change_policy(4);
        for _ in 0..90 {
            self.fleet.run(Duration::from_secs(1));
            watch.look(&self.fleet);
        }
        for &host in &hosts {
            self.fleet.start(host);
        }
        let mut report = self.end_fault(begin, hosts.len(), change);
        watch.write(&mut report);
        report
    }

    fn cut_region(&mut self) -> FaultReport {
        log::info!("scale: region cut");
        let begin = self.begin_fault();
        let region = Layout::regions() - 1;
        let hosts: Vec<usize> = (0..self.fleet.hosts.len())
            .filter(|host| self.fleet.layout.place(*host).region == region)
            .collect();
        let mut watch = Watch::new(&[]);
        self.fleet.network.cut_region(region);
        self.fleet.run(Duration::from_secs(10));
        let change = self.change_policy_at(5, &hosts);
        for _ in 0..170 {
            self.fleet.run(Duration::from_secs(1));
            watch.look(&self.fleet);
        }
        let mut report = self.end_fault(begin, hosts.len(), change);
        watch.write(&mut report);
        report
    }

    /// The platform is away while nodes are replaced, one after the other, and comes back.
    fn store_away(&mut self, duration: Duration) -> FaultReport {
        log::info!("scale: store away");
        let begin = self.begin_fault();
        let hosts = self.draw_hosts(self.restarted());
        let mut watch = Watch::new(&hosts);
        self.fleet.set_store_away(true);
        let pause = duration / u32::try_from(hosts.len() + 1).unwrap_or(u32::MAX);
        for &host in &hosts {
            self.fleet.run(pause);
            self.fleet.start(host);
            watch.look(&self.fleet);
        }
        self.fleet.run(pause);
        self.fleet.set_store_away(false);
        self.fleet.run(Duration::from_secs(1));
        let mut report = self.end_fault(begin, hosts.len(), ChangeReport::default());
        report.change = self.change_policy(6);
        watch.write(&mut report);
        report
    }

    fn begin_fault(&mut self) -> Instant {
        self.fleet.reset_meters();
        self.fleet.time
    }

    /// Ends all faults and waits until all nodes are in one view and serve.
    fn end_fault(&mut self, begin: Instant, hosts: usize, change: ChangeReport) -> FaultReport {
        self.fleet.network.heal();
        let recovery = self.fleet.run_until(LIMIT, STEP, |fleet| {
            is_one_view(fleet) && fleet.running().all(|host| fleet.hosts[host].serving)
        });
        let cost = self.phase(begin);
        self.fleet.run(Duration::from_secs(20));
        FaultReport {
            hosts,
            cost,
            recovery_seconds: recovery.map(|recovery| recovery.as_secs_f64()),
            change,
            ..FaultReport::default()
        }
    }

    fn draw_hosts(&mut self, count: usize) -> Vec<usize> {
        let mut hosts = BTreeSet::new();
        while hosts.len() < count {
            hosts.insert(self.fleet.random.position(self.fleet.hosts.len()));
        }
        hosts.into_iter().collect()
    }

    /// Makes the report of what was metered since `begin`.
    fn phase(&self, begin: Instant) -> PhaseReport {
        let seconds = self.fleet.time.saturating_since(begin).as_secs_f64();
        let mut roles: BTreeMap<&'static str, Vec<&HostMeter>> = BTreeMap::new();
        for host in self.fleet.running() {
            let meter = &self.fleet.hosts[host].meter;
            roles.entry(self.role(host)).or_default().push(meter);
            roles.entry("all").or_default().push(meter);
        }
        let store = &self.fleet.store_meter;
        let share = self.fleet.phase_clock.share();
        PhaseReport {
            seconds,
            roles: roles
                .into_iter()
                .map(|(role, meters)| role_report(role, &meters, seconds, share))
                .collect(),
            store: StoreReport {
                requests: store.total(),
                peak_requests: store.peak_requests(),
                askers: store.askers(),
                peak_readers_of_region: store.peak_readers,
                peak_askers_of_region: store
                    .peak_askers(|host| self.fleet.layout.place(host).region),
                writes: store.writes,
                conflicts: store.conflicts,
                bytes_per_second: store.bytes as f64 / seconds,
            },
        }
    }

    fn role(&self, host: usize) -> &'static str {
        let Some(node) = &self.fleet.hosts[host].node else {
            return "member";
        };
        if node.membership().is_store_reader() {
            "store reader"
        } else if node.membership().is_relay() {
            "relay"
        } else {
            "member"
        }
    }
}

fn is_one_view(fleet: &Fleet) -> bool {
    let mut running = fleet.running();
    let Some(first) = running.next() else {
        return true;
    };
    let version = fleet.view_version(first);
    let node = fleet.hosts[first].node.as_ref();
    let members = node.map_or(0, |node| node.membership().view().members.len());
    fleet
        .running()
        .all(|host| fleet.view_version(host) == version)
        && members == fleet.running().count()
        && fleet.running().all(|host| fleet.is_member(host, first))
}

fn role_report(
    role: &'static str,
    meters: &[&HostMeter],
    seconds: f64,
    processor_share: f64,
) -> RoleReport {
    let spread = |value: &dyn Fn(&HostMeter) -> f64| {
        Spread::of(meters.iter().map(|meter| value(meter) / seconds).collect())
    };
    RoleReport {
        role,
        nodes: meters.len(),
        bytes: spread(&|meter| meter.control().bytes as f64),
        messages: spread(&|meter| meter.control().messages as f64),
        store_bytes: spread(&|meter| meter.store.bytes as f64),
        processor_percent: spread(&|meter| meter.processor.as_secs_f64() * processor_share * 100.0),
    }
}
