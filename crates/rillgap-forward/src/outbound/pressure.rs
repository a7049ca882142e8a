//! How long requests wait anywhere in the deployment.

use std::collections::BTreeMap;

use super::OutboundContext;
use crate::inbound::PRESSURE_MICROS;

/// Longest mean wait at any service.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Pressure {
    /// The service; empty if none is known.
    pub service: String,
    /// Mean wait relative to the one from which a service counts as under pressure.
    pub ratio: f64,
}

/// Returns the pressure at the service where it is highest.
pub(super) fn pressure(context: &OutboundContext<'_>) -> Pressure {
    let mut waits = BTreeMap::new();
    context.directory.collect_waits(&mut waits);
    let own = context.own;
    if own.is_serving() {
        let (sum, count) = waits.entry(own.service().to_owned()).or_default();
        *sum += u64::from(own.load().wait_micros);
        *count += 1;
    }
    let at_service = |(service, (sum, count)): (String, (u64, u64))| Pressure {
        service,
        ratio: sum as f64 / (count as f64 * f64::from(PRESSURE_MICROS)),
    };
    waits
        .into_iter()
        .map(at_service)
        .max_by(|left, right| left.ratio.total_cmp(&right.ratio))
        .unwrap_or_default()
}
