//! Carries out the commands.

use std::process::ExitCode;
use std::time::Duration;

use larkwick::kernel::object::ObjectKey;
use larkwick::log_service::{self, Platform};
use larkwick::tool::publish::{PublishWanted, Published};
use larkwick::tool::{check, config, instance, publish};

use crate::flags::{self, ConfigCmd, LarkwickCmd, SuspectsCmd};
use crate::printer::{Format, print_published, print_value};

const EXIT_REJECTED: u8 = 2;
const EXIT_UNKNOWN: u8 = 3;
const EXIT_NOT_PUBLISHED: u8 = 4;
const DEFAULT_WAIT_MS: u64 = 10_000;

/// Runs a command and gives the process's exit code.
#[tokio::main]
pub async fn run(flags: flags::Larkwick) -> anyhow::Result<ExitCode> {
    match flags.subcommand {
        LarkwickCmd::Check(check) => check_files(&check)?,
        LarkwickCmd::Publish(wanted) => return publish_files(&wanted).await,
        LarkwickCmd::Config(command) => show_config(command).await?,
        LarkwickCmd::Status(status) => {
            let value = instance::get(&status.operator, "/status").await?;
            print_value(&value, Format::of(status.json));
        }
        LarkwickCmd::Dump(dump) => {
            let value = instance::get(&dump.operator, "/debug/state").await?;
            print_value(&value, Format::Json);
        }
        LarkwickCmd::Drain(drain) => instance::drain(&drain.operator).await?,
        LarkwickCmd::Suspects(command) => suspects(command).await?,
        LarkwickCmd::Entries(entries) => {
            let value = instance::get(&entries.entry, "/v1/entries").await?;
            print_value(&value, Format::of(entries.json));
        }
        LarkwickCmd::Logs(logs) => crate::logs::run(logs)?,
        LarkwickCmd::Load(load) => crate::load::run(load).await?,
        LarkwickCmd::Key(key) => println!("{}", blake3::hash(key.key.as_bytes()).to_hex()),
    }
    Ok(ExitCode::SUCCESS)
}

async fn suspects(flags: flags::Suspects) -> anyhow::Result<()> {
    match flags.subcommand {
        SuspectsCmd::List(list) => {
            let value = instance::get(&list.operator, "/suspects").await?;
            print_value(&value, Format::of(list.json));
        }
        SuspectsCmd::LetGo(let_go) => {
            instance::let_suspect_go(&let_go.operator, &let_go.content).await?;
        }
    }
    Ok(())
}

fn check_files(flags: &flags::Check) -> anyhow::Result<()> {
    anyhow::ensure!(!flags.files.is_empty(), "no file to check");
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
    let wanted = PublishWanted {
        objects: check::read_objects(&flags.files)?,
        deletes: deletes.map_err(anyhow::Error::msg)?,
        publisher: flags.publisher.clone().unwrap_or_default(),
        publish_id: flags.publish_id,
        wait: Duration::from_millis(flags.wait_ms.unwrap_or(DEFAULT_WAIT_MS)),
    };
    let published = publish::publish(&connect(&flags.platform)?, &wanted).await;
    print_published(&published, Format::of(flags.json));
    Ok(match published {
        Published::Accepted { .. } | Published::NothingToChange => ExitCode::SUCCESS,
        Published::Rejected { .. } => ExitCode::from(EXIT_REJECTED),
        Published::Unknown { .. } => ExitCode::from(EXIT_UNKNOWN),
        Published::NotPublished { .. } => ExitCode::from(EXIT_NOT_PUBLISHED),
    })
}

async fn show_config(flags: flags::Config) -> anyhow::Result<()> {
    match flags.subcommand {
        ConfigCmd::Show(show) => {
            let fold = config::read_fold(&connect(&show.platform)?).await?;
            if show.json {
                print_value(&serde_json::to_value(&fold.state().objects)?, Format::Json);
            } else {
                println!("{}", config::show(fold.state()));
            }
        }
        ConfigCmd::History(history) => {
            let fold = config::read_fold(&connect(&history.platform)?).await?;
            if history.json {
                print_value(&serde_json::to_value(&fold.state().decided)?, Format::Json);
            } else {
                println!("{}", config::history(fold.state()));
            }
        }
    }
    Ok(())
}
