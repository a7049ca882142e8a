//! Regenerates `src/generated` from the schema: `cargo run -p rillgap-operator --example generate`.

#[path = "../tests/support/generator.rs"]
mod generator;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let directory = generator::committed_directory();
    std::fs::create_dir_all(&directory)?;
    generator::generate(&directory)?;
    println!(
        "wrote {}",
        directory.join(generator::GENERATED_FILE).display()
    );
    Ok(())
}
