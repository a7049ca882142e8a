//! What the back end announces and what probes of its health endpoint tell: whether it serves.

use rillgap_core::code::ResultCode;
use rillgap_core::time::Instant;

use super::Inbound;
use super::back_end::Effect;
use crate::action::{Action, Actions};
use crate::configuration::RouteTable;
use crate::event::{AnnouncedState, Heartbeat, ProbeResult};
use crate::id::ProbeId;
use crate::incarnation::Incarnation;
use crate::log_record::LogRecord;

impl Inbound {
    /// Processes a heartbeat. Returns whether it may be acknowledged: only those of the local back
    /// end are.
    pub fn on_heartbeat(
        &mut self,
        now: Instant,
        heartbeat: &Heartbeat,
        table: Option<&RouteTable>,
        out: &mut Actions,
    ) -> bool {
        let effect = self.back_end.on_heartbeat(now, heartbeat);
        self.end_requests_of_earlier_runs(now, out);
        if heartbeat.state == AnnouncedState::Draining {
            self.lost_requests.on_alive(&heartbeat.incarnation);
        }
        self.apply_effect(now, effect, table, out);
        self.back_end.is_own(heartbeat)
    }

    /// Processes the announcement of a back end that it leaves service.
    pub fn on_leave(&mut self, now: Instant, incarnation: &Incarnation, out: &mut Actions) {
        let leaving = self.back_end.resolve_incarnation(incarnation);
        let effect = self.back_end.on_leave(incarnation, "left");
        self.lost_requests.on_alive(&leaving);
        self.apply_effect(now, effect, None, out);
    }

    /// Processes the result of a health probe.
    pub fn on_probe(
        &mut self,
        now: Instant,
        probe: ProbeId,
        result: &ProbeResult,
        out: &mut Actions,
    ) {
        let effect = self.back_end.on_probe(now, probe, result);
        self.end_requests_of_earlier_runs(now, out);
        self.reset_measurements();
        self.resolve_losses(now, result, out);
        self.apply_effect(now, effect, None, out);
    }

    /// Reports a change of the back end's health, and probes it if that is due.
    pub(super) fn apply_effect(
        &mut self,
        now: Instant,
        effect: Effect,
        table: Option<&RouteTable>,
        out: &mut Actions,
    ) {
        if let Some(change) = effect.change {
            self.status_changed = true;
            out.push(Action::Log(LogRecord::BackEnd {
                instance: self.back_end.log_name(),
                health: self.back_end.health_name(),
                cause: change,
                sequence: self.back_end.sequence(),
            }));
            if !self.back_end.is_serving() {
                self.refuse_queued(now, ResultCode::BackEndLeaving, out);
            }
        }
        if !self.back_end.should_probe() {
            return;
        }
        let service = table.and_then(|table| table.service(self.back_end.service()));
        if let Some(path) = service.map(|service| service.health_path.clone()) {
            let probe = self.back_end.begin_probe();
            out.push(Action::Probe { probe, path });
        }
    }
}
