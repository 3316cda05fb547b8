//! The daemon. Each running process is one instance.

mod demo;
mod flags;

use std::path::Path;
use std::process::ExitCode;

use larkwick::gateway::app::GatewayApp;
use larkwick::log::LogOutput;
use larkwick::{App, Settings};
use tokio::signal::unix::{SignalKind, signal};

fn main() -> ExitCode {
    let flags = flags::Larkwickd::from_env_or_exit();
    match run(&flags) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("larkwickd: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(flags: &flags::Larkwickd) -> anyhow::Result<()> {
    if flags.demo {
        larkwick::log::init("larkwickd", flags.verbose, LogOutput::Stderr)?;
        return runtime(None)?.block_on(demo::run());
    }
    let Some(path) = &flags.settings else {
        anyhow::bail!("no settings file; use 'larkwickd --settings FILE' or 'larkwickd --demo'");
    };
    let settings = Settings::read(path)?;
    let runtime = runtime(settings.worker_threads)?;
    if settings.routing.is_some() {
        larkwick::log::init("larkwickd", flags.verbose, LogOutput::Stdout)?;
        return runtime.block_on(serve_routes(settings, path));
    }
    larkwick::log::init("larkwickd", flags.verbose, LogOutput::Stderr)?;
    runtime.block_on(serve(settings))
}

/// Builds the async runtime. With one worker thread it uses the current-thread scheduler: the
/// multi-thread scheduler costs thread wake-ups.
fn runtime(worker_threads: Option<usize>) -> anyhow::Result<tokio::runtime::Runtime> {
    let mut builder = match worker_threads {
        Some(1) => tokio::runtime::Builder::new_current_thread(),
        _ => tokio::runtime::Builder::new_multi_thread(),
    };
    if let Some(worker_threads) = worker_threads.filter(|threads| *threads > 1) {
        builder.worker_threads(worker_threads);
    }
    Ok(builder.enable_all().build()?)
}

/// Runs a gateway instance until SIGTERM or SIGINT. SIGHUP reloads the settings.
async fn serve_routes(settings: Settings, path: &Path) -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let app = GatewayApp::start(settings, Some(path)).await?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => app.reload(),
        }
    }
    app.stop().await;
    Ok(())
}

/// Runs an instance until SIGTERM, SIGINT or a drain by an operator, and waits until it is drained.
/// Prints its addresses as JSON once it has started.
async fn serve(settings: Settings) -> anyhow::Result<()> {
    let app = App::start(settings).await?;
    println!("{}", serde_json::to_string(&app.addresses())?);
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let drained = app.serve_until(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    });
    drained.await;
    Ok(())
}
