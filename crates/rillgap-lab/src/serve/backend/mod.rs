//! Stand-in of a back end: slots with a bounded queue, cold start, shedding, drain,
//! cancellation, deadlines, lagging reports, and its own calls through the node beside it.

mod administration;
mod bulk;
mod counters;
mod downstream;
mod reports;
mod response;
mod slots;
mod work;

use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::time::Instant;

use super::http;
pub use administration::FaultChange;
pub use counters::{CounterValues, Executions};
pub use downstream::{DownstreamCall, DownstreamCallError};

use counters::Counters;
use downstream::DownstreamClient;
use reports::Reports;
use slots::Slots;

/// Settings of the stand-in.
#[derive(Clone, Debug)]
pub struct BackEndSettings {
    /// Name of the back end.
    pub name: String,
    /// Service that it runs.
    pub service: String,
    /// Requests that it runs at once.
    pub slots: usize,
    /// Requests that may wait for a slot; more are shed.
    pub queue: usize,
    /// Time for which a request holds its slot, own calls not counted.
    pub service_time: Duration,
    /// Outbound listener of the node beside it.
    pub node: Option<SocketAddr>,
    /// Address from which it makes its own calls, by which its node knows it.
    pub source: IpAddr,
    /// Calls that it makes for every short request, one after another.
    pub calls: Vec<DownstreamCall>,
    /// Attempts that it makes for each of its own calls, at least one.
    pub call_attempts: u32,
    /// Time after the start during which it is slower.
    pub cold_start: Duration,
    /// Time by which its health and load reports lag.
    pub report_lag: Duration,
}

/// The stand-in's state, shared by its connections.
pub struct BackEnd {
    settings: BackEndSettings,
    started_at: Instant,
    leaving: AtomicBool,
    slots: Slots,
    counters: Counters,
    reports: Mutex<Reports>,
    faults: Mutex<Faults>,
    downstream: DownstreamClient,
}

/// Faults in force.
#[derive(Clone, Copy, Debug)]
struct Faults {
    /// Factor on the service time.
    slowdown: f64,
    /// Bytes after which a long download goes silent.
    silent_after_bytes: Option<u64>,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            slowdown: 1.0,
            silent_after_bytes: None,
        }
    }
}

impl BackEnd {
    /// Creates a back end that starts cold now.
    pub fn new(settings: BackEndSettings) -> Arc<Self> {
        Arc::new(Self {
            started_at: Instant::now(),
            leaving: AtomicBool::new(false),
            slots: Slots::new(settings.slots, settings.queue),
            counters: Counters::default(),
            reports: Mutex::new(Reports::new(settings.report_lag)),
            faults: Mutex::new(Faults::default()),
            downstream: DownstreamClient::new(
                settings.node,
                settings.source,
                settings.call_attempts,
            ),
            settings,
        })
    }

    /// Announces that the back end is leaving service, or serving again.
    pub fn set_leaving(&self, leaving: bool) {
        self.leaving.store(leaving, Ordering::Relaxed);
    }

    /// Returns what was counted so far.
    pub fn counters(&self) -> CounterValues {
        self.counters.values(self.slots.occupancy())
    }

    /// Returns how often each idempotency key was run.
    pub fn executions(&self) -> Executions {
        self.counters.executions()
    }

    fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    fn faults(&self) -> MutexGuard<'_, Faults> {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn reports(&self) -> MutexGuard<'_, Reports> {
        self.reports.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Serves a back end on a bound listener until the task is dropped.
pub async fn serve(listener: TcpListener, back_end: Arc<BackEnd>) {
    let handler = Arc::new(work::Requests::new(Arc::clone(&back_end)));
    tokio::join!(http::serve(listener, handler), back_end.sample_reports());
}
