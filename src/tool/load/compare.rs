//! Compares routing policies: runs the same seeded arrivals against identical engines, one policy
//! after the other.

use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::arrivals::{ACCOUNTS, Mix, PlannedRequest, engine_capacity_per_s, poisson_arrivals};
use super::overhead::micros;
use super::stream::{MODEL, StreamMeasurement, StreamOutcome, Target, drive_stream};
use crate::endpoint::no_retry_client;
use crate::kernel::clock::SystemClock;
use crate::kernel::policy::LoadedModel;
use crate::log_service::{self, Platform};
use crate::settings::Settings;
use crate::standin::engine::{EngineFaults, EngineSettings, RunningEngine, run as run_engine};
use crate::standin::engine_core::EngineSpec;
use crate::standin::platform::PlatformCore;
use crate::tool::check::parse_objects;
use crate::tool::publish::{PublishOutcome, PublishRequest, publish};
use crate::{App, any_loopback_port};

/// What to compare.
#[derive(Debug, Clone)]
pub struct CompareOptions {
    /// Names of the routing policies to compare.
    pub policies: Vec<String>,
    /// Loads to run, in percent of the engines' capacity.
    pub loads_percent: Vec<u32>,
    /// Seeds of the arrivals. Each load runs once per seed.
    pub seeds: Vec<u64>,
    /// Time in which requests arrive, per run.
    pub duration: Duration,
    /// Request mix.
    pub mix: Mix,
    /// Number of engines.
    pub engines: usize,
    /// Number of instances that accept requests.
    pub entries: usize,
    /// Delay of the engines' load reports.
    pub report_lag: Duration,
}

/// Returns the engine parameters of the comparison. The engine is small, so that its KV-cache
/// memory is the bottleneck.
#[must_use]
pub fn engine_spec() -> EngineSpec {
    EngineSpec {
        kv_capacity_tokens: 5_000,
        batch_max: 64,
        step_us: 4_000,
        step_per_sequence_us: 50,
        prefill_tokens_per_ms: 50,
        ..EngineSpec::default()
    }
}

/// Measurements of one run.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RunMetrics {
    /// Name of the routing policy.
    pub policy: String,
    /// Load, in percent of the engines' capacity.
    pub load_percent: u32,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Number of requests sent.
    pub requests: usize,
    /// Requests refused before the first token.
    pub refused: usize,
    /// Requests that failed in any other way.
    pub failed: usize,
    /// Sum of the stall times of all streams, in milliseconds.
    pub stall_sum_ms: u64,
    /// 99th percentile of the stall time per stream, in milliseconds.
    pub stall_p99_ms: u64,
    /// Preemptions per 1,000 started generations.
    pub preemptions_per_1000: f64,
    /// 99th percentile of the time between tokens, in microseconds.
    pub gap_p99_us: u64,
    /// 99.9th percentile of the time between tokens, in microseconds.
    pub gap_p999_us: u64,
    /// 95th percentile of the time to the first token, in milliseconds.
    pub first_token_p95_ms: u64,
    /// Tokens per second of completed streams, counted while requests arrive.
    pub useful_tokens_per_s: f64,
    /// 99th percentile of the time between tokens for all accounts but the first, in microseconds.
    #[serde(rename = "others_gap_p99_us")]
    pub other_accounts_gap_p99_us: u64,
    /// 99th percentile of the time to the first token for all accounts but the first, in
    /// milliseconds.
    #[serde(rename = "others_first_token_p99_ms")]
    pub other_accounts_first_token_p99_ms: u64,
    /// 99th percentile of the time between tokens for the first account, in microseconds.
    #[serde(rename = "first_gap_p99_us")]
    pub first_account_gap_p99_us: u64,
    /// 99th percentile of the time to the first token for the first account, in milliseconds.
    #[serde(rename = "first_first_token_p99_ms")]
    pub first_account_first_token_p99_ms: u64,
}

/// Runs the whole comparison and calls `progress` with the metrics of each run as it ends.
///
/// # Errors
/// Fails if a run cannot be set up or its metrics cannot be computed.
pub async fn run(
    options: &CompareOptions,
    mut progress: impl FnMut(&RunMetrics),
) -> anyhow::Result<Vec<RunMetrics>> {
    let capacity_per_s = engine_capacity_per_s(options.mix, &engine_spec());
    let engines = f64::from(u32::try_from(options.engines)?);
    let mut metrics = Vec::new();
    for &load_percent in &options.loads_percent {
        let per_s = capacity_per_s * engines * f64::from(load_percent) / 100.0;
        for &seed in &options.seeds {
            let arrivals = poisson_arrivals(options.mix, per_s, options.duration, seed);
            for policy in &options.policies {
                let mut run = run_policy(options, policy, &arrivals)
                    .await
                    .with_context(|| format!("policy {policy}"))?;
                run.load_percent = load_percent;
                run.seed = seed;
                progress(&run);
                metrics.push(run);
            }
        }
    }
    Ok(metrics)
}

