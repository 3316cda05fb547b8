//! Runs the stand-ins of the systems around larkwick as processes, for tests and trials.

mod flags;

use std::process::ExitCode;

use larkwick::kernel::policy::LoadedModel;
use larkwick::standin::engine::EngineSettings;
use larkwick::standin::{engine, platform, service};

fn main() -> ExitCode {
    let flags = flags::LarkwickStandin::from_env_or_exit();
    match run_standin(flags) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("larkwick-standin: {error:#}");
            ExitCode::FAILURE
        }
    }
}

#[tokio::main]
async fn run_standin(flags: flags::LarkwickStandin) -> anyhow::Result<()> {
    use flags::LarkwickStandinCmd as Cmd;
    let (address, control) = match flags.subcommand {
        Cmd::Platform(platform) => run_platform(platform).await?,
        Cmd::Engine(engine) => run_engine(engine).await?,
        Cmd::Service(service) => run_service(service).await?,
    };
    println!(r#"{{"address":"{address}","control":"{control}"}}"#);
    tokio::signal::ctrl_c().await?;
    Ok(())
}

/// Addresses of the server and of its control port.
type Addresses = (std::net::SocketAddr, std::net::SocketAddr);

async fn run_platform(flags: flags::Platform) -> anyhow::Result<Addresses> {
    let running = platform::run(flags.address, flags.control).await?;
    Ok((running.server.address, running.control.address))
}

async fn run_engine(flags: flags::Engine) -> anyhow::Result<Addresses> {
    let spec = match &flags.spec {
        Some(text) => serde_json::from_str(text)?,
        None => larkwick::standin::engine_core::EngineSpec::default(),
    };
    let models = flags.model.iter().map(|text| {
        let (name, version) = text.split_once('@').unwrap_or((text, "1"));
        LoadedModel {
            name: name.to_owned(),
            version: version.to_owned(),
        }
    });
    let running = engine::run(EngineSettings {
        models: models.collect(),
        name: flags.name,
        address: flags.address,
        control: flags.control,
        platform: flags.platform,
        spec,
        checks_fence: !flags.no_fence,
    })
    .await?;
    Ok((running.server.address, running.control.address))
}

async fn run_service(flags: flags::Service) -> anyhow::Result<Addresses> {
    let running = service::run(&flags.name, flags.address, flags.control, flags.platform).await?;
    Ok((running.server.address, running.control.address))
}
