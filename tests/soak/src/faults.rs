//! The schedule of faults: cycles of a disturbed and a calm part, drawn from the seed.
//!
//! In the disturbed part faults and planned work begin at random times. In the calm part everything
//! must recover, which is checked at its end.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::sleep;

use crate::crashing::CrashingCaller;
use crate::proxy::{Disturbance, Proxy};
use crate::retry_pressure::RetryPressure;
use crate::soak::Soak;
use crate::store::StoreFault;
use crate::{
    back_end, endless_answers, late_rejections, node, operator, rough_answers, slow_readers,
};

/// Length of the disturbed part of a cycle, in milliseconds.
const DISTURBED_MILLIS: u64 = 13_000;
/// Time that must be left of the disturbed part for slow planned work (a stop or a drain) to begin,
/// in milliseconds.
const MIN_SLOW_WORK_MILLIS: u64 = 7_500;
/// Time for everything to recover after the disturbed part, in milliseconds.
const SETTLE_MILLIS: u64 = 5_000;
/// Time over which the recovery is checked, in milliseconds.
const CHECK_MILLIS: u64 = 2_500;
/// Time from the crash of a back end because of a request until its successor serves.
const CRASH_RECOVERY_TIME: Duration = Duration::from_millis(2_500);
/// Maximum time by which such crashes delay the check: that of three crashes in a row. After it, a
/// request that goes on to crash back ends fails the check.
const MAX_CRASH_WAIT: Duration = Duration::from_millis(7_500);
/// Minimum percentage of requests that must be served after the recovery.
const MIN_SERVED_PERCENT: u64 = 95;
/// On average one of this many cycles has planned work only, without faults.
const CYCLES_PER_PLANNED_CYCLE: u64 = 3;
/// Duration of a process pause during which the configuration changes, in milliseconds: minimum and
/// exclusive maximum. Peers close their links to a paused node within a few seconds.
const LONG_PAUSE_RANGE_MILLIS: (u64, u64) = (2_500, 6_000);
/// Number of changes of the configuration in a series.
const CHANGES_PER_SERIES: u64 = 4;
/// Time between two changes of a series, in milliseconds.
const SERIES_INTERVAL_MILLIS: u64 = 150;

/// Number of back ends that state a rate limit or their departure in a cycle.
const STATEMENTS_PER_CYCLE: u64 = 4;
/// Distinguishes the seed of statements from that of faults.
const STATEMENT_SEED_MASK: u64 = 0x5374_6174_656d_656e;
/// Distinguishes the seed of stated loads from those of faults and of other statements.
const LOAD_SEED_MASK: u64 = 0x4c6f_6164_7374_6174;
/// Shift that leaves the highest bits of a draw, which tell the kind of a stated load.
const TRUTH_SHIFT: u32 = 30;
/// Range of the stated limits, in requests per second: minimum and exclusive maximum.
const RATE_LIMIT_RANGE: (u64, u64) = (1, 25);
/// Duration of a stated limit, in milliseconds: minimum and exclusive maximum. Limits are checked
/// from 3 s on.
const RATE_LIMIT_RANGE_MILLIS: (u64, u64) = (4_500, 9_000);
/// Time for which a back end serves after it has begun to state that it is leaving, in
/// milliseconds: minimum and exclusive maximum. Departures are checked from 2 s on.
const LEAVING_RANGE_MILLIS: (u64, u64) = (3_500, 6_000);
/// Time after a delay of the requests to a back end in which they may arrive in bursts.
const DELAYED_DELIVERY_MARGIN: Duration = Duration::from_secs(1);

/// The proxies in front of a machine.
#[derive(Clone, Debug)]
pub struct Proxies {
    /// Proxy in front of the node's links.
    pub mesh: Proxy,
    /// Proxy in front of the back end.
    pub back_end: Proxy,
    /// Proxy in front of the node's store endpoint.
    pub store: Proxy,
}

/// Targets of the schedule's faults and planned work, by machine.
#[derive(Debug)]
pub struct Targets {
    /// Proxies of each machine.
    pub proxies: Vec<Proxies>,
    /// Channels to the supervisors of the node processes.
    pub nodes: Vec<UnboundedSender<node::Action>>,
    /// Channels to the supervisors of the back ends.
    pub back_ends: Vec<UnboundedSender<back_end::Action>>,
}

/// Time for which the store is unavailable before it is restored from a backup.
const STORE_OUTAGE: Duration = Duration::from_millis(500);

/// Selects the field of a machine that controls a fault of its back end.
type PercentField = fn(&crate::soak::Machine) -> &AtomicU32;

