//! Routing policies: plug-ins that choose an endpoint for a generation. `profile` is the default;
//! the others are baselines to compare with.

use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};
use uuid::Uuid;

use super::length_estimates::{HORIZONS, HORIZONS_TOKENS, Survival, TokenStats};

/// A model version that is loaded on an engine.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LoadedModel {
    /// Name of the model.
    pub name: String,
    /// Version of the model.
    pub version: String,
}

/// A load report of an engine. It lags behind the present load.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Incarnation of the endpoint.
    pub incarnation: Uuid,
    /// Whether the endpoint is draining.
    #[serde(default)]
    pub leaving: bool,
    /// Number of generations being decoded.
    pub running: u32,
    /// Number of generations queued in the engine.
    pub waiting: u32,
    /// KV-cache memory in use, in tokens.
    pub kv_used_tokens: u64,
    /// Total KV-cache memory, in tokens.
    pub kv_capacity_tokens: u64,
    /// Preemptions since this incarnation started.
    pub preemptions_total: u64,
    /// Models that are loaded.
    #[serde(default)]
    pub models: Vec<LoadedModel>,
}

/// Totals over the streams that the owner of a group has granted on one endpoint.
///
/// Unlike a [`LoadReport`], they include a grant as soon as it is made.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize)]
pub struct InFlight {
    /// Number of streams granted and not released.
    pub streams: u32,
    /// Prompt and output tokens held in memory, from the progress reports of the entries.
    pub held_tokens: f64,
    /// Prompt tokens plus the declared maximum of the output.
    pub declared_tokens: f64,
    /// Expected number of tokens still to be generated.
    pub residual_mean_tokens: f64,
    /// Variance of the number of tokens still to be generated.
    pub residual_variance: f64,
    /// Expected tokens held after every stream that is still running has generated as many further
    /// tokens as [`HORIZONS_TOKENS`] says, by horizon.
    pub profile_mean_tokens: [f64; HORIZONS],
    /// Variance of `profile_mean_tokens`, by horizon.
    pub profile_variance: [f64; HORIZONS],
}

/// Known and predicted size of one stream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StreamSize {
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Tokens generated so far.
    pub generated_tokens: u32,
    /// Declared maximum length of the output, in tokens.
    pub max_tokens: u32,
    /// Estimate of the tokens still to be generated.
    pub residual: TokenStats,
    /// Probability that the stream is still running, by horizon.
    pub survival: Survival,
}

impl InFlight {
    /// Adds one stream to the totals.
    pub fn add(&mut self, stream: &StreamSize) {
        let held_tokens = f64::from(stream.prompt_tokens) + f64::from(stream.generated_tokens);
        self.streams += 1;
        self.held_tokens += held_tokens;
        self.declared_tokens += f64::from(stream.prompt_tokens) + f64::from(stream.max_tokens);
        self.residual_mean_tokens += stream.residual.mean_tokens;
        self.residual_variance += stream.residual.variance;
        for (index, survival) in stream.survival.iter().enumerate() {
            let held_then = held_tokens + f64::from(HORIZONS_TOKENS[index]);
            self.profile_mean_tokens[index] += survival * held_then;
            self.profile_variance[index] += survival * (1.0 - survival) * held_then * held_then;
        }
    }

    /// Returns the predicted peak memory use over the horizons, plus `sigmas` standard deviations.
    ///
    /// Takes into account that streams which finish release their memory while others grow.
    #[must_use]
    pub fn predicted_peak_tokens(&self, sigmas: f64) -> f64 {
        let variances = self.profile_variance.iter();
        let at_horizons = self.profile_mean_tokens.iter().zip(variances);
        at_horizons
            .map(|(mean, variance)| mean + sigmas * variance.sqrt())
            .fold(0.0, f64::max)
    }

    /// Returns the tokens held when every stream has reached its expected length, plus `sigmas`
    /// standard deviations.
    #[must_use]
    pub fn predicted_tokens(&self, sigmas: f64) -> f64 {
        self.held_tokens + self.residual_mean_tokens + sigmas * self.residual_variance.sqrt()
    }
}

