//! Tests of exit codes and error messages of the process.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use googletest::prelude::*;

const VALID: &str = r#"
[bounds]
extra-attempts = 3

[[service]]
name = "takst"
slots = 21
connections = 110
queue-millis = 50

[[route]]
service = "takst"
path = "/"
class = "standard"
repeatable = true
deadline-millis = 800

[[back-end]]
name = "takst-1"
service = "takst"
node = "node-takst-1"
"#;

fn policy_file(name: &str, text: &str) -> PathBuf {
    let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&file, text).unwrap();
    file
}

fn rillgapctl(words: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_rillgapctl"))
        .args(words)
        .output()
        .unwrap()
}

fn check(file: &Path) -> (Option<i32>, String) {
    let output = rillgapctl(&["policy", "check", file.to_str().unwrap()]);
    let errors = String::from_utf8(output.stderr).unwrap();
    (output.status.code(), errors)
}

#[gtest]
fn valid_file_passes() {
    let (code, errors) = check(&policy_file("valid.toml", VALID));

    expect_that!(code, some(eq(0)));
    expect_that!(errors, eq(""));
}

#[gtest]
fn shipped_policies_are_valid() {
    let deploy = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy");
    for deployment in ["trondheim", "jylland"] {
        let (code, errors) = check(&deploy.join(deployment).join("policy.toml"));

        expect_that!(code, some(eq(0)), "{errors}");
    }
}

#[gtest]
fn value_out_of_range_is_reported() {
    let text = VALID.replace("extra-attempts = 3", "extra-attempts = 33");
    let (code, errors) = check(&policy_file("range.toml", &text));

    expect_that!(code, some(eq(100)));
    expect_that!(errors, contains_substring("range.toml"));
    expect_that!(
        errors,
        contains_substring("bounds.extra-attempts = 33: allowed is 0 to 32")
    );
}

#[gtest]
fn unknown_key_is_reported() {
    let text = VALID.replace("slots", "slotz");
    let (code, errors) = check(&policy_file("key.toml", &text));

    expect_that!(code, some(eq(100)));
    expect_that!(errors, contains_substring("key.toml"));
    expect_that!(errors, contains_substring("unknown field `slotz`"));
}

#[gtest]
fn missing_file_is_reported_as_unreadable() {
    let (code, errors) = check(Path::new("does-not-exist.toml"));

    expect_that!(code, some(eq(170)));
    expect_that!(errors, contains_substring("does-not-exist.toml"));
}

#[gtest]
fn malformed_command_line_is_a_usage_error() {
    for words in [
        &["policy", "apply"][..],
        &["--output", "xml", "status"],
        &["--timeout", "0", "status"],
        &["change", "not-a-uuid"],
        &[],
    ] {
        expect_that!(rillgapctl(words).status.code(), some(eq(173)));
    }
}

#[gtest]
fn help_succeeds() {
    for words in [
        &["--help"][..],
        &["policy", "apply", "--help"],
        &["back-end", "drain", "--help"],
    ] {
        expect_that!(rillgapctl(words).status.code(), some(eq(0)));
    }
}

#[gtest]
fn node_that_does_not_listen_is_unreachable() {
    let output = rillgapctl(&["--node", "127.0.0.1:1", "--timeout", "1", "status"]);

    expect_that!(output.status.code(), some(eq(174)));
}
