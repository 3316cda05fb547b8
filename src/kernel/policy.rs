//! Routing policies: plug-ins that choose an endpoint for a generation. Baselines stand beside the default.

use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};
use uuid::Uuid;

use super::estimate::{HORIZONS, HORIZONS_TOKENS, Spread, Survival};

/// A model version that an engine holds.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LoadedModel {
    /// Model name.
    pub name: String,
    /// Version.
    pub version: String,
}

/// An engine's report of its load, some time ago.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Incarnation of the endpoint.
    pub incarnation: Uuid,
    /// Whether the endpoint is leaving.
    #[serde(default)]
    pub leaving: bool,
    /// Generations being decoded.
    pub running: u32,
    /// Generations waiting in the engine.
    pub waiting: u32,
    /// Memory in use, in tokens.
    pub kv_used_tokens: u64,
    /// Memory in all, in tokens.
    pub kv_capacity_tokens: u64,
    /// Preemptions since the start.
    pub preemptions_total: u64,
    /// Models loaded.
    #[serde(default)]
    pub models: Vec<LoadedModel>,
}

/// What the owner of a group knows exactly about an endpoint, because it granted it.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize)]
pub struct InFlight {
    /// Streams granted and not released.
    pub streams: u32,
    /// Prompt and output tokens held now, as last reported by the entries.
    pub held_tokens: f64,
    /// Prompt tokens plus declared maximum.
    pub declared_tokens: f64,
    /// Expected tokens still to come.
    pub residual_mean_tokens: f64,
    /// Variance of the tokens still to come.
    pub residual_variance: f64,
    /// Expected tokens held once each stream that still runs has made so many more, by horizon.
    pub profile_mean_tokens: [f64; HORIZONS],
    /// Variance of the same.
    pub profile_variance: [f64; HORIZONS],
}

/// What is known of one stream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StreamSize {
    /// Prompt, in tokens.
    pub prompt_tokens: u32,
    /// Tokens made.
    pub made_tokens: u32,
    /// Declared maximum, in tokens.
    pub max_tokens: u32,
    /// What is expected to come.
    pub residual: Spread,
    /// Probability that it still runs, by horizon.
    pub survival: Survival,
}

impl InFlight {
    /// Adds one stream.
    pub fn add(&mut self, stream: &StreamSize) {
        let held = f64::from(stream.prompt_tokens) + f64::from(stream.made_tokens);
        self.streams += 1;
        self.held_tokens += held;
        self.declared_tokens += f64::from(stream.prompt_tokens) + f64::from(stream.max_tokens);
        self.residual_mean_tokens += stream.residual.mean_tokens;
        self.residual_variance += stream.residual.variance;
        for (index, runs) in stream.survival.iter().enumerate() {
            let then = held + f64::from(HORIZONS_TOKENS[index]);
            self.profile_mean_tokens[index] += runs * then;
            self.profile_variance[index] += runs * (1.0 - runs) * then * then;
        }
    }

    /// Highest memory over the horizons: streams that end give theirs back while others grow.
    #[must_use]
    pub fn predicted_peak_tokens(&self, sigmas: f64) -> f64 {
        let variances = self.profile_variance.iter();
        let at_horizons = self.profile_mean_tokens.iter().zip(variances);
        at_horizons
            .map(|(mean, variance)| mean + sigmas * variance.sqrt())
            .fold(0.0, f64::max)
    }

    /// Tokens held once the streams have grown by what is expected, plus a number of standard deviations.
    #[must_use]
    pub fn predicted_tokens(&self, sigmas: f64) -> f64 {
        self.held_tokens + self.residual_mean_tokens + sigmas * self.residual_variance.sqrt()
    }
}

/// An endpoint that a policy may choose.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// Name.
    pub name: &'a str,
    /// Memory, in tokens.
    pub capacity_tokens: f64,
    /// Its last report, if any came.
    pub report: Option<&'a LoadReport>,
    /// What the owner granted; empty where an entry chooses alone.
    pub in_flight: InFlight,
    /// Share of the memory that predicted tokens may fill; follows the preemptions seen.
    pub fill_limit: f64,
    /// Prompt tokens that the endpoint's prefix cache is believed to hold.
    pub cached_prefix_tokens: u32,
}

