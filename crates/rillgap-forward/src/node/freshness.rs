//! Proofs that the configuration is the newest one: queries to peers and answers to theirs.

use std::time::Duration;

use rillgap_core::time::Instant;

use super::Node;
use crate::action::{Action, Actions};
use crate::freshness::{Freshness, QueryNumber};
use crate::id::LinkId;
use crate::log_record::LogRecord;
use crate::message::{FreshnessAnswer, LinkMessage};

/// Returns the age of the proof in milliseconds, `None` if there is no proof.
pub(super) fn age_millis(freshness: &Freshness, now: Instant) -> Option<u64> {
    let age = freshness.proof_age(now)?.as_millis();
    Some(u64::try_from(age).unwrap_or(u64::MAX))
}

impl Node {
    /// Queries peers for a proof before the node's own one expires, those that watch the store
    /// first.
    pub(super) fn query_freshness(&mut self, now: Instant, out: &mut Actions) {
        self.log_freshness(now, out);
        let is_needed = self.table.as_ref().is_some_and(|table| table.has_tenants());
        let width = self.freshness.queries_due(now).filter(|_| is_needed);
        let Some(width) = width else {
            return;
        };
        let links = self.directory.proof_links(now, width);
        if links.is_empty() {
            return;
        }
        let number = self.freshness.begin_query(now);
        for link in links {
            out.push(Action::SendOnLink {
                link,
                message: LinkMessage::FreshnessQuery(number),
            });
        }
    }

    pub(super) fn on_freshness_query(
        &self,
        now: Instant,
        link: LinkId,
        number: QueryNumber,
        out: &mut Actions,
    ) {
        let Some(age) = self.freshness.proof_age(now) else {
            return;
        };
        let answer = FreshnessAnswer {
            epoch: self.store.epoch().unwrap_or_default(),
            number,
            version: self.configuration_version(),
            age_micros: u64::try_from(age.as_micros()).unwrap_or(u64::MAX),
        };
        out.push(Action::SendOnLink {
            link,
            message: LinkMessage::FreshnessAnswer(answer),
        });
    }

    pub(super) fn on_freshness_answer(&mut self, answer: FreshnessAnswer) {
        // The peer has not been notified yet that the store was restored from a backup.
        if Some(answer.epoch) < self.store.epoch() {
            return;
        }
        let own_version = self.configuration_version();
        let age = Duration::from_micros(answer.age_micros);
        self.freshness
            .on_answer(answer.number, answer.version, age, own_version);
    }

    /// Logs when the node begins or ceases to serve requests with keys.
    fn log_freshness(&mut self, now: Instant, out: &mut Actions) {
        let is_proven = self.freshness.is_proven(now);
        if is_proven != self.logged_as_fresh {
            self.logged_as_fresh = is_proven;
            out.push(Action::Log(LogRecord::Freshness {
                is_proven,
                proof_age_millis: age_millis(&self.freshness, now),
            }));
        }
    }
}
