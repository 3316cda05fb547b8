//! Replays load that exceeds a few engines, on a manual clock and without a network.

use std::collections::BTreeMap;
use std::time::Duration;

use larkwick::kernel::admission_queue::{
    Admission, AdmissionPolicy, AdmissionQueue, AdmissionRequest, QueueTicket,
};
use larkwick::kernel::engine_ledger::{
    EngineLedger, ListedEngine, MoveOrder, MoveResult, ReportedRun, RunDemand,
};

/// Multiples of it are spread evenly.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_895;
const TICK: Duration = Duration::from_millis(20);
const REPORT_TICKS: u32 = 5;
const FIRST_EVENT: Duration = Duration::from_millis(300);
const DECODE_TOKENS_PER_S: f64 = 80.0;
const COPY_TIME: Duration = Duration::from_millis(200);
const NOTICE: Duration = Duration::from_millis(1_700);
const REPLACED_AFTER: Duration = Duration::from_millis(1_500);

/// A kind of generation.
#[derive(Debug, Clone, Copy)]
pub struct Kind {
    pub prompt_tokens: u32,
    pub output_tokens: u32,
    pub priority: u32,
    pub objective: Duration,
    pub patience: Duration,
}

/// A call: its time, client account and kind.
pub type Arrival = (Duration, String, Kind);

/// Returns calls of an account at a constant rate. Their lengths differ, so that room is not freed
/// in step.
pub fn steady(account: &str, kind: Kind, from_s: f64, to_s: f64, per_s: f64) -> Vec<Arrival> {
    let calls = (0_u32..).map(|number| {
        let at_s = from_s + f64::from(number) / per_s;
        let share = (f64::from(number) * GOLDEN_RATIO).fract();
        let longest = f64::from(kind.output_tokens) * (0.6 + 0.8 * share);
        let kind = Kind {
            output_tokens: whole_tokens(longest),
            ..kind
        };
        (Duration::from_secs_f64(at_s), account.to_owned(), kind)
    });
    let end = Duration::from_secs_f64(to_s);
    calls.take_while(|call| call.0 < end).collect()
}

fn whole_tokens(tokens: f64) -> u32 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a few thousand tokens"
    )]
    let whole = tokens as u32;
    whole
}

/// A load and the engines that it finds.
pub struct Load {
    pub policy: AdmissionPolicy,
    pub engines: usize,
    pub arrivals: Vec<Arrival>,
    pub ends_at: Duration,
    /// Interval at which a sixth of the engines leaves, if any do.
    pub leave_interval: Option<Duration>,
    /// Time at which the owner is lost, if it is. The next one knows only what is reported.
    pub owner_lost_at: Option<Duration>,
}

/// What became of the calls of a kind or account.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct Counts {
    pub asked: u32,
    pub in_time: u32,
    pub late: u32,
    pub refused: u32,
    /// Placed, and cut when the engine ended.
    pub cut: u32,
    /// Token-seconds of memory by those placed.
    pub served: f64,
    /// Refused after a wait of more than a quarter of the objective.
    pub waited_in_vain: u32,
}

impl Counts {
    /// Returns how many were answered whole.
    pub fn whole(&self) -> u32 {
        self.in_time + self.late - self.cut
    }

    pub fn in_time_share(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.asked)
    }
}

#[derive(Debug, Default)]
pub struct Outcome {
    pub by_priority: BTreeMap<u32, Counts>,
    pub by_account: BTreeMap<String, Counts>,
    /// Engine of each placement in order.
    pub placements: Vec<String>,
}

impl Outcome {
    fn record(&mut self, call: &Call, update: impl Fn(&mut Counts)) {
        update(self.by_priority.entry(call.kind.priority).or_default());
        update(self.by_account.entry(call.account.clone()).or_default());
    }
}

#[derive(Debug, Clone)]
struct Call {
    demand: RunDemand,
    account: String,
    kind: Kind,
    arrived_at: Duration,
}

