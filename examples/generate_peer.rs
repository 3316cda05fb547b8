//! Generates `src/peer/generated.rs` from `proto/peer.proto`. The result is committed, so that the
//! build needs no code generator.
//!
//! Run: `cargo run --example generate_peer`

use std::path::Path;

fn main() -> anyhow::Result<()> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let out_dir = std::env::args().nth(1);
    let out_dir = out_dir.map_or_else(|| root.join("src/peer"), Into::into);
    let descriptors = protox::compile(["peer.proto"], [root.join("proto")])?;
    let generated_dir = tempfile::tempdir()?;
    tonic_prost_build::configure()
        .out_dir(generated_dir.path())
        .compile_fds(descriptors)?;
    std::fs::copy(
        generated_dir.path().join("larkwick.peer.rs"),
        out_dir.join("generated.rs"),
    )?;
    Ok(())
}
