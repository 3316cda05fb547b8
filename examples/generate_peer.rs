//! Writes `src/peer/generated.rs` from `proto/peer.proto`. The result is committed; the build needs no generator.
//!
//! Run: `cargo run --example generate_peer`

use std::path::Path;

fn main() -> anyhow::Result<()> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let out = std::env::args().nth(1);
    let out = out.map_or_else(|| root.join("src/peer"), Into::into);
    let descriptors = protox::compile(["peer.proto"], [root.join("proto")])?;
    let made = tempfile::tempdir()?;
    tonic_prost_build::configure()
        .out_dir(made.path())
        .compile_fds(descriptors)?;
    std::fs::copy(
        made.path().join("larkwick.peer.rs"),
        out.join("generated.rs"),
    )?;
    Ok(())
}
