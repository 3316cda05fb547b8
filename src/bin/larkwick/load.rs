//! Runs the subcommands of `larkwick load`.

use std::path::Path;
use std::time::Duration;

use anyhow::Context;
use larkwick::kernel::policy;
use larkwick::tool::load::arrivals::Mix;
use larkwick::tool::load::compare::{self, CompareOptions, RunMetrics};
use larkwick::tool::load::overhead::{self, OverheadOptions};
use larkwick::tool::load::{plot, table};

use crate::flags::{Compare, Load, LoadCmd, Overhead};

const DEFAULT_STREAMS: usize = 500;
const DEFAULT_TOKENS: u32 = 200;
const DEFAULT_LOADS: &str = "70,100,130";
const DEFAULT_SEEDS: u64 = 3;
const DEFAULT_SECONDS: u64 = 12;
const DEFAULT_ENGINES: usize = 4;
const DEFAULT_REPORT_LAG_MS: u64 = 300;
/// Number of instances that accept requests in a comparison.
const COMPARE_ENTRIES: usize = 3;

/// Runs a subcommand of `load`.
pub async fn run(flags: Load) -> anyhow::Result<()> {
    match flags.subcommand {
        LoadCmd::Overhead(flags) => run_overhead(flags).await,
        LoadCmd::Compare(flags) => run_compare(flags).await,
    }
}

async fn run_overhead(flags: Overhead) -> anyhow::Result<()> {
    let options = OverheadOptions {
        engine: flags.engine,
        entry: flags.entry,
        operator: flags.operator,
        key: flags.key,
        streams: flags.streams.unwrap_or(DEFAULT_STREAMS),
        tokens: flags.tokens.unwrap_or(DEFAULT_TOKENS),
    };
    let overhead = overhead::run(&options).await?;
    if flags.json {
        println!("{}", serde_json::to_string_pretty(&overhead)?);
    } else {
        println!("{overhead}");
    }
    Ok(())
}

fn compare_options(flags: &Compare) -> anyhow::Result<CompareOptions> {
    let policies = match &flags.policies {
        Some(list) => list.split(',').map(str::to_owned).collect(),
        None => policy::names().into_iter().map(str::to_owned).collect(),
    };
    let loads = flags.loads.as_deref().unwrap_or(DEFAULT_LOADS).split(',');
    let loads: Result<Vec<u32>, _> = loads.map(str::parse).collect();
    Ok(CompareOptions {
        policies,
        loads_percent: loads.context("--loads: expected whole numbers separated by commas")?,
        seeds: (1..=flags.seeds.unwrap_or(DEFAULT_SEEDS)).collect(),
        duration: Duration::from_secs(flags.seconds.unwrap_or(DEFAULT_SECONDS)),
        mix: flags.mix.unwrap_or(Mix::General),
        engines: flags.engines.unwrap_or(DEFAULT_ENGINES),
        entries: COMPARE_ENTRIES,
        report_lag: Duration::from_millis(flags.report_lag_ms.unwrap_or(DEFAULT_REPORT_LAG_MS)),
    })
}

async fn run_compare(flags: Compare) -> anyhow::Result<()> {
    // The instances run in this process, and their logs would make the table hard to find.
    spdlog::default_logger()
        .set_level_filter(spdlog::LevelFilter::MoreSevereEqual(spdlog::Level::Error));
    let options = compare_options(&flags)?;
    let metrics = compare::run(&options, |run| eprintln!("{}", format_progress(run))).await?;
    let table = table::render_markdown(&metrics);
    println!("{table}");
    let Some(folder) = &flags.out else {
        return Ok(());
    };
    write_results(&metrics, &table, folder, options.mix)
}

fn format_progress(run: &RunMetrics) -> String {
    format!(
        "load {}% seed {} {}: stall p99 {} ms, preemptions {:.0}/1000, gap p99 {} us, {:.0} tokens/s, {} refused of {}",
        run.load_percent,
        run.seed,
        run.policy,
        run.stall_p99_ms,
        run.preemptions_per_1000,
        run.gap_p99_us,
        run.useful_tokens_per_s,
        run.refused,
        run.requests
    )
}

/// Writes the table, the metrics as JSON and the plots into a folder.
fn write_results(
    metrics: &[RunMetrics],
    table: &str,
    folder: &Path,
    mix: Mix,
) -> anyhow::Result<()> {
    std::fs::create_dir_all(folder)?;
    let prefix = format!("{mix:?}").to_lowercase();
    std::fs::write(folder.join(format!("{prefix}.md")), table)?;
    let json = serde_json::to_string_pretty(metrics)?;
    std::fs::write(folder.join(format!("{prefix}.json")), json)?;
    plot::write_plots(metrics, folder, &prefix)
}
