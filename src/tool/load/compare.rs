//! Compares routing policies: the same seeded arrivals against the same kind of engines, one policy after the other.

use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::arrivals::{ACCOUNTS, ArrivalPlan, Mix, carried_per_s, plan};
use super::overhead::micros;
use super::stream::{MODEL, StreamEnd, StreamMeasured, Target, drive};
use crate::endpoint::plain_client;
use crate::kernel::clock::SystemClock;
use crate::kernel::policy::LoadedModel;
use crate::log_service::{self, Platform};
use crate::settings::Settings;
use crate::standin::engine::{EngineFaults, EngineSettings, RunningEngine, run as run_engine};
use crate::standin::engine_core::EngineSpec;
use crate::standin::platform::PlatformCore;
use crate::tool::check::parse_objects;
use crate::tool::publish::{PublishWanted, publish};
use crate::{App, any_loopback_port};

/// What to compare.
#[derive(Debug, Clone)]
pub struct CompareOptions {
    /// Routing policies.
    pub policies: Vec<String>,
    /// Loads, in percent of what the engines carry.
    pub loads_percent: Vec<u32>,
    /// Seeds.
    pub seeds: Vec<u64>,
    /// Length of each run's arrivals.
    pub lasts: Duration,
    /// Kind of requests.
    pub mix: Mix,
    /// Engines.
    pub engines: usize,
    /// Entries.
    pub entries: usize,
    /// Lag of the engines' load reports.
    pub report_lag: Duration,
}

/// An engine of the comparison: a small one, so that its memory is what is scarce.
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

/// Figures of one run.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RunFigures {
    /// Policy.
    pub policy: String,
    /// Load, in percent of what the engines carry.
    pub load_percent: u32,
    /// Seed.
    pub seed: u64,
    /// Requests.
    pub requests: usize,
    /// Refused.
    pub refused: usize,
    /// Failed after the first token.
    pub failed: usize,
    /// Stall time per stream, summed, in milliseconds.
    pub stall_sum_ms: u64,
    /// Stall time per stream, 99 in 100, in milliseconds.
    pub stall_p99_ms: u64,
    /// Preemptions per 1,000 generations started.
    pub preemptions_per_1000: f64,
    /// Time between tokens, 99 in 100, in microseconds.
    pub gap_p99_us: u64,
    /// Time between tokens, 99.9 in 100, in microseconds.
    pub gap_p999_us: u64,
    /// Time to the first token, 95 in 100, in milliseconds.
    pub first_token_p95_ms: u64,
    /// Tokens of whole streams a second, within the arrivals' time.
    pub useful_tokens_per_s: f64,
    /// Time between tokens of the accounts other than the first, 99 in 100, in microseconds.
    pub others_gap_p99_us: u64,
    /// Time to the first token of the accounts other than the first, 99 in 100, in milliseconds.
    pub others_first_token_p99_ms: u64,
    /// Time between tokens of the first account, 99 in 100, in microseconds.
    pub first_gap_p99_us: u64,
    /// Time to the first token of the first account, 99 in 100, in milliseconds.
    pub first_first_token_p99_ms: u64,
}

/// Runs the whole comparison; `progress` is told each run's figures.
///
/// # Errors
/// A run cannot be set up.
pub async fn run(
    options: &CompareOptions,
    mut progress: impl FnMut(&RunFigures),
) -> anyhow::Result<Vec<RunFigures>> {
    let carried = carried_per_s(options.mix, &engine_spec());
    let engines = f64::from(u32::try_from(options.engines)?);
    let mut figures = Vec::new();
    for &load_percent in &options.loads_percent {
        let per_s = carried * engines * f64::from(load_percent) / 100.0;
        for &seed in &options.seeds {
            let arrivals = plan(options.mix, per_s, options.lasts, seed);
            for policy in &options.policies {
                let mut one = run_one(options, policy, &arrivals)
                    .await
                    .with_context(|| format!("policy {policy}"))?;
                one.load_percent = load_percent;
                one.seed = seed;
                progress(&one);
                figures.push(one);
            }
        }
    }
    Ok(figures)
}

struct Setup {
    engines: Vec<RunningEngine>,
    apps: Vec<App>,
}

fn account_key(account: usize) -> String {
    format!("{}-key", ACCOUNTS[account])
}

