//! Generates the Rust code of the schema; compiles it with `protox`, so `protoc` is not needed.

use std::error::Error;
use std::path::{Path, PathBuf};

/// Name of the generated file, which is derived from the package of the schema.
pub const GENERATED_FILE: &str = "rillgap.operator.v1.rs";

const SCHEMA_FILE: &str = "rillgap/operator/v1/operator.proto";

/// Returns the directory in which the generated code is committed.
pub fn committed_directory() -> PathBuf {
    package_directory().join("src/generated")
}

/// Writes the generated code to `directory`, which must exist.
pub fn generate(directory: &Path) -> Result<(), Box<dyn Error>> {
    let include = package_directory().join("proto");
    let descriptors = protox::compile([SCHEMA_FILE], [include])?;
    tonic_prost_build::configure()
        .out_dir(directory)
        .emit_rerun_if_changed(false)
        .compile_fds(descriptors)?;
    Ok(())
}

fn package_directory() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}
