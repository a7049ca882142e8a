//! A change of policy: who makes it, and when it comes into force where.

use std::time::Duration;

use rillgap_core::id::{ChangeId, PolicyVersion};
use rillgap_core::operator::{ChangeState, OperatorReply, OperatorRequest, OperatorRequestId};
use rillgap_core::time::Instant;

use super::Experiment;
use crate::scale::fleet::Fleet;
use crate::scale::report::ChangeReport;

/// Longest time that a change of policy is watched.
const CHANGE_LIMIT: Duration = Duration::from_secs(20);

impl Experiment {
    pub(super) fn change_policy(&mut self, number: u32) -> ChangeReport {
        self.change_policy_at(number, &[])
    }

    /// Lets an operator change the policy and watches where it comes into force; `unreachable`
    /// hosts are not waited for.
    pub(super) fn change_policy_at(&mut self, number: u32, unreachable: &[usize]) -> ChangeReport {
        self.policy.bounds.key_life_seconds = 600 + number;
        let targets: Vec<usize> = self
            .fleet
            .running()
            .filter(|host| number == 0 || self.fleet.hosts[*host].serving)
            .filter(|host| !unreachable.contains(host))
            .collect();
        let Some(&host) = targets.get(targets.len() / 2) else {
            return ChangeReport::default();
        };
        let change = ChangeId((u128::from(number) << 64) | 1);
        let begin = self.fleet.time;
        let version = self.apply(host, change);
        let mut accepted = None;
        while self.fleet.time.saturating_since(begin) < CHANGE_LIMIT {
            if accepted.is_none() && self.is_accepted(host, change) {
                accepted = Some(self.fleet.time.saturating_since(begin).as_secs_f64());
            }
            let done = version.is_some_and(|version| {
                targets
                    .iter()
                    .all(|target| holds(&self.fleet, *target, version))
            });
            if done && accepted.is_some() {
                break;
            }
        }
        self.change_report(begin, version, &targets, accepted)
    }

    /// Asks for the change until the node has written it; returns its version.
    fn apply(&mut self, host: usize, change: ChangeId) -> Option<PolicyVersion> {
        for _ in 0..10 {
            let body = OperatorRequest::ApplyPolicy {
                policy: self.policy.clone(),
                expected: None,
                change,
            };
            if let Some(OperatorReply::Change { version, .. }) = self.ask(host, body) {
                return Some(version);
            }
            self.fleet.run(Duration::from_millis(500));
        }
        None
    }

    fn is_accepted(&mut self, host: usize, change: ChangeId) -> bool {
        let reply = self.ask(host, OperatorRequest::GetChange { change });
        self.fleet.run(Duration::from_millis(50));
        matches!(
            reply,
            Some(OperatorReply::Change {
                state: ChangeState::Accepted,
                ..
            })
        )
    }

    fn ask(&mut self, host: usize, body: OperatorRequest) -> Option<OperatorReply> {
        self.next_request += 1;
        let request = OperatorRequestId(self.next_request);
        self.fleet.replies.clear();
        self.fleet.operate(host, request, body);
        self.fleet
            .run_until(Duration::from_secs(5), Duration::from_millis(10), |fleet| {
                fleet.replies.iter().any(|(id, _)| *id == request)
            });
        let replies = std::mem::take(&mut self.fleet.replies);
        replies
            .into_iter()
            .find(|(id, _)| *id == request)
            .map(|(_, reply)| reply)
    }

    fn change_report(
        &self,
        begin: Instant,
        version: Option<PolicyVersion>,
        targets: &[usize],
        accepted_seconds: Option<f64>,
    ) -> ChangeReport {
        let mut delays: Vec<f64> = targets
            .iter()
            .filter(|host| version.is_some_and(|version| holds(&self.fleet, **host, version)))
            .filter_map(|host| self.fleet.hosts[*host].policy)
            .map(|(_, since)| since.saturating_since(begin).as_secs_f64())
            .collect();
        delays.sort_by(f64::total_cmp);
        ChangeReport {
            reachable: targets.len(),
            in_force: delays.len(),
            median_seconds: delays.get(delays.len() / 2).copied().unwrap_or(0.0),
            last_seconds: delays.last().copied().unwrap_or(0.0),
            accepted_seconds,
        }
    }
}

fn holds(fleet: &Fleet, host: usize, version: PolicyVersion) -> bool {
    fleet.hosts[host]
        .policy
        .is_some_and(|(policy, _)| policy >= version)
}
