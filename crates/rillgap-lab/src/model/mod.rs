//! Scenarios: deployments, call graphs, callers and faults, as files or built in code.

pub mod deployment;
pub mod exploration;
pub mod fault;
pub mod policy;
pub mod recorded;
pub mod scenario;
