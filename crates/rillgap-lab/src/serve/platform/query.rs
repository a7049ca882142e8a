//! What the query of a request asks for.

use std::time::Duration;

use tokio::time::Instant;
use uuid::Uuid;

use super::store::PutCondition;
use crate::serve::http::query_value;

/// Wait of a blocking query that names none.
const DEFAULT_WAIT: Duration = Duration::from_secs(300);

/// A blocking query.
#[derive(Clone, Copy)]
pub(super) struct Wait {
    pub(super) after: u64,
    pub(super) until: Instant,
}

/// Returns the blocking query that a query string asks for; index zero never waits.
pub(super) fn parse_wait(query: Option<&str>) -> Option<Wait> {
    let after = query_value(query, "index")?.parse().ok()?;
    if after == 0 {
        return None;
    }
    let wait = query_value(query, "wait").and_then(parse_duration);
    Some(Wait {
        after,
        until: Instant::now() + wait.unwrap_or(DEFAULT_WAIT),
    })
}

pub(super) fn parse_condition(query: Option<&str>) -> Option<PutCondition> {
    if let Some(index) = query_value(query, "cas") {
        return index.parse().ok().map(PutCondition::Index);
    }
    if let Some(session) = query_value(query, "acquire") {
        return parse_session(session).map(PutCondition::Acquire);
    }
    if let Some(session) = query_value(query, "release") {
        return parse_session(session).map(PutCondition::Release);
    }
    Some(PutCondition::Always)
}

pub(super) fn parse_session(text: &str) -> Option<Uuid> {
    Uuid::parse_str(text).ok()
}

/// Reads a duration such as `250ms`, `30s` or `5m`.
pub(super) fn parse_duration(text: &str) -> Option<Duration> {
    if let Some(millis) = text.strip_suffix("ms") {
        return millis.parse().ok().map(Duration::from_millis);
    }
    if let Some(seconds) = text.strip_suffix('s') {
        return seconds.parse().ok().map(Duration::from_secs);
    }
    let minutes: u64 = text.strip_suffix('m')?.parse().ok()?;
    Some(Duration::from_secs(minutes * 60))
}