/// Faults that a soak has in each cycle, beside those of the schedule.
#[derive(Clone, Copy, Debug)]
pub struct ExtraFaults {
    /// Back ends fail at several levels, and nodes are killed in series.
    pub retry_pressure: bool,
    /// Back ends reject requests and send some of the rejections a second time.
    pub late_rejections: bool,
    /// Callers read long answers slowly, and nodes are stopped in series.
    pub slow_readers: bool,
    /// Back ends deliver whole answers in pieces, before a reset or close, or several times.
    pub rough_answers: bool,
    /// Back ends send bytes without end in place of answers.
    pub endless_answers: bool,
}

/// Draws the schedule and carries it out.
#[derive(Debug)]
pub struct Schedule {
    soak: Arc<Soak>,
    targets: Arc<Targets>,
    random: ChaCha8Rng,
    crashing: CrashingCaller,
    /// Retry pressure, if the soak has it.
    retry_pressure: Option<RetryPressure>,
    extra: ExtraFaults,
    /// Generator of what back ends state, apart from that of the faults, whose seeds stay valid.
    statement_random: ChaCha8Rng,
    /// Generator of the loads that back ends state, apart from the others; `None` if they state
    /// none with this seed.
    load_random: Option<ChaCha8Rng>,
}

impl Schedule {
    /// Creates the schedule that `seed` determines.
    pub fn new(soak: Arc<Soak>, targets: Targets, seed: u64, extra: ExtraFaults) -> Self {
        let targets = Arc::new(targets);
        let retry_pressure = extra
            .retry_pressure
            .then(|| RetryPressure::new(soak.clone(), targets.clone(), seed));
        Self {
            crashing: CrashingCaller::new(soak.clone(), seed),
            retry_pressure,
            extra,
            soak,
            targets,
            random: ChaCha8Rng::seed_from_u64(seed),
            statement_random: ChaCha8Rng::seed_from_u64(seed ^ STATEMENT_SEED_MASK),
            load_random: load_random(seed),
        }
    }

    /// Carries out one cycle.
    pub async fn cycle(&mut self) {
        let is_planned_only = self.draw(CYCLES_PER_PLANNED_CYCLE) == 0;
        let length = DISTURBED_MILLIS + SETTLE_MILLIS + CHECK_MILLIS;
        self.crashing.begin_cycle(millis(length));
        if let Some(retry_pressure) = &mut self.retry_pressure {
            retry_pressure.begin_cycle();
        }
        if self.extra.slow_readers {
            let first = self.draw_node();
            slow_readers::begin_cycle(&self.targets, first);
        }
        if self.extra.late_rejections {
            late_rejections::begin_cycle(&self.soak);
        }
        if self.extra.rough_answers {
            rough_answers::begin_cycle(&self.soak);
        }
        if self.extra.endless_answers {
            endless_answers::begin_cycle(&self.soak);
        }
        if self.soak.has_renewals {
            self.schedule_restore();
        }
        for _ in 0..STATEMENTS_PER_CYCLE {
            self.schedule_statement();
        }
        self.draw_stated_loads();
        let mut elapsed = 0;
        while elapsed < DISTURBED_MILLIS {
            let left = DISTURBED_MILLIS - elapsed;
            if is_planned_only || self.draw(3) == 0 {
                self.plan(left);
            } else {
                self.disturb(left);
            }
            let pause = 300 + self.draw(1_700);
            sleep(millis(pause)).await;
            elapsed += pause;
        }
        sleep(millis(SETTLE_MILLIS)).await;
        self.check_recovery().await;
    }

    /// Schedules an outage of the store within the disturbed part that ends with a restore from a
    /// backup; the operator then writes the newest configuration again.
    fn schedule_restore(&mut self) {
        let outage_at = millis(self.draw(DISTURBED_MILLIS / 2));
        let backup_age = millis(1_000 + self.draw(7_000));
        let rewrite_after = millis(100 + self.draw(600));
        let now = self.soak.now();
        let until = now + outage_at + STORE_OUTAGE + rewrite_after;
        self.soak.checker().add_disturbance(now + outage_at, until);
        let soak = self.soak.clone();
        tokio::spawn(async move {
            sleep(outage_at).await;
            let endpoints = 0..soak.layout.nodes;
            for endpoint in endpoints.clone() {
                soak.store.set_fault(endpoint, StoreFault::Busy);
            }
            sleep(STORE_OUTAGE).await;
            println!("store: restored from a backup of {backup_age:?}");
            soak.store.restore_backup(backup_age);
            for endpoint in endpoints {
                soak.store.set_fault(endpoint, StoreFault::None);
            }
            sleep(rewrite_after).await;
            operator::rewrite_newest(&soak);
        });
    }

