//! Replay of streams on engines of unlike pace, placed by a ledger.

use std::f64::consts::TAU;
use std::time::Duration;

use larkwick::kernel::engine_ledger::{
    EngineLedger, ListedEngine, PacePolicy, ReportedRun, RunDemand,
};
use larkwick::kernel::pause_counts::PauseBuffer;
use larkwick::kernel::stream_timing::StreamTiming;

pub const EVENT_TOKENS: u32 = 4;
pub const REPORT_INTERVAL_MS: u64 = 400;
const ENTRIES: usize = 4;
const TICK_MS: u64 = 2;
/// Number of streams after which the engines are known.
const WARM_UP_STREAMS: usize = 250;
const REPLAY_MS: u64 = 26_000;

pub fn listed(id: &str) -> ListedEngine {
    ListedEngine {
        id: id.to_owned(),
        slots: 24,
        memory_tokens: 34_000,
        supports_migration: true,
        ..ListedEngine::default()
    }
}

pub fn ledger(ids: impl Iterator<Item = String>, is_enabled: bool) -> EngineLedger {
    let mut ledger = EngineLedger::default();
    ledger.set_engines(ids.map(|id| listed(&id)).collect());
    ledger.set_pace_policy(PacePolicy {
        is_enabled,
        event_tokens: EVENT_TOKENS,
    });
    ledger
}

pub fn demand(run: &str, is_long: bool, events: u32, pause_max: Duration) -> RunDemand {
    RunDemand {
        run: run.to_owned(),
        prompt_tokens: if is_long { 1_200 } else { 800 },
        generated_max_tokens: if is_long { 2_000 } else { 64 },
        generated_hint_tokens: Some(f64::from(events * EVENT_TOKENS)),
        priority: 1,
        pause_max: Some(pause_max),
        ..RunDemand::default()
    }
}

/// A stream on a replayed engine.
struct Stream {
    demand: RunDemand,
    entry: usize,
    unread_tokens: f64,
    steps: f64,
    events: u32,
    events_at_end: u32,
    timing: StreamTiming,
    is_long: bool,
    objective: Option<Duration>,
    /// Whether it was placed once the engines were known.
    is_judged: bool,
}

impl Stream {
    fn is_late(&self) -> bool {
        let longest = self.timing.longest_pause().map(|pause| pause.length);
        let is_first_late = self
            .objective
            .is_some_and(|objective| self.timing.first_event() > Some(objective));
        longest > self.demand.pause_max || is_first_late
    }
}

/// An engine: a step takes (7 ms + 0.12 ms a stream) / pace, 8 ms / pace more while a prompt is
/// read, 112 tokens a step. For 0.6 s in 6 s all takes 2.5 times as long.
struct Engine {
    id: String,
    pace: f64,
    slow_from_ms: u64,
    streams: Vec<Stream>,
    /// Judged streams that ended late: the long ones and the short ones.
    late: [u32; 2],
}

impl Engine {
    fn advance(&mut self, now_ms: u64, buffers: &mut [PauseBuffer]) {
        let decoding = self.streams.iter().filter(|run| run.unread_tokens <= 0.0);
        let decoding = u32::try_from(decoding.count()).expect("few streams");
        let reading = self.streams.iter_mut().find(|run| run.unread_tokens > 0.0);
        let read_ms = if reading.is_some() { 8.0 } else { 0.0 };
        let is_slow = (now_ms + self.slow_from_ms) % 6_000 < 600;
        let slowness = if is_slow { 2.5 } else { 1.0 };
        let step_ms = (7.0 + 0.12 * f64::from(decoding) + read_ms) * slowness / self.pace;
        let steps = f64::from(u32::try_from(TICK_MS).expect("small")) / step_ms;
        if let Some(run) = reading {
            run.unread_tokens -= 112.0 * steps;
        }
        let now = Duration::from_millis(now_ms);
        for run in &mut self.streams {
            if run.unread_tokens > 0.0 {
                continue;
            }
            run.steps += steps;
            if run.steps >= 4.0 {
                run.steps -= 4.0;
                run.events += 1;
                if let Some(pauses) = run.timing.record_events(1, now) {
                    buffers[run.entry].record(&self.id, pauses.length, pauses.count);
                }
            }
        }
        self.streams.retain(|run| {
            let has_ended = run.events >= run.events_at_end;
            let is_late = run.is_judged && run.is_late();
            self.late[usize::from(!run.is_long)] += u32::from(has_ended && is_late);
            !has_ended
        });
    }
}

/// What the streams of a replay need; pairs are of the long and the short ones.
#[derive(Clone, Copy)]
pub struct Load {
    pub prompt_tokens: [u32; 2],
    pub pause_max: Duration,
    /// Latency objectives by which streams are judged, if any.
    pub objectives: [Option<Duration>; 2],
    /// Whether the ledger knows the objectives.
    pub tells_objectives: bool,
    /// Number of streams relative to the usual load.
    pub scale: f64,
    /// Time at which the owner is lost and the next one starts with an empty ledger.
    pub owner_lost_at_ms: Option<u64>,
}

impl Load {
    pub fn with_limit(pause_max: Duration) -> Self {
        Self {
            prompt_tokens: [1_200, 800],
            pause_max,
            objectives: [None; 2],
            tells_objectives: true,
            scale: 1.0,
            owner_lost_at_ms: None,
        }
    }
}