/// An endpoint that a policy may choose.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// Name of the endpoint.
    pub name: &'a str,
    /// KV-cache capacity, in tokens.
    pub capacity_tokens: f64,
    /// Last load report, if any was received.
    pub report: Option<&'a LoadReport>,
    /// Streams granted by the owner; empty if an entry chooses alone.
    pub in_flight: InFlight,
    /// Fraction of the memory that predicted tokens may fill; adapted to the observed preemptions.
    pub fill_limit: f64,
    /// Prompt tokens that the prefix cache of the endpoint is assumed to hold.
    pub cached_prefix_tokens: u32,
}

/// Known and predicted size of a generation that is to be placed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GenerationSize {
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Declared maximum length of the output, in tokens.
    pub max_tokens: u32,
    /// Estimate of the output length.
    pub residual: TokenStats,
    /// Probability that the generation is still running, by horizon.
    pub survival: Survival,
}

impl GenerationSize {
    /// Returns the size of the stream that this generation would start.
    fn initial_stream_size(&self) -> StreamSize {
        StreamSize {
            prompt_tokens: self.prompt_tokens,
            generated_tokens: 0,
            max_tokens: self.max_tokens,
            residual: self.residual,
            survival: self.survival,
        }
    }
}

/// Where a policy is applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PolicyScope {
    /// By each entry (the instance that streams to the caller) alone, based on lagging load
    /// reports.
    Entry,
    /// By the owner of the group, based on its own grants.
    Group,
}

/// Chooses an endpoint for a generation.
pub trait RoutingPolicy: Send + Sync {
    /// Returns the name used in the settings.
    fn name(&self) -> &'static str;
    /// Returns where the policy is applied.
    fn scope(&self) -> PolicyScope;
    /// Returns the index of the chosen candidate, or `None` if none has enough free capacity.
    fn choose(
        &self,
        candidates: &[Candidate<'_>],
        generation: &GenerationSize,
        random: &mut dyn Rng,
    ) -> Option<usize>;
}

/// A registered policy.
pub struct PolicyPlugin {
    /// Name used in the settings.
    pub name: &'static str,
    /// Creates the policy.
    pub build: fn() -> Box<dyn RoutingPolicy>,
}

inventory::collect!(PolicyPlugin);

/// Returns the names of the registered policies, sorted.
#[must_use]
pub fn names() -> Vec<&'static str> {
    let mut names: Vec<_> = inventory::iter::<PolicyPlugin>()
        .map(|plugin| plugin.name)
        .collect();
    names.sort_unstable();
    names
}

/// Creates a policy by name, or returns `None` if no policy with that name is registered.
#[must_use]
pub fn build(name: &str) -> Option<Box<dyn RoutingPolicy>> {
    inventory::iter::<PolicyPlugin>()
        .find(|plugin| plugin.name == name)
        .map(|plugin| (plugin.build)())
}

/// Returns the index of the candidate with the lowest score.
fn index_of_lowest(
    candidates: &[Candidate<'_>],
    score: impl Fn(&Candidate<'_>) -> f64,
) -> Option<usize> {
    (0..candidates.len())
        .min_by(|&left, &right| score(&candidates[left]).total_cmp(&score(&candidates[right])))
}

/// Chooses a candidate at random.
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
        _: &GenerationSize,
        random: &mut dyn Rng,
    ) -> Option<usize> {
        (!candidates.is_empty()).then(|| random.random_range(0..candidates.len()))
    }
}

/// Chooses the candidate with the lowest reported load; ties are broken at random.
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
        _: &GenerationSize,
        random: &mut dyn Rng,
    ) -> Option<usize> {
        let load = |candidate: &Candidate<'_>| {
            candidate.report.map_or(0.0, |report| {
                f64::from(report.waiting)
                    + tokens_as_f64(report.kv_used_tokens) / candidate.capacity_tokens
            })
        };
        let least = index_of_lowest(candidates, load)?;
        let least_load = load(&candidates[least]);
        let tied: Vec<usize> = (0..candidates.len())
            .filter(|&index| load(&candidates[index]) <= least_load)
            .collect();
        Some(tied[random.random_range(0..tied.len())])
    }
}

/// Converts a token count to a float; exact below 2^53.
#[must_use]
#[expect(
    clippy::cast_precision_loss,
    reason = "token counts stay far below 2^53"
)]
pub fn tokens_as_f64(tokens: u64) -> f64 {
    tokens as f64
}

