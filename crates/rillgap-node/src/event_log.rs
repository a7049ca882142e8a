//! Writes the node's observations as log records.

use std::fmt::Display;
use std::time::Duration;

use rillgap_clock::SteadyClock;
use rillgap_core::action::Observation;
use rillgap_core::admission::{LevelChange, ShedRequest};
use rillgap_core::claim::{DelayedClaim, RefusedClaim};
use rillgap_core::membership::{RemovalRecord, ViewTransition, ViewWrite};
use rillgap_core::time::Instant;

/// Maximum number of records of single requests per [`WINDOW`], which bounds the log under load.
const MAX_REQUEST_RECORDS: u32 = 100;
/// Window in which the records of single requests are counted.
const WINDOW: Duration = Duration::from_secs(1);
/// Maximum number of nodes that one record names.
const MAX_NAMED_NODES: usize = 16;

/// Writes observations to the log, and bounds the records of single requests.
#[derive(Debug)]
pub struct EventLog {
    clock: SteadyClock,
    window_began: Instant,
    written: u32,
    omitted: u32,
}

impl EventLog {
    /// Creates a log without any records.
    pub fn start() -> Self {
        let clock = SteadyClock::start();
        Self {
            window_began: clock.now(),
            clock,
            written: 0,
            omitted: 0,
        }
    }

    /// Writes the record of an observation, if it has one.
    pub fn record(&mut self, observation: &Observation) {
        match observation {
            Observation::Serving(true) => log::info!("node: serving requests"),
            Observation::Serving(false) => log::warn!("node: not serving requests"),
            Observation::PolicyInForce(version) => {
                log::info!(version = version.0; "node: policy in force");
            }
            Observation::ViewInForce(transition) => record_transition(transition),
            Observation::ViewWrite(write) => record_write(write),
            Observation::RemovalRequested(removal) => {
                record_removal("node: requests the removal of a member", removal);
            }
            Observation::LeavesPermitted { view, nodes } => {
                log::info!(
                    version = view.0, nodes = list(nodes).as_str();
                    "node: permits members to leave the view"
                );
            }
            Observation::RemovalIgnored(removal) => {
                record_removal("node: removal of an ended incarnation ignored", removal);
            }
            Observation::Leaving => log::info!("node: nothing in flight, leaving the view"),
            Observation::LeaveDeferred { view } => {
                log::info!(version = view.0; "node: waits to leave until the view has settled");
            }
            Observation::LeaveAnnounced { view } => {
                log::info!(version = view.0; "node: announces that it is leaving the view");
            }
            Observation::BackEndDown { failure } => {
                log::warn!(
                    failure = format!("{failure:?}").as_str();
                    "node: back end counts as ended, attempts go to others"
                );
            }
            Observation::ClaimRefused(claim) => {
                if self.admits_request_record() {
                    record_claim(claim);
                }
            }
            Observation::ClaimDelayed(claim) => {
                if self.admits_request_record() {
                    record_delayed_claim(claim);
                }
            }
            Observation::Shed(shed) => {
                if self.admits_request_record() {
                    record_shed(shed);
                }
            }
            Observation::LevelChanged(change) => {
                if self.admits_request_record() {
                    record_level(change);
                }
            }
            Observation::KeyUnchecked { inbound, reason } => {
                if self.admits_request_record() {
                    log::warn!(
                        inbound = inbound.0, reason = reason.number();
                        "node: keyed request refused before its key was looked up"
                    );
                }
            }
            Observation::Answered { .. } | Observation::Refused { .. } | Observation::Retried => {}
        }
    }

    /// Returns whether another record of a single request may be written in this window.
    fn admits_request_record(&mut self) -> bool {
        let now = self.clock.now();
        if now.saturating_since(self.window_began) >= WINDOW {
            if self.omitted > 0 {
                log::warn!(count = self.omitted; "node: records of requests omitted");
            }
            self.window_began = now;
            self.written = 0;
            self.omitted = 0;
        }
        if self.written >= MAX_REQUEST_RECORDS {
            self.omitted += 1;
            return false;
        }
        self.written += 1;
        true
    }
}

fn record_transition(transition: &ViewTransition) {
    log::info!(
        version = transition.to.0, from = transition.from.0,
        added = list(&transition.added).as_str(), removed = list(&transition.removed).as_str();
        "node: membership view in force"
    );
}

fn record_write(write: &ViewWrite) {
    log::info!(
        version = write.version.0, added = list(&write.added).as_str(),
        removed = list(&write.removed).as_str();
        "node: writes a membership view"
    );
}

fn record_removal(text: &str, removal: &RemovalRecord) {
    let in_view = removal.in_view.map(|incarnation| incarnation.0);
    log::info!(
        peer = removal.node.as_str(), incarnation = removal.incarnation.0,
        in_view = in_view, cause = removal.cause.to_string().as_str();
        "{text}"
    );
}

fn record_claim(claim: &RefusedClaim) {
    log::warn!(
        key = format!("{:032x}", claim.key.0).as_str(), call = claim.attempt.call.sequence,
        attempt = claim.attempt.number, code = claim.code.number(),
        view = claim.view.0, rounds = claim.rounds,
        waited_millis = claim.waited.map(millis),
        replicas = list(&claim.ballots).as_str();
        "node: claim refused without a majority"
    );
}

fn record_delayed_claim(claim: &DelayedClaim) {
    log::info!(
        key = format!("{:032x}", claim.key.0).as_str(), call = claim.attempt.call.sequence,
        attempt = claim.attempt.number, view = claim.view.0, rounds = claim.rounds,
        waited_millis = millis(claim.waited),
        first_votes = list(&claim.first_ballots).as_str();
        "node: claim granted after waiting for replicas to vote again"
    );
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn record_shed(shed: &ShedRequest) {
    log::warn!(
        service = shed.service.as_str(), level = shed.level.0,
        overloaded = shed.overloaded.as_str(), threshold = shed.threshold,
        reports = list(&shed.reports).as_str();
        "node: request shed at the entry"
    );
}

fn record_level(change: &LevelChange) {
    log::info!(
        level = change.level.0, limit = change.limit, running = change.running,
        queued = change.queued, demand = change.demand,
        mean_micros = change.mean_occupancy_micros;
        "node: level below which the back end sheds"
    );
}

/// Formats at most [`MAX_NAMED_NODES`] items and the number of the others.
fn list(items: &[impl Display]) -> String {
    let named: Vec<String> = items
        .iter()
        .take(MAX_NAMED_NODES)
        .map(ToString::to_string)
        .collect();
    let others = items.len().saturating_sub(MAX_NAMED_NODES);
    if others > 0 {
        format!("[{}, {others} more]", named.join(", "))
    } else {
        format!("[{}]", named.join(", "))
    }
}
