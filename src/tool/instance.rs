//! Talks to one instance: status, dump, drain, entries and the contents that endpoints ended under.

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

/// Has a content that endpoints ended under counted from nothing, at all instances.
///
/// # Errors
/// The instance cannot be reached, or knows no such content.
pub async fn let_suspect_go(operator_address: &str, content: &str) -> anyhow::Result<()> {
    let url = format!("http://{operator_address}/suspects/{content}/let-go");
    let response = reqwest::Client::new().post(url).send().await;
    let response = response.with_context(|| format!("{operator_address} cannot be reached"))?;
    match response.status() {
        reqwest::StatusCode::NOT_FOUND => {
            anyhow::bail!(
                "{operator_address} knows no content {content:?}; see `larkwick suspects list`"
            )
        }
        reqwest::StatusCode::BAD_REQUEST => {
            anyhow::bail!("{content:?} names no content; 48 hexadecimal digits are wanted")
        }
        _ => Ok(response.error_for_status().map(drop)?),
    }
}
