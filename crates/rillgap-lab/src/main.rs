//! Entry point of `rillgap-lab`.

fn main() {}
