//! Simulated model engine without I/O: continuous batching, limited KV-cache memory, preemption,
//! priorities and a prefix cache.
//!
//! Time advances in steps; each step decodes one token of every running sequence.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::endpoint::protocol::{CacheEvent, FinishReason, GenerationRequest};

/// Prefix of prompts that set the output length in tokens, as in `#length=250 ...`.
const LENGTH_DIRECTIVE: &str = "#length=";
const BYTES_PER_TOKEN: usize = 4;
/// Maximum number of finished generations that are retained for resumption.
const FINISHED_MAX: usize = 2_000;

/// Simulated speed and memory size of an engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineSpec {
    /// KV-cache capacity, in tokens.
    pub kv_capacity_tokens: u64,
    /// Maximum number of sequences in the batch.
    pub batch_max: usize,
    /// Maximum number of queued generations.
    pub waiting_max: usize,
    /// Duration of a step with an empty batch, in microseconds.
    pub step_us: u64,
    /// Duration added to a step per running sequence, in microseconds.
    pub step_per_sequence_us: u64,
    /// Prompt tokens prefilled per millisecond.
    pub prefill_tokens_per_ms: u64,
    /// Capacity of the prefix cache, in prefixes.
    pub cached_prefixes: usize,
    /// Median output length of prompts that do not set it.
    pub median_length_tokens: u32,
}

impl Default for EngineSpec {
    fn default() -> Self {
        Self {
            kv_capacity_tokens: 20_000,
            batch_max: 64,
            waiting_max: 10_000,
            step_us: 5_000,
            step_per_sequence_us: 50,
            prefill_tokens_per_ms: 50,
            cached_prefixes: 64,
            median_length_tokens: 40,
        }
    }
}

/// Progress of a generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Progress {
    /// Number of tokens generated so far.
    pub generated_tokens: u32,
    /// How the generation ended; `None` while it runs or waits.
    pub ended: Option<SequenceEnd>,
}

/// How a generation ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SequenceEnd {
    /// Completed, either at its own length or at the maximum.
    Done(FinishReason),
    /// Cancelled by a request.
    Cancelled,
}

/// A generation in the engine.
#[derive(Debug)]
pub struct Sequence {
    /// Number assigned by the engine.
    pub number: u64,
    /// The request.
    pub request: GenerationRequest,
    /// Channel through which readers follow the progress.
    pub progress: watch::Sender<Progress>,
    length_tokens: u32,
}

impl Sequence {
    /// Returns the prompt's length in tokens.
    #[must_use]
    pub fn prompt_tokens(&self) -> u32 {
        prompt_tokens(&self.request.prompt)
    }

    fn kv_tokens(&self) -> u64 {
        u64::from(self.prompt_tokens()) + u64::from(self.progress.borrow().generated_tokens)
    }
}

/// Returns the length of a prompt in tokens, at four bytes a token rounded up.
#[must_use]
pub fn prompt_tokens(prompt: &str) -> u32 {
    u32::try_from(prompt.len().div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX)
}

/// Returns the text of one token.
///
/// It depends on model version, seed and index only, so that every engine generates the same text.
#[must_use]
pub fn token_text(request: &GenerationRequest, index: u32) -> String {
    let mut hasher = blake3::Hasher::new();
    hasher.update(request.version.as_bytes());
    hasher.update(&request.seed.to_le_bytes());
    hasher.update(&index.to_le_bytes());
    let digest = &hasher.finalize().to_hex()[..4];
    format!(" {digest}")
}

fn output_length(request: &GenerationRequest, median_tokens: u32) -> u32 {
    let requested = request
        .prompt
        .strip_prefix(LENGTH_DIRECTIVE)
        .and_then(|directive| {
            let digits = directive.split(' ').next()?;
            digits.parse::<u32>().ok()
        });
    requested.unwrap_or_else(|| {
        let mut random = SmallRng::seed_from_u64(request.seed);
        // The product of uniform factors is heavy-tailed, which suffices for a demo.
        let spread: f64 = (0..4).map(|_| random.random_range(0.3..3.0)).product();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a small positive length"
        )]
        let length = (f64::from(median_tokens) * spread) as u32;
        length.max(1)
    })
}

