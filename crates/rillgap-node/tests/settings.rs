//! Tests of loading settings files: accepted files, and the errors for rejected ones.

use std::path::{Path, PathBuf};
use std::time::Duration;

use googletest::prelude::*;
use rillgap_core::code::ResultCode;
use rillgap_node::settings::{Overrides, Settings, SettingsError, ThreadLayout, load};

const VALID: &str = r#"
[node]
name = "node-a"
zone = "hall-a"
region = "trondheim"

[listen]
callers = "127.0.1.1:8080"
outbound = "127.0.1.1:8081"
mesh = "127.0.1.1:7000"

[back-end]
name = "takst-1"
service = "takst"
address = "127.0.2.1:9000"
connections = 110
health-path = "/health"

[[seed]]
name = "node-b"
mesh = "127.0.1.2:7000"

[store]
endpoints = ["127.0.0.9:8500"]

[limits]
stop-timeout-seconds = 30
"#;

/// Writes a settings file named after the test, so that tests can run in parallel.
fn write(test: &str, text: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{test}.toml"));
    std::fs::write(&path, text).expect("the file can be written");
    path
}

fn load_text(test: &str, text: &str) -> std::result::Result<Settings, SettingsError> {
    load(&write(test, text), &Overrides::default())
}

/// Loads the valid file with one line replaced and returns the error's text.
fn refused(test: &str, line: &str, replacement: &str) -> String {
    assert!(VALID.contains(line));
    let error = load_text(test, &VALID.replace(line, replacement)).expect_err("refused");
    assert_eq!(error.code(), ResultCode::SettingsInvalid);
    let text = error.to_string();
    assert!(
        text.contains(&format!("{test}.toml")),
        "error does not name the file: {text}"
    );
    text
}

#[gtest]
fn a_valid_file_is_read_with_defaults() {
    let settings = load_text("valid", VALID).expect("valid");
    expect_that!(settings.name.as_str(), eq("node-a"));
    expect_that!(settings.stop_timeout, eq(Duration::from_secs(30)));
    expect_that!(settings.http.body_bytes, eq(256 * 1024));
    expect_that!(settings.threads, eq(ThreadLayout::default()));
    let back_end = settings.back_end.expect("a back end");
    expect_that!(
        back_end.source_addresses,
        eq(&vec![back_end.client.address.ip()])
    );
}

#[gtest]
fn command_line_overrides_the_file() {
    let overrides = Overrides {
        name: Some("node-z".to_owned()),
        mesh: Some("127.0.1.9:7000".to_owned()),
        ..Overrides::default()
    };
    let settings = load(&write("overrides", VALID), &overrides).expect("valid");
    expect_that!(settings.name.as_str(), eq("node-z"));
    expect_that!(settings.listen.mesh.to_string(), eq("127.0.1.9:7000"));
    expect_that!(settings.zone.as_str(), eq("hall-a"));
}

#[gtest]
fn unknown_keys_are_refused() {
    let text = refused("unknown", "stop-timeout-seconds = 30", "stop-timeout = 30");
    expect_that!(text, contains_substring("unknown key limits.stop-timeout "));
    expect_that!(text, contains_substring("stop-timeout-seconds"));
    let text = refused("unknown-section", "[limits]", "[limit]");
    expect_that!(text, contains_substring("unknown key limit "));
}

#[gtest]
fn values_out_of_range_are_refused_with_the_range() {
    let line = "stop-timeout-seconds = 30";
    let text = refused("range", line, "stop-timeout-seconds = 0");
    expect_that!(text, contains_substring("limits.stop-timeout-seconds = 0"));
    expect_that!(text, contains_substring("1 to 3600"));
    let text = refused("body", line, "body-bytes = 1000000000");
    expect_that!(text, contains_substring("limits.body-bytes = 1000000000"));
    let text = refused("connections", "connections = 110", "connections = 0");
    expect_that!(text, contains_substring("back-end.connections = 0"));
}

#[gtest]
fn values_of_the_wrong_type_are_refused() {
    let text = refused("type", "connections = 110", "connections = \"many\"");
    expect_that!(text, contains_substring("back-end.connections"));
    expect_that!(text, contains_substring("many"));
    let text = refused("negative", "connections = 110", "connections = -1");
    expect_that!(text, contains_substring("-1"));
    let text = refused(
        "layout",
        "[limits]",
        "[threads]\nlayout = \"two\"\n[limits]",
    );
    expect_that!(text, contains_substring("threads.layout"));
    expect_that!(text, contains_substring("each, paired, single"));
}

#[gtest]
fn malformed_addresses_and_names_are_refused() {
    let text = refused("host", "\"127.0.1.1:7000\"", "\"localhost:7000\"");
    expect_that!(text, contains_substring("listen.mesh = \"localhost:7000\""));
    let text = refused("port", "\"127.0.1.1:7000\"", "\"127.0.1.1:0\"");
    expect_that!(text, contains_substring("IP:port"));
    let text = refused("name", "\"node-a\"", "\"node a\"");
    expect_that!(text, contains_substring("node.name = \"node a\""));
    let text = refused("path", "\"/health\"", "\"health\"");
    expect_that!(text, contains_substring("back-end.health-path"));
}

#[gtest]
fn missing_keys_are_refused() {
    let text = refused("no-zone", "zone = \"hall-a\"", "");
    expect_that!(text, contains_substring("missing key node.zone"));
    let text = refused("no-outbound", "outbound = \"127.0.1.1:8081\"", "");
    expect_that!(text, contains_substring("missing key listen.outbound"));
    let text = refused("no-store", "[store]\nendpoints = [\"127.0.0.9:8500\"]", "");
    expect_that!(text, contains_substring("missing key store.endpoints"));
}

#[gtest]
fn text_that_is_not_toml_is_refused() {
    let text = refused("not-toml", "[limits]", "[limits");
    expect_that!(text, contains_substring("malformed"));
}

#[gtest]
fn an_unreadable_file_has_its_own_result_code() {
    let error = load(
        Path::new("/nonexistent/settings.toml"),
        &Overrides::default(),
    );
    let error = error.expect_err("refused");
    expect_that!(error.code(), eq(ResultCode::SettingsUnreadable));
    expect_that!(
        error.to_string(),
        contains_substring("/nonexistent/settings.toml")
    );
}
