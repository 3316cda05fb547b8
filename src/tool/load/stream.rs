//! Sends one request through an entry or to an engine directly, and measures its stream.

use std::time::Duration;

use futures::{StreamExt, TryStreamExt};
use serde::Serialize;
use tokio::time::Instant;
use tokio_util::codec::{FramedRead, LinesCodec};
use tokio_util::io::StreamReader;
use uuid::Uuid;

use super::arrivals::{ACCOUNTS, Mix, PlannedRequest};
use crate::endpoint::protocol::GenerationRequest;

/// A gap between tokens that is longer than this counts as a stall, with its full length.
pub const STALL_THRESHOLD: Duration = Duration::from_millis(200);
/// Name of the model used in comparison runs.
pub const MODEL: &str = "m";
/// Maximum length of a line in a response stream.
const LINE_MAX_BYTES: usize = 1 << 20;

/// How a stream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StreamOutcome {
    /// The stream completed.
    Done,
    /// The request was refused before the first token.
    Refused,
    /// The stream ended with an error or was cut off, or the request could not be sent.
    Failed,
}

/// Measurements of one stream.
#[derive(Debug, Clone)]
pub struct StreamMeasurement {
    /// Index of the client account in [`ACCOUNTS`].
    pub account: usize,
    /// Time from sending the request to the first token, if one arrived.
    pub first_token: Option<Duration>,
    /// Times between consecutive tokens.
    pub gaps: Vec<Duration>,
    /// Arrival time of each token, from the start of the run.
    pub token_times: Vec<Duration>,
    /// How the stream ended.
    pub outcome: StreamOutcome,
}

impl StreamMeasurement {
    /// Returns the sum of all gaps that count as stalls.
    #[must_use]
    pub fn total_stall(&self) -> Duration {
        self.gaps.iter().filter(|gap| **gap > STALL_THRESHOLD).sum()
    }
}

/// The destination of a request.
#[derive(Debug, Clone)]
pub enum Target {
    /// Through an entry.
    Entry {
        /// Address of the entry for callers.
        address: String,
        /// Bearer keys, by index of the account.
        keys: Vec<String>,
    },
    /// Directly to an engine.
    Engine {
        /// Address at which the engine serves the endpoint protocol.
        address: String,
        /// Version of the model to request.
        version: String,
    },
}

/// Builds a prompt of the planned size. Its `#length=` prefix tells the stand-in engine how many
/// tokens to generate.
#[must_use]
pub fn build_prompt(arrival: &PlannedRequest) -> String {
    const BYTES_PER_TOKEN: usize = 4;
    let mut prompt = format!("#length={} seed {} ", arrival.length_tokens, arrival.seed);
    let prompt_bytes = arrival.prompt_tokens as usize * BYTES_PER_TOKEN;
    while prompt.len() < prompt_bytes {
        prompt.push('x');
    }
    prompt
}

/// Builds the request in the endpoint protocol of engines.
#[must_use]
pub fn generation_request(arrival: &PlannedRequest, mix: Mix) -> GenerationRequest {
    GenerationRequest {
        request_id: Uuid::new_v4(),
        attempt_id: Uuid::new_v4(),
        account: ACCOUNTS[arrival.account].to_owned(),
        model: MODEL.to_owned(),
        version: "1".to_owned(),
        prompt: build_prompt(arrival),
        prefix: arrival.seed,
        max_tokens: super::arrivals::LENGTH_MAX_TOKENS,
        seed: arrival.seed,
        priority: mix.priority(arrival.account),
    }
}

enum StreamLine {
    Token,
    Done,
    Failed,
    Other,
}

fn parse_entry_line(line: &str) -> StreamLine {
    if line.starts_with("id:") {
        StreamLine::Token
    } else if line == "data:[DONE]" {
        StreamLine::Done
    } else if line.starts_with("event:") {
        StreamLine::Failed
    } else {
        StreamLine::Other
    }
}

fn parse_engine_line(line: &str) -> StreamLine {
    if line.starts_with(r#"{"type":"token""#) {
        StreamLine::Token
    } else if line.starts_with(r#"{"type":"done""#) {
        StreamLine::Done
    } else if line.starts_with(r#"{"type":"failed""#) {
        StreamLine::Failed
    } else {
        StreamLine::Other
    }
}

fn build_request(
    client: &reqwest::Client,
    target: &Target,
    arrival: &PlannedRequest,
    mix: Mix,
) -> reqwest::RequestBuilder {
    match target {
        Target::Entry { address, keys } => client
            .post(format!("http://{address}/v1/completions"))
            .bearer_auth(&keys[arrival.account])
            .json(&serde_json::json!({
                "model": MODEL, "prompt": build_prompt(arrival), "stream": true, "seed": arrival.seed,
                "max_tokens": super::arrivals::LENGTH_MAX_TOKENS,
            })),
        Target::Engine { address, version } => {
            let mut body = generation_request(arrival, mix);
            body.version.clone_from(version);
            client
                .post(format!("http://{address}/v1/generations"))
                .json(&body)
        }
    }
}

/// Sends the request of `arrival` and measures its stream until it ends.
pub async fn drive_stream(
    client: reqwest::Client,
    target: Target,
    arrival: PlannedRequest,
    mix: Mix,
    run_start: Instant,
) -> StreamMeasurement {
    let sent_at = Instant::now();
    let mut measured = StreamMeasurement {
        account: arrival.account,
        first_token: None,
        gaps: Vec::new(),
        token_times: Vec::new(),
        outcome: StreamOutcome::Failed,
    };
    let result = build_request(&client, &target, &arrival, mix).send().await;
    let response = match result {
        Err(_) => return measured,
        Ok(response) if !response.status().is_success() => {
            measured.outcome = StreamOutcome::Refused;
            return measured;
        }
        Ok(response) => response,
    };
    let parse_line = match target {
        Target::Entry { .. } => parse_entry_line,
        Target::Engine { .. } => parse_engine_line,
    };
    let bytes = response.bytes_stream().map_err(std::io::Error::other);
    let codec = LinesCodec::new_with_max_length(LINE_MAX_BYTES);
    let mut lines = FramedRead::new(StreamReader::new(bytes), codec);
    let mut last_token_at = None;
    while let Some(Ok(line)) = lines.next().await {
        match parse_line(&line) {
            StreamLine::Token => {
                let now = Instant::now();
                match last_token_at {
                    None => measured.first_token = Some(now - sent_at),
                    Some(last_token_at) => measured.gaps.push(now - last_token_at),
                }
                last_token_at = Some(now);
                measured.token_times.push(now - run_start);
            }
            StreamLine::Done => {
                measured.outcome = StreamOutcome::Done;
                break;
            }
            StreamLine::Failed => break,
            StreamLine::Other => {}
        }
    }
    measured
}
