//! The committed code between instances is what the generator makes of the committed definition.

use std::process::Command;

#[test]
fn peer_code_current() {
    let made = tempfile::tempdir().expect("folder");
    let example = std::path::Path::new(env!("CARGO_BIN_EXE_larkwick"))
        .with_file_name("examples")
        .join("generate_peer");
    let ended = Command::new(example)
        .arg(made.path())
        .status()
        .expect("the example is built with the tests");
    assert!(ended.success());
    let committed = std::fs::read_to_string(concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/src/peer/generated.rs"
    ));
    let made = std::fs::read_to_string(made.path().join("generated.rs"));
    assert_eq!(
        made.expect("made"),
        committed.expect("committed"),
        "run: cargo run --example generate_peer"
    );
}
