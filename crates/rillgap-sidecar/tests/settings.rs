//! Settings files: conversion of valid ones, errors for invalid ones.

use std::path::Path;
use std::time::Duration;

use googletest::prelude::*;
use rillgap_core::code::ResultCode;
use rillgap_sidecar::settings::{SettingsError, SidecarSettings};

const VALID: &str = r#"
[node]
name = "node-a"
zone = "hall-a"
region = "trondheim"

[listen]
callers = "127.0.1.1:8080"
control = "127.0.1.1:8081"
readiness = "127.0.1.1:8082"
mesh = "127.0.1.1:7000"

[back-end]
service = "takst"
address = "127.0.1.1:9000"
heartbeat-seconds = 1.5

[store]
address = "127.0.0.1:9100"

[bounds]
grace-seconds = 6
retry-ratio = 0.2
retry-slack = 55
retry-window-seconds = 10
"#;

fn parse(text: &str) -> std::result::Result<SidecarSettings, SettingsError> {
    SidecarSettings::parse(Path::new("node.toml"), text)
}

#[gtest]
fn valid_settings_are_converted() {
    let settings = parse(VALID).expect("valid settings");
    let forward = settings.forward_settings(1, 2);
    expect_that!(forward.record.name, eq("node-a"));
    expect_that!(forward.heartbeat_interval, eq(Duration::from_millis(1_500)));
    expect_that!(forward.grace, eq(Duration::from_secs(6)));
    expect_that!(forward.retry_bound.slack, eq(55));
    expect_that!(forward.revocation, none());
}

#[gtest]
fn bound_on_revocation_is_converted() {
    let text = format!("{VALID}revocation-seconds = 5\n");
    let forward = parse(&text).expect("valid settings").forward_settings(1, 2);
    expect_that!(forward.revocation, some(eq(Duration::from_secs(5))));
}

#[gtest]
fn record_of_the_node_has_the_advertised_address() {
    let own = parse(VALID).expect("valid settings").forward_settings(1, 2);
    expect_that!(own.record.address.to_string(), eq("127.0.1.1:7000"));
    let mesh = "mesh = \"127.0.1.1:7000\"";
    let advertised = format!("{mesh}\nmesh-advertised = \"127.0.2.1:7001\"");
    let text = VALID.replace(mesh, &advertised);
    let proxied = parse(&text).expect("valid settings").forward_settings(1, 2);
    expect_that!(proxied.record.address.to_string(), eq("127.0.2.1:7001"));
}

#[gtest]
fn invalid_settings_are_refused_with_their_key() {
    let cases = [
        ("name = \"node-a\"", "name = \"\"", "node.name"),
        (
            "retry-ratio = 0.2",
            "retry-ratio = -1",
            "bounds.retry-ratio",
        ),
        (
            "retry-window-seconds = 10",
            "retry-window-seconds = 0",
            "retry-window",
        ),
        (
            "heartbeat-seconds = 1.5",
            "heartbeat-seconds = -1",
            "seconds",
        ),
        (
            "callers = \"127.0.1.1:8080\"",
            "callers = \"nowhere\"",
            "callers",
        ),
        (
            "retry-window-seconds = 10",
            "retry-window-seconds = 10\nrevocation-seconds = 0.5",
            "bounds.revocation-seconds",
        ),
        ("[store]", "[store]\nunknown = 1", "unknown"),
    ];
    for (original, replacement, expected) in cases {
        let error = parse(&VALID.replace(original, replacement)).err();
        let error = error.expect("a refusal");
        expect_that!(error.to_string(), contains_substring(expected));
        expect_that!(error.code(), eq(ResultCode::SettingsInvalid));
    }
}

#[gtest]
fn missing_file_is_unreadable() {
    let error = SidecarSettings::load(Path::new("no/such/file.toml")).err();
    let code = error.map(|error| error.code());
    expect_that!(code, some(eq(ResultCode::SettingsUnreadable)));
}