fn objects(mix: Mix, engines: &[RunningEngine]) -> serde_json::Value {
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

fn settings(index: usize, policy: &str) -> anyhow::Result<Settings> {
    let settings = serde_json::json!({
        "instance": format!("i{index}"), "hall": "h", "policy": policy,
        "caller_address": any_loopback_port(), "operator_address": any_loopback_port(),
        "peer_address": any_loopback_port(), "platform": {"plugin": "embedded"},
        "times": {"config_poll_ms": 100, "heartbeat_ms": 200, "list_poll_ms": 200, "load_poll_ms": 100,
            "resume_ms": 1000},
    });
    Ok(serde_json::from_value(settings)?)
}

async fn set_up(options: &CompareOptions, policy: &str) -> anyhow::Result<Setup> {
    let core = Arc::new(PlatformCore::new(Arc::new(SystemClock::default())));
    let platform: Platform = log_service::embedded(core);
    let mut engines = Vec::new();
    for index in 0..options.engines {
        engines.push(start_engine(index, options.report_lag).await?);
    }
    let objects = objects(options.mix, &engines).to_string();
    let wanted = PublishWanted {
        objects: parse_objects("objects", &objects)?,
        deletes: Vec::new(),
        publisher: String::new(),
        publish_id: None,
        wait: Duration::from_secs(5),
    };
    publish(&platform, &wanted).await;
    let mut apps = Vec::new();
    for index in 0..options.entries {
        apps.push(App::start_with(settings(index, policy)?, platform.clone()).await?);
    }
    // Heartbeats, reports and groups settle.
    tokio::time::sleep(Duration::from_secs(3)).await;
    Ok(Setup { engines, apps })
}

async fn run_one(
    options: &CompareOptions,
    policy: &str,
    arrivals: &[ArrivalPlan],
) -> anyhow::Result<RunFigures> {
    let setup = set_up(options, policy).await?;
    let client = plain_client(Duration::from_secs(1))?;
    let keys: Vec<String> = (0..ACCOUNTS.len()).map(account_key).collect();
    let start = Instant::now();
    let mut streams = Vec::new();
    for (index, arrival) in arrivals.iter().enumerate() {
        tokio::time::sleep_until(start + arrival.at).await;
        let entry = &setup.apps[index % setup.apps.len()];
        let target = Target::Entry {
            address: entry.addresses().caller.to_string(),
            keys: keys.clone(),
        };
        let stream = drive(client.clone(), target, arrival.clone(), options.mix, start);
        streams.push(tokio::spawn(stream));
    }
    let ended = futures::future::join_all(streams).await;
    let measured: Vec<StreamMeasured> = ended.into_iter().filter_map(Result::ok).collect();
    let preemptions: u64 = setup
        .engines
        .iter()
        .map(|running| running.engine.current_load().preemptions_total)
        .sum();
    let figures = figures(policy, &measured, preemptions, options.lasts)?;
    tear_down(setup).await;
    Ok(figures)
}

async fn tear_down(setup: Setup) {
    let apps = setup.apps.into_iter().map(App::abort);
    let engines = setup.engines.into_iter().map(RunningEngine::stop);
    futures::join!(
        futures::future::join_all(apps),
        futures::future::join_all(engines)
    );
}

#[derive(Default)]
struct Times {
    gaps: Vec<u64>,
    first: Vec<u64>,
}

fn quantile(values: &[u64], quantile: f64) -> anyhow::Result<u64> {
    let mut histogram: Histogram<u64> = Histogram::new(3)?;
    for value in values {
        histogram.record(*value)?;
    }
    Ok(histogram.value_at_quantile(quantile))
}

fn figures(
    policy: &str,
    measured: &[StreamMeasured],
    preemptions: u64,
    lasts: Duration,
) -> anyhow::Result<RunFigures> {
    let started: Vec<&StreamMeasured> = measured
        .iter()
        .filter(|one| one.first_token.is_some())
        .collect();
    let count = |end| measured.iter().filter(|one| one.end == end).count();
    let stalls: Vec<u64> = started
        .iter()
        .map(|one| micros(one.stall()) / 1000)
        .collect();
    let mut all = Times::default();
    let mut first = Times::default();
    let mut others = Times::default();
    for one in &started {
        let of_account = if one.account == 0 {
            &mut first
        } else {
            &mut others
        };
        for times in [&mut all, of_account] {
            times.gaps.extend(one.gaps.iter().map(|gap| micros(*gap)));
            times
                .first
                .extend(one.first_token.map(|time| micros(time) / 1000));
        }
    }
    let useful = measured.iter().filter(|one| one.end == StreamEnd::Done);
    let useful = useful
        .flat_map(|one| &one.token_times)
        .filter(|at| **at <= lasts);
    let useful = f64::from(u32::try_from(useful.count())?);
    let generations = f64::from(u32::try_from(started.len())?).max(1.0);
    Ok(RunFigures {
        policy: policy.to_owned(),
        load_percent: 0,
        seed: 0,
        requests: measured.len(),
        refused: count(StreamEnd::Refused),
        failed: count(StreamEnd::Failed),
        stall_sum_ms: stalls.iter().sum(),
        stall_p99_ms: quantile(&stalls, 0.99)?,
        preemptions_per_1000: f64::from(u32::try_from(preemptions)?) * 1000.0 / generations,
        gap_p99_us: quantile(&all.gaps, 0.99)?,
        gap_p999_us: quantile(&all.gaps, 0.999)?,
        first_token_p95_ms: quantile(&all.first, 0.95)?,
        useful_tokens_per_s: useful / lasts.as_secs_f64(),
        others_gap_p99_us: quantile(&others.gaps, 0.99)?,
        others_first_token_p99_ms: quantile(&others.first, 0.99)?,
        first_gap_p99_us: quantile(&first.gaps, 0.99)?,
        first_first_token_p99_ms: quantile(&first.first, 0.99)?,
    })
}
