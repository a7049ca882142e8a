//! Load tests of the placement of requests on back ends that take longer for a while, with whole
//! nodes and without a network.

mod support;

use std::collections::BTreeMap;
use std::mem;

use googletest::prelude::*;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};
use rillgap_forward::action::Action;
use rillgap_forward::event::{AnnouncedState, Event, ExchangeResult, Heartbeat};
use rillgap_forward::id::{ExchangeId, LinkId};
use rillgap_forward::message::LinkMessage;
use support::{INSTANCE, TestNode, answer, caller_request, heartbeat};

const SENDERS: usize = 3;
const BACK_ENDS: usize = 20;
/// Requests that a back end runs at the same time, at the normal load.
const SLOTS: u32 = 40;
/// Requests that arrive per millisecond, at all senders together, at the normal load: 70 per second
/// at each back end.
const PER_MILLISECOND: f64 = 1.4;
/// Multiple of the normal load at which shares are compared: chance alone would double those of few
/// requests.
const HIGH_LOAD: u32 = 4;
/// Mean work of a request at the usual speed, in milliseconds.
const WORK_MILLIS: f64 = 60.0;
/// Length of an episode in which some back ends are slow, in milliseconds.
const EPISODE_MILLIS: u64 = 600;
/// Back ends that are slow at a time.
const SLOW_BACK_ENDS: usize = 3;
/// Factor by which the work of a slow back end takes longer.
const SLOW_FACTOR: f64 = 2.5;
/// Time during which requests are sent before they count, in milliseconds.
const WARM_UP_MILLIS: u64 = 3_000;
/// Time during which requests count, in milliseconds.
const MEASURED_MILLIS: u64 = 9_000;
/// Length of the intervals in which the shares of the back ends are counted, in milliseconds.
const SHARE_INTERVAL_MILLIS: u64 = 100;
/// Link of sender `s` to back end `b` is number `s * LINKS_PER_SENDER + b` at both ends.
const LINKS_PER_SENDER: u64 = 1_000;
const FIRST_LINK: u64 = 10_000;

struct World {
    now: u64,
    /// Multiple of the normal load and slots.
    load: u32,
    random: ChaCha8Rng,
    senders: Vec<TestNode>,
    back_ends: Vec<TestNode>,
    /// Requests that run at each back end, with the work left in milliseconds at the usual speed.
    running: Vec<BTreeMap<ExchangeId, f64>>,
    slow: Vec<usize>,
    sequence: u64,
    next_request: u64,
    begun: BTreeMap<u64, u64>,
    latencies: Vec<u64>,
    failures: u32,
    /// Requests that each back end has received in the current interval.
    received: Vec<u32>,
    highest_share: f64,
    received_while_slow: u64,
    received_in_all: u64,
}

fn link_id(sender: usize, back_end: usize) -> LinkId {
    LinkId(FIRST_LINK + sender as u64 * LINKS_PER_SENDER + back_end as u64)
}

fn ends_of(link: LinkId) -> (usize, usize) {
    let number = link.0 - FIRST_LINK;
    let sender = number / LINKS_PER_SENDER;
    (sender as usize, (number % LINKS_PER_SENDER) as usize)
}

fn announcement(load: u32, sequence: u64) -> Heartbeat {
    Heartbeat {
        slots: SLOTS * load,
        ..heartbeat(INSTANCE, sequence, AnnouncedState::Ready)
    }
}

impl World {
    fn new(seed: u64, load: u32) -> Self {
        let mut world = Self {
            now: 0,
            load,
            random: ChaCha8Rng::seed_from_u64(seed),
            senders: (0..SENDERS)
                .map(|_| TestNode::configured("logbok"))
                .collect(),
            back_ends: (0..BACK_ENDS).map(|_| back_end(load)).collect(),
            running: vec![BTreeMap::new(); BACK_ENDS],
            slow: Vec::new(),
            sequence: 1,
            next_request: 0,
            begun: BTreeMap::new(),
            latencies: Vec::new(),
            failures: 0,
            received: vec![0; BACK_ENDS],
            highest_share: 0.0,
            received_while_slow: 0,
            received_in_all: 0,
        };
        world.link_all();
        world
    }

