//! Arrivals and placements of generations by rank over the last half minute.
//!
//! It answers load that changes within seconds: how much of a higher priority is about to arrive,
//! and whether the queue moves faster than others arrive.

use std::collections::{BTreeMap, HashSet, VecDeque};
use std::time::Duration;

use super::engine_run::RunDemand;

/// Number of ranks that are told apart; the last one includes all beyond.
const RANKS: usize = 100;
/// Window of the recent rates: long enough for some tens of calls, short beside a burst.
const RECENT_WINDOW: Duration = Duration::from_secs(2);
/// Window of the usual rates: several bursts and the time between them.
const USUAL_WINDOW: Duration = Duration::from_secs(30);
/// Rates are unknown until traffic has been observed for this long.
const KNOWN_AFTER: Duration = Duration::from_millis(500);
/// Buckets of each window.
const BUCKETS: u32 = 20;

/// Sums of what was observed in some time.
#[derive(Debug, Clone, Copy, Default)]
struct Sums {
    count: f64,
    tokens: f64,
    holding_s: f64,
    token_seconds: f64,
}

impl Sums {
    fn of(demand: &RunDemand) -> Self {
        Self {
            count: 1.0,
            tokens: demand.predicted_tokens_at_start(),
            holding_s: demand.expected_holding().as_secs_f64(),
            token_seconds: demand.expected_token_seconds(),
        }
    }

    fn plus(self, other: &Self) -> Self {
        Self {
            count: self.count + other.count,
            tokens: self.tokens + other.tokens,
            holding_s: self.holding_s + other.holding_s,
            token_seconds: self.token_seconds + other.token_seconds,
        }
    }
}

/// Sums over a sliding window, in buckets.
#[derive(Debug)]
struct SlidingSums {
    window: Duration,
    /// Buckets with the index of their time, oldest first; at most one more than [`BUCKETS`].
    buckets: VecDeque<(u128, Sums)>,
}

impl SlidingSums {
    fn new(window: Duration) -> Self {
        Self {
            window,
            buckets: VecDeque::new(),
        }
    }

    fn index(&self, now: Duration) -> u128 {
        let bucket = self.window / BUCKETS;
        now.as_nanos() / bucket.as_nanos()
    }

    fn add(&mut self, added: &Sums, now: Duration) {
        let index = self.index(now);
        if self.buckets.back().is_none_or(|(last, _)| *last < index) {
            self.buckets.push_back((index, Sums::default()));
        }
        while self
            .buckets
            .front()
            .is_some_and(|(first, _)| first + u128::from(BUCKETS) < index)
        {
            self.buckets.pop_front();
        }
        if let Some((_, sums)) = self.buckets.back_mut() {
            *sums = sums.plus(added);
        }
    }

    fn sums(&self, now: Duration) -> Sums {
        let oldest = self.index(now).saturating_sub(u128::from(BUCKETS));
        let recent = self.buckets.iter().filter(|(index, _)| *index >= oldest);
        recent.fold(Sums::default(), |total, (_, sums)| total.plus(sums))
    }

    /// Returns the number of arrivals in a bucket that a quarter of the buckets since `since` do
    /// not exceed. The bucket of `now` is left out, as it is not complete.
    fn lower_quartile_count(&self, since: Duration, now: Duration) -> f64 {
        let last = self.index(now);
        let first = self
            .index(since)
            .max(last.saturating_sub(u128::from(BUCKETS)));
        let complete = usize::try_from(last - first).unwrap_or(usize::MAX);
        let in_window = self.buckets.iter();
        let in_window = in_window.filter(|(index, _)| (first..last).contains(index));
        let mut counts: Vec<f64> = in_window.map(|(_, sums)| sums.count).collect();
        counts.resize(complete.max(counts.len()), 0.0);
        counts.sort_by(f64::total_cmp);
        counts.get(counts.len() / 4).copied().unwrap_or_default()
    }
}

/// Rates and mean sizes of the generations of one priority.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct ClassRates {
    /// Arrivals per second in the last two seconds.
    pub(super) arrivals_per_s: f64,
    /// Arrivals per second outside of bursts: the lower quartile of the last half minute.
    pub(super) usual_arrivals_per_s: f64,
    /// Placements per second in the last two seconds.
    pub(super) placements_per_s: f64,
    /// Mean memory of one, in tokens.
    pub(super) mean_tokens: f64,
    /// Mean time for which one holds its memory, in seconds.
    pub(super) mean_holding_s: f64,
}

