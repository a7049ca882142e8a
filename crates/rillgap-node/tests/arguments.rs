//! Tests of the command line of the daemon.

use std::path::Path;

use googletest::prelude::*;
use rillgap_node::arguments;

#[gtest]
fn flags_override_single_settings() {
    let arguments = [
        "--settings",
        "a.toml",
        "--name",
        "node-z",
        "--check-settings",
    ];
    let arguments = arguments::parse(&arguments).expect("valid");
    expect_that!(arguments.settings, eq(Path::new("a.toml")));
    expect_that!(arguments.check_settings, eq(true));
    expect_that!(arguments.overrides().name, some(eq("node-z")));
    expect_that!(arguments.overrides().zone, none());
}

#[gtest]
fn help_exits_with_success_and_names_the_settings_page() {
    let exit = arguments::parse(&["--help"]).expect_err("early exit");
    expect_that!(exit.status, ok(eq(())));
    expect_that!(
        exit.output,
        contains_substring("docs/operators/settings.md")
    );
}

#[gtest]
fn unknown_flags_and_missing_settings_are_failures() {
    for malformed in [&["--settings", "a.toml", "--fast"][..], &[][..]] {
        let exit = arguments::parse(malformed).expect_err("early exit");
        expect_that!(exit.status, err(eq(())));
    }
}
