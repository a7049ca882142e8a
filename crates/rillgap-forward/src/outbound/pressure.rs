//! How long requests wait anywhere in the deployment.

use std::collections::BTreeMap;

use super::OutboundContext;
use crate::inbound::PRESSURE_MICROS;

/// Returns the longest mean wait at any service, relative to the one from which a service counts
/// as under pressure.
pub(super) fn pressure(context: &OutboundContext<'_>) -> f64 {
    let mut waits = BTreeMap::new();
    context.directory.collect_waits(&mut waits);
    let own = &context.own_status;
    if own.is_serving {
        let (sum, count) = waits.entry(own.service.clone()).or_default();
        *sum += u64::from(own.load.wait_micros);
        *count += 1;
    }
    waits
        .values()
        .map(|(sum, count)| *sum as f64 / (*count as f64 * f64::from(PRESSURE_MICROS)))
        .fold(0.0, f64::max)
}
