//! Watches the health endpoint of the back end.
//!
//! Only one thing is read from it: whether the back end says that it is leaving. Load figures
//! lag and mislead, so none are used; an endpoint that does not answer changes nothing.

use std::time::Duration;

use http::HeaderValue;
use http_body_util::{BodyExt, Limited};
use serde::Deserialize;
use tokio::time::{MissedTickBehavior, interval, timeout};

use crate::announcement::Announcement;
use crate::pool::ConnectionPool;
use crate::request;
use crate::settings::BackEndSettings;

/// Longest time in which the endpoint must answer.
const HEALTH_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest answer that is read, in bytes.
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

/// Looks at the health endpoint at regular times until the task is dropped.
pub async fn watch(settings: BackEndSettings, host: HeaderValue, announcement: Announcement) {
    let Some(path) = settings.health_path else {
        return;
    };
    // A connection of its own, so that requests cannot keep it waiting.
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
