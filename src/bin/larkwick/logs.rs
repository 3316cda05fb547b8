//! Runs the subcommands of `larkwick logs`, which read log files or standard input.

use std::fs::File;
use std::io::{BufReader, stdin};
use std::path::{Path, PathBuf};

use anyhow::Context;
use larkwick::tool::log_availability::AvailabilityChanges;
use larkwick::tool::log_limits::LimitUsage;
use larkwick::tool::logs::{LogLine, RequestTimeline, Summary, read_lines};

use crate::flags::{Logs, LogsCmd};
use crate::printer::{Format, print_value};

/// Runs a subcommand of `logs`.
pub fn run(flags: Logs) -> anyhow::Result<()> {
    match flags.subcommand {
        LogsCmd::Summary(args) => {
            let mut summary = Summary::default();
            read_all(&args.files, args.skip_damaged, |_, line| {
                summary.record_line(&line);
            })?;
            if args.json {
                print_value(&serde_json::to_value(summary.rows())?, Format::Json);
            } else {
                print!("{summary}");
            }
        }
        LogsCmd::Request(args) => {
            let mut timeline = RequestTimeline::new(&args.id);
            read_all(&args.files, args.skip_damaged, |name, line| {
                timeline.record_line(name, line);
            })?;
            anyhow::ensure!(
                !timeline.is_empty(),
                "no log line contains request id {}; check that it is the caller's id",
                args.id
            );
            print!("{timeline}");
        }
        LogsCmd::Places(args) => {
            let mut availability = AvailabilityChanges::default();
            read_all(&args.files, args.skip_damaged, |name, line| {
                availability.record_line(name, &line);
            })?;
            let changes = availability.changes_of(args.name.as_deref());
            if args.json {
                print_value(&serde_json::to_value(changes)?, Format::Json);
            } else {
                for change in changes {
                    println!("{change}");
                }
            }
            if availability.omitted_changes() > 0 {
                eprintln!(
                    "larkwick: {} further changes left out",
                    availability.omitted_changes()
                );
            }
        }
        LogsCmd::Limits(args) => {
            let mut usage = LimitUsage::default();
            read_all(&args.files, args.skip_damaged, |name, line| {
                usage.record_line(name, &line);
            })?;
            let rows = usage.rows_for(args.name.as_deref());
            if args.json {
                print_value(&serde_json::to_value(rows)?, Format::Json);
            } else {
                for row in rows {
                    println!("{row}");
                }
            }
            if usage.uncounted_lines() > 0 {
                eprintln!(
                    "larkwick: {} further sends left out",
                    usage.uncounted_lines()
                );
            }
        }
    }
    Ok(())
}

/// Reads all files, or standard input if there are none, and calls `on_line` with the name of the
/// log and each line. Reports the number of skipped lines on standard error.
fn read_all(
    files: &[PathBuf],
    skip_malformed: bool,
    mut on_line: impl FnMut(&str, LogLine),
) -> anyhow::Result<()> {
    let mut malformed_count = 0;
    if files.is_empty() {
        malformed_count += read_lines("standard input", stdin().lock(), skip_malformed, |line| {
            on_line("-", line);
        })?;
    }
    for file in files {
        let name = file
            .file_name()
            .map_or_else(String::new, |name| name.to_string_lossy().into_owned());
        let source = BufReader::new(open(file)?);
        malformed_count += read_lines(
            &file.display().to_string(),
            source,
            skip_malformed,
            |line| {
                on_line(&name, line);
            },
        )?;
    }
    if malformed_count > 0 {
        eprintln!("larkwick: {malformed_count} damaged lines left out");
    }
    Ok(())
}

fn open(file: &Path) -> anyhow::Result<File> {
    File::open(file).with_context(|| format!("cannot open {}", file.display()))
}
