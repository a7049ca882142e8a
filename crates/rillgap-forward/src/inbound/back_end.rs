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
const HEARTBEAT_TIMEOUT_INTERVALS: f64 = 3.2;
/// Consecutive lost answers after which the back end is probed.
const MAX_CONSECUTIVE_LOSSES: u32 = 3;
/// Maximum number of departed incarnations that are remembered.
const MAX_DEPARTED_INCARNATIONS: usize = 64;

/// Health of the current incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BackEndHealth {
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
    heartbeat_timeout: Duration,
    health: BackEndHealth,
    current: Option<Announcement>,
    announced: Option<Announcement>,
    departed: BTreeSet<Incarnation>,
    last_contact_at: Instant,
    /// Whether a request was answered since the last probe began.
    answered_since_probe: bool,
    consecutive_losses: u32,
    is_probe_requested: bool,
    pending_probe: Option<ProbeId>,
    next_probe: u64,
}

impl BackEnd {
    /// Creates the state of a new node, to which the back end is unknown.
    pub fn new(address: SocketAddr, heartbeat_interval: Duration) -> Self {
        Self {
            address,
            heartbeat_timeout: heartbeat_interval.mul_f64(HEARTBEAT_TIMEOUT_INTERVALS),
            health: BackEndHealth::Unknown,
            current: None,
            announced: None,
            departed: BTreeSet::new(),
            last_contact_at: Instant::default(),
            answered_since_probe: false,
            consecutive_losses: 0,
            is_probe_requested: false,
            pending_probe: None,
            next_probe: 0,
        }
    }

    pub fn is_serving(&self) -> bool {
        self.health == BackEndHealth::Serving
    }

    pub fn has_left(&self) -> bool {
        self.health == BackEndHealth::Leaving
    }

