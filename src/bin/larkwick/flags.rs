//! Command line of the tool.

use std::path::PathBuf;

use uuid::Uuid;

xflags::xflags! {
    /// Checks and publishes configuration, and looks at instances.
    ///
    /// Exit codes: 0 done, 1 wrong input or no answer, 2 rejected, 3 unknown whether it took effect, 4 nothing published.
    ///
    /// Examples:
    ///   larkwick check objects.jsonc
    ///   larkwick publish --platform 10.0.0.5:7000 objects.jsonc
    ///   larkwick status --operator 10.0.0.9:8001
    cmd larkwick {
        /// Check files of objects or settings.
        cmd check {
            /// Files in JSON with comments.
            repeated files: PathBuf
        }
        /// Publish objects and wait until they are in force or rejected.
        cmd publish {
            /// Files of objects, in JSON with comments.
            repeated files: PathBuf
            /// Address of the platform.
            required --platform platform: String
            /// Object to delete, as kind/name.
            repeated --delete delete: String
            /// Id of an earlier try whose outcome is unknown.
            optional --publish-id publish_id: Uuid
            /// Who publishes, for the history.
            optional --publisher publisher: String
            /// How long to wait for the verdict.
            optional --wait-ms wait_ms: u64
            /// Print JSON.
            optional --json
        }
        /// Look at the configuration.
        cmd config {
            /// Objects in force.
            cmd show {
                /// Address of the platform.
                required --platform platform: String
                /// Print JSON.
                optional --json
            }
            /// Recent publishes and their verdicts.
            cmd history {
                /// Address of the platform.
                required --platform platform: String
                /// Print JSON.
                optional --json
            }
        }
        /// State of an instance in short.
        cmd status {
            /// Operators' address of the instance.
            required --operator operator: String
            /// Print JSON.
            optional --json
        }
        /// State of an instance in full, as JSON.
        cmd dump {
            /// Operators' address of the instance.
            required --operator operator: String
        }
        /// Begin a planned stop of an instance.
        cmd drain {
            /// Operators' address of the instance.
            required --operator operator: String
        }
        /// Addresses for callers.
        cmd entries {
            /// Callers' address of any instance.
            required --entry entry: String
            /// Print JSON.
            optional --json
        }
        /// Print the hash of a bearer key, to publish with a client account.
        cmd key {
            /// The key.
            required key: String
        }
    }
}
