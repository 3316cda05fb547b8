//! Formats a comparison as a table of medians and ranges over the seeds.

use std::fmt::Write;

use super::compare::RunMetrics;

/// A measure by which the policies are compared.
pub struct Measure {
    /// Column heading, with the unit.
    pub name: &'static str,
    /// Returns the value of the measure in one run.
    pub value: fn(&RunMetrics) -> f64,
}

/// Converts a count to a float; exact below 2^53.
fn count_as_f64(count: u64) -> f64 {
    crate::kernel::policy::tokens_as_f64(count)
}

/// Measures in the order of the columns. The first three are the primary ones, which users notice
/// directly.
pub const MEASURES: [Measure; 9] = [
    Measure {
        name: "stall p99, ms",
        value: |run| count_as_f64(run.stall_p99_ms),
    },
    Measure {
        name: "preemptions per 1,000",
        value: |run| run.preemptions_per_1000,
    },
    Measure {
        name: "between tokens p99, ms",
        value: |run| count_as_f64(run.gap_p99_us) / 1000.0,
    },
    Measure {
        name: "between tokens p99.9, ms",
        value: |run| count_as_f64(run.gap_p999_us) / 1000.0,
    },
    Measure {
        name: "stall sum, s",
        value: |run| count_as_f64(run.stall_sum_ms) / 1000.0,
    },
    Measure {
        name: "first token p95, ms",
        value: |run| count_as_f64(run.first_token_p95_ms),
    },
    Measure {
        name: "useful tokens/s",
        value: |run| run.useful_tokens_per_s,
    },
    Measure {
        name: "refused, %",
        value: |run| {
            100.0 * count_as_f64(run.refused as u64) / count_as_f64(run.requests.max(1) as u64)
        },
    },
    Measure {
        name: "failed",
        value: |run| count_as_f64(run.failed as u64),
    },
];

/// Median and range of a measure over the seeds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SeedSummary {
    /// Median.
    pub median: f64,
    /// Lowest value.
    pub low: f64,
    /// Highest value.
    pub high: f64,
}

/// Returns the runs of one policy at one load.
#[must_use]
pub fn filter_runs<'a>(
    metrics: &'a [RunMetrics],
    policy: &str,
    load_percent: u32,
) -> Vec<&'a RunMetrics> {
    let is_selected = |run: &&RunMetrics| run.policy == policy && run.load_percent == load_percent;
    metrics.iter().filter(is_selected).collect()
}

/// Computes the median and range of a measure; all NaN if there are no runs.
#[must_use]
pub fn summarize_seeds(runs: &[&RunMetrics], value: fn(&RunMetrics) -> f64) -> SeedSummary {
    let mut values: Vec<f64> = runs.iter().map(|run| value(run)).collect();
    values.sort_by(f64::total_cmp);
    let at = |index: usize| values.get(index).copied().unwrap_or(f64::NAN);
    SeedSummary {
        median: at(values.len() / 2),
        low: at(0),
        high: at(values.len().saturating_sub(1)),
    }
}

/// Returns the distinct policies and loads in the order of the runs.
#[must_use]
pub fn policies_and_loads(metrics: &[RunMetrics]) -> (Vec<&str>, Vec<u32>) {
    let mut policies = Vec::new();
    let mut loads = Vec::new();
    for run in metrics {
        if !policies.contains(&run.policy.as_str()) {
            policies.push(run.policy.as_str());
        }
        if !loads.contains(&run.load_percent) {
            loads.push(run.load_percent);
        }
    }
    (policies, loads)
}

/// Renders a Markdown table with the cells `median (lowest–highest)` over the seeds.
#[must_use]
pub fn render_markdown(metrics: &[RunMetrics]) -> String {
    let (policies, loads) = policies_and_loads(metrics);
    let names: Vec<&str> = MEASURES.iter().map(|measure| measure.name).collect();
    let mut table = format!("| load, % | policy | {} |\n", names.join(" | "));
    let _ = writeln!(table, "|---:|---|{}", "---:|".repeat(MEASURES.len()));
    for load in loads {
        for policy in &policies {
            let runs = filter_runs(metrics, policy, load);
            let _ = write!(table, "| {load} | {policy} |");
            for measure in &MEASURES {
                let summary = summarize_seeds(&runs, measure.value);
                let _ = write!(
                    table,
                    " {:.1} ({:.1}–{:.1}) |",
                    summary.median, summary.low, summary.high
                );
            }
            table.push('\n');
        }
    }
    table
}
