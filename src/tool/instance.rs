//! Talks to one instance: status, dump, drain and entries.

use anyhow::Context;
use serde_json::Value;

/// Reads a JSON answer of an instance.
///
/// # Errors
/// The instance cannot be reached or answers with an error.
pub async fn get(address: &str, path: &str) -> anyhow::Result<Value> {
    let url = format!("http://{address}{path}");
    let response = reqwest::get(&url)
        .await
        .with_context(|| format!("{address} cannot be reached; is it the right address?"))?;
    Ok(response.error_for_status()?.json().await?)
}

/// Begins a planned stop.
///
/// # Errors
/// The instance cannot be reached.
pub async fn drain(operator_address: &str) -> anyhow::Result<()> {
    let url = format!("http://{operator_address}/drain");
    let response = reqwest::Client::new().post(url).send().await;
    response
        .with_context(|| format!("{operator_address} cannot be reached"))?
        .error_for_status()?;
    Ok(())
}