    /// Schedules a back end to state a rate limit that changes once, or its departure, within the
    /// disturbed part.
    fn schedule_statement(&mut self) {
        let node = self.draw_of_statement((0, self.soak.layout.nodes as u64));
        let node = usize::try_from(node).unwrap_or(0);
        let departs = self.draw_of_statement((0, 4)) == 0;
        let range = if departs {
            LEAVING_RANGE_MILLIS
        } else {
            RATE_LIMIT_RANGE_MILLIS
        };
        let length = self.draw_of_statement(range);
        let begin = millis(self.draw_of_statement((0, DISTURBED_MILLIS - length)));
        let length = millis(length);
        let rates = [
            self.draw_of_statement(RATE_LIMIT_RANGE),
            self.draw_of_statement(RATE_LIMIT_RANGE),
        ];
        let soak = self.soak.clone();
        let back_end = self.targets.back_ends[node].clone();
        tokio::spawn(async move {
            sleep(begin).await;
            let seconds = soak.now().as_secs_f64();
            if departs {
                println!("{seconds:8.3} back end of node {node} states that it leaves");
                let _ = back_end.send(back_end::Action::Leave(length));
                return;
            }
            println!(
                "{seconds:8.3} back end of node {node} states limits {rates:?} for {length:?}"
            );
            for rate in rates {
                let rate = u32::try_from(rate).unwrap_or(u32::MAX);
                let machine = &soak.machines[node];
                machine.rate_limit.store(rate, Ordering::Relaxed);
                sleep(length / 2).await;
            }
            soak.machines[node].rate_limit.store(0, Ordering::Relaxed);
        });
    }

    /// Draws for each back end how truthfully it states its load in this cycle.
    fn draw_stated_loads(&mut self) {
        let Some(random) = &mut self.load_random else {
            return;
        };
        for machine in &self.soak.machines {
            machine.stated_load.set(random.next_u32() >> TRUTH_SHIFT);
        }
    }

    /// Draws a number of a range, whose end is exclusive, for a statement of a back end.
    fn draw_of_statement(&mut self, (first, end): (u64, u64)) -> u64 {
        let draw = u64::from(self.statement_random.next_u32());
        first + ((draw * (end - first)) >> 32)
    }

    /// Begins planned work on a random node; slow work only if enough of the remaining time, in
    /// milliseconds, is left.
    fn plan(&mut self, left: u64) {
        let node = self.draw_node();
        match self.draw(7) {
            0 | 1 => self.configure(),
            5 => self.configure_in_series(CHANGES_PER_SERIES, Duration::ZERO),
            6 if left > MIN_SLOW_WORK_MILLIS => {
                self.act_on_node(node, node::Action::StopWithSignals)
            }
            2 if left > MIN_SLOW_WORK_MILLIS => self.stop(node),
            3 if left > MIN_SLOW_WORK_MILLIS => self.drain(node),
            _ => self.act_on_node(node, node::Action::Reload),
        }
    }

    /// Begins a disturbance that ends within the remaining time, in milliseconds.
    fn disturb(&mut self, left: u64) {
        let node = self.draw_node();
        let length = millis((300 + self.draw(3_500)).min(left));
        let now = self.soak.now();
        self.soak.checker().add_disturbance(now, now + length);
        match self.draw(15) {
            0 => self.act_on_node(node, node::Action::Kill(length)),
            1 => self.act_on_node(node, node::Action::Pause(length)),
            2 => self.kill_many(length),
            3 => self.disturb_proxy(length, |proxies| &proxies.mesh, node),
            4 => self.disturb_proxy(length, |proxies| &proxies.back_end, node),
            5 => self.disturb_proxy(length, |proxies| &proxies.store, node),
            6 => self.isolate(node, length),
            7 => self.disturb_store(length),
            8 => self.soak.store.compact(),
            9 => self.crash(node, length),
            10 => self.inject_back_end_fault(node, length, |machine| &machine.lost_percent, 30),
            11 => {
                self.inject_back_end_fault(node, length, |machine| &machine.corrupted_percent, 20)
            }
            12 => self.change_while_paused(node, left),
            13 => self.signal_in_series(node, length),
            _ => self.fail_or_slow_down(node, length),
        }
    }

    fn configure(&self) {
        self.log("configuration changes");
        operator::configure(&self.soak);
    }

