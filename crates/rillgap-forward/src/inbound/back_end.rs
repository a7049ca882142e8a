//! Tracks the health of the back end beside the node.
//!
//! Heartbeats may arrive seconds late, and a restarted node has no record of their sequence
//! numbers. A new incarnation is therefore considered to be serving only after the health endpoint
//! has named it as healthy and not leaving. An incarnation that has announced that it leaves never
//! returns to service.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use rillgap_core::time::Instant;

use crate::event::{AnnouncedState, ExchangeResult, Heartbeat, ProbeResult};
use crate::id::ProbeId;
use crate::incarnation::Incarnation;

/// Heartbeat timeout, in heartbeat intervals. The back end is probed after it.
const SILENT_INTERVALS: f64 = 3.2;
/// Consecutive lost answers after which the back end is probed.
const LOST_IN_A_ROW: u32 = 3;
/// Maximum number of departed incarnations that are remembered.
const MOST_LEFT: usize = 64;

/// Health of the current incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Standing {
    /// Not confirmed by the health endpoint yet.
    Unknown,
    /// Confirmed by the health endpoint; accepts requests.
    Serving,
    /// Has announced that it leaves service, or has left.
    Leaving,
    /// Failed a health probe, or another incarnation answers at its address.
    Down,
}

/// Effect of an event on the health of the back end.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Effect {
    /// Logged cause of a change of the back end's status; `None` if nothing changed.
    pub change: Option<&'static str>,
}

impl Effect {
    const NONE: Self = Self { change: None };

    const fn changed(cause: &'static str) -> Self {
        Self {
            change: Some(cause),
        }
    }
}

/// Contents of the latest heartbeat of an incarnation.
#[derive(Clone, Debug)]
struct Announcement {
    incarnation: Incarnation,
    service: String,
    slots: u32,
    sequence: u64,
}

/// Health of the back end beside the node, derived from heartbeats, probes and request outcomes.
#[derive(Clone, Debug)]
pub(super) struct BackEnd {
    address: SocketAddr,
    silence_limit: Duration,
    standing: Standing,
    current: Option<Announcement>,
    announced: Option<Announcement>,
    left: BTreeSet<Incarnation>,
    heard_at: Instant,
    /// Whether a request was answered since the last probe began.
    answered_since_probe: bool,
    lost_in_a_row: u32,
    wants_probe: bool,
    probing: Option<ProbeId>,
    next_probe: u64,
}

impl BackEnd {
    /// Creates the state of a new node, to which the back end is unknown.
    pub fn new(address: SocketAddr, heartbeat_interval: Duration) -> Self {
        Self {
            address,
            silence_limit: heartbeat_interval.mul_f64(SILENT_INTERVALS),
            standing: Standing::Unknown,
            current: None,
            announced: None,
            left: BTreeSet::new(),
            heard_at: Instant::default(),
            answered_since_probe: false,
            lost_in_a_row: 0,
            wants_probe: false,
            probing: None,
            next_probe: 0,
        }
    }

    pub fn is_serving(&self) -> bool {
        self.standing == Standing::Serving
    }

    pub fn has_left(&self) -> bool {
        self.standing == Standing::Leaving
    }

