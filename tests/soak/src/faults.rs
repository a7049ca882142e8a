//! The schedule: cycles of disturbance and calm, drawn from the seed.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::sleep;

use crate::crashing::CrashingCaller;
use crate::proxy::{Disturbance, Proxy};
use crate::soak::Soak;
use crate::store::Treatment;
use crate::{back_end, node, operator};

/// Length of the disturbed part of a cycle, in milliseconds.
const DISTURBED_MILLIS: u64 = 13_000;
/// Time before the end of that part from which nothing slow begins, in milliseconds.
const LAST_SLOW_MILLIS: u64 = 7_500;
/// Time for everything to come back, in milliseconds.
const SETTLE_MILLIS: u64 = 5_000;
/// Time in which it is judged whether everything has come back, in milliseconds.
const JUDGED_MILLIS: u64 = 2_500;
/// Share of requests that must be served when everything has come back, in percent.
const SERVED_PERCENT: u64 = 95;
/// One cycle of so many has planned work only.
const PLANNED_CYCLES: u64 = 3;
/// Shortest and longest stand-still in which the configuration changes, in milliseconds: peers give
/// links up within some seconds.
const LONG_PAUSE_MILLIS: (u64, u64) = (2_500, 6_000);
/// Changes of the configuration in a series.
const SERIES: u64 = 4;
/// Time between two changes of a series, in milliseconds.
const SERIES_GAP_MILLIS: u64 = 150;

/// The proxies in front of a machine.
#[derive(Clone, Debug)]
pub struct Proxies {
    /// In front of its links.
    pub mesh: Proxy,
    /// In front of its back end.
    pub back_end: Proxy,
    /// In front of the store.
    pub store: Proxy,
}

/// What the schedule acts on.
#[derive(Debug)]
pub struct Targets {
    /// Proxies, by machine.
    pub proxies: Vec<Proxies>,
    /// Processes, by machine.
    pub nodes: Vec<UnboundedSender<node::Order>>,
    /// Back ends, by machine.
    pub back_ends: Vec<UnboundedSender<back_end::Order>>,
}

/// Time for which the store is away before it comes back from a copy.
const STORE_AWAY: Duration = Duration::from_millis(500);

/// A share of a back end's requests that goes wrong.
type Percent = fn(&crate::soak::Machine) -> &AtomicU32;

/// Draws and plays the schedule.
#[derive(Debug)]
pub struct Schedule {
    soak: Arc<Soak>,
    targets: Arc<Targets>,
    random: ChaCha8Rng,
    crashing: CrashingCaller,
}