#[derive(Debug)]
struct ClassTraffic {
    recent: SlidingSums,
    usual: SlidingSums,
    placed: SlidingSums,
}

impl Default for ClassTraffic {
    fn default() -> Self {
        Self {
            recent: SlidingSums::new(RECENT_WINDOW),
            usual: SlidingSums::new(USUAL_WINDOW),
            placed: SlidingSums::new(RECENT_WINDOW),
        }
    }
}

/// Traffic of one service by priority.
#[derive(Debug, Default)]
pub(super) struct Traffic {
    /// By rank; at most [`RANKS`].
    classes: BTreeMap<usize, ClassTraffic>,
    /// Time of the first arrival; `None` before it.
    since: Option<Duration>,
    recent_runs: RecentRuns,
}

/// Generations that asked for a placement within [`RECENT_WINDOW`]. One that an engine refused asks
/// again, which is no further arrival.
#[derive(Debug, Default)]
struct RecentRuns {
    /// In order of time; the same as in `known`.
    by_time: VecDeque<(Duration, String)>,
    known: HashSet<String>,
}

impl RecentRuns {
    /// Records a request and returns whether it is the first one of its generation.
    fn record(&mut self, run: &str, now: Duration) -> bool {
        while let Some((at, _)) = self.by_time.front()
            && now.saturating_sub(*at) > RECENT_WINDOW
            && let Some((_, old)) = self.by_time.pop_front()
        {
            self.known.remove(&old);
        }
        let is_first = self.known.insert(run.to_owned());
        if is_first {
            self.by_time.push_back((now, run.to_owned()));
        }
        is_first
    }
}

/// Returns the index of a priority among those that are told apart.
pub(super) fn class_of(priority: u32) -> usize {
    usize::try_from(priority).map_or(RANKS - 1, |index| index.min(RANKS - 1))
}

impl Traffic {
    /// Records that a generation asks for a placement. Only its first request is an arrival.
    pub(super) fn record_request(&mut self, demand: &RunDemand, now: Duration) {
        if !self.recent_runs.record(&demand.run, now) {
            return;
        }
        self.since.get_or_insert(now);
        let class = self.classes.entry(class_of(demand.priority)).or_default();
        let arrival = Sums::of(demand);
        class.recent.add(&arrival, now);
        class.usual.add(&arrival, now);
    }

    /// Records a placement.
    pub(super) fn record_placement(&mut self, priority: u32, now: Duration) {
        let class = self.classes.entry(class_of(priority)).or_default();
        let placement = Sums {
            count: 1.0,
            ..Sums::default()
        };
        class.placed.add(&placement, now);
    }

    /// Returns how many times the mean token-seconds of its class's arrivals a generation is
    /// expected to take. Its own arrival has been recorded.
    pub(super) fn relative_size(&self, demand: &RunDemand, now: Duration) -> f64 {
        let class = self.classes.get(&class_of(demand.priority));
        let usual = class.map(|class| class.usual.sums(now));
        let usual = usual.filter(|usual| usual.count > 0.0);
        usual.map_or(1.0, |usual| {
            demand.expected_token_seconds() * usual.count / usual.token_seconds
        })
    }

    /// Returns the rates of a class; `None` if they are not known yet or nothing of it arrived
    /// lately.
    pub(super) fn rates(&self, class: usize, now: Duration) -> Option<ClassRates> {
        let since = self.since?;
        let observed = now.saturating_sub(since);
        if observed < KNOWN_AFTER {
            return None;
        }
        let class = self.classes.get(&class)?;
        let usual = class.usual.sums(now);
        if usual.count <= 0.0 {
            return None;
        }
        let bucket_s = (USUAL_WINDOW / BUCKETS).as_secs_f64();
        let recent_s = observed.min(RECENT_WINDOW).as_secs_f64();
        Some(ClassRates {
            arrivals_per_s: class.recent.sums(now).count / recent_s,
            usual_arrivals_per_s: class.usual.lower_quartile_count(since, now) / bucket_s,
            // One more than observed, so that a queue that has only begun to move is not given up.
            placements_per_s: (class.placed.sums(now).count + 1.0) / recent_s,
            mean_tokens: usual.tokens / usual.count,
            mean_holding_s: usual.holding_s / usual.count,
        })
    }
}