    pub const fn standing_name(&self) -> &'static str {
        match self.standing {
            Standing::Unknown => "unknown",
            Standing::Serving => "serving",
            Standing::Leaving => "leaving",
            Standing::Down => "down",
        }
    }

    /// Returns the current incarnation: the last one that was confirmed, if any.
    pub fn incarnation(&self) -> Option<&Incarnation> {
        self.current.as_ref().map(|known| &known.incarnation)
    }

    /// Returns the log name of the current incarnation, or else of the announced one; empty if
    /// neither is known.
    pub fn name(&self) -> String {
        let announced = self.announced.as_ref().map(|known| &known.incarnation);
        let known = self.incarnation().or(announced);
        known.map_or_else(String::new, Incarnation::to_string)
    }

    /// Returns whether an incarnation has ended because another one now has its address.
    pub fn has_ended(&self, incarnation: &Incarnation) -> bool {
        let is_replaced = self.is_serving() && self.incarnation() != Some(incarnation);
        is_replaced || self.is_superseded(incarnation)
    }

    /// Returns whether an incarnation has announced that it leaves service.
    pub fn has_left_service(&self, incarnation: &Incarnation) -> bool {
        self.left.contains(incarnation)
    }

    pub fn service(&self) -> &str {
        self.current
            .as_ref()
            .or(self.announced.as_ref())
            .map_or("", |known| &known.service)
    }

    pub fn slots(&self) -> u32 {
        self.current.as_ref().map_or(1, |known| known.slots)
    }

    pub fn sequence(&self) -> u64 {
        self.current.as_ref().map_or(0, |known| known.sequence)
    }

    /// Returns whether a heartbeat was sent by the back end beside the node.
    pub fn is_own(&self, heartbeat: &Heartbeat) -> bool {
        heartbeat
            .address
            .parse()
            .is_ok_and(|address: SocketAddr| address == self.address)
    }

    /// Processes a heartbeat.
    pub fn on_heartbeat(&mut self, now: Instant, heartbeat: &Heartbeat) -> Effect {
        let incarnation = &heartbeat.incarnation;
        if !self.is_own(heartbeat) || self.is_superseded(incarnation) {
            return Effect::NONE;
        }
        if heartbeat.state == AnnouncedState::Draining {
            return self.leave(incarnation.clone(), "announced draining");
        }
        if self.left.contains(incarnation) {
            return Effect::NONE;
        }
        let is_current = self.incarnation() == Some(incarnation);
        if is_current && heartbeat.sequence <= self.sequence() {
            return Effect::NONE;
        }
        self.heard_at = now;
        if is_current {
            return self.refresh(heartbeat);
        }
        self.announced = Some(announcement(heartbeat));
        self.wants_probe = true;
        self.end_predecessor(incarnation)
    }

    /// Drops the current incarnation if it is an earlier run under the identifier of `successor`.
    /// The health endpoint reports only identifiers, so its next answer would otherwise confirm the
    /// earlier run.
    fn end_predecessor(&mut self, successor: &Incarnation) -> Effect {
        if !self
            .incarnation()
            .is_some_and(|known| known.precedes(successor))
        {
            return Effect::NONE;
        }
        self.current = None;
        let was_serving = self.standing == Standing::Serving;
        self.standing = Standing::Unknown;
        if was_serving {
            return Effect::changed("started again under its identifier");
        }
        Effect::NONE
    }

    /// Returns whether a later run under the same identifier is known. Messages of the earlier one
    /// are stale then.
    fn is_superseded(&self, incarnation: &Incarnation) -> bool {
        let announced = self.announced.iter().map(|known| &known.incarnation);
        let mut known = announced.chain(self.incarnation()).chain(&self.left);
        known.any(|known| incarnation.precedes(known))
    }

    /// Returns the latest known incarnation with an identifier.
    fn latest(&self, id: &str) -> Option<&Incarnation> {
        let announced = self.announced.iter().map(|known| &known.incarnation);
        let known = announced.chain(self.incarnation()).chain(&self.left);
        known.filter(|known| known.id == id).max()
    }

    /// Processes the announcement of an incarnation that it leaves service.
    pub fn on_leave(&mut self, incarnation: &Incarnation) -> Effect {
        let leaving = self.meant(incarnation);
        if self.is_superseded(&leaving) {
            return Effect::NONE;
        }
        self.leave(leaving, "left")
    }

    /// Resolves an incarnation without a start time to the latest known one with its identifier.
    /// Returns any other incarnation unchanged.
    pub fn meant(&self, incarnation: &Incarnation) -> Incarnation {
        let latest = self.latest(&incarnation.id);
        let known = latest.filter(|_| incarnation.started_at_millis.is_none());
        known.unwrap_or(incarnation).clone()
    }

    /// Processes the result of a health probe.
    pub fn on_probe(&mut self, now: Instant, probe: ProbeId, result: &ProbeResult) -> Effect {
        if self.probing != Some(probe) {
            return Effect::NONE;
        }
        self.probing = None;
        match result {
            ProbeResult::Healthy { instance } => self.confirm(now, instance),
            // The health endpoint may be wrong: a request that was answered meanwhile outweighs it.
            ProbeResult::Unhealthy if self.answered_since_probe => Effect::NONE,
            ProbeResult::Unhealthy => self.down("health endpoint says no"),
            ProbeResult::Refused => self.down("health endpoint refuses connections"),
            ProbeResult::Unreachable => self.down("health endpoint unreachable"),
        }
    }

    /// Records how a request ended.
    pub fn on_exchange(&mut self, result: &ExchangeResult) -> Effect {
        match result {
            ExchangeResult::Answered(_) => {
                self.answered_since_probe = true;
                self.lost_in_a_row = 0;
                Effect::NONE
            }
            ExchangeResult::NotExecuted => {
                self.lost_in_a_row = 0;
                Effect::NONE
            }
            ExchangeResult::Lost => self.on_silence(),
            ExchangeResult::NotSent => {
                self.wants_probe |= self.standing == Standing::Serving;
                Effect::NONE
            }
            ExchangeResult::WrongInstance => self.on_wrong_instance(),
        }
    }

    /// Records that a request got no answer, and requests a probe after several in a row.
    pub fn on_silence(&mut self) -> Effect {
        self.lost_in_a_row += 1;
        if self.lost_in_a_row >= LOST_IN_A_ROW && self.standing == Standing::Serving {
            self.lost_in_a_row = 0;
            self.wants_probe = true;
        }
        Effect::NONE
    }

    /// Requests a health probe.
    pub fn ask(&mut self) {
        self.wants_probe = true;
    }

    /// Requests a health probe if the heartbeat timeout has passed.
    pub fn poll(&mut self, now: Instant) {
        let is_silent = now.saturating_since(self.heard_at) >= self.silence_limit;
        if self.standing == Standing::Serving && is_silent {
            self.heard_at = now;
            self.wants_probe = true;
        }
    }

    /// Returns when [`Self::poll`] must be called next.
    pub fn next_wake(&self) -> Option<Instant> {
        (self.standing == Standing::Serving).then(|| self.heard_at + self.silence_limit)
    }

    /// Returns whether a health probe should be sent now.
    pub fn wants_probe(&self) -> bool {
        let may_serve = self.standing != Standing::Leaving || self.announced.is_some();
        self.wants_probe && self.probing.is_none() && may_serve
    }

    /// Creates the identifier of a new probe and marks it as pending.
    pub fn begin_probe(&mut self) -> ProbeId {
        self.wants_probe = false;
        self.next_probe += 1;
        let probe = ProbeId(self.next_probe);
        self.probing = Some(probe);
        self.answered_since_probe = false;
        probe
    }

    fn refresh(&mut self, heartbeat: &Heartbeat) -> Effect {
        let slots_changed = self.slots() != heartbeat.slots.max(1);
        self.current = Some(announcement(heartbeat));
        if self.standing != Standing::Serving {
            // A heartbeat does not return a back end to service: the health endpoint must confirm
            // it.
            self.wants_probe = true;
            return Effect::NONE;
        }
        if slots_changed {
            return Effect::changed("slots changed");
        }
        Effect::NONE
    }

    fn confirm(&mut self, now: Instant, instance: &str) -> Effect {
        let latest = self.latest(instance);
        if latest.is_some_and(|latest| self.left.contains(latest)) {
            return Effect::NONE;
        }
        if let Some(announced) = self
            .announced
            .take_if(|announced| announced.incarnation.id == instance)
        {
            self.current = Some(announced);
        }
        if self.incarnation().is_none_or(|known| known.id != instance) {
            // Neither the current nor the announced incarnation: its first heartbeat has not
            // arrived yet.
            return self.down("health endpoint names another incarnation");
        }
        self.lost_in_a_row = 0;
        if self.standing == Standing::Serving {
            return Effect::NONE;
        }
        self.standing = Standing::Serving;
        self.heard_at = now;
        Effect::changed("confirmed by the health endpoint")
    }

    fn down(&mut self, cause: &'static str) -> Effect {
        if self.standing != Standing::Serving {
            return Effect::NONE;
        }
        self.standing = Standing::Down;
        Effect::changed(cause)
    }

    fn on_wrong_instance(&mut self) -> Effect {
        if self.standing != Standing::Serving {
            return Effect::NONE;
        }
        self.standing = Standing::Down;
        self.wants_probe = true;
        Effect::changed("another incarnation answers")
    }

    fn leave(&mut self, leaving: Incarnation, cause: &'static str) -> Effect {
        if self.left.len() >= MOST_LEFT {
            self.left.pop_first();
        }
        self.announced.take_if(|known| known.incarnation == leaving);
        let is_current = self.incarnation() == Some(&leaving);
        self.left.insert(leaving);
        if !is_current || self.standing == Standing::Leaving {
            return Effect::NONE;
        }
        self.standing = Standing::Leaving;
        Effect::changed(cause)
    }
}

fn announcement(heartbeat: &Heartbeat) -> Announcement {
    Announcement {
        incarnation: heartbeat.incarnation.clone(),
        service: heartbeat.service.clone(),
        slots: heartbeat.slots.max(1),
        sequence: heartbeat.sequence,
    }
}
