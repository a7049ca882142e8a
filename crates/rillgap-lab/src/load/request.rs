//! Kinds of requests that callers send.

use std::str::FromStr;
use std::time::Duration;

use http::Method;
use serde::Serialize;

/// Kind of a request, as an order of the dispatch deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestKind {
    /// Books a ride; may run at most once.
    Booking,
    /// Exports a settlement file; may run at most once.
    Settlement,
    /// Looks up a fare.
    Browse,
    /// Reads the trip history.
    Trips,
    /// Downloads a long fare table.
    Bulk,
}

/// Shape of a long download.
#[derive(Clone, Copy, Debug)]
pub struct BulkShape {
    /// Length in bytes.
    pub bytes: u64,
    /// Pause of the back end before each part.
    pub pause: Duration,
}

/// What is sent, apart from the headers that differ from call to call.
#[derive(Clone, Debug)]
pub struct RequestShape {
    /// Method.
    pub method: Method,
    /// Path with service and query.
    pub path: String,
    /// Whether an idempotency key is sent.
    pub keyed: bool,
}

/// A kind of requests is unknown.
#[derive(Debug, thiserror::Error)]
#[error("{0:?} is none of booking, settlement, browse, trips, bulk")]
pub struct UnknownKind(String);

impl RequestKind {
    /// Returns the name of the kind.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Booking => "booking",
            Self::Settlement => "settlement",
            Self::Browse => "browse",
            Self::Trips => "trips",
            Self::Bulk => "bulk",
        }
    }

    /// Returns what is sent for a request of this kind.
    pub fn request(self, bulk: BulkShape) -> RequestShape {
        let bulk_path = format!(
            "/takst/bulk/tables?bytes={}&pause_ms={}",
            bulk.bytes,
            bulk.pause.as_millis()
        );
        let (method, path, keyed) = match self {
            Self::Booking => (Method::POST, "/bestilling/bookings", true),
            Self::Settlement => (Method::POST, "/oppgjor/settlements", true),
            Self::Browse => (Method::GET, "/takst/fares/zone", false),
            Self::Trips => (Method::GET, "/logbok/trips", false),
            Self::Bulk => (Method::GET, bulk_path.as_str(), false),
        };
        RequestShape {
            method,
            path: path.to_owned(),
            keyed,
        }
    }
}

impl FromStr for RequestKind {
    type Err = UnknownKind;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        [
            Self::Booking,
            Self::Settlement,
            Self::Browse,
            Self::Trips,
            Self::Bulk,
        ]
        .into_iter()
        .find(|kind| kind.name() == text)
        .ok_or_else(|| UnknownKind(text.to_owned()))
    }
}
