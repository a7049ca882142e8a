//! Checks that the committed generated code matches the schema.

#[path = "support/generator.rs"]
mod generator;

use googletest::prelude::*;

#[gtest]
fn committed_code_matches_the_schema() -> Result<()> {
    let fresh = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("generated");
    std::fs::create_dir_all(&fresh)?;
    generator::generate(&fresh).or_fail()?;

    let expected = std::fs::read_to_string(fresh.join(generator::GENERATED_FILE))?;
    let committed_file = generator::committed_directory().join(generator::GENERATED_FILE);
    let committed = std::fs::read_to_string(committed_file)?;

    verify_that!(committed == expected, eq(true)).failure_message(
        "stale: run `cargo run -p rillgap-operator --example generate` and commit the result",
    )
}
