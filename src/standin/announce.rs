//! How stand-in endpoints announce themselves to the platform's list.

use std::time::Duration;

use crate::kernel::membership::Incarnation;
use crate::log_service::ListedInstance;

const ANNOUNCE_EVERY: Duration = Duration::from_millis(500);

/// Announces an endpoint for as long as it runs; `leaving` is asked each time.
pub(super) async fn run(
    platform: String,
    incarnation: Incarnation,
    leaving: impl Fn() -> bool + Send,
) {
    let client = reqwest::Client::new();
    let url = format!("http://{platform}/instances/{}", incarnation.name);
    loop {
        let instance = ListedInstance {
            incarnation: incarnation.clone(),
            leaving: leaving(),
            status: None,
        };
        // An announcement that is lost is made up for by the next one.
        let _ = client.put(&url).json(&instance).send().await;
        tokio::time::sleep(ANNOUNCE_EVERY).await;
    }
}
