//! Measures how often answers of a service are overdue.
//!
//! Where answers usually come in pieces, another attempt beside each would double the work of the service
//! and use up the retry budget. Where it is rare, it shows a back end in trouble.

use std::collections::BTreeMap;
use std::time::Duration;

use rillgap_core::time::Instant;

use crate::decaying_share::DecayingShare;

/// Time constant of the exponential decay of counted answers.
const DECAY_TIME_CONSTANT: Duration = Duration::from_secs(10);
/// Answers in time that are added to those counted: a single overdue one makes no usual case.
const PRIOR_IN_TIME: f64 = 20.0;
/// Share of overdue answers from which they are usual for a service: more than one back end in trouble
/// among a few causes.
const MIN_USUAL_SHARE: f64 = 0.5;

/// Shares of overdue answers, by service.
#[derive(Clone, Debug, Default)]
pub(super) struct OverdueAnswers {
    by_service: BTreeMap<String, DecayingShare>,
}

impl OverdueAnswers {
    /// Counts an answer that has become overdue, or one that has ended in time.
    pub fn record(&mut self, now: Instant, service: &str, is_overdue: bool) {
        if let Some(share) = self.by_service.get_mut(service) {
            share.record(now, is_overdue);
        } else if is_overdue {
            let mut share = DecayingShare::new(DECAY_TIME_CONSTANT);
            share.record(now, true);
            self.by_service.insert(service.to_owned(), share);
        }
    }

    /// Returns whether answers of a service are usually overdue.
    pub fn is_usual(&self, now: Instant, service: &str) -> bool {
        let share = self.by_service.get(service);
        share.is_some_and(|share| share.share(now, PRIOR_IN_TIME) >= MIN_USUAL_SHARE)
    }
}
