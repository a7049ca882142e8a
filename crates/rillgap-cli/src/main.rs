//! Entry point of `rillgapctl`.

fn main() {}