/// The running processes of one comparison run.
struct TestSite {
    engines: Vec<RunningEngine>,
    apps: Vec<App>,
}

fn account_key(account: usize) -> String {
    format!("{}-key", ACCOUNTS[account])
}

/// Builds the configuration: one hall, one model, and an account and a rule for each of
/// [`ACCOUNTS`].
fn config_objects(mix: Mix, engines: &[RunningEngine]) -> serde_json::Value {
    let mut objects = vec![
        serde_json::json!({"kind": "hall", "name": "h", "region": "r"}),
        serde_json::json!({"kind": "model", "name": MODEL, "version": "1", "weights_bytes": 1,
            "max_output_tokens": super::arrivals::LENGTH_MAX_TOKENS, "replicas_per_hall": engines.len()}),
    ];
    for (index, name) in ACCOUNTS.iter().enumerate() {
        let key = blake3::hash(account_key(index).as_bytes())
            .to_hex()
            .to_string();
        objects
            .push(serde_json::json!({"kind": "client_account", "name": name, "key_blake3": key}));
        objects.push(
            serde_json::json!({"kind": "rule", "name": name, "priority": mix.priority(index),
            "accounts": {"equals": {"account": name}}}),
        );
    }
    let capacity = engine_spec().kv_capacity_tokens;
    for (index, engine) in engines.iter().enumerate() {
        objects.push(
            serde_json::json!({"kind": "endpoint", "name": format!("e{index}"), "hall": "h",
            "address": engine.server.address.to_string(), "type": "engine",
            "kv_capacity_tokens": capacity, "checks_fence": true}),
        );
    }
    serde_json::json!({ "objects": objects })
}

async fn start_engine(index: usize, report_lag: Duration) -> anyhow::Result<RunningEngine> {
    let running = run_engine(EngineSettings {
        name: format!("e{index}"),
        address: any_loopback_port(),
        control: any_loopback_port(),
        platform: None,
        spec: engine_spec(),
        models: vec![LoadedModel {
            name: MODEL.to_owned(),
            version: "1".to_owned(),
        }],
        checks_fence: true,
    })
    .await?;
    running.engine.set_faults(EngineFaults {
        load_lag_ms: crate::kernel::clock::millis(report_lag),
        ..EngineFaults::default()
    });
    Ok(running)
}

fn entry_settings(index: usize, policy: &str) -> anyhow::Result<Settings> {
    let settings = serde_json::json!({
        "instance": format!("i{index}"), "hall": "h", "policy": policy,
        "caller_address": any_loopback_port(), "operator_address": any_loopback_port(),
        "peer_address": any_loopback_port(), "platform": {"plugin": "embedded"},
        "times": {"config_poll_ms": 100, "heartbeat_ms": 200, "list_poll_ms": 200, "load_poll_ms": 100,
            "resume_ms": 1000},
    });
    Ok(serde_json::from_value(settings)?)
}

async fn set_up(options: &CompareOptions, policy: &str) -> anyhow::Result<TestSite> {
    let core = Arc::new(PlatformCore::new(Arc::new(SystemClock::default())));
    let platform: Platform = log_service::embedded(core);
    let mut engines = Vec::new();
    for index in 0..options.engines {
        engines.push(start_engine(index, options.report_lag).await?);
    }
    let objects = config_objects(options.mix, &engines).to_string();
    let request = PublishRequest {
        objects: parse_objects("objects", &objects)?,
        deletes: Vec::new(),
        publisher: String::new(),
        publish_id: None,
        wait: Duration::from_secs(5),
    };
    let outcome = publish(&platform, &request).await;
    anyhow::ensure!(
        matches!(outcome, PublishOutcome::Accepted { .. }),
        "the configuration is not in force: {outcome:?}"
    );
    let mut apps = Vec::new();
    for index in 0..options.entries {
        apps.push(
            App::start_with_platform(entry_settings(index, policy)?, platform.clone()).await?,
        );
    }
    // Give heartbeats, load reports and engine groups time to converge.
    tokio::time::sleep(Duration::from_secs(3)).await;
    Ok(TestSite { engines, apps })
}