/// What a generation asks for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Demand {
    /// Prompt, in tokens.
    pub prompt_tokens: u32,
    /// Declared maximum of the output, in tokens.
    pub max_tokens: u32,
    /// What the output is expected to be.
    pub residual: Spread,
    /// Probability that it still runs, by horizon.
    pub survival: Survival,
}

impl Demand {
    /// The stream that it would start.
    fn stream(&self) -> StreamSize {
        StreamSize {
            prompt_tokens: self.prompt_tokens,
            made_tokens: 0,
            max_tokens: self.max_tokens,
            residual: self.residual,
            survival: self.survival,
        }
    }
}

/// Who applies the policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PolicyScope {
    /// Each entry alone, on lagging reports.
    Entry,
    /// The group's owner, on what it granted.
    Group,
}

/// Chooses an endpoint.
pub trait RoutingPolicy: Send + Sync {
    /// Name in the settings.
    fn name(&self) -> &'static str;
    /// Who applies it.
    fn scope(&self) -> PolicyScope;
    /// Index of the chosen candidate; `None` where none has room.
    fn choose(
        &self,
        candidates: &[Candidate<'_>],
        demand: &Demand,
        random: &mut dyn Rng,
    ) -> Option<usize>;
}

/// A registered policy.
pub struct PolicyPlugin {
    /// Name in the settings.
    pub name: &'static str,
    /// Makes an instance.
    pub build: fn() -> Box<dyn RoutingPolicy>,
}

inventory::collect!(PolicyPlugin);

/// Names of the registered policies, sorted.
#[must_use]
pub fn names() -> Vec<&'static str> {
    let mut names: Vec<_> = inventory::iter::<PolicyPlugin>()
        .map(|plugin| plugin.name)
        .collect();
    names.sort_unstable();
    names
}

/// Builds a policy by name.
#[must_use]
pub fn build(name: &str) -> Option<Box<dyn RoutingPolicy>> {
    inventory::iter::<PolicyPlugin>()
        .find(|plugin| plugin.name == name)
        .map(|plugin| (plugin.build)())
}

fn lowest(candidates: &[Candidate<'_>], score: impl Fn(&Candidate<'_>) -> f64) -> Option<usize> {
    (0..candidates.len())
        .min_by(|&left, &right| score(&candidates[left]).total_cmp(&score(&candidates[right])))
}

struct Random;

impl RoutingPolicy for Random {
    fn name(&self) -> &'static str {
        "random"
    }

    fn scope(&self) -> PolicyScope {
        PolicyScope::Entry
    }

    fn choose(
        &self,
        candidates: &[Candidate<'_>],
        _: &Demand,
        random: &mut dyn Rng,
    ) -> Option<usize> {
        (!candidates.is_empty()).then(|| random.random_range(0..candidates.len()))
    }
}

struct LeastLoaded;

impl RoutingPolicy for LeastLoaded {
    fn name(&self) -> &'static str {
        "least_loaded"
    }

    fn scope(&self) -> PolicyScope {
        PolicyScope::Entry
    }

    fn choose(
        &self,
        candidates: &[Candidate<'_>],
        _: &Demand,
        random: &mut dyn Rng,
    ) -> Option<usize> {
        let fill = |candidate: &Candidate<'_>| {
            candidate.report.map_or(0.0, |report| {
                f64::from(report.waiting)
                    + tokens_as_f64(report.kv_used_tokens) / candidate.capacity_tokens
            })
        };
        let least = lowest(candidates, fill)?;
        let least_fill = fill(&candidates[least]);
        let tied: Vec<usize> = (0..candidates.len())
            .filter(|&index| fill(&candidates[index]) <= least_fill)
            .collect();
        Some(tied[random.random_range(0..tied.len())])
    }
}

/// A count of tokens as a float; exact below 2^53.
#[must_use]
#[expect(
    clippy::cast_precision_loss,
    reason = "token counts stay far below 2^53"
)]
pub fn tokens_as_f64(tokens: u64) -> f64 {
    tokens as f64
}

/// The owner's exact view without any admission: the least held memory, always admitted.
struct LeastInFlight;

