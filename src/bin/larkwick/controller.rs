//! Runs the subcommands.

use std::process::ExitCode;
use std::time::Duration;

use larkwick::kernel::object::ObjectKey;
use larkwick::log_service::{self, Platform};
use larkwick::tool::publish::{PublishOutcome, PublishRequest};
use larkwick::tool::{check, config, instance, publish};

use crate::flags::{self, ConfigCmd, LarkwickCmd, SuspectsCmd};
use crate::printer::{Format, print_outcome, print_value};

/// Exit code if the publish was rejected.
const EXIT_REJECTED: u8 = 2;
/// Exit code if no verdict was seen in time.
const EXIT_UNKNOWN: u8 = 3;
/// Exit code if no record was appended.
const EXIT_NOT_PUBLISHED: u8 = 4;
const DEFAULT_VERDICT_WAIT_MS: u64 = 10_000;

/// Runs a subcommand and returns the exit code of the process.
#[tokio::main]
pub async fn run(flags: flags::Larkwick) -> anyhow::Result<ExitCode> {
    match flags.subcommand {
        LarkwickCmd::Check(check) => check_files(&check)?,
        LarkwickCmd::Publish(publish) => return publish_files(&publish).await,
        LarkwickCmd::Config(command) => show_config(command).await?,
        LarkwickCmd::Status(status) => {
            let value = instance::get_json(&status.operator, "/status").await?;
            print_value(&value, Format::from_json_flag(status.json));
        }
        LarkwickCmd::Dump(dump) => {
            let value = instance::get_json(&dump.operator, "/debug/state").await?;
            print_value(&value, Format::Json);
        }
        LarkwickCmd::Drain(drain) => instance::drain(&drain.operator).await?,
        LarkwickCmd::Suspects(command) => run_suspects(command).await?,
        LarkwickCmd::Entries(entries) => {
            let value = instance::get_json(&entries.entry, "/v1/entries").await?;
            print_value(&value, Format::from_json_flag(entries.json));
        }
        LarkwickCmd::Logs(logs) => crate::logs::run(logs)?,
        LarkwickCmd::Load(load) => crate::load::run(load).await?,
        LarkwickCmd::Key(key) => println!("{}", blake3::hash(key.key.as_bytes()).to_hex()),
    }
    Ok(ExitCode::SUCCESS)
}

async fn run_suspects(flags: flags::Suspects) -> anyhow::Result<()> {
    match flags.subcommand {
        SuspectsCmd::List(list) => {
            let value = instance::get_json(&list.operator, "/suspects").await?;
            print_value(&value, Format::from_json_flag(list.json));
        }
        SuspectsCmd::LetGo(release) => {
            instance::release_suspect(&release.operator, &release.content).await?;
        }
    }
    Ok(())
}

fn check_files(flags: &flags::Check) -> anyhow::Result<()> {
    anyhow::ensure!(
        !flags.files.is_empty(),
        "no files to check; name at least one"
    );
    for file in &flags.files {
        println!("{}", check::check_file(file)?);
    }
    Ok(())
}

fn connect(address: &str) -> anyhow::Result<Platform> {
    log_service::connect("http", &[address.to_owned()])
}

async fn publish_files(flags: &flags::Publish) -> anyhow::Result<ExitCode> {
    let deletes: Result<Vec<ObjectKey>, String> = flags
        .delete
        .iter()
        .cloned()
        .map(ObjectKey::try_from)
        .collect();
    let request = PublishRequest {
        objects: check::read_objects(&flags.files)?,
        deletes: deletes.map_err(anyhow::Error::msg)?,
        publisher: flags.publisher.clone().unwrap_or_default(),
        publish_id: flags.publish_id,
        wait: Duration::from_millis(flags.wait_ms.unwrap_or(DEFAULT_VERDICT_WAIT_MS)),
    };
    let outcome = publish::publish(&connect(&flags.platform)?, &request).await;
    print_outcome(&outcome, Format::from_json_flag(flags.json));
    Ok(match outcome {
        PublishOutcome::Accepted { .. } | PublishOutcome::NothingToChange => ExitCode::SUCCESS,
        PublishOutcome::Rejected { .. } => ExitCode::from(EXIT_REJECTED),
        PublishOutcome::Unknown { .. } => ExitCode::from(EXIT_UNKNOWN),
        PublishOutcome::NotPublished { .. } => ExitCode::from(EXIT_NOT_PUBLISHED),
    })
}

async fn show_config(flags: flags::Config) -> anyhow::Result<()> {
    match flags.subcommand {
        ConfigCmd::Show(show) => {
            let config = config::read_config(&connect(&show.platform)?).await?;
            if show.json {
                print_value(
                    &serde_json::to_value(&config.state().objects)?,
                    Format::Json,
                );
            } else {
                println!("{}", config::format_objects(config.state()));
            }
        }
        ConfigCmd::History(history) => {
            let config = config::read_config(&connect(&history.platform)?).await?;
            if history.json {
                print_value(
                    &serde_json::to_value(&config.state().decided)?,
                    Format::Json,
                );
            } else {
                println!("{}", config::format_history(config.state()));
            }
        }
    }
    Ok(())
}
