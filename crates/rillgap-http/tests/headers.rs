//! Forwarded headers and the timeout header.

use std::time::Duration;

use googletest::prelude::*;
use http::{HeaderMap, HeaderValue};
use rillgap_http::{headers, timeout};

#[gtest]
fn hop_by_hop_headers_and_those_named_by_connection_are_not_forwarded() {
    let mut map = HeaderMap::new();
    map.insert("connection", HeaderValue::from_static("close, X-Private"));
    map.insert("x-private", HeaderValue::from_static("1"));
    map.insert("transfer-encoding", HeaderValue::from_static("chunked"));
    map.insert("accept", HeaderValue::from_static("text/plain"));
    let forwarded = headers::forwarded(&map, |_| false);
    let names: Vec<_> = forwarded
        .iter()
        .map(|header| header.name.as_str())
        .collect();
    expect_that!(names, elements_are![eq(&"accept")]);
}

#[gtest]
fn timeouts_are_parsed_with_every_unit() {
    expect_that!(timeout::parse("2H"), some(eq(Duration::from_secs(7_200))));
    expect_that!(timeout::parse("250m"), some(eq(Duration::from_millis(250))));
    expect_that!(timeout::parse("7u"), some(eq(Duration::from_micros(7))));
    for malformed in ["", "m", "12", "-1S", "1.5S", "123456789m", "1x", "1é", "é"] {
        expect_that!(timeout::parse(malformed), none());
    }
}

#[gtest]
fn formatted_timeouts_parse_to_the_same_value() {
    for timeout in [
        Duration::ZERO,
        Duration::from_micros(1_234),
        Duration::from_secs(99),
        Duration::from_secs(3_600),
    ] {
        expect_that!(timeout::parse(&timeout::format(timeout)), some(eq(timeout)));
    }
}
