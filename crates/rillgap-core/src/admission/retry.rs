//! Retries as a share of successes, per service.

use std::collections::BTreeMap;

use super::mode::{AdmissionSettings, ControlMode};
use crate::id::ServiceName;

/// Retries that a service may have before its first success, and the most that are saved up.
const BURST: f64 = 10.0;

/// Token bucket per service: successes fill it, retries empty it.
///
/// While a service refuses or fails everything there are no successes, so retries cease after
/// a short burst and cannot keep it overloaded.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    settings: AdmissionSettings,
    tokens_per_success: f64,
    tokens: BTreeMap<ServiceName, f64>,
}

impl RetryBudget {
    /// Creates the budget of a fresh node.
    pub fn new(settings: AdmissionSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Sets the share of successes that may be retried, in percent.
    pub fn configure(&mut self, percent: u8) {
        self.tokens_per_success = f64::from(percent) / 100.0;
    }

    /// Counts a success.
    pub fn record_success(&mut self, service: &ServiceName) {
        let tokens_per_success = self.tokens_per_success;
        let tokens = self.tokens_of(service);
        *tokens = (*tokens + tokens_per_success).min(BURST);
    }

    /// Takes one retry out of the budget; returns whether there was one.
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
