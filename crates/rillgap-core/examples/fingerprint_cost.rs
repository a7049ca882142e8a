//! Measures the processor time of computing the fingerprint of a request, by length of the body.
//!
//! `cargo run --release -p rillgap-core --example fingerprint_cost`
#![allow(
    clippy::disallowed_methods,
    reason = "a measurement of processor time reads the clock"
)]

use std::hint::black_box;

use rillgap_core::fingerprint::fingerprint;

const ROUNDS: u32 = 20_000;
const BODY_LENGTHS: [usize; 4] = [0, 300, 4_096, 65_536];

fn main() {
    for length in BODY_LENGTHS {
        let body = vec![b'b'; length];
        let parts: [&[u8]; 5] = [b"r-6xipdid", b"GET", b"/nolo400/917f8b?page=3", b"", &body];
        let begun = std::time::Instant::now();
        for _ in 0..ROUNDS {
            black_box(fingerprint(black_box(&parts)));
        }
        let nanos = begun.elapsed().as_nanos() / u128::from(ROUNDS);
        println!("body of {length} bytes: {nanos} ns");
    }
}
