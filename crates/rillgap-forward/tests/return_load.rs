//! Load on an entry whose service has room for a part of one tier: refused callers come back, some
//! as told and some early, while newcomers keep arriving.
//!
//! The same load is played with returns whose content differs from that of the refused request,
//! which the entry cannot recognize: what it would do if it remembered nothing.

mod support;

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use googletest::prelude::*;
use rillgap_core::admission::{Level, Threshold, Tuning, WindowLoad};
use rillgap_forward::event::CallerRequest;
use rillgap_forward::message::{ForwardResult, Load, level_of};
use support::{SERVICE, TestNode, answer, at, caller_request, configuration, serving};

/// Requests that the service works off in a window.
const CAPACITY: usize = 50;
const WINDOW_MILLIS: u64 = 50;
const WORK_MICROS: f64 = 20_000.0;
const LIMIT: f64 = 20.0;
/// Time for which more requests arrive than the service works off.
const SHORTAGE_MILLIS: u64 = 4_000;
const END_MILLIS: u64 = 7_000;
/// Time until the published level has first followed the load.
const START_MILLIS: u64 = 800;
/// Requests of a higher priority, one in so many milliseconds.
const URGENT_INTERVAL_MILLIS: u64 = 5;
/// Requests of the lower priority in ten milliseconds during a shortage.
const MODERATE: u64 = 10;
const HEAVY: u64 = 12;
/// Requests of the lower priority in ten milliseconds after the shortage.
const CALM: u64 = 4;
/// Time after which a caller that does not wait as told comes back.
const EARLY_MILLIS: u64 = 20;
/// One in so many callers does not wait as told.
const EARLY_INTERVAL: u64 = 5;
/// Maximum number of requests of one caller.
const MAX_TRIES: u32 = 3;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Kind {
    Urgent,
    Newcomer,
    AsTold,
    Early,
}

/// A caller that is going to send its next request.
#[derive(Clone, Copy, Debug)]
struct Caller {
    number: u64,
    kind: Kind,
    tries: u32,
}

/// Numbers of requests of one kind that arrived while room was short.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    sent: usize,
    served: usize,
}

impl Count {
    fn served_fraction(self) -> f64 {
        self.served as f64 / self.sent as f64
    }
}

/// The entry, its service and its callers.
struct World {
    test: TestNode,
    threshold: Threshold,
    queued: usize,
    returns: BTreeMap<u64, Vec<Caller>>,
    are_returns_recognizable: bool,
    /// Requests of the lower priority in ten milliseconds during the shortage.
    newcomers: u64,
    next_caller: u64,
    next_request: u64,
    counts: BTreeMap<Kind, Count>,
    /// Callers that wait as told and were refused more than once.
    refused_twice: usize,
    /// Requests that were admitted in each window.
    admitted: VecDeque<usize>,
}

impl World {
    fn new(are_returns_recognizable: bool, newcomers: u64) -> Self {
        let mut test = TestNode::unconfigured("logbok");
        let mut configuration = configuration(1);
        for route in &mut configuration.routes {
            route.target_latency_millis = 4_000;
            if route.name == "/once/" {
                route.priority = 0;
            }
        }
        test.configure(configuration);
        test.connect("peer-a", 2, SERVICE);
        test.actions.clear();
        Self {
            test,
            threshold: Threshold::new(Tuning {
                queue_target: 0.8,
                ..Tuning::default()
            }),
            queued: 0,
            returns: BTreeMap::new(),
            are_returns_recognizable,
            newcomers,
            next_caller: 0,
            next_request: 0,
            counts: BTreeMap::new(),
            refused_twice: 0,
            admitted: VecDeque::from([0]),
        }
    }

    fn play(mut self) -> Self {
        for millis in 0..END_MILLIS {
            for caller in self.returns.remove(&millis).unwrap_or_default() {
                self.send(millis, caller);
            }
            if millis % URGENT_INTERVAL_MILLIS == 0 {
                self.send_newcomer(millis, Kind::Urgent);
            }
            for _ in 0..self.newcomers(millis) {
                self.send_newcomer(millis, Kind::Newcomer);
            }
            if millis % WINDOW_MILLIS == WINDOW_MILLIS - 1 {
                self.end_window();
            }
            self.test.advance(1);
        }
        self
    }

    /// Returns the number of newcomers of the lower priority that arrive in a millisecond.
    fn newcomers(&self, millis: u64) -> u64 {
        let in_ten = if millis < SHORTAGE_MILLIS {
            self.newcomers
        } else {
            CALM
        };
        (millis + 1) * in_ten / 10 - millis * in_ten / 10
    }

    fn send_newcomer(&mut self, millis: u64, kind: Kind) {
        self.next_caller += 1;
        let caller = Caller {
            number: self.next_caller,
            kind,
            tries: 0,
        };
        self.send(millis, caller);
    }

    fn send(&mut self, millis: u64, caller: Caller) {
        self.next_request += 1;
        self.test.actions.clear();
        let request = self.request(caller);
        self.test.request(self.next_request, request);
        let sent = self.test.sent().pop();
        let is_short = (START_MILLIS..SHORTAGE_MILLIS).contains(&millis);
        if is_short {
            let count = self.counts.entry(caller.kind).or_default();
            count.sent += 1;
            count.served += usize::from(sent.is_some());
        }
        match sent {
            Some((_, _, request)) => self.serve(caller, request.level),
            None => self.on_refused(millis, caller, is_short),
        }
    }