/// Chooses the candidate with the least memory in use according to the owner's grants, without
/// admission control.
struct LeastInFlight;

impl RoutingPolicy for LeastInFlight {
    fn name(&self) -> &'static str {
        "least_in_flight"
    }

    fn scope(&self) -> PolicyScope {
        PolicyScope::Group
    }

    fn choose(
        &self,
        candidates: &[Candidate<'_>],
        _: &GenerationSize,
        _: &mut dyn Rng,
    ) -> Option<usize> {
        index_of_lowest(candidates, |candidate| {
            candidate.in_flight.held_tokens / candidate.capacity_tokens
        })
    }
}

/// Admits a generation if the declared maximum lengths of all streams fit into memory.
///
/// An endpoint without streams always admits.
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
        generation: &GenerationSize,
        _: &mut dyn Rng,
    ) -> Option<usize> {
        let own_tokens = f64::from(generation.prompt_tokens) + f64::from(generation.max_tokens);
        let declared_fill = |candidate: &Candidate<'_>| {
            (candidate.in_flight.declared_tokens + own_tokens) / candidate.capacity_tokens
        };
        let least = index_of_lowest(candidates, declared_fill)?;
        let is_empty = candidates[least].in_flight.streams == 0;
        (is_empty || declared_fill(&candidates[least]) <= 1.0).then_some(least)
    }
}

/// Headroom added to the predicted memory use, in standard deviations.
const HEADROOM_SIGMAS: f64 = 1.0;
/// Reduction of the predicted fill, in the score of a candidate, per fraction of its memory that
/// holds a cached prefix of the prompt.
const CACHED_PREFIX_WEIGHT: f64 = 0.5;

/// Chooses the candidate with the lowest predicted fill, less a bonus for cached prompt tokens,
/// among those that stay within their fill limit or have no streams.
fn choose_by_predicted_fill(
    candidates: &[Candidate<'_>],
    generation: &GenerationSize,
    predicted_tokens: fn(&InFlight) -> f64,
) -> Option<usize> {
    let predicted_fill = |candidate: &Candidate<'_>| {
        let mut in_flight = candidate.in_flight;
        in_flight.add(&generation.initial_stream_size());
        predicted_tokens(&in_flight) / candidate.capacity_tokens
    };
    let fits = |candidate: &Candidate<'_>| {
        candidate.in_flight.streams == 0 || predicted_fill(candidate) <= candidate.fill_limit
    };
    let score = |candidate: &Candidate<'_>| {
        if !fits(candidate) {
            return f64::INFINITY;
        }
        let cached_fill = f64::from(candidate.cached_prefix_tokens) / candidate.capacity_tokens;
        predicted_fill(candidate) - CACHED_PREFIX_WEIGHT * cached_fill
    };
    let least = index_of_lowest(candidates, score)?;
    fits(&candidates[least]).then_some(least)
}

/// Admits by the sum of the predicted final lengths, as if all streams finished at the same time.
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
        generation: &GenerationSize,
        _: &mut dyn Rng,
    ) -> Option<usize> {
        choose_by_predicted_fill(candidates, generation, |in_flight| {
            in_flight.predicted_tokens(HEADROOM_SIGMAS)
        })
    }
}

/// Admits by the predicted peak of memory use over time: streams that finish release their memory
/// while others grow.
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
        generation: &GenerationSize,
        _: &mut dyn Rng,
    ) -> Option<usize> {
        choose_by_predicted_fill(candidates, generation, |in_flight| {
            in_flight.predicted_peak_tokens(HEADROOM_SIGMAS)
        })
    }
}

inventory::submit! { PolicyPlugin { name: "profile", build: || Box::new(Profile) } }
inventory::submit! { PolicyPlugin { name: "random", build: || Box::new(Random) } }
inventory::submit! { PolicyPlugin { name: "least_loaded", build: || Box::new(LeastLoaded) } }
inventory::submit! { PolicyPlugin { name: "least_in_flight", build: || Box::new(LeastInFlight) } }
inventory::submit! { PolicyPlugin { name: "fixed_reservation", build: || Box::new(FixedReservation) } }
inventory::submit! { PolicyPlugin { name: "residual", build: || Box::new(Residual) } }