impl Schedule {
    /// Creates the schedule of a seed.
    pub fn new(soak: Arc<Soak>, targets: Targets, seed: u64) -> Self {
        Self {
            crashing: CrashingCaller::new(soak.clone(), seed),
            soak,
            targets: Arc::new(targets),
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Plays one cycle.
    pub async fn cycle(&mut self) {
        let is_planned_only = self.draw(PLANNED_CYCLES) == 0;
        let length = DISTURBED_MILLIS + SETTLE_MILLIS + JUDGED_MILLIS;
        self.crashing.begin_cycle(millis(length));
        if self.soak.renews {
            self.return_store();
        }
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
        self.judge_calm().await;
    }

    /// Lets the store be away for a moment within the disturbed time and come back from a copy; the operator writes the
    /// newest configuration again.
    fn return_store(&mut self) {
        let away_at = millis(self.draw(DISTURBED_MILLIS / 2));
        let copy_age = millis(1_000 + self.draw(7_000));
        let again_after = millis(100 + self.draw(600));
        let now = self.soak.now();
        let until = now + away_at + STORE_AWAY + again_after;
        self.soak.judge().disturbed(now + away_at, until);
        let soak = self.soak.clone();
        tokio::spawn(async move {
            sleep(away_at).await;
            let doors = 0..soak.layout.nodes;
            for door in doors.clone() {
                soak.store.treat(door, Treatment::Busy);
            }
            sleep(STORE_AWAY).await;
            println!("store: back from a copy of {copy_age:?}");
            soak.store.return_from_copy(copy_age);
            for door in doors {
                soak.store.treat(door, Treatment::Serve);
            }
            sleep(again_after).await;
            operator::write_again(&soak);
        });
    }

    /// Begins planned work.
    fn plan(&mut self, left: u64) {
        let node = self.draw_node();
        match self.draw(7) {
            0 | 1 => self.configure(),
            5 => self.configure_in_series(SERIES, Duration::ZERO),
            6 if left > LAST_SLOW_MILLIS => self.order(node, node::Order::StopWithSignals),
            2 if left > LAST_SLOW_MILLIS => self.stop(node),
            3 if left > LAST_SLOW_MILLIS => self.drain(node),
            _ => self.order(node, node::Order::Reload),
        }
    }

    /// Begins a disturbance that ends within the time that is left.
    fn disturb(&mut self, left: u64) {
        let node = self.draw_node();
        let length = millis((300 + self.draw(3_500)).min(left));
        let now = self.soak.now();
        self.soak.judge().disturbed(now, now + length);
        match self.draw(15) {
            0 => self.order(node, node::Order::Kill(length)),
            1 => self.order(node, node::Order::Pause(length)),
            2 => self.kill_many(length),
            3 => self.disturb_proxy(length, |proxies| &proxies.mesh, node),
            4 => self.disturb_proxy(length, |proxies| &proxies.back_end, node),
            5 => self.disturb_proxy(length, |proxies| &proxies.store, node),
            6 => self.cut_off(node, length),
            7 => self.treat_store(length),
            8 => self.soak.store.compact(),
            9 => self.crash(node, length),
            10 => self.go_wrong(node, length, |machine| &machine.lost_percent, 30),
            11 => self.go_wrong(node, length, |machine| &machine.spoiled_percent, 20),
            12 => self.change_while_paused(node, left),
            13 => self.signal_in_series(node, length),
            _ => self.misbehave(node, length),
        }
    }

    fn configure(&self) {
        self.say("configuration changes");
        operator::configure(&self.soak);
    }

    /// Changes the configuration several times in quick succession, after a while.
    fn configure_in_series(&self, count: u64, after: Duration) {
        self.say(&format!("configuration changes {count} times"));
        let soak = self.soak.clone();
        tokio::spawn(async move {
            sleep(after).await;
            for _ in 0..count {
                operator::configure(&soak);
                sleep(millis(SERIES_GAP_MILLIS)).await;
            }
        });
    }

    /// Lets a node stand still for long while the configuration changes.
    fn change_while_paused(&mut self, node: usize, left: u64) {
        let (shortest, longest) = LONG_PAUSE_MILLIS;
        let length = millis((shortest + self.draw(longest - shortest)).min(left));
        let now = self.soak.now();
        self.soak.judge().disturbed(now, now + length);
        self.order(node, node::Order::Pause(length));
        let count = 1 + self.draw(2);
        self.configure_in_series(count, length / 4);
    }

    /// Sends a node several signals, each while it still carries out the one before.
    fn signal_in_series(&mut self, node: usize, length: Duration) {
        self.order(node, node::Order::Reload);
        self.order(node, node::Order::Pause(length / 3));
        self.order(node, node::Order::Reload);
        self.order(node, node::Order::Pause(length / 3));
        self.order(node, node::Order::Kill(length / 3));
    }

    fn stop(&self, node: usize) {
        self.order(node, node::Order::Stop);
    }

    fn drain(&self, node: usize) {
        self.say(&format!("back end of node {node} drains"));
        let _ = self.targets.back_ends[node].send(back_end::Order::Drain);
    }

    fn order(&self, node: usize, order: node::Order) {
        self.say(&format!("node {node}: {order:?}"));
        let _ = self.targets.nodes[node].send(order);
    }

    fn kill_many(&mut self, length: Duration) {
        let all = self.draw(3) == 0;
        for node in 0..self.soak.layout.nodes {
            if all || self.draw(2) == 0 {
                self.order(node, node::Order::Kill(length));
            }
        }
    }

    fn disturb_proxy(&mut self, length: Duration, choose: fn(&Proxies) -> &Proxy, node: usize) {
        let disturbance = match self.draw(5) {
            0 => Disturbance::Delay(millis(20 + self.draw(400))),
            1 => Disturbance::HoldRequests,
            2 => Disturbance::HoldAnswers,
            3 => Disturbance::Silence,
            _ => Disturbance::Reset,
        };
        let proxy = choose(&self.targets.proxies[node]).clone();
        let address = choose(&self.targets.proxies[node]).address();
        self.say(&format!("proxy {address}: {disturbance:?} for {length:?}"));
        proxy.disturb(disturbance);
        tokio::spawn(async move {
            sleep(length).await;
            proxy.disturb(Disturbance::None);
        });
    }

    /// Cuts a machine off from the store and from links that others open.
    fn cut_off(&self, node: usize, length: Duration) {
        self.say(&format!("node {node}: cut off for {length:?}"));
        let proxies = self.targets.proxies[node].clone();
        proxies.mesh.disturb(Disturbance::Silence);
        proxies.store.disturb(Disturbance::Silence);
        tokio::spawn(async move {
            sleep(length).await;
            proxies.mesh.disturb(Disturbance::None);
            proxies.store.disturb(Disturbance::None);
        });
    }

    /// Lets the store treat some or all machines badly.
    fn treat_store(&mut self, length: Duration) {
        let treatment = match self.draw(4) {
            0 => Treatment::Busy,
            1 => Treatment::Throttle,
            2 => Treatment::LoseAnswers,
            _ => Treatment::Slow(millis(100 + self.draw(600))),
        };
        let share = 1 + self.draw(3);
        let doors: Vec<usize> = (0..self.soak.layout.nodes)
            .filter(|_| self.draw(3) < share)
            .collect();
        self.say(&format!("store: {treatment:?} for {doors:?}, {length:?}"));
        let store = self.soak.store.clone();
        for door in &doors {
            store.treat(*door, treatment);
        }
        tokio::spawn(async move {
            sleep(length).await;
            for door in doors {
                store.treat(door, Treatment::Serve);
            }
        });
    }

    fn crash(&self, node: usize, length: Duration) {
        self.say(&format!("back end of node {node} crashes for {length:?}"));
        let _ = self.targets.back_ends[node].send(back_end::Order::Crash(length));
    }

    fn go_wrong(&self, node: usize, length: Duration, choose: Percent, percent: u32) {
        self.say(&format!(
            "back end of node {node}: {percent}% go wrong for {length:?}"
        ));
        let soak = self.soak.clone();
        choose(&soak.machines[node]).store(percent, Ordering::Relaxed);
        tokio::spawn(async move {
            sleep(length).await;
            choose(&soak.machines[node]).store(0, Ordering::Relaxed);
        });
    }

    /// Lets a back end fail many requests, or get slow.
    fn misbehave(&mut self, node: usize, length: Duration) {
        if self.draw(2) == 0 {
            self.go_wrong(node, length, |machine| &machine.failed_percent, 60);
        } else {
            self.go_wrong(node, length, |machine| &machine.slowness, 10);
        }
    }

    /// Judges whether everything has come back.
    async fn judge_calm(&self) {
        self.say("calm");
        let before = self.soak.judge().totals();
        let newest = self.soak.version.load(Ordering::SeqCst);
        sleep(millis(JUDGED_MILLIS)).await;
        let now = self.soak.now();
        let mut judge = self.soak.judge();
        let after = judge.totals();
        // Neither those whose callers left nor those that had to be denied are owed an answer.
        let not_owed = after.left - before.left + after.denied - before.denied;
        let asked = (after.asked - before.asked).saturating_sub(not_owed);
        let served = after.served - before.served;
        if served * 100 < asked * SERVED_PERCENT {
            let text = format!("RECOVER {served} of {asked} served, configuration {newest}");
            judge.violate(now, &text);
        }
        for (node, machine) in self.soak.machines.iter().enumerate() {
            if !machine.is_ready.load(Ordering::Relaxed) {
                judge.violate(now, &format!("RECOVER node {node} is not ready"));
            }
        }
    }

    fn say(&self, text: &str) {
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
