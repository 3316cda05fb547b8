//! Runs `larkwick check` on each case file and compares the output with the `.expected` file beside
//! it.

use std::path::Path;
use std::process::Command;

fn check_case(path: &Path) -> datatest_stable::Result<()> {
    let folder = path.parent().ok_or("no folder")?;
    let file = path.file_name().ok_or("no name")?;
    let output = Command::new(env!("CARGO_BIN_EXE_larkwick"))
        .current_dir(folder)
        .arg("check")
        .arg(file)
        .output()?;
    let actual = String::from_utf8(output.stdout)? + &String::from_utf8(output.stderr)?;
    let expected = std::fs::read_to_string(path.with_extension("expected"))?;
    if actual.trim() != expected.trim() {
        return Err(format!("actual: {actual}expected: {expected}").into());
    }
    Ok(())
}

datatest_stable::harness! {
    { test = check_case, root = "tests/cases/check", pattern = r"\.jsonc$" },
}
