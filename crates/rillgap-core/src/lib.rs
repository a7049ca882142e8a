//! Decision logic of rillgap as pure state machines, without I/O, threads or clock reads.
