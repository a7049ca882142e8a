//! Contact with the store: which peers the node follows and is followed by, and whether it watches
//! the store itself.

use std::time::Duration;

use rillgap_core::time::Instant;

use super::Node;
use crate::action::{Action, Actions};
use crate::id::LinkId;
use crate::log_record::LogRecord;
use crate::message::LinkMessage;
use crate::watch_relay::ContactReport;
use crate::watcher_election::PrecedingNodes;

/// Time since the start after which the node decides whether to watch the store even if it has not
/// listed the other nodes.
const LIST_TIMEOUT: Duration = Duration::from_secs(3);

impl Node {
    pub(super) fn on_follow(
        &mut self,
        now: Instant,
        link: LinkId,
        follows: bool,
        out: &mut Actions,
    ) {
        self.watch_relay.set_follower(link, follows);
        if follows {
            let age = self
                .watch_relay
                .contact_age(now, self.store.last_contact_at(now));
            out.push(store_contact_message(now, link, age));
        }
    }

    pub(super) fn on_store_contact(&mut self, now: Instant, link: LinkId, report: ContactReport) {
        if self.directory.is_preceding(link) {
            self.watch_relay.on_contact_report(now, link, report);
            self.next_watch_check = Some(now);
        }
    }

    /// Sends the age of the last contact with the store to the followers.
    pub(super) fn notify_followers(&mut self, now: Instant, out: &mut Actions) {
        let own_contact = self.store.last_contact_at(now);
        if let Some((followers, age)) = self.watch_relay.take_due(now, own_contact) {
            out.extend(
                followers
                    .into_iter()
                    .map(|link| store_contact_message(now, link, age)),
            );
        }
    }

    /// Sends `Follow` messages to the peers that the node begins or ceases to follow.
    pub(super) fn update_followed(&mut self, out: &mut Actions) {
        for change in self.directory.take_follow_changes() {
            if !change.follows {
                self.watch_relay.unfollow(change.link);
            }
            out.push(Action::SendOnLink {
                link: change.link,
                message: LinkMessage::Follow(change.follows),
            });
        }
    }

    /// Starts or stops the watch of the store, depending on the contact that the followed peers
    /// have.
    pub(super) fn update_watch(&mut self, now: Instant, out: &mut Actions) {
        let may_decide = self.store.has_listed() || now >= self.started_at + LIST_TIMEOUT;
        let may_watch = may_decide && self.stopping_since.is_none();
        let preceding = PrecedingNodes {
            recent_count: self.watch_relay.recent_count(now),
            has_recent_report: self.watch_relay.has_recent_report(now),
            known_count: self.directory.count_preceding(),
        };
        let max_wait = self.freshness.max_watch_wait();
        let wait = if may_decide {
            self.watcher_election.update(now, preceding)
        } else {
            None
        };
        if preceding.recent_count < self.recent_contacts {
            self.directory.select_soon();
        }
        self.recent_contacts = preceding.recent_count;
        let expiry = self.watch_relay.next_expiry(now);
        let due = self.watcher_election.due_at(preceding);
        let checks = expiry.into_iter().chain(due);
        self.next_watch_check = checks.filter(|at| *at > now).min();
        let wait = wait.filter(|_| may_watch);
        let wait = wait.map(|wait| max_wait.map_or(wait, |max_wait| wait.min(max_wait)));
        if self.store.set_watch(now, wait) {
            out.push(Action::Log(LogRecord::Watch {
                is_watching: wait.is_some(),
                fresh: preceding.recent_count,
                preceding: preceding.known_count,
            }));
        }
    }
}

fn store_contact_message(now: Instant, link: LinkId, age: Option<Duration>) -> Action {
    let report = ContactReport {
        sent_at_micros: now.as_micros(),
        age_micros: age.map(|age| u64::try_from(age.as_micros()).unwrap_or(u64::MAX)),
    };
    Action::SendOnLink {
        link,
        message: LinkMessage::StoreContact(report),
    }
}