impl Call {
    fn request(&self, now: Duration) -> AdmissionRequest {
        AdmissionRequest {
            demand: self.demand.clone(),
            entry: "n".to_owned(),
            excluded: Vec::new(),
            objective_at: (self.arrived_at + self.kind.objective).max(now),
            deadline: (self.arrived_at + self.kind.patience).max(now),
        }
    }

    fn holding(&self) -> Duration {
        let decoding_s = f64::from(self.kind.output_tokens) / DECODE_TOKENS_PER_S;
        FIRST_EVENT + Duration::from_secs_f64(decoding_s)
    }
}

struct Running {
    call: Call,
    endpoint: String,
    started_at: Duration,
}

impl Running {
    fn reported(&self, now: Duration) -> ReportedRun {
        let decoding = now.saturating_sub(self.started_at + FIRST_EVENT);
        let generated_tokens = whole_tokens(decoding.as_secs_f64() * DECODE_TOKENS_PER_S);
        ReportedRun {
            demand: self.call.demand.clone(),
            endpoint: self.endpoint.clone(),
            copy_at: None,
            generated_tokens,
        }
    }
}

struct Replay {
    load: Load,
    ledger: EngineLedger,
    queue: AdmissionQueue,
    /// Engines with the time of their notice, if it was given.
    engines: Vec<(String, Option<Duration>)>,
    returning: Vec<Duration>,
    engines_started: usize,
    waiting: BTreeMap<QueueTicket, Call>,
    running: Vec<Running>,
    moves: Vec<(Duration, MoveOrder)>,
    outcome: Outcome,
}

/// Replays a load and returns what became of its calls.
pub fn replay(mut load: Load) -> Outcome {
    load.arrivals.sort_by_key(|arrival| arrival.0);
    let mut replay = Replay {
        ledger: EngineLedger::default(),
        queue: AdmissionQueue::default(),
        engines: Vec::new(),
        returning: vec![Duration::ZERO; load.engines],
        engines_started: 0,
        waiting: BTreeMap::new(),
        running: Vec::new(),
        moves: Vec::new(),
        outcome: Outcome::default(),
        load,
    };
    replay.run();
    replay.outcome
}

impl Replay {
    fn run(&mut self) {
        self.queue.set_policy(self.load.policy.clone());
        let mut now = Duration::ZERO;
        let mut next_leave = self.load.leave_interval;
        let mut arrivals = std::mem::take(&mut self.load.arrivals)
            .into_iter()
            .peekable();
        for tick in 0.. {
            if now >= self.load.ends_at {
                break;
            }
            if next_leave.is_some_and(|at| now >= at) {
                self.give_notice(now);
                next_leave = next_leave
                    .zip(self.load.leave_interval)
                    .map(|(at, next)| at + next);
            }
            self.end_runs_and_engines(now);
            if self.load.owner_lost_at.take_if(|at| now >= *at).is_some() {
                self.lose_owner(now);
            }
            if tick % REPORT_TICKS == 0 {
                let reported = self.running.iter().map(|run| run.reported(now)).collect();
                self.ledger.apply_report("n", reported, now);
            }
            self.move_runs(now);
            for outcome in self.queue.admit_waiting(&mut self.ledger, now) {
                let call = self.waiting.remove(&outcome.ticket).expect("waits");
                self.settle(call, outcome.granted, now);
            }
            while let Some((at, account, kind)) = arrivals.next_if(|arrival| arrival.0 <= now) {
                self.ask(at, account, kind, now);
            }
            now += TICK;
        }
    }

    fn ask(&mut self, arrived_at: Duration, account: String, kind: Kind, now: Duration) {
        let number = self.outcome.by_priority.values().map(|counts| counts.asked);
        let demand = RunDemand {
            run: format!("r{}", number.sum::<u32>()),
            prompt_tokens: kind.prompt_tokens,
            generated_max_tokens: kind.output_tokens * 2,
            generated_hint_tokens: Some(f64::from(kind.output_tokens)),
            priority: kind.priority,
            account: Some(account.clone()),
            ..RunDemand::default()
        };
        let call = Call {
            demand,
            account,
            kind,
            arrived_at,
        };
        self.outcome.record(&call, |counts| counts.asked += 1);
        self.enqueue(call, now);
    }

