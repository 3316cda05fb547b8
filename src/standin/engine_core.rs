//! Stand-in engine without its server: continuous batching over limited memory, preemption when full, priorities, a prefix cache.
//!
//! Time passes in steps; each step decodes one token of every running sequence.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::endpoint::protocol::{CacheEvent, FinishReason, GenerationRequest};

/// Prompts that begin with this fix the output's length: `#length=250 ...`.
const LENGTH_DIRECTIVE: &str = "#length=";
const BYTES_PER_TOKEN: usize = 4;
/// Finished generations that can still be resumed.
const FINISHED_KEPT: usize = 2_000;

/// Speed and size of a stand-in engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineSpec {
    /// Memory, in tokens.
    pub kv_capacity_tokens: u64,
    /// Sequences decoded at once.
    pub batch_max: usize,
    /// Generations that may wait inside the engine.
    pub waiting_max: usize,
    /// Time of a step with an empty batch, in microseconds.
    pub step_us: u64,
    /// Added per running sequence, in microseconds.
    pub step_per_sequence_us: u64,
    /// Prompt tokens read per millisecond.
    pub prefill_tokens_per_ms: u64,
    /// Prefixes that the cache holds.
    pub cached_prefixes: usize,
    /// Median output length where the prompt does not fix it.
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

/// How far a generation is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Progress {
    /// Tokens made.
    pub made_tokens: u32,
    /// Whether it has ended.
    pub ended: Option<Ended>,
}

/// How a generation ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ended {
    /// By itself or at its maximum.
    Done(FinishReason),
    /// By a cancel.
    Cancelled,
}

/// A generation of the engine.
#[derive(Debug)]
pub struct Sequence {
    /// The engine's number.
    pub number: u64,
    /// What was asked.
    pub request: GenerationRequest,
    /// Readers follow this.
    pub progress: watch::Sender<Progress>,
    length_tokens: u32,
}

impl Sequence {
    /// Prompt, in tokens.
    #[must_use]
    pub fn prompt_tokens(&self) -> u32 {
        prompt_tokens(&self.request.prompt)
    }

    fn held_tokens(&self) -> u64 {
        u64::from(self.prompt_tokens()) + u64::from(self.progress.borrow().made_tokens)
    }
}

/// Tokens of a prompt, as the stand-in counts them.
#[must_use]
pub fn prompt_tokens(prompt: &str) -> u32 {
    u32::try_from(prompt.len().div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX)
}

/// The text of one token: the same seed, version and index give the same text on every engine.
#[must_use]
pub fn token_text(request: &GenerationRequest, index: u32) -> String {
    let mut hasher = blake3::Hasher::new();
    hasher.update(request.version.as_bytes());
    hasher.update(&request.seed.to_le_bytes());
    hasher.update(&index.to_le_bytes());
    let word = &hasher.finalize().to_hex()[..4];
    format!(" {word}")
}

