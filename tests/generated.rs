//! The committed code of the protocol between instances matches the output of the generator for the
//! committed definition.

use std::process::Command;

#[test]
fn peer_code_current() {
    let output_dir = tempfile::tempdir().expect("temporary directory");
    let generator = std::path::Path::new(env!("CARGO_BIN_EXE_larkwick"))
        .with_file_name("examples")
        .join("generate_peer");
    let status = Command::new(generator)
        .arg(output_dir.path())
        .status()
        .expect("the example is built with the tests");
    assert!(status.success());
    let committed = std::fs::read_to_string(concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/src/peer/generated.rs"
    ));
    let generated = std::fs::read_to_string(output_dir.path().join("generated.rs"));
    assert_eq!(
        generated.expect("generated code"),
        committed.expect("committed code"),
        "run: cargo run --example generate_peer"
    );
}
