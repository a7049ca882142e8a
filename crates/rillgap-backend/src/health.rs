//! Polls the health endpoint of the back end.
//!
//! Only the announced state, serving or leaving, is read. Load figures are ignored, because they
//! lag and mislead. If the endpoint does not answer, the last state is kept.

use std::time::Duration;

use http::HeaderValue;
use http_body_util::{BodyExt, Limited};
use serde::Deserialize;
use tokio::time::{MissedTickBehavior, interval, timeout};

use crate::announcement::Announcement;
use crate::pool::ConnectionPool;
use crate::request;
use crate::settings::BackEndSettings;

/// Timeout of one health request.
const HEALTH_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum size of a health report; longer ones are ignored.
const MAX_REPORT_BYTES: usize = 4 * 1024;

/// State that the endpoint reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum HealthState {
    Serving,
    Leaving,
}

#[derive(Debug, Deserialize)]
struct HealthReport {
    state: HealthState,
}

/// Polls the health endpoint periodically; returns only if none is configured.
pub async fn watch(settings: BackEndSettings, host: HeaderValue, announcement: Announcement) {
    let Some(path) = settings.health_path else {
        return;
    };
    // A separate connection, so that requests do not delay health checks.
    let pool = ConnectionPool::new(settings.address, 1, settings.connect_timeout);
    let mut ticks = interval(settings.health_interval);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let report = timeout(HEALTH_TIMEOUT, fetch_state(&pool, &path, &host)).await;
        if let Ok(Some(state)) = report {
            announcement.on_health(state == HealthState::Leaving).await;
        }
    }
}

async fn fetch_state(pool: &ConnectionPool, path: &str, host: &HeaderValue) -> Option<HealthState> {
    let request = request::build_health(path, host).ok()?;
    let (response, lease) = pool.send(request).await.ok()?;
    let body = Limited::new(response.into_body(), MAX_REPORT_BYTES);
    let bytes = body.collect().await.ok()?.to_bytes();
    lease.return_to_pool();
    let report: HealthReport = serde_json::from_slice(&bytes).ok()?;
    Some(report.state)
}