    fn link_all(&mut self) {
        let nodes = self.senders.iter().chain(&self.back_ends);
        self.now = nodes.map(|node| node.now).max().unwrap_or_default();
        for node in self.senders.iter_mut().chain(&mut self.back_ends) {
            node.now = self.now;
            node.actions.clear();
        }
        for (sender, node) in self.senders.iter_mut().enumerate() {
            for (index, back_end) in self.back_ends.iter_mut().enumerate() {
                let link = link_id(sender, index);
                let mut hello = back_end.node.hello();
                hello.node.name = format!("node-{index:02}");
                node.event(Event::LinkAccepted { link, hello });
                let mut hello = node.node.hello();
                hello.node.name = format!("entry-{sender}");
                back_end.event(Event::LinkAccepted { link, hello });
            }
        }
    }

    fn draw(&mut self) -> f64 {
        f64::from(self.random.next_u32()) / (f64::from(u32::MAX) + 1.0)
    }

    fn draw_index(&mut self, bound: usize) -> usize {
        (self.draw() * bound as f64) as usize
    }

    fn step(&mut self) {
        self.now += 1;
        if self.now.is_multiple_of(EPISODE_MILLIS) {
            self.begin_episode();
        }
        if self.now.is_multiple_of(1_000) {
            self.sequence += 1;
        }
        self.send_requests();
        self.work();
        for index in 0..self.back_ends.len() {
            let node = &mut self.back_ends[index];
            node.now = self.now;
            if self.now.is_multiple_of(1_000) {
                node.announce(announcement(self.load, self.sequence));
            }
            if node.node.next_wake() <= support::at(self.now) {
                node.event(Event::Wake);
            }
        }
        for node in &mut self.senders {
            node.now = self.now;
            if node.node.next_wake() <= support::at(self.now) {
                node.event(Event::Wake);
            }
        }
        self.deliver();
        if self.now.is_multiple_of(SHARE_INTERVAL_MILLIS) {
            self.count_shares();
        }
    }

    fn begin_episode(&mut self) {
        self.slow.clear();
        while self.slow.len() < SLOW_BACK_ENDS {
            let index = self.draw_index(BACK_ENDS);
            if !self.slow.contains(&index) {
                self.slow.push(index);
            }
        }
    }

    fn send_requests(&mut self) {
        let mean = PER_MILLISECOND * f64::from(self.load);
        let arrivals = (mean + self.draw()) as u32;
        for _ in 0..arrivals {
            let sender = self.draw_index(SENDERS);
            let number = self.next_request;
            self.next_request += 1;
            self.begun.insert(number, self.now);
            let node = &mut self.senders[sender];
            node.now = self.now;
            node.request(number, caller_request(&format!("r{number}"), "/safe/1"));
        }
    }

    fn work(&mut self) {
        for index in 0..self.back_ends.len() {
            let is_slow = self.slow.contains(&index);
            let done = if is_slow { SLOW_FACTOR.recip() } else { 1.0 };
            for left in self.running[index].values_mut() {
                *left -= done;
            }
            let ended: Vec<ExchangeId> = self.running[index]
                .iter()
                .filter(|(_, left)| **left <= 0.0)
                .map(|(exchange, _)| *exchange)
                .collect();
            self.back_ends[index].now = self.now;
            for exchange in ended {
                self.running[index].remove(&exchange);
                let result = ExchangeResult::Answered(answer(200));
                self.back_ends[index].end_exchange(exchange, result);
            }
        }
    }

