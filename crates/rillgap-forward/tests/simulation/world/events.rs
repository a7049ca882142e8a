//! Scheduled events and faults of the simulation.

use rillgap_forward::event::{Event, Heartbeat};
use rillgap_forward::id::{ConnectionId, LinkId};
use rillgap_forward::incarnation::Incarnation;
use rillgap_forward::message::{Hello, LinkMessage};
use rillgap_forward::store_sync::{StoreRequest, StoreRequestId};

use super::ExecutionKey;

/// Scheduled event of the simulation.
#[derive(Debug)]
pub enum WorldEvent {
    /// An event for one incarnation of the node of a host; dropped after a restart.
    Node(usize, u32, Event),
    /// The timer of a node fires.
    Wake(usize, u32),
    /// A message arrives on a connection; the flag is true if it goes to the opener.
    Message(u64, bool, LinkMessage),
    /// A connection is opened.
    Connect(usize, u32, LinkId, std::net::SocketAddr),
    /// A host accepts a connection whose opener has timed out.
    AbandonedLink(usize, u32, Box<Hello>),
    /// A back end has finished its own work on a request.
    WorkDone(usize, ExecutionKey),
    /// A back end sends a heartbeat.
    Heartbeat(usize, Incarnation),
    /// A heartbeat arrives at the node of a host.
    HeartbeatArrives(usize, Heartbeat),
    /// A drained back end exits.
    BackEndEnds(usize, Incarnation),
    /// A back end starts.
    BackEndStarts(usize),
    /// The wait time of a watch is over.
    WatchTimeout(u64),
    /// A call reaches the store.
    StoreCall(usize, u32, StoreRequestId, StoreRequest),
    /// The caller at a host sends its next request.
    CallerSends(usize),
    /// A caller at a host sends the next request of the limited tenant, to the service of the first
    /// owner of its bucket, and one more after each pause.
    LimitedCallerSends {
        /// Host of the caller.
        host: usize,
        /// Microseconds between two requests.
        pause_micros: u64,
    },
    /// A request that crashes each back end that executes it is sent to a random host and scheduled
    /// again.
    CrashingRequest(&'static str),
    /// A caller retries a failed request at a random host.
    CallerRetry {
        /// Target of the request.
        target: String,
        /// Number of this attempt, from 1.
        attempts: u32,
    },
    /// A caller has read an answer to the end.
    AnswerRead(usize, u32, ConnectionId),
    /// A caller closes its connection.
    CallerDisconnects(usize, u32, ConnectionId),
    /// A fault begins or ends.
    Fault(Fault),
}

/// A fault, or the end of one.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// The process of a host is killed.
    Kill(usize),
    /// A host loses power; its peers are not notified.
    PowerOff(usize),
    /// The process of a host starts.
    Start(usize),
    /// The processes of a host are paused until this time.
    Pause(usize, u64),
    /// The machine of a host is suspended until this time.
    Suspend(usize, u64),
    /// A host is partitioned from all others (true), or connected again (false).
    Partition(usize, bool),
    /// Nothing that the first host sends reaches the second (true), or all of it again (false).
    Cut(usize, usize, bool),
    /// The store is unreachable for all (true), or reachable again (false).
    StoreDown(bool),
    /// The store refuses the calls of a host (true), or serves them again (false).
    StoreRefuses(usize, bool),
    /// The store leaves the calls of a host unanswered (true), or answers them again (false).
    StoreIgnores(usize, bool),
    /// The store stops answering the hosts that watch it at this time.
    StoreIgnoresWatchers,
    /// Half of the answers of the store are lost (true), or none any more (false).
    StoreLosesAnswers(bool),
    /// The store compacts its history and answers all watches that their position has expired.
    StoreCompacts,
    /// The store is restored from a backup of this age in milliseconds.
    StoreRestored(u64),
    /// The operator writes the newest configuration again, which the restore may have removed.
    RewriteConfiguration,
    /// A back end crashes and restarts 2 s later.
    Crash(usize),
    /// A back end announces draining, exits later and is replaced by another one.
    Drain(usize),
    /// A node receives SIGTERM.
    Stop(usize),
    /// The operator changes the configuration.
    Configure,
    /// A back end loses this percentage of its answers.
    LoseAnswers(usize, u64),
    /// A back end answers this percentage of its requests with status 500.
    FailRequests(usize, u64),
    /// A back end answers this percentage of its requests with status 500 after their calls.
    FailAfterCalls(usize, u64),
    /// A back end rejects this percentage of the requests that reach it.
    Reject(usize, u64),
    /// A back end takes this many times as long for its work.
    Slow(usize, u64),
    /// A back end states this rate limit in its answers, in requests per second; `None` ends it.
    StateRateLimit(usize, Option<u32>),
    /// A back end states in its answers that it is leaving, and is replaced later. Its heartbeats
    /// and its health endpoint do not say so.
    StateLeaving(usize),
}

/// Returns the host that has to handle an event, which waits while the host is paused.
pub(super) fn host_of(world_event: &WorldEvent) -> Option<usize> {
    match world_event {
        WorldEvent::Node(host, ..)
        | WorldEvent::Wake(host, _)
        | WorldEvent::Connect(host, ..)
        | WorldEvent::AbandonedLink(host, ..)
        | WorldEvent::HeartbeatArrives(host, _) => Some(*host),
        _ => None,
    }
}
