//! Retry budget per service: retries are limited to a fraction of successes.

use std::collections::BTreeMap;

use super::mode::{AdmissionSettings, ControlMode};
use crate::id::ServiceName;

/// Capacity of a bucket and its initial number of tokens; one token pays for one retry.
const BURST: f64 = 10.0;

/// Token bucket per service: successes add tokens, retries take them.
///
/// While a service refuses or fails all requests, there are no successes. Retries then stop after a
/// short burst and cannot keep the service overloaded.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    settings: AdmissionSettings,
    tokens_per_success: f64,
    tokens: BTreeMap<ServiceName, f64>,
}

impl RetryBudget {
    /// Creates the budget of a node that has just started; all buckets are full.
    pub fn new(settings: AdmissionSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Sets the number of retries that 100 successes allow.
    pub fn configure(&mut self, percent: u8) {
        self.tokens_per_success = f64::from(percent) / 100.0;
    }

    /// Records a success, which adds tokens for the service.
    pub fn record_success(&mut self, service: &ServiceName) {
        let tokens_per_success = self.tokens_per_success;
        let tokens = self.tokens_of(service);
        *tokens = (*tokens + tokens_per_success).min(BURST);
    }

    /// Takes one token; returns whether the service had one. Always true in the baseline modes.
    pub fn try_spend(&mut self, service: &ServiceName) -> bool {
        if self.settings.mode != ControlMode::Full {
            return true;
        }
        let tokens = self.tokens_of(service);
        if *tokens < 1.0 {
            return false;
        }
        *tokens -= 1.0;
        true
    }

    fn tokens_of(&mut self, service: &ServiceName) -> &mut f64 {
        if !self.tokens.contains_key(service) {
            self.tokens.insert(service.clone(), BURST);
        }
        self.tokens.entry(service.clone()).or_insert(BURST)
    }
}
