//! Periodic announcement of stand-in endpoints to the platform's instance list.

use std::time::Duration;

use crate::kernel::membership::Incarnation;
use crate::log_service::ListedInstance;

const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);

/// Announces an endpoint to the platform at a fixed interval, forever.
///
/// `is_leaving` is evaluated for each announcement.
pub(super) async fn announce_periodically(
    platform: String,
    incarnation: Incarnation,
    is_leaving: impl Fn() -> bool + Send,
) {
    let client = reqwest::Client::new();
    let url = format!("http://{platform}/instances/{}", incarnation.name);
    loop {
        let instance = ListedInstance {
            incarnation: incarnation.clone(),
            leaving: is_leaving(),
            status: None,
        };
        // Errors are ignored: the next announcement replaces a lost one.
        let _ = client.put(&url).json(&instance).send().await;
        tokio::time::sleep(ANNOUNCE_INTERVAL).await;
    }
}
