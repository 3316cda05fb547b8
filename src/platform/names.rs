//! Header names and paths of the platform's protocols.

use http::HeaderName;

macro_rules! headers {
    ($($(#[$doc:meta])* $name:ident = $text:literal;)*) => {
        $($(#[$doc])* pub const $name: HeaderName = HeaderName::from_static($text);)*
    };
}

headers! {
    /// Identifies one attempt of a caller; endpoints echo it.
    REQUEST_ID = "larkwick-request-id";
    /// Time that the caller, or larkwick as the client of an endpoint, waits, in milliseconds.
    DEADLINE_MS = "larkwick-deadline-ms";
    /// Segments of the prompt, in order.
    PROMPT_SEGMENTS = "larkwick-prompt-prefix";
    /// Id of the last event that the reader received.
    LAST_EVENT_ID = "last-event-id";
    /// Proves that the endpoint itself sent the response.
    RESPONSE_SEAL = "larkwick-response-seal";
    /// Client account; set by larkwick.
    ACCOUNT = "larkwick-tenant";
    /// The only endpoint incarnation that may run the request.
    EXPECTED_ENDPOINT = "larkwick-expect-instance";
    /// Set by an endpoint that did not run the request.
    NOT_RUN = "larkwick-not-executed";
    /// Incarnation of the endpoint that sent the response.
    ENDPOINT_ID = "larkwick-instance-id";
    /// Remaining warm-up time of the endpoint that sent the response, in milliseconds.
    COLD_MS = "larkwick-cold-ms";
    /// Set by a draining endpoint in each of its responses.
    DRAINING = "server-leaving";
    /// Requests per second that an endpoint with a rate limit accepts from all instances together;
    /// set in each of its responses.
    RATE_LIMIT = "server-limit";
    /// Number of times that the store has been restored from an older copy.
    STORE_ERA = "store-era";
    /// Version of the model weights that produced the response.
    VERSIONS = "versions";
    /// Model of a generation.
    MODEL = "larkwick-model";
    /// Number of prompt tokens, and the maximum number of tokens to generate.
    TOKEN_COUNTS = "larkwick-token-count";
    /// Caller's estimate of the number of tokens to be generated.
    LENGTH_HINT = "length-hint";
    /// Caller's API key.
    API_KEY = "api-key";
    /// Priority at an engine.
    PRIORITY = "priority";
    /// Version of the model weights that an engine must have loaded.
    EXPECTED_VERSION = "expect-version";
    /// Reservation at an engine.
    RESERVATION = "hold";
    /// Time for which an engine keeps a prompt, in milliseconds.
    PIN_MS = "pin-ms";
    /// Engine from which to fetch the cached KV memory.
    KV_FETCH_FROM = "kv-fetch";
    /// KV-cache copy from which a moved generation continues.
    CONTINUE_FROM = "kv-from";
    /// Engine that receives a copy of the KV memory as it grows.
    KV_BACKUP_AT = "kv-backup";
}

/// Headers that only larkwick may set. They are removed from the requests of callers.
pub const RESERVED_HEADERS: [HeaderName; 11] = [
    ACCOUNT,
    EXPECTED_ENDPOINT,
    PRIORITY,
    EXPECTED_VERSION,
    RESERVATION,
    PIN_MS,
    KV_FETCH_FROM,
    CONTINUE_FROM,
    KV_BACKUP_AT,
    API_KEY,
    DEADLINE_MS,
];

/// Path of the readiness check: whether an instance accepts callers.
pub const READY_PATH: &str = "/larkwick/readyz";
/// Path of the query for the addresses to connect to.
pub const RESOLVE_PATH: &str = "/larkwick/resolve";
/// Path of the status report of an engine.
pub const REPORT_PATH: &str = "/larkwick/report";
/// Path at an engine that copies the KV memory of a running generation.
pub const MOVE_PATH: &str = "/larkwick/kv-move";
/// Path prefix at an engine of the copies that it made, by name.
pub const COPY_PATH: &str = "/larkwick/kv-handle/";

/// Path at the store for appending records.
pub const STORE_APPEND_PATH: &str = "/larkwick/log-append";
/// Path at the store for reading records.
pub const STORE_READ_PATH: &str = "/larkwick/log-read";
/// Path at the store for reading the latest record of each key.
pub const STORE_NEWEST_PATH: &str = "/larkwick/log-newest";