    /// Delivers messages in both directions until there are none.
    fn deliver(&mut self) {
        let mut has_more = true;
        while has_more {
            has_more = false;
            for index in 0..self.senders.len() {
                for action in mem::take(&mut self.senders[index].actions) {
                    has_more |= self.on_sender_action(action);
                }
            }
            for index in 0..self.back_ends.len() {
                for action in mem::take(&mut self.back_ends[index].actions) {
                    has_more |= self.on_back_end_action(index, action);
                }
            }
        }
    }

    fn on_sender_action(&mut self, action: Action) -> bool {
        match action {
            Action::SendOnLink { link, message } if link.0 >= FIRST_LINK => {
                let (_, back_end) = ends_of(link);
                if matches!(message, LinkMessage::Request { .. }) {
                    self.received[back_end] += 1;
                    self.received_in_all += 1;
                    self.received_while_slow += u64::from(self.slow.contains(&back_end));
                }
                self.back_ends[back_end].event(Event::Link { link, message });
                true
            }
            Action::Answer {
                pipeline_index,
                answer,
                ..
            } => {
                let begun = self.begun.remove(&pipeline_index.0);
                let elapsed = self.now - begun.expect("one answer for each request");
                if answer.status != 200 {
                    self.failures += 1;
                } else {
                    self.latencies.push(elapsed);
                }
                false
            }
            _ => false,
        }
    }

    fn on_back_end_action(&mut self, index: usize, action: Action) -> bool {
        match action {
            Action::SendOnLink { link, message } if link.0 >= FIRST_LINK => {
                let (sender, _) = ends_of(link);
                self.senders[sender].event(Event::Link { link, message });
                true
            }
            Action::StartExchange(exchange) => {
                let work = WORK_MILLIS * (0.5 + self.draw());
                self.running[index].insert(exchange.id, work);
                false
            }
            Action::CancelExchange(exchange) => {
                self.running[index].remove(&exchange);
                false
            }
            _ => false,
        }
    }

    fn count_shares(&mut self) {
        let received = mem::replace(&mut self.received, vec![0; BACK_ENDS]);
        let fair = f64::from(received.iter().sum::<u32>()) / BACK_ENDS as f64;
        let highest = received.into_iter().max().unwrap_or_default();
        self.highest_share = self.highest_share.max(f64::from(highest) / fair);
    }

    /// Runs the load and discards what was counted during the warm-up.
    fn run(&mut self) {
        for _ in 0..WARM_UP_MILLIS {
            self.step();
        }
        self.latencies.clear();
        self.highest_share = 0.0;
        self.received_in_all = 0;
        self.received_while_slow = 0;
        for _ in 0..MEASURED_MILLIS {
            self.step();
        }
    }

    fn percentile(&mut self, percent: usize) -> u64 {
        self.latencies.sort_unstable();
        self.latencies[self.latencies.len() * percent / 100]
    }
}

fn back_end(load: u32) -> TestNode {
    let mut node = TestNode::configured(support::SERVICE);
    node.announce(announcement(load, 1));
    node.confirm(INSTANCE);
    node
}

#[gtest]
fn requests_avoid_back_ends_that_take_longer_for_a_while() {
    for seed in 1..=3 {
        let mut world = World::new(seed, 1);
        world.run();
        let slow_share = world.received_while_slow as f64 / world.received_in_all as f64;
        let fair_share = SLOW_BACK_ENDS as f64 / BACK_ENDS as f64;
        expect_that!(world.failures, eq(0));
        expect_that!(world.percentile(95), lt(100), "slow {slow_share}");
        expect_that!(
            slow_share,
            all!(gt(fair_share / 20.0), lt(fair_share / 2.0))
        );
    }
}

#[gtest]
fn back_ends_at_their_usual_speed_are_not_rushed_to() {
    let mut world = World::new(4, HIGH_LOAD);
    world.run();
    expect_that!(world.failures, eq(0));
    expect_that!(world.highest_share, lt(2.0));
}