/// Load of the engine, as used in load reports.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LoadCounts {
    /// Number of running sequences.
    pub running: u32,
    /// Number of waiting sequences.
    pub waiting: u32,
    /// KV-cache memory in use, in tokens.
    pub kv_used_tokens: u64,
    /// Number of preemptions since startup.
    pub preemptions_total: u64,
}

/// State of a simulated engine.
#[derive(Debug)]
pub struct EngineCore {
    spec: EngineSpec,
    next_number: u64,
    /// Preempted sequences first, then new ones in order of arrival.
    waiting: VecDeque<Sequence>,
    /// In order of admission.
    running: Vec<Sequence>,
    finished: BTreeMap<u64, Sequence>,
    prefixes: VecDeque<u64>,
    next_event: u64,
    events: VecDeque<CacheEvent>,
    preemptions_total: u64,
}

const CACHE_EVENTS_MAX: usize = 1_000;

impl EngineCore {
    /// Creates an idle engine.
    #[must_use]
    pub fn new(spec: EngineSpec) -> Self {
        Self {
            spec,
            next_number: 1,
            waiting: VecDeque::new(),
            running: Vec::new(),
            finished: BTreeMap::new(),
            prefixes: VecDeque::new(),
            next_event: 1,
            events: VecDeque::new(),
            preemptions_total: 0,
        }
    }

    /// Queues a generation and returns its number.
    ///
    /// Returns `None` if the queue is full or the prompt leaves no KV-cache capacity for output.
    pub fn submit(&mut self, request: GenerationRequest) -> Option<u64> {
        let prompt = u64::from(prompt_tokens(&request.prompt));
        if self.waiting.len() >= self.spec.waiting_max || prompt >= self.spec.kv_capacity_tokens {
            return None;
        }
        let number = self.next_number;
        self.next_number += 1;
        let length = output_length(&request, self.spec.median_length_tokens);
        let capacity = u32::try_from(self.spec.kv_capacity_tokens - prompt).unwrap_or(u32::MAX);
        self.waiting.push_back(Sequence {
            number,
            length_tokens: length.min(request.max_tokens).min(capacity),
            request,
            progress: watch::Sender::new(Progress::default()),
        });
        Some(number)
    }

    /// Returns a running, waiting or retained finished generation.
    #[must_use]
    pub fn sequence(&self, number: u64) -> Option<&Sequence> {
        let unfinished = self.running.iter().chain(&self.waiting);
        unfinished
            .into_iter()
            .find(|sequence| sequence.number == number)
            .or_else(|| self.finished.get(&number))
    }

    /// Cancels a running or waiting generation; does nothing for others.
    pub fn cancel(&mut self, number: u64) {
        let has_number = |sequence: &Sequence| sequence.number == number;
        let sequence = if let Some(index) = self.running.iter().position(has_number) {
            self.running.remove(index)
        } else if let Some(index) = self.waiting.iter().position(has_number) {
            let Some(sequence) = self.waiting.remove(index) else {
                return;
            };
            sequence
        } else {
            return;
        };
        sequence
            .progress
            .send_modify(|progress| progress.ended = Some(SequenceEnd::Cancelled));
    }

    /// Returns the current load.
    #[must_use]
    pub fn load_counts(&self) -> LoadCounts {
        LoadCounts {
            running: u32::try_from(self.running.len()).unwrap_or(u32::MAX),
            waiting: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
            kv_used_tokens: self.kv_used_tokens(),
            preemptions_total: self.preemptions_total,
        }
    }

    /// Returns the retained cache events after a sequence number.
    #[must_use]
    pub fn cache_events_after(&self, sequence: u64) -> Vec<CacheEvent> {
        let after = self.events.iter().filter(|event| event.sequence > sequence);
        after.cloned().collect()
    }

