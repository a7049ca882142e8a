//! Account of the bytes that a node holds for others: answers that are read from the back end,
//! answers that callers or peers have not read yet, and bodies of requests.
//!
//! The load pattern is a back end that sends without end, or callers that read slowly, whatever the
//! number of requests: a limit for each of them would not bound the sum. As the account fills up,
//! work is slowed down or refused in this order:
//!
//! | Held, of the limit | Change |
//! |---|---|
//! | [`SLOW_FRACTION`] | no further requests are read from callers that have not read their answers |
//! | [`REFUSE_FRACTION`] | new requests of callers are refused |
//! | all | answers of the back end and long bodies of peers wait; of the answers whose end is not known, the longest one ends |
//! | all, for a while | the caller that reads most slowly is disconnected |

use std::time::Duration;

use rillgap_core::time::Instant;

/// Fraction of the limit from which callers with unread answers are not read any further.
pub const SLOW_FRACTION: f64 = 0.75;
/// Fraction of the limit from which new requests of callers are refused.
pub const REFUSE_FRACTION: f64 = 0.875;

/// Time without progress after which a caller has stopped reading.
const STALL_TIME: Duration = Duration::from_millis(200);

/// Limits of an account, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BufferLimits {
    /// Maximum sum.
    pub total: usize,
    /// Maximum length of the body of an answer.
    pub answer: usize,
    /// Maximum length of the body of an answer that does not state its length.
    pub open_ended_answer: usize,
}

/// Holder of bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct HolderId(usize);

/// What a holder holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HolderKind {
    /// An answer of the back end with a known length.
    Answer,
    /// An answer of the back end whose end is not known.
    OpenEndedAnswer,
    /// Requests of a caller.
    Requests,
    /// Answers that a caller has not read yet.
    UnreadAnswers,
    /// Messages of or for a peer.
    Link,
}

/// Reply to a request for room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Room {
    /// The bytes may be held and are counted.
    Granted,
    /// There is no room at the moment.
    Wait,
    /// There is no room, and the holder is the one to end.
    Exhausted,
}

#[derive(Clone, Copy, Debug)]
struct Holder {
    kind: HolderKind,
    bytes: usize,
    /// When the peer has last taken some of the bytes, or the first of them were held.
    progressed_at: Instant,
}

/// Account of the bytes that a node holds for others.
#[derive(Clone, Debug)]
pub struct BufferAccount {
    limits: BufferLimits,
    held: usize,
    holders: Vec<Option<Holder>>,
    unused: Vec<usize>,
    /// Whether new requests of callers are refused.
    is_short: bool,
}

impl BufferAccount {
    /// Creates an empty account.
    pub const fn new(limits: BufferLimits) -> Self {
        Self {
            limits,
            held: 0,
            holders: Vec::new(),
            unused: Vec::new(),
            is_short: false,
        }
    }

    /// Returns the limits.
    pub const fn limits(&self) -> BufferLimits {
        self.limits
    }

    /// Returns the sum of the bytes that are held.
    pub const fn held(&self) -> usize {
        self.held
    }

    /// Adds a holder without bytes.
    pub fn open(&mut self, kind: HolderKind) -> HolderId {
        let holder = Some(Holder {
            kind,
            bytes: 0,
            progressed_at: Instant::default(),
        });
        if let Some(index) = self.unused.pop() {
            self.holders[index] = holder;
            return HolderId(index);
        }
        self.holders.push(holder);
        HolderId(self.holders.len() - 1)
    }

    /// Removes a holder with all its bytes.
    pub fn close(&mut self, id: HolderId) {
        if let Some(holder) = self.holders.get_mut(id.0).and_then(Option::take) {
            self.held -= holder.bytes;
            self.unused.push(id.0);
        }
    }