fn output_length(request: &GenerationRequest, median_tokens: u32) -> u32 {
    let fixed = request
        .prompt
        .strip_prefix(LENGTH_DIRECTIVE)
        .and_then(|rest| {
            let digits = rest.split(' ').next()?;
            digits.parse::<u32>().ok()
        });
    fixed.unwrap_or_else(|| {
        let mut random = SmallRng::seed_from_u64(request.seed);
        // A product of uniform factors is heavy-tailed enough for a demo.
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

/// Counts for load reports.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Running sequences.
    pub running: u32,
    /// Waiting sequences.
    pub waiting: u32,
    /// Memory in use, in tokens.
    pub kv_used_tokens: u64,
    /// Preemptions since the start.
    pub preemptions_total: u64,
}

/// The engine's state.
#[derive(Debug)]
pub struct EngineCore {
    spec: EngineSpec,
    next_number: u64,
    /// In order of arrival.
    waiting: VecDeque<Sequence>,
    /// In order of arrival.
    running: Vec<Sequence>,
    finished: BTreeMap<u64, Sequence>,
    prefixes: VecDeque<u64>,
    next_event: u64,
    events: VecDeque<CacheEvent>,
    preemptions_total: u64,
}

const EVENTS_KEPT: usize = 1_000;

impl EngineCore {
    /// An idle engine.
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

    /// Takes a generation and gives its number; `None` where too many wait or it can never fit.
    pub fn submit(&mut self, request: GenerationRequest) -> Option<u64> {
        let prompt = u64::from(prompt_tokens(&request.prompt));
        if self.waiting.len() >= self.spec.waiting_max || prompt >= self.spec.kv_capacity_tokens {
            return None;
        }
        let number = self.next_number;
        self.next_number += 1;
        let wanted = output_length(&request, self.spec.median_length_tokens);
        let room = u32::try_from(self.spec.kv_capacity_tokens - prompt).unwrap_or(u32::MAX);
        self.waiting.push_back(Sequence {
            number,
            length_tokens: wanted.min(request.max_tokens).min(room),
            request,
            progress: watch::Sender::new(Progress::default()),
        });
        Some(number)
    }

    /// A generation that can be read.
    #[must_use]
    pub fn sequence(&self, number: u64) -> Option<&Sequence> {
        let live = self.running.iter().chain(&self.waiting);
        live.into_iter()
            .find(|sequence| sequence.number == number)
            .or_else(|| self.finished.get(&number))
    }

    /// Ends a generation.
    pub fn cancel(&mut self, number: u64) {
        let is_it = |sequence: &Sequence| sequence.number == number;
        let sequence = if let Some(index) = self.running.iter().position(is_it) {
            self.running.remove(index)
        } else if let Some(index) = self.waiting.iter().position(is_it) {
            let Some(sequence) = self.waiting.remove(index) else {
                return;
            };
            sequence
        } else {
            return;
        };
        sequence
            .progress
            .send_modify(|progress| progress.ended = Some(Ended::Cancelled));
    }

    /// Counts for a load report.
    #[must_use]
    pub fn counts(&self) -> Counts {
        Counts {
            running: u32::try_from(self.running.len()).unwrap_or(u32::MAX),
            waiting: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
            kv_used_tokens: self.kv_used_tokens(),
            preemptions_total: self.preemptions_total,
        }
    }

    /// Cache events after a sequence number.
    #[must_use]
    pub fn events_after(&self, sequence: u64) -> Vec<CacheEvent> {
        let after = self.events.iter().filter(|event| event.sequence > sequence);
        after.cloned().collect()
    }

    fn kv_used_tokens(&self) -> u64 {
        self.running.iter().map(Sequence::held_tokens).sum()
    }

    /// One step: admit, decode, preempt where the memory is full. Gives the step's length.
    pub fn step(&mut self) -> Duration {
        let prefill_tokens = self.admit();
        self.make_room();
        for sequence in &self.running {
            sequence
                .progress
                .send_modify(|progress| progress.made_tokens += 1);
        }
        self.retire();
        let sequences = self.running.len() as u64;
        let decode_us = self.spec.step_us + self.spec.step_per_sequence_us * sequences;
        let prefill_us = prefill_tokens * 1_000 / self.spec.prefill_tokens_per_ms.max(1);
        Duration::from_micros(decode_us + prefill_us)
    }

    /// Moves waiting sequences into the batch while they fit; gives the tokens to read first.
    fn admit(&mut self) -> u64 {
        let mut prefill_tokens = 0;
        let mut used = self.kv_used_tokens();
        while self.running.len() < self.spec.batch_max {
            let best = (0..self.waiting.len()).max_by_key(|&index| {
                let priority = self.waiting[index].request.priority;
                (priority, std::cmp::Reverse(self.waiting[index].number))
            });
            let Some(index) = best else { break };
            let held = self.waiting[index].held_tokens();
            if used + held + 1 > self.spec.kv_capacity_tokens {
                break;
            }
            let Some(sequence) = self.waiting.remove(index) else {
                break;
            };
            used += held;
            if !self.touch_prefix(sequence.request.prefix) {
                prefill_tokens += held;
            }
            self.running.push(sequence);
        }
        prefill_tokens
    }

    /// Whether the prefix was cached; it is afterwards.
    fn touch_prefix(&mut self, prefix: u64) -> bool {
        let held = self.prefixes.iter().position(|known| *known == prefix);
        if let Some(index) = held {
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
        if self.events.len() > EVENTS_KEPT {
            self.events.pop_front();
        }
        held.is_some()
    }

    /// Preempts the lowest priority, latest arrival first, until every running sequence can grow by one token.
    fn make_room(&mut self) {
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

    fn retire(&mut self) {
        let done = |sequence: &mut Sequence| {
            sequence.progress.borrow().made_tokens >= sequence.length_tokens
        };
        let retired: Vec<Sequence> = self.running.extract_if(.., done).collect();
        for sequence in retired {
            let reason = if sequence.length_tokens >= sequence.request.max_tokens {
                FinishReason::Length
            } else {
                FinishReason::Stop
            };
            sequence
                .progress
                .send_modify(|progress| progress.ended = Some(Ended::Done(reason)));
            self.finished.insert(sequence.number, sequence);
        }
        while self.finished.len() > FINISHED_KEPT {
            self.finished.pop_first();
        }
    }
}
