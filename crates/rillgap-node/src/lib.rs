//! The rillgapd daemon: settings, logs, duty threads and rings.