    /// Changes the configuration several times in quick succession, beginning after a delay.
    fn configure_in_series(&self, count: u64, after: Duration) {
        self.log(&format!("configuration changes {count} times"));
        let soak = self.soak.clone();
        tokio::spawn(async move {
            sleep(after).await;
            for _ in 0..count {
                operator::configure(&soak);
                sleep(millis(SERIES_INTERVAL_MILLIS)).await;
            }
        });
    }

    /// Pauses a node's process for a long time while the configuration changes.
    fn change_while_paused(&mut self, node: usize, left: u64) {
        let (min, max) = LONG_PAUSE_RANGE_MILLIS;
        let length = millis((min + self.draw(max - min)).min(left));
        let now = self.soak.now();
        self.soak.checker().add_disturbance(now, now + length);
        self.act_on_node(node, node::Action::Pause(length));
        let count = 1 + self.draw(2);
        self.configure_in_series(count, length / 4);
    }

    /// Queues several actions on a node's process, so that each signal arrives while the node may
    /// still be handling the previous one.
    fn signal_in_series(&mut self, node: usize, length: Duration) {
        self.act_on_node(node, node::Action::Reload);
        self.act_on_node(node, node::Action::Pause(length / 3));
        self.act_on_node(node, node::Action::Reload);
        self.act_on_node(node, node::Action::Pause(length / 3));
        self.act_on_node(node, node::Action::Kill(length / 3));
    }

    fn stop(&self, node: usize) {
        self.act_on_node(node, node::Action::Stop);
    }

    fn drain(&self, node: usize) {
        self.log(&format!("back end of node {node} drains"));
        let _ = self.targets.back_ends[node].send(back_end::Action::Drain);
    }

    fn act_on_node(&self, node: usize, action: node::Action) {
        self.log(&format!("node {node}: {action:?}"));
        let _ = self.targets.nodes[node].send(action);
    }

    fn kill_many(&mut self, length: Duration) {
        let all = self.draw(3) == 0;
        for node in 0..self.soak.layout.nodes {
            if all || self.draw(2) == 0 {
                self.act_on_node(node, node::Action::Kill(length));
            }
        }
    }

    fn disturb_proxy(&mut self, length: Duration, choose: fn(&Proxies) -> &Proxy, node: usize) {
        let disturbance = match self.draw(5) {
            0 => Disturbance::Delay(millis(20 + self.draw(400))),
            1 => Disturbance::HoldRequests,
            2 => Disturbance::HoldAnswers,
            3 => Disturbance::Blackhole,
            _ => Disturbance::Reset,
        };
        let proxy = choose(&self.targets.proxies[node]).clone();
        let address = choose(&self.targets.proxies[node]).address();
        self.log(&format!("proxy {address}: {disturbance:?} for {length:?}"));
        proxy.set_disturbance(disturbance);
        self.excuse_proxy(length, address, node);
        let soak = self.soak.clone();
        tokio::spawn(async move {
            sleep(length).await;
            proxy.set_disturbance(Disturbance::None);
            soak.checker().notices().on_node_cut(node);
        });
    }

    /// Excuses what a disturbed proxy causes from the checks of statements of back ends.
    fn excuse_proxy(&self, length: Duration, address: SocketAddr, node: usize) {
        let proxies = &self.targets.proxies[node];
        let now = self.soak.now();
        let mut checker = self.soak.checker();
        if address == proxies.mesh.address() {
            checker.notices().on_node_cut(node);
        }
        if address == proxies.back_end.address() {
            let instance = self.soak.machines[node].instance();
            let until = now + length + DELAYED_DELIVERY_MARGIN;
            checker.notices().on_delivery_delayed(&instance, now, until);
        }
    }

    /// Isolates a node from the store and from links that other nodes open.
    fn isolate(&self, node: usize, length: Duration) {
        self.log(&format!("node {node}: cut off for {length:?}"));
        let proxies = self.targets.proxies[node].clone();
        proxies.mesh.set_disturbance(Disturbance::Blackhole);
        proxies.store.set_disturbance(Disturbance::Blackhole);
        let soak = self.soak.clone();
        soak.checker().notices().on_node_cut(node);
        tokio::spawn(async move {
            sleep(length).await;
            proxies.mesh.set_disturbance(Disturbance::None);
            proxies.store.set_disturbance(Disturbance::None);
            soak.checker().notices().on_node_cut(node);
        });
    }