    pub const fn health_name(&self) -> &'static str {
        match self.health {
            BackEndHealth::Unknown => "unknown",
            BackEndHealth::Serving => "serving",
            BackEndHealth::Leaving => "leaving",
            BackEndHealth::Down => "down",
        }
    }

    /// Returns the current incarnation: the last one that was confirmed, if any.
    pub fn incarnation(&self) -> Option<&Incarnation> {
        self.current.as_ref().map(|known| &known.incarnation)
    }

    /// Returns the log name of the current incarnation, or else of the announced one; empty if
    /// neither is known.
    pub fn log_name(&self) -> String {
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
    pub fn has_departed(&self, incarnation: &Incarnation) -> bool {
        self.departed.contains(incarnation)
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
            return self.mark_leaving(incarnation.clone(), "announced draining");
        }
        if self.departed.contains(incarnation) {
            return Effect::NONE;
        }
        let is_current = self.incarnation() == Some(incarnation);
        if is_current && heartbeat.sequence <= self.sequence() {
            return Effect::NONE;
        }
        self.last_contact_at = now;
        if is_current {
            return self.apply_heartbeat(heartbeat);
        }
        self.announced = Some(announcement(heartbeat));
        self.is_probe_requested = true;
        self.retire_predecessor(incarnation)
    }

    /// Drops the current incarnation if it is an earlier one with the identifier of `successor`.
    /// The health endpoint reports only identifiers, so its next answer would otherwise confirm the
    /// earlier one.
    fn retire_predecessor(&mut self, successor: &Incarnation) -> Effect {
        if !self
            .incarnation()
            .is_some_and(|known| known.precedes(successor))
        {
            return Effect::NONE;
        }
        self.current = None;
        let was_serving = self.health == BackEndHealth::Serving;
        self.health = BackEndHealth::Unknown;
        if was_serving {
            return Effect::changed("started again under its identifier");
        }
        Effect::NONE
    }

    /// Returns whether a later incarnation with the same identifier is known. Messages of the
    /// earlier one are stale then.
    fn is_superseded(&self, incarnation: &Incarnation) -> bool {
        self.known_incarnations()
            .any(|known| incarnation.precedes(known))
    }

    /// Returns the latest known incarnation with an identifier.
    fn latest(&self, id: &str) -> Option<&Incarnation> {
        self.known_incarnations()
            .filter(|known| known.id == id)
            .max()
    }

    /// Returns the announced, the current and the departed incarnations.
    fn known_incarnations(&self) -> impl Iterator<Item = &Incarnation> {
        let announced = self.announced.iter().map(|known| &known.incarnation);
        announced.chain(self.incarnation()).chain(&self.departed)
    }

    /// Processes the announcement or the statement of an incarnation that it leaves service.
    pub fn on_leave(&mut self, incarnation: &Incarnation, cause: &'static str) -> Effect {
        let leaving = self.resolve_incarnation(incarnation);
        if self.is_superseded(&leaving) {
            return Effect::NONE;
        }
        self.mark_leaving(leaving, cause)
    }

    /// Resolves an incarnation without a start time to the latest known one with its identifier.
    /// Returns any other incarnation unchanged.
    pub fn resolve_incarnation(&self, incarnation: &Incarnation) -> Incarnation {
        let latest = self.latest(&incarnation.id);
        let known = latest.filter(|_| incarnation.started_at_millis.is_none());
        known.unwrap_or(incarnation).clone()
    }

    /// Processes the result of a health probe.
    pub fn on_probe(&mut self, now: Instant, probe: ProbeId, result: &ProbeResult) -> Effect {
        if self.pending_probe != Some(probe) {
            return Effect::NONE;
        }
        self.pending_probe = None;
        match result {
            ProbeResult::Healthy { instance } => self.confirm(now, instance),
            // The health endpoint may be wrong: a request that was answered meanwhile outweighs it.
            ProbeResult::Unhealthy if self.answered_since_probe => Effect::NONE,
            ProbeResult::Unhealthy => self.mark_down("health endpoint says no"),
            ProbeResult::Refused => self.mark_down("health endpoint refuses connections"),
            ProbeResult::Unreachable => self.mark_down("health endpoint unreachable"),
        }
    }

    /// Records how a request ended.
    pub fn on_exchange(&mut self, result: &ExchangeResult) -> Effect {
        match result {
            ExchangeResult::Answered(_) => {
                self.answered_since_probe = true;
                self.consecutive_losses = 0;
                Effect::NONE
            }
            ExchangeResult::NotExecuted => {
                self.consecutive_losses = 0;
                Effect::NONE
            }
            ExchangeResult::Lost => self.on_missing_answer(),
            ExchangeResult::NotSent => {
                self.is_probe_requested |= self.health == BackEndHealth::Serving;
                Effect::NONE
            }
            ExchangeResult::WrongInstance => self.on_wrong_instance(),
        }
    }

    /// Records that a request got no answer, and requests a probe after several in a row.
    pub fn on_missing_answer(&mut self) -> Effect {
        self.consecutive_losses += 1;
        if self.consecutive_losses >= MAX_CONSECUTIVE_LOSSES
            && self.health == BackEndHealth::Serving
        {
            self.consecutive_losses = 0;
            self.is_probe_requested = true;
        }
        Effect::NONE
    }

    /// Requests a health probe.
    pub fn request_probe(&mut self) {
        self.is_probe_requested = true;
    }

    /// Requests a health probe if the heartbeat timeout has passed.
    pub fn poll(&mut self, now: Instant) {
        let has_timed_out = now.saturating_since(self.last_contact_at) >= self.heartbeat_timeout;
        if self.health == BackEndHealth::Serving && has_timed_out {
            self.last_contact_at = now;
            self.is_probe_requested = true;
        }
    }

    /// Returns when [`Self::poll`] must be called next.
    pub fn next_wake(&self) -> Option<Instant> {
        (self.health == BackEndHealth::Serving)
            .then(|| self.last_contact_at + self.heartbeat_timeout)
    }

    /// Returns whether a health probe should be sent now.
    pub fn should_probe(&self) -> bool {
        let may_serve = self.health != BackEndHealth::Leaving || self.announced.is_some();
        self.is_probe_requested && self.pending_probe.is_none() && may_serve
    }

    /// Creates the identifier of a new probe and marks it as pending.
    pub fn begin_probe(&mut self) -> ProbeId {
        self.is_probe_requested = false;
        self.next_probe += 1;
        let probe = ProbeId(self.next_probe);
        self.pending_probe = Some(probe);
        self.answered_since_probe = false;
        probe
    }

    fn apply_heartbeat(&mut self, heartbeat: &Heartbeat) -> Effect {
        let slots_changed = self.slots() != heartbeat.slots.max(1);
        self.current = Some(announcement(heartbeat));
        if self.health != BackEndHealth::Serving {
            // A heartbeat does not return a back end to service: the health endpoint must confirm
            // it.
            self.is_probe_requested = true;
            return Effect::NONE;
        }
        if slots_changed {
            return Effect::changed("slots changed");
        }
        Effect::NONE
    }

    fn confirm(&mut self, now: Instant, instance: &str) -> Effect {
        let latest = self.latest(instance);
        if latest.is_some_and(|latest| self.departed.contains(latest)) {
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
            return self.mark_down("health endpoint names another incarnation");
        }
        self.consecutive_losses = 0;
        if self.health == BackEndHealth::Serving {
            return Effect::NONE;
        }
        self.health = BackEndHealth::Serving;
        self.last_contact_at = now;
        Effect::changed("confirmed by the health endpoint")
    }

    fn mark_down(&mut self, cause: &'static str) -> Effect {
        if self.health != BackEndHealth::Serving {
            return Effect::NONE;
        }
        self.health = BackEndHealth::Down;
        Effect::changed(cause)
    }

    fn on_wrong_instance(&mut self) -> Effect {
        if self.health != BackEndHealth::Serving {
            return Effect::NONE;
        }
        self.health = BackEndHealth::Down;
        self.is_probe_requested = true;
        Effect::changed("another incarnation answers")
    }

    fn mark_leaving(&mut self, leaving: Incarnation, cause: &'static str) -> Effect {
        let is_known = self.departed.contains(&leaving);
        if !is_known && self.departed.len() >= MAX_DEPARTED_INCARNATIONS {
            self.departed.pop_first();
        }
        self.announced.take_if(|known| known.incarnation == leaving);
        let is_current = self.incarnation() == Some(&leaving);
        self.departed.insert(leaving);
        if !is_current || self.health == BackEndHealth::Leaving {
            return Effect::NONE;
        }
        self.health = BackEndHealth::Leaving;
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