    fn kv_used_tokens(&self) -> u64 {
        self.running.iter().map(Sequence::kv_tokens).sum()
    }

    /// Runs one step and returns its simulated duration.
    ///
    /// A step admits waiting sequences, preempts running ones if memory is full, and decodes one
    /// token of each.
    pub fn step(&mut self) -> Duration {
        let prefill_tokens = self.admit();
        self.preempt_until_fits();
        for sequence in &self.running {
            sequence
                .progress
                .send_modify(|progress| progress.generated_tokens += 1);
        }
        self.finish_completed();
        let sequences = self.running.len() as u64;
        let decode_us = self.spec.step_us + self.spec.step_per_sequence_us * sequences;
        let prefill_us = prefill_tokens * 1_000 / self.spec.prefill_tokens_per_ms.max(1);
        Duration::from_micros(decode_us + prefill_us)
    }

    /// Moves waiting sequences into the batch while they fit; returns the number of tokens to
    /// prefill.
    fn admit(&mut self) -> u64 {
        let mut prefill_tokens = 0;
        let mut used = self.kv_used_tokens();
        while self.running.len() < self.spec.batch_max {
            let next = (0..self.waiting.len()).max_by_key(|&index| {
                let priority = self.waiting[index].request.priority;
                (priority, std::cmp::Reverse(self.waiting[index].number))
            });
            let Some(index) = next else { break };
            let kv_tokens = self.waiting[index].kv_tokens();
            if used + kv_tokens + 1 > self.spec.kv_capacity_tokens {
                break;
            }
            let Some(sequence) = self.waiting.remove(index) else {
                break;
            };
            used += kv_tokens;
            if !self.touch_prefix(sequence.request.prefix) {
                prefill_tokens += kv_tokens;
            }
            self.running.push(sequence);
        }
        prefill_tokens
    }

    /// Marks a prefix as most recently used, adding it if needed; returns whether it was cached.
    fn touch_prefix(&mut self, prefix: u64) -> bool {
        let cached = self.prefixes.iter().position(|known| *known == prefix);
        if let Some(index) = cached {
            self.prefixes.remove(index);
        } else {
            let event = CacheEvent {
                sequence: self.next_event,
                prefix,
            };
            self.next_event += 1;
            self.events.push_back(event);
        }
        self.prefixes.push_back(prefix);
        if self.prefixes.len() > self.spec.cached_prefixes {
            self.prefixes.pop_front();
        }
        if self.events.len() > CACHE_EVENTS_MAX {
            self.events.pop_front();
        }
        cached.is_some()
    }

    /// Preempts sequences until every running one can grow by one token.
    ///
    /// The lowest priority is preempted first, and within a priority the latest arrival.
    fn preempt_until_fits(&mut self) {
        while self.kv_used_tokens() + self.running.len() as u64 > self.spec.kv_capacity_tokens {
            let victim = (0..self.running.len()).min_by_key(|&index| {
                let sequence = &self.running[index];
                (
                    sequence.request.priority,
                    std::cmp::Reverse(sequence.number),
                )
            });
            let Some(victim) = victim else { return };
            let sequence = self.running.remove(victim);
            self.preemptions_total += 1;
            self.waiting.push_front(sequence);
        }
    }

    fn finish_completed(&mut self) {
        let is_complete = |sequence: &mut Sequence| {
            sequence.progress.borrow().generated_tokens >= sequence.length_tokens
        };
        let completed: Vec<Sequence> = self.running.extract_if(.., is_complete).collect();
        for sequence in completed {
            let reason = if sequence.length_tokens >= sequence.request.max_tokens {
                FinishReason::Length
            } else {
                FinishReason::Stop
            };
            sequence
                .progress
                .send_modify(|progress| progress.ended = Some(SequenceEnd::Done(reason)));
            self.finished.insert(sequence.number, sequence);
        }
        while self.finished.len() > FINISHED_MAX {
            self.finished.pop_first();
        }
    }
}
