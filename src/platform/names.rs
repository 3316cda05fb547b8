//! Header names and paths on the platform's wire.

use http::HeaderName;

macro_rules! headers {
    ($($(#[$doc:meta])* $name:ident = $text:literal;)*) => {
        $($(#[$doc])* pub const $name: HeaderName = HeaderName::from_static($text);)*
    };
}

headers! {
    /// Names one attempt of a caller; echoed by endpoints.
    REQUEST_ID = "larkwick-request-id";
    /// Milliseconds that the caller, or larkwick towards an endpoint, will wait.
    DEADLINE_MS = "larkwick-deadline-ms";
    /// Parts of the prompt in order.
    PROMPT_PARTS = "larkwick-prompt-prefix";
    /// Id of the last event that the reader has.
    LAST_EVENT_ID = "last-event-id";
    /// Proof that an answer is an endpoint's own.
    SEAL = "larkwick-response-seal";
    /// The client account, set by larkwick.
    ACCOUNT = "larkwick-tenant";
    /// The start of an endpoint that alone may run the request.
    EXPECTED_ENDPOINT = "larkwick-expect-instance";
    /// An endpoint's word that it did not run the request.
    NOT_RUN = "larkwick-not-executed";
    /// The start of the endpoint that answers.
    ENDPOINT_ID = "larkwick-instance-id";
    /// How much longer the endpoint that answers is cold.
    COLD_MS = "larkwick-cold-ms";
    /// An endpoint's word that it is leaving, in each of its answers.
    LEAVING = "server-leaving";
    /// Requests a second that an endpoint in need takes from all instances together, in each of its answers.
    LIMIT = "server-limit";
    /// How often the store has come back from an older copy.
    STORE_ERA = "store-era";
    /// Version of the weights that answer.
    VERSIONS = "versions";
    /// Model of a generation.
    MODEL = "larkwick-model";
    /// Tokens of the prompt, and the most that may be made.
    TOKENS = "larkwick-token-count";
    /// The caller's guess of the tokens to be made.
    LENGTH_HINT = "length-hint";
    /// The caller's key.
    KEY = "api-key";
    /// Rank at an engine.
    PRIORITY = "priority";
    /// Version of the weights that an engine must have.
    EXPECTED_VERSION = "expect-version";
    /// A reservation at an engine.
    HOLD = "hold";
    /// How long an engine keeps a prompt.
    PIN_MS = "pin-ms";
    /// Engine to take cached memory from.
    FETCH_FROM = "kv-fetch";
    /// Copy from which a moved generation goes on.
    CONTINUE_FROM = "kv-from";
    /// Engine that gets a copy of the memory as it grows; larkwick asks for none.
    BACKUP_AT = "kv-backup";
}

/// Headers that only larkwick may set: what a caller sends under these names is dropped.
pub const SET_BY_US: [HeaderName; 11] = [
    ACCOUNT,
    EXPECTED_ENDPOINT,
    PRIORITY,
    EXPECTED_VERSION,
    HOLD,
    PIN_MS,
    FETCH_FROM,
    CONTINUE_FROM,
    BACKUP_AT,
    KEY,
    DEADLINE_MS,
];

/// Path of the question whether an instance takes callers.
pub const READY_PATH: &str = "/larkwick/readyz";
/// Path of the question where to connect.
pub const RESOLVE_PATH: &str = "/larkwick/resolve";
/// Path at an engine of its report.
pub const REPORT_PATH: &str = "/larkwick/report";
/// Path at an engine that copies a running generation's memory.
pub const MOVE_PATH: &str = "/larkwick/kv-move";

/// Path at the store to add records.
pub const STORE_APPEND_PATH: &str = "/larkwick/log-append";
/// Path at the store to read records.
pub const STORE_READ_PATH: &str = "/larkwick/log-read";
/// Path at the store for the newest record of each key.
pub const STORE_NEWEST_PATH: &str = "/larkwick/log-newest";
