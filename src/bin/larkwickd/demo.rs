//! The demo: runs an instance with a stand-in platform and a stand-in engine in one process,
//! publishes a configuration, and prints how to stream a response.

use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use larkwick::kernel::clock::SystemClock;
use larkwick::kernel::policy::LoadedModel;
use larkwick::log_service;
use larkwick::settings::parse_jsonc;
use larkwick::standin::engine::{EngineSettings, run as run_engine};
use larkwick::standin::engine_core::EngineSpec;
use larkwick::standin::platform::PlatformCore;
use larkwick::tool::check::parse_objects;
use larkwick::tool::publish::{PublishOutcome, PublishRequest, publish};
use larkwick::{App, Settings, any_loopback_port};

const OBJECTS: &str = include_str!("demo-objects.jsonc");
const SETTINGS: &str = include_str!("demo-settings.jsonc");
/// Address in [`OBJECTS`] that is replaced by that of the started engine.
const ENGINE_ADDRESS_PLACEHOLDER: &str = "127.0.0.1:1";

/// Runs the demo until it is stopped.
pub async fn run() -> anyhow::Result<()> {
    let core = Arc::new(PlatformCore::new(Arc::new(SystemClock::default())));
    let platform = log_service::embedded(core);
    let engine = run_engine(EngineSettings {
        name: "engine-1".to_owned(),
        address: any_loopback_port(),
        control: any_loopback_port(),
        platform: None,
        spec: EngineSpec::default(),
        models: vec![LoadedModel {
            name: "demo".to_owned(),
            version: "1".to_owned(),
        }],
        checks_fence: true,
    })
    .await?;
    let engine_address = engine.server.address.to_string();
    let objects = OBJECTS.replace(ENGINE_ADDRESS_PLACEHOLDER, &engine_address);
    let request = PublishRequest {
        objects: parse_objects("demo-objects.jsonc", &objects)?,
        deletes: Vec::new(),
        publisher: "demo".to_owned(),
        publish_id: None,
        wait: Duration::from_secs(5),
    };
    let outcome = publish(&platform, &request).await;
    anyhow::ensure!(
        matches!(outcome, PublishOutcome::Accepted { .. }),
        "demo configuration was not accepted: {outcome:?}"
    );
    let settings: Settings = parse_jsonc("demo-settings.jsonc", SETTINGS)?;
    let app = App::start_with_platform(settings, platform)
        .await
        .context("cannot start the demo instance")?;
    let addresses = app.addresses();
    println!("callers:   http://{}", addresses.caller);
    println!("operators: http://{}/debug/state", addresses.operator);
    println!(
        "try: curl -N http://{}/v1/completions -H 'Authorization: Bearer demo-key' -d '{{\"model\":\"demo\",\"prompt\":\"hello\",\"stream\":true}}'",
        addresses.caller
    );
    app.serve_until(async {
        let _ = tokio::signal::ctrl_c().await;
    })
    .await;
    Ok(())
}