impl RoutingPolicy for LeastInFlight {
    fn name(&self) -> &'static str {
        "least_in_flight"
    }

    fn scope(&self) -> PolicyScope {
        PolicyScope::Group
    }

    fn choose(&self, candidates: &[Candidate<'_>], _: &Demand, _: &mut dyn Rng) -> Option<usize> {
        lowest(candidates, |candidate| {
            candidate.in_flight.held_tokens / candidate.capacity_tokens
        })
    }
}

/// Admits by the declared maximum.
struct FixedReservation;

impl RoutingPolicy for FixedReservation {
    fn name(&self) -> &'static str {
        "fixed_reservation"
    }

    fn scope(&self) -> PolicyScope {
        PolicyScope::Group
    }

    fn choose(
        &self,
        candidates: &[Candidate<'_>],
        demand: &Demand,
        _: &mut dyn Rng,
    ) -> Option<usize> {
        let own = f64::from(demand.prompt_tokens) + f64::from(demand.max_tokens);
        let filled = |candidate: &Candidate<'_>| {
            (candidate.in_flight.declared_tokens + own) / candidate.capacity_tokens
        };
        let least = lowest(candidates, filled)?;
        let empty = candidates[least].in_flight.streams == 0;
        (empty || filled(&candidates[least]) <= 1.0).then_some(least)
    }
}

/// Standard deviations of the predicted memory that are kept free.
const SIGMAS: f64 = 1.0;
/// Fill that a cached prefix of the whole memory would be worth.
const PREFIX_WEIGHT: f64 = 0.5;

/// Chooses the least predicted fill among the candidates that stay within their fill limit.
fn choose_by_fill(
    candidates: &[Candidate<'_>],
    demand: &Demand,
    predicted_tokens: fn(&InFlight) -> f64,
) -> Option<usize> {
    let filled = |candidate: &Candidate<'_>| {
        let mut after = candidate.in_flight;
        after.add(&demand.stream());
        predicted_tokens(&after) / candidate.capacity_tokens
    };
    let fits = |candidate: &Candidate<'_>| {
        candidate.in_flight.streams == 0 || filled(candidate) <= candidate.fill_limit
    };
    let score = |candidate: &Candidate<'_>| {
        if !fits(candidate) {
            return f64::INFINITY;
        }
        let saved = f64::from(candidate.cached_prefix_tokens) / candidate.capacity_tokens;
        filled(candidate) - PREFIX_WEIGHT * saved
    };
    let least = lowest(candidates, score)?;
    fits(&candidates[least]).then_some(least)
}

/// Admits by the sum of predicted residual lengths, as though all streams reached their end at once.
struct Residual;

impl RoutingPolicy for Residual {
    fn name(&self) -> &'static str {
        "residual"
    }

    fn scope(&self) -> PolicyScope {
        PolicyScope::Group
    }

    fn choose(
        &self,
        candidates: &[Candidate<'_>],
        demand: &Demand,
        _: &mut dyn Rng,
    ) -> Option<usize> {
        choose_by_fill(candidates, demand, |in_flight| {
            in_flight.predicted_tokens(SIGMAS)
        })
    }
}

/// Admits by the predicted course of memory: streams that end give theirs back while others grow.
struct Profile;

impl RoutingPolicy for Profile {
    fn name(&self) -> &'static str {
        "profile"
    }

    fn scope(&self) -> PolicyScope {
        PolicyScope::Group
    }

    fn choose(
        &self,
        candidates: &[Candidate<'_>],
        demand: &Demand,
        _: &mut dyn Rng,
    ) -> Option<usize> {
        choose_by_fill(candidates, demand, |in_flight| {
            in_flight.predicted_peak_tokens(SIGMAS)
        })
    }
}

inventory::submit! { PolicyPlugin { name: "profile", build: || Box::new(Profile) } }
inventory::submit! { PolicyPlugin { name: "random", build: || Box::new(Random) } }
inventory::submit! { PolicyPlugin { name: "least_loaded", build: || Box::new(LeastLoaded) } }
inventory::submit! { PolicyPlugin { name: "least_in_flight", build: || Box::new(LeastInFlight) } }
inventory::submit! { PolicyPlugin { name: "fixed_reservation", build: || Box::new(FixedReservation) } }
inventory::submit! { PolicyPlugin { name: "residual", build: || Box::new(Residual) } }