    /// Injects a fault into the store endpoints of some or all machines.
    fn disturb_store(&mut self, length: Duration) {
        let fault = match self.draw(4) {
            0 => StoreFault::Busy,
            1 => StoreFault::Throttle,
            2 => StoreFault::LoseAnswers,
            _ => StoreFault::Slow(millis(100 + self.draw(600))),
        };
        let chance = 1 + self.draw(3);
        let endpoints: Vec<usize> = (0..self.soak.layout.nodes)
            .filter(|_| self.draw(3) < chance)
            .collect();
        self.log(&format!("store: {fault:?} for {endpoints:?}, {length:?}"));
        let store = self.soak.store.clone();
        for endpoint in &endpoints {
            store.set_fault(*endpoint, fault);
        }
        tokio::spawn(async move {
            sleep(length).await;
            for endpoint in endpoints {
                store.set_fault(endpoint, StoreFault::None);
            }
        });
    }

    fn crash(&self, node: usize, length: Duration) {
        self.log(&format!("back end of node {node} crashes for {length:?}"));
        let _ = self.targets.back_ends[node].send(back_end::Action::Crash(length));
    }

    /// Sets a fault of a back end to `percent` for `length`. For the slowdown the value is a
    /// factor.
    fn inject_back_end_fault(
        &self,
        node: usize,
        length: Duration,
        choose: PercentField,
        percent: u32,
    ) {
        self.log(&format!(
            "back end of node {node}: {percent}% go wrong for {length:?}"
        ));
        let soak = self.soak.clone();
        choose(&soak.machines[node]).store(percent, Ordering::Relaxed);
        tokio::spawn(async move {
            sleep(length).await;
            choose(&soak.machines[node]).store(0, Ordering::Relaxed);
        });
    }

    /// Makes a back end fail many requests, or slow down.
    fn fail_or_slow_down(&mut self, node: usize, length: Duration) {
        if self.draw(2) == 0 {
            self.inject_back_end_fault(node, length, |machine| &machine.failed_percent, 60);
        } else {
            self.inject_back_end_fault(node, length, |machine| &machine.slowdown_factor, 10);
        }
    }

    /// Waits until the last back end that a request has crashed is there again. What nodes know of such
    /// a request goes with them when all are killed; it then crashes three back ends once more.
    async fn wait_for_crashes(&self) {
        let begin = self.soak.now();
        loop {
            let last = self.soak.checker().last_crash();
            let back_at = last.map_or(Duration::ZERO, |last| last + CRASH_RECOVERY_TIME);
            let now = self.soak.now();
            if now >= back_at || now >= begin + MAX_CRASH_WAIT {
                return;
            }
            sleep(millis(100)).await;
        }
    }

    /// Checks that all nodes are ready and nearly all requests are served.
    async fn check_recovery(&self) {
        self.wait_for_crashes().await;
        self.log("calm");
        let (before, carried_over) = {
            let checker = self.soak.checker();
            (checker.totals(), checker.in_flight())
        };
        let newest = self.soak.version.load(Ordering::SeqCst);
        sleep(millis(CHECK_MILLIS)).await;
        let now = self.soak.now();
        let mut checker = self.soak.checker();
        let after = checker.totals();
        // Cancelled requests and requests with a revoked key need not be served.
        let excused = after.cancelled - before.cancelled + after.denied - before.denied;
        let unjudged = checker.in_flight_in_time(now);
        let sent = after.requests - before.requests + carried_over;
        let expected = sent.saturating_sub(excused + unjudged);
        let served = after.served - before.served;
        if served * 100 < expected * MIN_SERVED_PERCENT {
            let text = format!("RECOVER {served} of {expected} served, configuration {newest}");
            checker.report_violation(now, &text);
        }
        for (node, machine) in self.soak.machines.iter().enumerate() {
            if !machine.is_ready.load(Ordering::Relaxed) {
                checker.report_violation(now, &format!("RECOVER node {node} is not ready"));
            }
        }
    }

    fn log(&self, text: &str) {
        let seconds = self.soak.now().as_secs_f64();
        println!("{seconds:8.3} {text}");
    }

    fn draw_node(&mut self) -> usize {
        usize::try_from(self.draw(self.soak.layout.nodes as u64)).unwrap_or(0)
    }

    fn draw(&mut self, bound: u64) -> u64 {
        (u64::from(self.random.next_u32()) * bound) >> 32
    }
}

const fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Returns the generator of stated loads; `None` for half of the seeds.
fn load_random(seed: u64) -> Option<ChaCha8Rng> {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ LOAD_SEED_MASK);
    let has_loads = random.next_u32().is_multiple_of(2);
    has_loads.then_some(random)
}
