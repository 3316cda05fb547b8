//! One stream, driven and measured: through an entry or from an engine directly.

use std::time::Duration;

use futures::{StreamExt, TryStreamExt};
use serde::Serialize;
use tokio::time::Instant;
use tokio_util::codec::{FramedRead, LinesCodec};
use tokio_util::io::StreamReader;
use uuid::Uuid;

use super::arrivals::{ACCOUNTS, ArrivalPlan, Mix};
use crate::endpoint::protocol::GenerationRequest;

/// A gap between tokens longer than this counts as a stall, in full.
pub const STALL_AFTER: Duration = Duration::from_millis(200);
/// Model of the runs.
pub const MODEL: &str = "m";
const LINE_MAX_BYTES: usize = 1 << 20;

/// How a stream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StreamEnd {
    /// Whole.
    Done,
    /// Refused before the first token.
    Refused,
    /// Ended in an error or was cut.
    Failed,
}

/// What was measured of a stream.
#[derive(Debug, Clone)]
pub struct StreamMeasured {
    /// Index of its account.
    pub account: usize,
    /// Time to the first token.
    pub first_token: Option<Duration>,
    /// Gaps between tokens.
    pub gaps: Vec<Duration>,
    /// Tokens, with the time each came, from the run's start.
    pub token_times: Vec<Duration>,
    /// How it ended.
    pub end: StreamEnd,
}

impl StreamMeasured {
    /// Time without progress after the first token.
    #[must_use]
    pub fn stall(&self) -> Duration {
        self.gaps.iter().filter(|gap| **gap > STALL_AFTER).sum()
    }
}

/// Where to send a stream's request.
#[derive(Debug, Clone)]
pub enum Target {
    /// Through an entry.
    Entry {
        /// Callers' address.
        address: String,
        /// Bearer keys by account.
        keys: Vec<String>,
    },
    /// To an engine directly.
    Engine {
        /// Address of the endpoint protocol.
        address: String,
        /// Version of the model.
        version: String,
    },
}

/// A prompt of the wanted size that tells the stand-in engine its output's length.
#[must_use]
pub fn prompt(arrival: &ArrivalPlan) -> String {
    const BYTES_PER_TOKEN: usize = 4;
    let mut prompt = format!("#length={} seed {} ", arrival.length_tokens, arrival.seed);
    let wanted = arrival.prompt_tokens as usize * BYTES_PER_TOKEN;
    while prompt.len() < wanted {
        prompt.push('x');
    }
    prompt
}

/// The same request in the engine's own protocol.
#[must_use]
pub fn generation_request(arrival: &ArrivalPlan, mix: Mix) -> GenerationRequest {
    GenerationRequest {
        request_id: Uuid::new_v4(),
        attempt_id: Uuid::new_v4(),
        account: ACCOUNTS[arrival.account].to_owned(),
        model: MODEL.to_owned(),
        version: "1".to_owned(),
        prompt: prompt(arrival),
        prefix: arrival.seed,
        max_tokens: super::arrivals::LENGTH_MAX_TOKENS,
        seed: arrival.seed,
        priority: mix.priority(arrival.account),
    }
}

enum Line {
    Token,
    Done,
    Failed,
    Other,
}

fn entry_line(line: &str) -> Line {
    if line.starts_with("id:") {
        Line::Token
    } else if line == "data:[DONE]" {
        Line::Done
    } else if line.starts_with("event:") {
        Line::Failed
    } else {
        Line::Other
    }
}

fn engine_line(line: &str) -> Line {
    if line.starts_with(r#"{"type":"token""#) {
        Line::Token
    } else if line.starts_with(r#"{"type":"done""#) {
        Line::Done
    } else if line.starts_with(r#"{"type":"failed""#) {
        Line::Failed
    } else {
        Line::Other
    }
}

fn request(
    client: &reqwest::Client,
    target: &Target,
    arrival: &ArrivalPlan,
    mix: Mix,
) -> reqwest::RequestBuilder {
    match target {
        Target::Entry { address, keys } => client
            .post(format!("http://{address}/v1/completions"))
            .bearer_auth(&keys[arrival.account])
            .json(&serde_json::json!({
                "model": MODEL, "prompt": prompt(arrival), "stream": true, "seed": arrival.seed,
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

/// Drives one stream to its end.
pub async fn drive(
    client: reqwest::Client,
    target: Target,
    arrival: ArrivalPlan,
    mix: Mix,
    run_start: Instant,
) -> StreamMeasured {
    let began = Instant::now();
    let mut measured = StreamMeasured {
        account: arrival.account,
        first_token: None,
        gaps: Vec::new(),
        token_times: Vec::new(),
        end: StreamEnd::Failed,
    };
    let sent = request(&client, &target, &arrival, mix).send().await;
    let response = match sent {
        Err(_) => return measured,
        Ok(response) if !response.status().is_success() => {
            measured.end = StreamEnd::Refused;
            return measured;
        }
        Ok(response) => response,
    };
    let parse = match target {
        Target::Entry { .. } => entry_line,
        Target::Engine { .. } => engine_line,
    };
    let bytes = response.bytes_stream().map_err(std::io::Error::other);
    let codec = LinesCodec::new_with_max_length(LINE_MAX_BYTES);
    let mut lines = FramedRead::new(StreamReader::new(bytes), codec);
    let mut last = None;
    while let Some(Ok(line)) = lines.next().await {
        match parse(&line) {
            Line::Token => {
                let now = Instant::now();
                match last {
                    None => measured.first_token = Some(now - began),
                    Some(last) => measured.gaps.push(now - last),
                }
                last = Some(now);
                measured.token_times.push(now - run_start);
            }
            Line::Done => {
                measured.end = StreamEnd::Done;
                break;
            }
            Line::Failed => break,
            Line::Other => {}
        }
    }
    measured
}
