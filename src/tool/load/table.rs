//! Tables of a comparison: median and range over the seeds.

use std::fmt::Write;

use super::compare::RunFigures;

/// A measure of the comparison.
pub struct Measure {
    /// Heading.
    pub name: &'static str,
    /// Its value in a run.
    pub value: fn(&RunFigures) -> f64,
}

/// A count as a float; exact below 2^53.
fn float(count: u64) -> f64 {
    crate::kernel::policy::tokens_as_f64(count)
}

/// The measures, in the order of the columns. The first three are the users' own.
pub const MEASURES: [Measure; 9] = [
    Measure {
        name: "stall p99, ms",
        value: |run| float(run.stall_p99_ms),
    },
    Measure {
        name: "preemptions per 1,000",
        value: |run| run.preemptions_per_1000,
    },
    Measure {
        name: "between tokens p99, ms",
        value: |run| float(run.gap_p99_us) / 1000.0,
    },
    Measure {
        name: "between tokens p99.9, ms",
        value: |run| float(run.gap_p999_us) / 1000.0,
    },
    Measure {
        name: "stall sum, s",
        value: |run| float(run.stall_sum_ms) / 1000.0,
    },
    Measure {
        name: "first token p95, ms",
        value: |run| float(run.first_token_p95_ms),
    },
    Measure {
        name: "useful tokens/s",
        value: |run| run.useful_tokens_per_s,
    },
    Measure {
        name: "refused, %",
        value: |run| 100.0 * float(run.refused as u64) / float(run.requests.max(1) as u64),
    },
    Measure {
        name: "failed",
        value: |run| float(run.failed as u64),
    },
];

/// Median and range of a measure over seeds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OverSeeds {
    /// Median.
    pub median: f64,
    /// Lowest.
    pub low: f64,
    /// Highest.
    pub high: f64,
}

/// Runs of one policy at one load.
#[must_use]
pub fn runs_of<'a>(
    figures: &'a [RunFigures],
    policy: &str,
    load_percent: u32,
) -> Vec<&'a RunFigures> {
    let its = |run: &&RunFigures| run.policy == policy && run.load_percent == load_percent;
    figures.iter().filter(its).collect()
}

/// Median and range of a measure.
#[must_use]
pub fn over_seeds(runs: &[&RunFigures], value: fn(&RunFigures) -> f64) -> OverSeeds {
    let mut values: Vec<f64> = runs.iter().map(|run| value(run)).collect();
    values.sort_by(f64::total_cmp);
    let at = |index: usize| values.get(index).copied().unwrap_or(f64::NAN);
    OverSeeds {
        median: at(values.len() / 2),
        low: at(0),
        high: at(values.len().saturating_sub(1)),
    }
}

/// Policies and loads, each once, in the order of the runs.
#[must_use]
pub fn policies_and_loads(figures: &[RunFigures]) -> (Vec<&str>, Vec<u32>) {
    let mut policies = Vec::new();
    let mut loads = Vec::new();
    for run in figures {
        if !policies.contains(&run.policy.as_str()) {
            policies.push(run.policy.as_str());
        }
        if !loads.contains(&run.load_percent) {
            loads.push(run.load_percent);
        }
    }
    (policies, loads)
}

/// The table in Markdown: median (lowest to highest over the seeds).
#[must_use]
pub fn render(figures: &[RunFigures]) -> String {
    let (policies, loads) = policies_and_loads(figures);
    let names: Vec<&str> = MEASURES.iter().map(|measure| measure.name).collect();
    let mut table = format!("| load, % | policy | {} |\n", names.join(" | "));
    let _ = writeln!(table, "|---:|---|{}", "---:|".repeat(MEASURES.len()));
    for load in loads {
        for policy in &policies {
            let runs = runs_of(figures, policy, load);
            let _ = write!(table, "| {load} | {policy} |");
            for measure in &MEASURES {
                let over = over_seeds(&runs, measure.value);
                let _ = write!(
                    table,
                    " {:.1} ({:.1}–{:.1}) |",
                    over.median, over.low, over.high
                );
            }
            table.push('\n');
        }
    }
    table
}
