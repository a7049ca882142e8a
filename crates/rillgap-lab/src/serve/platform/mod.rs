//! Stand-in of the platform: object store with versions and watches, and a lagging machine list.

mod faults;
mod machines;
mod query;
mod routes;
mod statistics;
mod store;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;

use super::http;
pub use faults::{FaultChange, Faults};
pub use machines::MachineEntry;
pub use statistics::Statistics;

use machines::MachineList;
use store::ObjectStore;

/// How often lapsed leases are looked for.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Settings of the stand-in.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// Time by which the machine list lags behind the truth.
    pub machine_lag: Duration,
    /// Machines listed at the start.
    pub machines: Vec<MachineEntry>,
}

/// The stand-in's state, shared by its connections.
pub struct Platform {
    state: Mutex<State>,
    changes: watch::Sender<u64>,
    machine_lag: Duration,
}

struct State {
    store: ObjectStore,
    machines: MachineList,
    faults: Faults,
    statistics: Statistics,
}

impl Platform {
    /// Creates a platform with an empty store.
    pub fn new(settings: PlatformSettings) -> Arc<Self> {
        let state = State {
            store: ObjectStore::default(),
            machines: MachineList::new(settings.machine_lag, settings.machines),
            faults: Faults::default(),
            statistics: Statistics::default(),
        };
        Arc::new(Self {
            state: Mutex::new(state),
            changes: watch::Sender::new(0),
            machine_lag: settings.machine_lag,
        })
    }

    /// Changes the faults that the platform shows.
    pub fn set_faults(&self, change: &FaultChange) {
        self.lock().faults.apply(change);
    }

    /// Replaces the machine list; readers see it after the lag.
    pub fn set_machines(self: &Arc<Self>, machines: Vec<MachineEntry>) {
        self.lock().machines.replace(Instant::now(), machines);
        let platform = Arc::clone(self);
        tokio::spawn(async move {
            tokio::time::sleep(platform.machine_lag).await;
            platform.notify();
        });
    }

    /// Returns what was counted so far.
    pub fn statistics(&self) -> Statistics {
        self.lock().statistics
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Wakes all blocking queries.
    fn notify(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    async fn end_lapsed_leases(&self) {
        loop {
            tokio::time::sleep(LEASE_CHECK_INTERVAL).await;
            if self.lock().store.end_lapsed_sessions(Instant::now()) {
                self.notify();
            }
        }
    }
}

/// Serves a platform on a bound listener until the task is dropped.
pub async fn serve(listener: tokio::net::TcpListener, platform: Arc<Platform>) {
    let handler = Arc::new(routes::Routes::new(Arc::clone(&platform)));
    tokio::join!(http::serve(listener, handler), platform.end_lapsed_leases());
}
