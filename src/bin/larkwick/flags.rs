//! Command-line arguments of `larkwick`. The doc comments of the commands and flags are the help
//! text.

use std::path::PathBuf;

use larkwick::tool::load::arrivals::Mix;
use uuid::Uuid;

xflags::xflags! {
    /// Checks and publishes configuration, and inspects instances.
    ///
    /// Exit codes: 0 success, 1 invalid input or no response, 2 rejected, 3 unknown whether it took effect, 4 nothing published.
    ///
    /// Examples:
    ///   larkwick check objects.jsonc
    ///   larkwick publish --platform 10.0.0.5:7000 objects.jsonc
    ///   larkwick status --operator 10.0.0.9:8001
    ///   larkwick logs summary entry-*.log
    ///   larkwick logs places --name hall-1 entry-*.log
    cmd larkwick {
        /// Check object or settings files.
        cmd check {
            /// Files in JSON with comments.
            repeated files: PathBuf
        }
        /// Publish objects and wait until they are in force or rejected.
        cmd publish {
            /// Object files, in JSON with comments.
            repeated files: PathBuf
            /// Address of the platform.
            required --platform platform: String
            /// Object to delete, as kind/name.
            repeated --delete delete: String
            /// Id of an earlier attempt whose outcome is unknown.
            optional --publish-id publish_id: Uuid
            /// Name of the publisher, recorded in the history.
            optional --publisher publisher: String
            /// Maximum time to wait for the verdict, in milliseconds.
            optional --wait-ms wait_ms: u64
            /// Print JSON.
            optional --json
        }
        /// Show the configuration.
        cmd config {
            /// Show the objects in force.
            cmd show {
                /// Address of the platform.
                required --platform platform: String
                /// Print JSON.
                optional --json
            }
            /// Show recent publishes and their verdicts.
            cmd history {
                /// Address of the platform.
                required --platform platform: String
                /// Print JSON.
                optional --json
            }
        }
        /// Show the status of an instance.
        cmd status {
            /// Operator address of the instance.
            required --operator operator: String
            /// Print JSON.
            optional --json
        }
        /// Show the full state of an instance as JSON.
        cmd dump {
            /// Operator address of the instance.
            required --operator operator: String
        }
        /// Begin a planned stop of an instance.
        cmd drain {
            /// Operator address of the instance.
            required --operator operator: String
        }
        /// Requests and prompt segments that are suspected of crashing endpoints, by their fingerprint.
        cmd suspects {
            /// List the suspects known to an instance.
            cmd list {
                /// Operator address of any instance.
                required --operator operator: String
                /// Print JSON.
                optional --json
            }
            /// Release a suspect at all instances, after its endpoints were fixed: its crashes are counted from zero.
            cmd let-go {
                /// Fingerprint of the request or segment, as shown in the list and in the log field `content`.
                required content: String
                /// Operator address of any instance.
                required --operator operator: String
            }
        }
        /// Show the addresses for callers.
        cmd entries {
            /// Caller address of any instance.
            required --entry entry: String
            /// Print JSON.
            optional --json
        }
        /// Read the logs of instances that serve routes.
        cmd logs {
            /// Show the outcomes of requests and their causes, by route.
            cmd summary {
                /// Log files; standard input if there are none.
                repeated files: PathBuf
                /// Skip malformed lines, and count them.
                optional --skip-damaged
                /// Print JSON.
                optional --json
            }
            /// Show all lines of one request, ordered by time.
            cmd request {
                /// Id of the request.
                required id: String
                /// Log files; standard input if there are none.
                repeated files: PathBuf
                /// Skip malformed lines, and count them.
                optional --skip-damaged
            }
            /// Show when endpoints and halls stopped accepting work and resumed, and at which instances.
            cmd places {
                /// Log files; standard input if there are none.
                repeated files: PathBuf
                /// Only this endpoint or hall.
                optional --name name: String
                /// Skip malformed lines, and count them.
                optional --skip-damaged
                /// Print JSON.
                optional --json
            }
            /// Show the requests per second that all instances together sent to endpoints with a rate limit.
            cmd limits {
                /// Log files; standard input if there are none.
                repeated files: PathBuf
                /// Only this endpoint.
                optional --name name: String
                /// Skip malformed lines, and count them.
                optional --skip-damaged
                /// Print JSON.
                optional --json
            }
        }
        /// Generate load and measure it.
        cmd load {
            /// Drive an engine directly and through an entry, in alternating rounds.
            cmd overhead {
                /// Address of the engine.
                required --engine engine: String
                /// Caller address of the entry.
                required --entry entry: String
                /// Operator address of the entry.
                required --operator operator: String
                /// Bearer key.
                required --key key: String
                /// Number of concurrent streams.
                optional --streams streams: usize
                /// Number of tokens per stream.
                optional --tokens tokens: u32
                /// Print JSON.
                optional --json
            }
            /// Compare routing policies on the same seeded arrivals, with all components in this process.
            cmd compare {
                /// Policies, separated by commas; all by default.
                optional --policies policies: String
                /// Loads in percent of the engines' capacity, separated by commas.
                optional --loads loads: String
                /// Number of seeds.
                optional --seeds seeds: u64
                /// Time in which requests arrive per run, in seconds.
                optional --seconds seconds: u64
                /// Request mix: general, planning, fuel or greedy.
                optional --mix mix: Mix
                /// Number of engines.
                optional --engines engines: usize
                /// Delay of the engines' load reports, in milliseconds.
                optional --report-lag-ms report_lag_ms: u64
                /// Folder for the metrics, the table and the plots.
                optional --out out: PathBuf
            }
        }
        /// Print the hash of a bearer key, for publishing with a client account.
        cmd key {
            /// The key.
            required key: String
        }
    }
}
