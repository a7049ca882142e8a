//! What the nodes add to a call: the same load straight to a back end and through the nodes.
//!
//! Short phases of the two alternate within one run, so that whatever else the machine does
//! meets both alike; only differences and ratios within the run are reported.

mod phase;
mod process;
mod report;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::Method;

use crate::load::{Caller, RequestShape};
pub use process::{ProcessError, ProcessUsage};
pub use report::{BenchReport, RequestReport, Saturation};

/// Time for which a call may take until it counts as failed.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Phases of full load are shorter than steady ones by this factor: a node remembers every key of
/// a booking for its whole life, and more than it can remember are refused.
const FULL_LOAD_SHARE: u32 = 2;

/// What is measured.
#[derive(Clone, Debug)]
pub struct BenchSettings {
    /// Back end that is called straight.
    pub direct: SocketAddr,
    /// Listener for callers of the entry node.
    pub through: SocketAddr,
    /// Processes of the nodes on the path.
    pub nodes: Vec<u32>,
    /// Calls begun per second in the phases of steady load.
    pub rate: f64,
    /// Length of the phases that warm up connections and code, not counted.
    pub warm_up: Duration,
    /// Length of a phase of steady load.
    pub phase: Duration,
    /// Number of pairs of phases for each sort of request.
    pub rounds: u32,
    /// Calls under way at any time in the phases of full load.
    pub concurrency: u32,
}

/// A sort of request that is measured.
#[derive(Clone, Debug)]
struct MeasuredRequest {
    name: &'static str,
    shape: RequestShape,
}

/// The two ways that calls take.
struct Paths {
    direct: Arc<Caller>,
    through: Arc<Caller>,
}

/// Measures and reports.
///
/// # Errors
///
/// Returns [`ProcessError`] if the usage of one of the nodes cannot be read.
pub async fn run(settings: &BenchSettings) -> Result<BenchReport, ProcessError> {
    let paths = Paths {
        direct: caller_of(settings.direct),
        through: caller_of(settings.through),
    };
    let mut requests = Vec::new();
    for request in measured_requests() {
        requests.push(measure_request(settings, &paths, &request).await?);
    }
    Ok(BenchReport {
        rate: settings.rate,
        concurrency: settings.concurrency,
        requests,
        resident_bytes: resident_bytes(&settings.nodes)?,
    })
}

/// Returns a lookup, which may run more than once, and a booking, which may not.
fn measured_requests() -> [MeasuredRequest; 2] {
    let shape = |method, keyed| RequestShape {
        method,
        path: "/bestilling/bookings".to_owned(),
        keyed,
    };
    [
        MeasuredRequest {
            name: "lookup",
            shape: shape(Method::GET, false),
        },
        MeasuredRequest {
            name: "booking",
            shape: shape(Method::POST, true),
        },
    ]
}

async fn measure_request(
    settings: &BenchSettings,
    paths: &Paths,
    request: &MeasuredRequest,
) -> Result<RequestReport, ProcessError> {
    let shape = &request.shape;
    let rate = settings.rate;
    phase::steady(&paths.direct, shape, rate, settings.warm_up).await;
    phase::steady(&paths.through, shape, rate, settings.warm_up).await;
    let mut report = RequestReport::new(request.name);
    for _ in 0..settings.rounds {
        let direct = phase::steady(&paths.direct, shape, rate, settings.phase).await;
        let through = phase::steady(&paths.through, shape, rate, settings.phase).await;
        report.add_round(&direct, &through);
    }
    report.full_load = measure_full_load(settings, paths, shape).await?;
    Ok(report)
}

async fn measure_full_load(
    settings: &BenchSettings,
    paths: &Paths,
    shape: &RequestShape,
) -> Result<Saturation, ProcessError> {
    let (concurrency, duration) = (settings.concurrency, settings.phase / FULL_LOAD_SHARE);
    let mut saturation = Saturation::default();
    for _ in 0..settings.rounds {
        let direct = phase::full(&paths.direct, shape, concurrency, duration).await;
        let before = processor_time(&settings.nodes)?;
        let through = phase::full(&paths.through, shape, concurrency, duration).await;
        let used = processor_time(&settings.nodes)?.saturating_sub(before);
        saturation.add_round(&direct, &through, duration, used);
    }
    Ok(saturation)
}

fn caller_of(target: SocketAddr) -> Arc<Caller> {
    Arc::new(Caller::new(vec![target], CALL_TIMEOUT, 1))
}

fn processor_time(nodes: &[u32]) -> Result<Duration, ProcessError> {
    nodes
        .iter()
        .map(|node| Ok(ProcessUsage::read(*node)?.processor_time))
        .sum()
}

fn resident_bytes(nodes: &[u32]) -> Result<Vec<u64>, ProcessError> {
    nodes
        .iter()
        .map(|node| Ok(ProcessUsage::read(*node)?.resident_bytes))
        .collect()
}