    fn request(&self, caller: Caller) -> CallerRequest {
        let id = format!("{}-{}", caller.number, caller.tries);
        let path = match caller.kind {
            Kind::Urgent => "once",
            _ => "safe",
        };
        let target = if self.are_returns_recognizable {
            format!("/{path}/{}", caller.number)
        } else {
            format!("/{path}/{id}")
        };
        let mut request = caller_request(&id, &target);
        request.deadline = Some(Duration::from_secs(6));
        request
    }

    fn serve(&mut self, caller: Caller, level: Level) {
        let priority = if caller.kind == Kind::Urgent { 0 } else { 1 };
        expect_that!(level.tier(), eq(level_of(priority, "any").tier()));
        self.threshold.record_arrival(level, WORK_MICROS);
        self.queued += 1;
        *self.admitted.back_mut().expect("a window") += 1;
        let load = Load {
            level: self.threshold.level(),
            ..serving(SERVICE).load
        };
        let answered = ForwardResult::Answered(answer(200));
        self.test.respond_with(load, Vec::new(), answered);
    }

    fn on_refused(&mut self, millis: u64, caller: Caller, is_short: bool) {
        let tries = caller.tries + 1;
        if is_short && caller.kind == Kind::AsTold && tries == 2 {
            self.refused_twice += 1;
        }
        if tries == MAX_TRIES || caller.kind == Kind::Urgent {
            return;
        }
        let is_early = caller.number.is_multiple_of(EARLY_INTERVAL);
        let (kind, wait) = if is_early {
            (Kind::Early, EARLY_MILLIS)
        } else {
            (Kind::AsTold, self.told_millis())
        };
        let caller = Caller {
            kind,
            tries,
            ..caller
        };
        self.returns.entry(millis + wait).or_default().push(caller);
    }

    /// Returns the `Retry-After` of the latest answer in milliseconds.
    fn told_millis(&self) -> u64 {
        let fields = self.test.answers().pop().expect("an answer").fields;
        let fields = String::from_utf8_lossy(&fields).into_owned();
        let value = fields
            .lines()
            .find_map(|line| line.strip_prefix("Retry-After: "));
        let seconds: f64 = value
            .and_then(|value| value.parse().ok())
            .expect("a Retry-After field");
        (seconds * 1_000.0).round() as u64
    }

    fn end_window(&mut self) {
        self.queued = self.queued.saturating_sub(CAPACITY);
        let tier = level_of(1, "any").tier();
        let load = WindowLoad {
            limit: LIMIT,
            mean_service_micros: WORK_MICROS,
            queued: BTreeMap::from([(tier, self.queued)]),
        };
        self.threshold.update(at(self.test.now), &load);
        self.admitted.push_back(0);
    }

    fn count(&self, kind: Kind) -> Count {
        self.counts.get(&kind).copied().unwrap_or_default()
    }

    /// Returns the number of requests that were admitted in a window of the shortage, on average.
    fn mean_admitted(&self) -> f64 {
        let first = (START_MILLIS / WINDOW_MILLIS) as usize;
        let last = (SHORTAGE_MILLIS / WINDOW_MILLIS) as usize;
        let windows = self.admitted.range(first..last);
        windows.sum::<usize>() as f64 / (last - first) as f64
    }
}

#[gtest]
fn callers_that_come_back_as_told_are_served_before_newcomers() {
    let recognized = World::new(true, MODERATE).play();
    let unrecognized = World::new(false, MODERATE).play();
    let newcomers = recognized.count(Kind::Newcomer).served_fraction();
    let as_told = recognized.count(Kind::AsTold).served_fraction();
    let as_told_unrecognized = unrecognized.count(Kind::AsTold).served_fraction();
    expect_that!(recognized.count(Kind::AsTold).sent, gt(500));
    expect_that!(as_told, gt(newcomers + 0.12));
    expect_that!(as_told, gt(as_told_unrecognized + 0.1));
}

#[gtest]
fn callers_that_come_back_early_gain_nothing() {
    for load in [MODERATE, HEAVY] {
        let world = World::new(true, load).play();
        let newcomers = world.count(Kind::Newcomer).served_fraction();
        let early = world.count(Kind::Early).served_fraction();
        expect_that!(world.count(Kind::Early).sent, gt(200));
        expect_that!(early, le(newcomers + 0.05));
    }
}

#[gtest]
fn no_request_of_a_higher_priority_is_refused() {
    for load in [MODERATE, HEAVY] {
        let urgent = World::new(true, load).play().count(Kind::Urgent);
        expect_that!(urgent.served, eq(urgent.sent));
    }
}

#[gtest]
fn as_much_is_admitted_as_without_returns_that_precede() {
    for load in [MODERATE, HEAVY] {
        let recognized = World::new(true, load).play().mean_admitted();
        let unrecognized = World::new(false, load).play().mean_admitted();
        expect_that!(recognized, ge(0.95 * CAPACITY as f64));
        expect_that!(recognized, le(1.05 * CAPACITY as f64));
        expect_that!(recognized, ge(0.97 * unrecognized));
    }
}

#[gtest]
fn fewer_callers_are_refused_twice() {
    let recognized = World::new(true, MODERATE).play().refused_twice;
    let unrecognized = World::new(false, MODERATE).play().refused_twice;
    expect_that!(unrecognized, gt(100));
    expect_that!(recognized as f64, lt(0.8 * unrecognized as f64));
}

/// If returns preceded all newcomers, nearly every caller would be refused once while room is short.
#[gtest]
fn newcomers_are_not_displaced_by_returns_in_a_heavy_shortage() {
    let recognized = World::new(true, HEAVY).play();
    let unrecognized = World::new(false, HEAVY).play();
    let served = recognized.count(Kind::Newcomer).served_fraction();
    let served_unrecognized = unrecognized.count(Kind::Newcomer).served_fraction();
    expect_that!(served, gt(0.85 * served_unrecognized));
}
