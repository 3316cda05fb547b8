//! The daemon: every instance runs this program.

mod demo;
mod flags;

use std::process::ExitCode;

use larkwick::{App, Settings};

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
    larkwick::log::init("larkwickd", flags.verbose)?;
    if flags.demo {
        return runtime(None)?.block_on(demo::run());
    }
    let Some(path) = &flags.settings else {
        anyhow::bail!("no settings file; use 'larkwickd --settings FILE' or 'larkwickd --demo'");
    };
    let settings = Settings::read(path)?;
    runtime(settings.worker_threads)?.block_on(serve(settings))
}

fn runtime(worker_threads: Option<usize>) -> anyhow::Result<tokio::runtime::Runtime> {
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    if let Some(worker_threads) = worker_threads {
        builder.worker_threads(worker_threads);
    }
    Ok(builder.enable_all().build()?)
}

async fn serve(settings: Settings) -> anyhow::Result<()> {
    use tokio::signal::unix::{SignalKind, signal};
    let app = App::start(settings).await?;
    println!("{}", serde_json::to_string(&app.addresses())?);
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let stopped = app.drained_by(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    });
    stopped.await;
    Ok(())
}
