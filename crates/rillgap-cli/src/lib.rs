//! The rillgapctl command line.
