//! Command-line arguments of `larkwickd`. The doc comments of the flags are the help text.

use std::path::PathBuf;

xflags::xflags! {
    /// Serves language model generations. Drive it by publishing configuration with 'larkwick publish'.
    ///
    /// Example: larkwickd --settings larkwickd.jsonc
    cmd larkwickd {
        /// Settings file in JSON with comments.
        optional -s,--settings settings: PathBuf
        /// Run everything in this one process, with a stand-in platform and engine, and print how to try it.
        optional --demo
        /// Log more.
        optional -v,--verbose
    }
}