    /// Asks for room for further bytes, which are counted if it is granted.
    pub fn request(&mut self, id: HolderId, bytes: usize) -> Room {
        if self.held.saturating_add(bytes) <= self.limits.total {
            self.add(id, bytes);
            return Room::Granted;
        }
        let is_longest = self.longest_open_ended() == Some(id);
        if is_longest || bytes > self.limits.total {
            Room::Exhausted
        } else {
            Room::Wait
        }
    }

    /// Counts bytes that are held already.
    pub fn add(&mut self, id: HolderId, bytes: usize) {
        if let Some(Some(holder)) = self.holders.get_mut(id.0) {
            holder.bytes += bytes;
            self.held += bytes;
        }
    }

    /// Counts answers that a caller has not read yet.
    pub fn add_unread(&mut self, now: Instant, id: HolderId, bytes: usize) {
        if let Some(Some(holder)) = self.holders.get_mut(id.0)
            && holder.bytes == 0
        {
            holder.progressed_at = now;
        }
        self.add(id, bytes);
    }

    /// Counts bytes that a caller has read.
    pub fn remove_read(&mut self, now: Instant, id: HolderId, bytes: usize) {
        if let Some(Some(holder)) = self.holders.get_mut(id.0) {
            holder.progressed_at = now;
        }
        self.remove(id, bytes);
    }

    /// Counts bytes that are not held any more.
    pub fn remove(&mut self, id: HolderId, bytes: usize) {
        if let Some(Some(holder)) = self.holders.get_mut(id.0) {
            let removed = holder.bytes.min(bytes);
            holder.bytes -= removed;
            self.held -= removed;
        }
    }

    /// Sets the number of bytes of a holder.
    pub fn set(&mut self, id: HolderId, bytes: usize) {
        if let Some(Some(holder)) = self.holders.get_mut(id.0) {
            self.held = self.held - holder.bytes + bytes;
            holder.bytes = bytes;
        }
    }

    /// Returns whether callers that have not read their answers are not read any further.
    pub fn slows_callers(&self) -> bool {
        self.fraction() >= SLOW_FRACTION
    }

    /// Returns whether nothing more may be held.
    pub const fn is_full(&self) -> bool {
        self.held >= self.limits.total
    }

    /// Returns whether new requests of callers are to be refused from now on, or accepted again;
    /// `None` if nothing has changed since the last call.
    pub fn take_shortage_change(&mut self) -> Option<bool> {
        let threshold = if self.is_short {
            SLOW_FRACTION
        } else {
            REFUSE_FRACTION
        };
        let is_short = self.fraction() >= threshold;
        let has_changed = std::mem::replace(&mut self.is_short, is_short) != is_short;
        has_changed.then_some(is_short)
    }

    /// Returns the caller that reads most slowly: of those that have stopped reading, or else of all,
    /// the one with the most unread bytes.
    pub fn slowest_reader(&self, now: Instant) -> Option<HolderId> {
        let readers = self.of_kind(HolderKind::UnreadAnswers);
        let ranked = readers.map(|(id, holder)| {
            let has_stopped = now.saturating_since(holder.progressed_at) >= STALL_TIME;
            (has_stopped, holder.bytes, id)
        });
        ranked.max().map(|(_, _, id)| id)
    }

    /// Returns the longest answer whose end is not known.
    fn longest_open_ended(&self) -> Option<HolderId> {
        let answers = self.of_kind(HolderKind::OpenEndedAnswer);
        answers
            .map(|(id, holder)| (holder.bytes, id))
            .max()
            .map(|(_, id)| id)
    }

    /// Returns the holders of a kind that hold bytes.
    fn of_kind(&self, kind: HolderKind) -> impl Iterator<Item = (HolderId, Holder)> {
        let holders = self.holders.iter().enumerate();
        holders.filter_map(move |(index, holder)| {
            let holder = holder.filter(|holder| holder.kind == kind && holder.bytes > 0)?;
            Some((HolderId(index), holder))
        })
    }

    fn fraction(&self) -> f64 {
        self.held as f64 / self.limits.total.max(1) as f64
    }
}