pub struct Replay {
    ledger: EngineLedger,
    engines: Vec<Engine>,
    /// Pauses that each entry instance has not reported yet.
    buffers: Vec<PauseBuffer>,
    load: Load,
    /// Engines of the long streams and of the short ones, in order.
    pub placed: [Vec<String>; 2],
}

impl Replay {
    pub fn new(paces: &[f64], load: Load, is_enabled: bool) -> Self {
        let engines = paces.iter().enumerate().map(|(number, pace)| Engine {
            id: format!("e{number}"),
            pace: *pace,
            slow_from_ms: 1_370 * u64::try_from(number).expect("few engines"),
            streams: Vec::new(),
            late: [0; 2],
        });
        let engines: Vec<Engine> = engines.collect();
        Self {
            ledger: ledger(engines.iter().map(|engine| engine.id.clone()), is_enabled),
            engines,
            buffers: (0..ENTRIES).map(|_| PauseBuffer::default()).collect(),
            load,
            placed: Default::default(),
        }
    }

    /// Plays 21 long and 24 short streams a second for 44 engines, in waves of 1 +- 0.55 every 13 s.
    pub fn run(mut self) -> Self {
        let scale = f64::from(u32::try_from(self.engines.len()).expect("few")) / 44.0;
        let scale = scale * self.load.scale;
        let mut due = [(true, 21.0, 0.0), (false, 24.0, 0.0)];
        for now_ms in (0..REPLAY_MS).step_by(usize::try_from(TICK_MS).expect("small")) {
            for engine in &mut self.engines {
                engine.advance(now_ms, &mut self.buffers);
            }
            if self.load.owner_lost_at_ms == Some(now_ms) {
                let ids = self.engines.iter().map(|engine| engine.id.clone());
                self.ledger = ledger(ids, true);
            }
            if now_ms % REPORT_INTERVAL_MS == 0 {
                self.report(Duration::from_millis(now_ms));
            }
            let now_s = Duration::from_millis(now_ms).as_secs_f64();
            let wave = 1.0 + 0.55 * (TAU * now_s / 13.0).sin();
            for (is_long, per_s, share) in &mut due {
                *share += *per_s * scale * wave * 0.002;
                if *share >= 1.0 {
                    *share -= 1.0;
                    self.place(*is_long, now_ms);
                }
            }
        }
        self
    }

    /// Applies the reports of all entry instances.
    fn report(&mut self, now: Duration) {
        for (entry, buffer) in self.buffers.iter_mut().enumerate() {
            let runs = self.engines.iter().flat_map(|engine| {
                let own = engine.streams.iter().filter(|run| run.entry == entry);
                own.map(|run| ReportedRun {
                    demand: run.demand.clone(),
                    endpoint: engine.id.clone(),
                    copy_at: None,
                    generated_tokens: run.events * EVENT_TOKENS,
                })
            });
            let runs = runs.collect();
            self.ledger.apply_report(&format!("n{entry}"), runs, now);
            self.ledger.apply_pauses(&buffer.take(), now);
        }
    }

    fn place(&mut self, is_long: bool, now_ms: u64) {
        let now = Duration::from_millis(now_ms);
        let number = self.placed[0].len() + self.placed[1].len();
        let spread = u32::try_from(number * 37 % 100).expect("small");
        let events = if is_long {
            90 + 2 * spread
        } else {
            2 + spread % 2
        };
        let kind = usize::from(!is_long);
        let objective = self.load.objectives[kind];
        let demand = RunDemand {
            prompt_tokens: self.load.prompt_tokens[kind],
            first_event_within: objective.filter(|_| self.load.tells_objectives),
            ..demand(&format!("r{number}"), is_long, events, self.load.pause_max)
        };
        let entry = number % ENTRIES;
        let granted = self.ledger.place(&demand, &format!("n{entry}"), &[], now);
        let granted = granted.expect("capacity");
        let mut engines = self.engines.iter_mut();
        let engine = engines.find(|engine| engine.id == granted);
        engine.expect("a listed engine").streams.push(Stream {
            unread_tokens: f64::from(demand.prompt_tokens),
            demand,
            entry,
            steps: 0.0,
            events: 0,
            events_at_end: events,
            timing: StreamTiming::starting_at(now),
            is_long,
            objective,
            is_judged: number >= WARM_UP_STREAMS,
        });
        self.placed[kind].push(granted);
    }

    /// Returns the share of the last 300 streams of a kind that were placed on slow engines.
    pub fn share_on_slow_engines(&self, is_long: bool) -> f64 {
        let placed = self.placed[usize::from(!is_long)].iter().rev().take(300);
        let slow = self.engines.iter().filter(|engine| engine.pace < 1.0);
        let slow: Vec<&String> = slow.map(|engine| &engine.id).collect();
        let on_slow = placed.filter(|id| slow.contains(id)).count();
        f64::from(u32::try_from(on_slow).expect("few")) / 300.0
    }

    /// Returns the number of judged streams that ended late: the long ones and the short ones.
    pub fn late(&self) -> [u32; 2] {
        let of_kind = |kind: usize| self.engines.iter().map(|engine| engine.late[kind]).sum();
        [of_kind(0), of_kind(1)]
    }
}
