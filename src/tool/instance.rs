//! HTTP client for one instance: status, state dump, drain, entries and crash suspects.

use anyhow::Context;
use serde_json::Value;

/// Sends a GET request to an instance and parses the JSON response.
///
/// # Errors
/// Fails if the instance cannot be reached, responds with an error status, or sends no valid JSON.
pub async fn get_json(address: &str, path: &str) -> anyhow::Result<Value> {
    let url = format!("http://{address}{path}");
    let response = reqwest::get(&url)
        .await
        .with_context(|| format!("cannot reach {address}; check the address"))?;
    Ok(response.error_for_status()?.json().await?)
}

/// Begins a planned stop (drain) of an instance.
///
/// # Errors
/// Fails if the instance cannot be reached or responds with an error status.
pub async fn drain(operator_address: &str) -> anyhow::Result<()> {
    let url = format!("http://{operator_address}/drain");
    let response = reqwest::Client::new().post(url).send().await;
    response
        .with_context(|| format!("cannot reach {operator_address}"))?
        .error_for_status()?;
    Ok(())
}

/// Releases a crash suspect: all instances discard the crashes recorded for this request
/// fingerprint and count from zero again.
///
/// # Errors
/// Fails if the instance cannot be reached, does not know the fingerprint, or rejects its format.
pub async fn release_suspect(operator_address: &str, fingerprint: &str) -> anyhow::Result<()> {
    let url = format!("http://{operator_address}/suspects/{fingerprint}/let-go");
    let response = reqwest::Client::new().post(url).send().await;
    let response = response.with_context(|| format!("cannot reach {operator_address}"))?;
    match response.status() {
        reqwest::StatusCode::NOT_FOUND => {
            anyhow::bail!(
                "{operator_address} does not know the fingerprint {fingerprint:?}; see `larkwick suspects list`"
            )
        }
        reqwest::StatusCode::BAD_REQUEST => {
            anyhow::bail!("invalid fingerprint {fingerprint:?}: expected 48 hexadecimal digits")
        }
        _ => Ok(response.error_for_status().map(drop)?),
    }
}
