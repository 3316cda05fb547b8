//! Command-line arguments of `larkwick`. The doc comments of the commands and flags are the help
//! text.

use std::path::PathBuf;

use larkwick::tool::load::arrivals::Mix;
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
    ///   larkwick logs summary entry-*.log
    ///   larkwick logs places --name hall-1 entry-*.log
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
        /// Requests that endpoints ended under, by their content.
        cmd suspects {
            /// Those that an instance knows.
            cmd list {
                /// Operators' address of any instance.
                required --operator operator: String
                /// Print JSON.
                optional --json
            }
            /// Count one from nothing, at all instances: its endpoints were mended.
            cmd let-go {
                /// The content, as the list and the log name it.
                required content: String
                /// Operators' address of any instance.
                required --operator operator: String
            }
        }
        /// Addresses for callers.
        cmd entries {
            /// Callers' address of any instance.
            required --entry entry: String
            /// Print JSON.
            optional --json
        }
        /// Read the logs of instances that serve routes.
        cmd logs {
            /// How requests ended and why, by route.
            cmd summary {
                /// Log files; standard input where none is named.
                repeated files: PathBuf
                /// Leave out lines that are no log lines, and count them.
                optional --skip-damaged
                /// Print JSON.
                optional --json
            }
            /// All lines of one request, in order of time.
            cmd request {
                /// Id of the request.
                required id: String
                /// Log files; standard input where none is named.
                repeated files: PathBuf
                /// Leave out lines that are no log lines, and count them.
                optional --skip-damaged
            }
            /// When endpoints and halls stopped taking work and took it again, and at which instances.
            cmd places {
                /// Log files; standard input where none is named.
                repeated files: PathBuf
                /// Only this endpoint or hall.
                optional --name name: String
                /// Leave out lines that are no log lines, and count them.
                optional --skip-damaged
                /// Print JSON.
                optional --json
            }
            /// What endpoints that name a limit got from all instances together, second by second.
            cmd limits {
                /// Log files; standard input where none is named.
                repeated files: PathBuf
                /// Only this endpoint.
                optional --name name: String
                /// Leave out lines that are no log lines, and count them.
                optional --skip-damaged
                /// Print JSON.
                optional --json
            }
        }
        /// Drive load and measure it.
        cmd load {
            /// Drive an engine directly and through an entry, turn by turn.
            cmd overhead {
                /// Address of the engine.
                required --engine engine: String
                /// Callers' address of the entry.
                required --entry entry: String
                /// Operators' address of the entry.
                required --operator operator: String
                /// Bearer key.
                required --key key: String
                /// Streams open at once.
                optional --streams streams: usize
                /// Tokens of each stream.
                optional --tokens tokens: u32
                /// Print JSON.
                optional --json
            }
            /// Compare routing policies on the same seeded arrivals, everything in this process.
            cmd compare {
                /// Policies, separated by commas; all where absent.
                optional --policies policies: String
                /// Loads in percent of what the engines carry, separated by commas.
                optional --loads loads: String
                /// Number of seeds.
                optional --seeds seeds: u64
                /// Length of each run in seconds.
                optional --seconds seconds: u64
                /// Requests: general, planning, fuel or greedy.
                optional --mix mix: Mix
                /// Engines.
                optional --engines engines: usize
                /// Lag of the engines' load reports in milliseconds.
                optional --report-lag-ms report_lag_ms: u64
                /// Folder for the figures, the table and the plots.
                optional --out out: PathBuf
            }
        }
        /// Print the hash of a bearer key, to publish with a client account.
        cmd key {
            /// The key.
            required key: String
        }
    }
}