async fn run_policy(
    options: &CompareOptions,
    policy: &str,
    arrivals: &[PlannedRequest],
) -> anyhow::Result<RunMetrics> {
    let site = set_up(options, policy).await?;
    let client = no_retry_client(Duration::from_secs(1))?;
    let keys: Vec<String> = (0..ACCOUNTS.len()).map(account_key).collect();
    let start = Instant::now();
    let mut streams = Vec::new();
    for (index, arrival) in arrivals.iter().enumerate() {
        tokio::time::sleep_until(start + arrival.arrival_offset).await;
        let entry = &site.apps[index % site.apps.len()];
        let target = Target::Entry {
            address: entry.addresses().caller.to_string(),
            keys: keys.clone(),
        };
        let stream = drive_stream(client.clone(), target, arrival.clone(), options.mix, start);
        streams.push(tokio::spawn(stream));
    }
    let finished = futures::future::join_all(streams).await;
    let measured: Vec<StreamMeasurement> = finished.into_iter().filter_map(Result::ok).collect();
    let preemptions: u64 = site
        .engines
        .iter()
        .map(|running| running.engine.current_load().preemptions_total)
        .sum();
    let metrics = compute_metrics(policy, &measured, preemptions, options.duration)?;
    tear_down(site).await;
    Ok(metrics)
}

async fn tear_down(site: TestSite) {
    let apps = site.apps.into_iter().map(App::abort);
    let engines = site.engines.into_iter().map(RunningEngine::stop);
    futures::join!(
        futures::future::join_all(apps),
        futures::future::join_all(engines)
    );
}

/// Latency samples of a set of streams.
#[derive(Default)]
struct LatencySamples {
    gaps_us: Vec<u64>,
    first_token_ms: Vec<u64>,
}

fn quantile(values: &[u64], quantile: f64) -> anyhow::Result<u64> {
    let mut histogram: Histogram<u64> = Histogram::new(3)?;
    for value in values {
        histogram.record(*value)?;
    }
    Ok(histogram.value_at_quantile(quantile))
}

fn compute_metrics(
    policy: &str,
    measured: &[StreamMeasurement],
    preemptions: u64,
    duration: Duration,
) -> anyhow::Result<RunMetrics> {
    let started: Vec<&StreamMeasurement> = measured
        .iter()
        .filter(|stream| stream.first_token.is_some())
        .collect();
    let count = |outcome| {
        measured
            .iter()
            .filter(|stream| stream.outcome == outcome)
            .count()
    };
    let stalls: Vec<u64> = started
        .iter()
        .map(|stream| micros(stream.total_stall()) / 1000)
        .collect();
    let mut all = LatencySamples::default();
    let mut first_account = LatencySamples::default();
    let mut other_accounts = LatencySamples::default();
    for stream in &started {
        let account_samples = if stream.account == 0 {
            &mut first_account
        } else {
            &mut other_accounts
        };
        for samples in [&mut all, account_samples] {
            samples
                .gaps_us
                .extend(stream.gaps.iter().map(|gap| micros(*gap)));
            samples
                .first_token_ms
                .extend(stream.first_token.map(|time| micros(time) / 1000));
        }
    }
    let completed = measured
        .iter()
        .filter(|stream| stream.outcome == StreamOutcome::Done);
    let useful_tokens = completed
        .flat_map(|stream| &stream.token_times)
        .filter(|at| **at <= duration);
    let useful_tokens = f64::from(u32::try_from(useful_tokens.count())?);
    let started_count = f64::from(u32::try_from(started.len())?).max(1.0);
    Ok(RunMetrics {
        policy: policy.to_owned(),
        load_percent: 0,
        seed: 0,
        requests: measured.len(),
        refused: count(StreamOutcome::Refused),
        failed: count(StreamOutcome::Failed),
        stall_sum_ms: stalls.iter().sum(),
        stall_p99_ms: quantile(&stalls, 0.99)?,
        preemptions_per_1000: f64::from(u32::try_from(preemptions)?) * 1000.0 / started_count,
        gap_p99_us: quantile(&all.gaps_us, 0.99)?,
        gap_p999_us: quantile(&all.gaps_us, 0.999)?,
        first_token_p95_ms: quantile(&all.first_token_ms, 0.95)?,
        useful_tokens_per_s: useful_tokens / duration.as_secs_f64(),
        other_accounts_gap_p99_us: quantile(&other_accounts.gaps_us, 0.99)?,
        other_accounts_first_token_p99_ms: quantile(&other_accounts.first_token_ms, 0.99)?,
        first_account_gap_p99_us: quantile(&first_account.gaps_us, 0.99)?,
        first_account_first_token_p99_ms: quantile(&first_account.first_token_ms, 0.99)?,
    })
}