    fn enqueue(&mut self, call: Call, now: Duration) {
        let request = call.request(now);
        match self.queue.request_admission(&mut self.ledger, request, now) {
            Admission::Granted(engine) => self.settle(call, Some(engine), now),
            Admission::Refused(_) => self.settle(call, None, now),
            Admission::Queued(ticket) => {
                self.waiting.insert(ticket, call);
            }
        }
    }

    fn settle(&mut self, call: Call, granted: Option<String>, now: Duration) {
        let waited = now.saturating_sub(call.arrived_at);
        let Some(endpoint) = granted else {
            let in_vain = waited > call.kind.objective / 4;
            self.outcome.record(&call, |counts| {
                counts.refused += 1;
                counts.waited_in_vain += u32::from(in_vain);
            });
            return;
        };
        let tokens = f64::from(call.kind.prompt_tokens + call.kind.output_tokens);
        let served = tokens * call.holding().as_secs_f64();
        let is_in_time = waited <= call.kind.objective;
        self.outcome.record(&call, |counts| {
            counts.in_time += u32::from(is_in_time);
            counts.late += u32::from(!is_in_time);
            counts.served += served;
        });
        self.outcome.placements.push(endpoint.clone());
        self.running.push(Running {
            call,
            endpoint,
            started_at: now,
        });
    }

    fn give_notice(&mut self, now: Duration) {
        let open = self.engines.iter_mut().filter(|engine| engine.1.is_none());
        for engine in open.take(self.load.engines / 6) {
            engine.1 = Some(now);
        }
        self.list_engines();
    }

    fn end_runs_and_engines(&mut self, now: Duration) {
        self.running
            .retain(|run| now < run.started_at + run.call.holding());
        let has_ended =
            |engine: &(String, Option<Duration>)| engine.1.is_some_and(|at| now >= at + NOTICE);
        let ended: Vec<_> = self
            .engines
            .extract_if(.., |engine| has_ended(engine))
            .collect();
        for (id, _) in &ended {
            self.returning.push(now + REPLACED_AFTER);
            for run in self.running.extract_if(.., |run| run.endpoint == *id) {
                self.outcome.record(&run.call, |counts| counts.cut += 1);
            }
        }
        let starting = self.returning.extract_if(.., |at| now >= *at).count();
        for _ in 0..starting {
            self.engines
                .push((format!("e{}", self.engines_started), None));
            self.engines_started += 1;
        }
        if starting > 0 || !ended.is_empty() {
            self.list_engines();
        }
    }

    fn list_engines(&mut self) {
        let listed = self.engines.iter().map(|(id, notice)| ListedEngine {
            id: id.clone(),
            hall: "h".to_owned(),
            slots: 24,
            memory_tokens: 26_918,
            leaving: notice.is_some(),
            supports_migration: true,
            ..ListedEngine::default()
        });
        self.ledger.set_engines(listed.collect());
    }

    fn move_runs(&mut self, now: Duration) {
        let done: Vec<_> = self.moves.extract_if(.., |(at, _)| now >= *at).collect();
        for (_, order) in done {
            let run = self
                .running
                .iter_mut()
                .find(|run| run.call.demand.run == order.run);
            let result = run.map_or(MoveResult::RunGone, |run| {
                run.endpoint.clone_from(&order.target);
                MoveResult::Copied
            });
            self.ledger.record_move_result(&order, result, now);
        }
        let orders = self.ledger.plan_moves(now).into_iter();
        self.moves
            .extend(orders.map(|order| (now + COPY_TIME, order)));
    }

    /// The entry instances report to the next owner and ask it for what still waits.
    fn lose_owner(&mut self, now: Duration) {
        self.ledger = EngineLedger::default();
        self.queue = AdmissionQueue::default();
        self.queue.set_policy(self.load.policy.clone());
        self.list_engines();
        let reported = self.running.iter().map(|run| run.reported(now)).collect();
        self.ledger.apply_report("n", reported, now);
        for call in std::mem::take(&mut self.waiting).into_values() {
            self.enqueue(call, now);
        }
    }
}
