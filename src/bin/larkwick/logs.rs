//! Reads logs from files or standard input.

use std::fs::File;
use std::io::{BufReader, stdin};
use std::path::{Path, PathBuf};

use anyhow::Context;
use larkwick::tool::log_limits::LimitedSends;
use larkwick::tool::log_places::PlaceChanges;
use larkwick::tool::logs::{Life, LogLine, Summary, read_lines};

use crate::flags::{Logs, LogsCmd};
use crate::printer::{Format, print_value};

/// Reads the logs that are named and prints what was asked for.
pub fn run(flags: Logs) -> anyhow::Result<()> {
    match flags.subcommand {
        LogsCmd::Summary(wanted) => {
            let mut summary = Summary::default();
            read_all(&wanted.files, wanted.skip_damaged, |_, line| {
                summary.take(&line);
            })?;
            if wanted.json {
                print_value(&serde_json::to_value(summary.rows())?, Format::Json);
            } else {
                print!("{summary}");
            }
        }
        LogsCmd::Request(wanted) => {
            let mut life = Life::of(&wanted.id);
            read_all(&wanted.files, wanted.skip_damaged, |name, line| {
                life.take(name, line);
            })?;
            anyhow::ensure!(
                !life.is_empty(),
                "no line names request {}; is it the caller's id?",
                wanted.id
            );
            print!("{life}");
        }
        LogsCmd::Places(wanted) => {
            let mut places = PlaceChanges::default();
            read_all(&wanted.files, wanted.skip_damaged, |name, line| {
                places.take(name, &line);
            })?;
            let changes = places.of(wanted.name.as_deref());
            if wanted.json {
                print_value(&serde_json::to_value(changes)?, Format::Json);
            } else {
                for change in changes {
                    println!("{change}");
                }
            }
            if places.left_out() > 0 {
                eprintln!("larkwick: {} further changes left out", places.left_out());
            }
        }
        LogsCmd::Limits(wanted) => {
            let mut sends = LimitedSends::default();
            read_all(&wanted.files, wanted.skip_damaged, |name, line| {
                sends.take(name, &line);
            })?;
            let rows = sends.of(wanted.name.as_deref());
            if wanted.json {
                print_value(&serde_json::to_value(rows)?, Format::Json);
            } else {
                for row in rows {
                    println!("{row}");
                }
            }
            if sends.left_out() > 0 {
                eprintln!("larkwick: {} further sends left out", sends.left_out());
            }
        }
    }
    Ok(())
}

fn read_all(
    files: &[PathBuf],
    skips_damaged: bool,
    mut take: impl FnMut(&str, LogLine),
) -> anyhow::Result<()> {
    let mut damaged = 0;
    if files.is_empty() {
        damaged += read_lines("standard input", stdin().lock(), skips_damaged, |line| {
            take("-", line);
        })?;
    }
    for file in files {
        let name = file
            .file_name()
            .map_or_else(String::new, |name| name.to_string_lossy().into_owned());
        let source = BufReader::new(open(file)?);
        damaged += read_lines(&file.display().to_string(), source, skips_damaged, |line| {
            take(&name, line);
        })?;
    }
    if damaged > 0 {
        eprintln!("larkwick: {damaged} damaged lines left out");
    }
    Ok(())
}

fn open(file: &Path) -> anyhow::Result<File> {
    File::open(file).with_context(|| format!("{} cannot be read", file.display()))
}
