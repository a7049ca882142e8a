//! Refused callers that come back.
//!
//! A refusal that states truthfully that the request did not run asks its caller to come back after
//! a stated time. The entry node remembers the content of what it has refused and that time, and
//! recognizes the request when it comes back: as told, or early.
//!
//! A return takes its refusal out of the memory. Of several callers whose requests have equal
//! content, only as many gain from refusals as were refused.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rillgap_core::code::ResultCode;
use rillgap_core::id::Fingerprint;
use rillgap_core::time::Instant;

/// Maximum number of refusals that are remembered; the oldest are dropped first.
pub const MAX_REFUSALS: usize = 4_096;
/// Time for which a refusal is remembered.
pub const MEMORY_TIME: Duration = Duration::from_secs(4);
/// Time by which a caller may come back sooner than told: timers and rounded times differ by a few
/// milliseconds.
pub const TOLERANCE: Duration = Duration::from_millis(10);
/// Time after the told one within which a caller comes back as told.
pub const RETURN_WINDOW: Duration = Duration::from_secs(1);

/// Whether a request is the return of a refused caller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CallerReturn {
    /// No refusal of such a request is remembered, or its time has passed.
    #[default]
    None,
    /// The caller comes back before the time that it was told.
    Early,
    /// The caller comes back no earlier than told.
    AsTold,
}

impl CallerReturn {
    /// Returns the name that logs and metrics use.
    pub const fn name(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Early => "early",
            Self::AsTold => "as_told",
        }
    }
}

/// Returns whether refusals with this code mean that room is short, so that a caller that comes back
/// as told should not lose its turn.
pub const fn is_shortage(code: ResultCode) -> bool {
    matches!(
        code,
        ResultCode::Overloaded
            | ResultCode::LimitReached
            | ResultCode::QueueFull
            | ResultCode::NoBackEnd
            | ResultCode::BackEndShed
            | ResultCode::RateLimitStated
    )
}

/// A request that was recognized as the return of a refused caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Returned {
    /// Whether the caller has come back as told.
    pub kind: CallerReturn,
    /// Time at which the caller was refused for the first time.
    pub first_refused: Instant,
}

/// Returns whether a request is the return of a refused caller.
pub fn kind_of(returned: Option<Returned>) -> CallerReturn {
    returned.map_or(CallerReturn::None, |returned| returned.kind)
}

/// A remembered refusal.
#[derive(Clone, Copy, Debug)]
struct Refused {
    content: Fingerprint,
    /// Earliest time at which the caller comes back as told.
    due: Instant,
    refused_at: Instant,
    first_refused: Instant,
}

/// Refusals of an entry node whose callers may come back.
#[derive(Clone, Debug, Default)]
pub struct RefusalMemory {
    /// Refusals by their number, the oldest first.
    by_number: BTreeMap<u64, Refused>,
    /// Numbers of the refusals of each content, in the order in which their callers are due.
    by_content: BTreeSet<(Fingerprint, Instant, u64)>,
    next_number: u64,
}

impl RefusalMemory {
    /// Remembers that a request was refused and that its caller was asked to come back after `told`.
    /// `first_refused` is the time of the caller's first refusal, this one or an earlier one.
    pub fn remember(
        &mut self,
        now: Instant,
        content: Fingerprint,
        told: Duration,
        first_refused: Instant,
    ) {
        self.drop_expired(now);
        if self.by_number.len() >= MAX_REFUSALS {
            self.drop_oldest();
        }
        let due = now + told.saturating_sub(TOLERANCE);
        let number = self.next_number;
        self.next_number += 1;
        let refused = Refused {
            content,
            due,
            refused_at: now,
            first_refused,
        };
        self.by_number.insert(number, refused);
        self.by_content.insert((content, due, number));
    }

    /// Returns whether the request is a return, and forgets the refusal that it answers.
    ///
    /// The refusal that has been due for longest is taken. If none is due, the latest one is taken:
    /// a caller that repeats at once replaces its own refusal by the next one, and is never due.
    pub fn take(&mut self, now: Instant, content: Fingerprint) -> Option<Returned> {
        self.drop_expired(now);
        self.drop_overdue(now, content);
        let (due, first) = self.first_due(content)?;
        if due <= now {
            return self.take_number(first, CallerReturn::AsTold);
        }
        let (_, _, latest) = self.of_content(content).next_back().copied()?;
        self.take_number(latest, CallerReturn::Early)
    }

    /// Returns whether any refusal is remembered. While none is, no content needs to be computed.
    pub fn remembers_any(&mut self, now: Instant) -> bool {
        self.drop_expired(now);
        !self.by_number.is_empty()
    }

    /// Returns the number of remembered refusals.
    pub fn len(&self) -> usize {
        self.by_number.len()
    }

    /// Returns whether no refusal is remembered.
    pub fn is_empty(&self) -> bool {
        self.by_number.is_empty()
    }

    fn take_number(&mut self, number: u64, kind: CallerReturn) -> Option<Returned> {
        let first_refused = self.by_number.get(&number)?.first_refused;
        self.remove(number);
        Some(Returned {
            kind,
            first_refused,
        })
    }

    /// Returns the refusals of a content, in the order in which their callers are due.
    fn of_content(
        &self,
        content: Fingerprint,
    ) -> impl DoubleEndedIterator<Item = &(Fingerprint, Instant, u64)> {
        let first = (content, Instant::default(), 0);
        let last = (content, Instant::from_micros(u64::MAX), u64::MAX);
        self.by_content.range(first..=last)
    }

    /// Returns the time and the number of the refusal of a content that is due first.
    fn first_due(&self, content: Fingerprint) -> Option<(Instant, u64)> {
        let first = self.of_content(content).next();
        first.map(|(_, due, number)| (*due, *number))
    }

    /// Drops the refusals of a content whose callers have not come back within the window.
    fn drop_overdue(&mut self, now: Instant, content: Fingerprint) {
        while let Some((due, number)) = self.first_due(content) {
            if now <= due + TOLERANCE + RETURN_WINDOW {
                return;
            }
            self.remove(number);
        }
    }

    fn drop_expired(&mut self, now: Instant) {
        while let Some((_, refused)) = self.by_number.first_key_value() {
            if now.saturating_since(refused.refused_at) < MEMORY_TIME {
                return;
            }
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        if let Some(number) = self.by_number.keys().next().copied() {
            self.remove(number);
        }
    }

    fn remove(&mut self, number: u64) {
        if let Some(refused) = self.by_number.remove(&number) {
            self.by_content
                .remove(&(refused.content, refused.due, number));
        }
    }
}
