//! Entry point of `rillgapd`.

fn main() {}
