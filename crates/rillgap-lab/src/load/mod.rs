//! Callers that send requests at a steady rate, whether or not earlier ones were answered.

mod caller;
mod check;
mod mix;
mod pacer;
mod report;
mod request;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::sync::mpsc;

pub use caller::{CallRecord, CallResult, Caller};
pub use mix::{Mix, MixError};
pub use pacer::{PlannedCall, pace};
pub use report::{CallReport, FailureCondition, FailureConditionError, LoadReport};
pub use request::{BulkShape, RequestKind, RequestShape};

/// Records that may wait to be counted.
const RECORD_QUEUE: usize = 1024;

/// What load is sent, and where.
#[derive(Clone, Debug)]
pub struct LoadSettings {
    /// Listeners for callers, asked in turn.
    pub targets: Vec<SocketAddr>,
    /// Calls begun per second.
    pub rate: f64,
    /// Time for which calls are begun.
    pub duration: Duration,
    /// Kinds of requests and their shares.
    pub mix: Mix,
    /// Shape of long downloads.
    pub bulk: BulkShape,
    /// Time for which a caller waits for a whole answer.
    pub timeout: Duration,
    /// Attempts for a call that may be repeated: one that was not run, or one with a key.
    pub attempts: u32,
    /// Seed of the order in which kinds are drawn.
    pub seed: u64,
}

/// Sends load and returns what came back, once every call has ended.
pub async fn run(settings: &LoadSettings) -> LoadReport {
    let (records, received) = mpsc::channel(RECORD_QUEUE);
    let counting = tokio::spawn(collect(received));
    begin_calls(settings, records).await;
    counting.await.unwrap_or_default()
}

async fn begin_calls(settings: &LoadSettings, records: mpsc::Sender<(RequestKind, CallRecord)>) {
    let caller = Arc::new(Caller::new(
        settings.targets.clone(),
        settings.timeout,
        settings.attempts,
    ));
    let mut random = ChaCha8Rng::seed_from_u64(settings.seed);
    let mut planned = pace(settings.rate, settings.duration);
    while let Some(call) = planned.recv().await {
        let kind = settings.mix.draw(&mut random);
        let request = kind.request(settings.bulk);
        let caller = Arc::clone(&caller);
        let records = records.clone();
        tokio::spawn(async move {
            let record = caller.call(call, &request).await;
            // The receiver lives until all senders are gone.
            let _ = records.send((kind, record)).await;
        });
    }
}

async fn collect(mut records: mpsc::Receiver<(RequestKind, CallRecord)>) -> LoadReport {
    let mut report = LoadReport::default();
    while let Some((kind, record)) = records.recv().await {
        report.count(kind, &record);
    }
    report
}
