//! Platform plug-in `http`: speaks the protocol of docs/PLATFORM.md.
//!
//! After a failed call, the next call goes to the next address.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use async_trait::async_trait;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use super::{
    AppendLog, InstanceList, ListedInstance, LogPage, Platform, PlatformError, PlatformPlugin,
    PlatformResult,
};

const CALL_TIMEOUT: Duration = Duration::from_secs(3);

inventory::submit! { PlatformPlugin { name: "http", connect } }

#[derive(Debug)]
struct HttpPlatform {
    client: reqwest::Client,
    /// Addresses of the platform; at least one.
    addresses: Vec<String>,
    /// Index of the address to use, modulo the number of addresses. Incremented when a call fails.
    preferred: AtomicUsize,
}

#[derive(Deserialize)]
struct AppendResponse {
    offset: u64,
}

fn connect(addresses: &[String]) -> anyhow::Result<Platform> {
    anyhow::ensure!(
        !addresses.is_empty(),
        "platform plug-in \"http\" needs at least one address"
    );
    let platform = Arc::new(HttpPlatform {
        client: crate::endpoint::no_retry_client(CALL_TIMEOUT)?,
        addresses: addresses.to_vec(),
        preferred: AtomicUsize::new(0),
    });
    Ok(Platform {
        log: platform.clone(),
        instances: platform,
    })
}

impl HttpPlatform {
    fn url(&self, path: &str) -> String {
        let index = self.preferred.load(Ordering::Relaxed) % self.addresses.len();
        format!("http://{}{path}", self.addresses[index])
    }

    async fn call(&self, request: reqwest::RequestBuilder) -> PlatformResult<reqwest::Response> {
        let response = request
            .timeout(CALL_TIMEOUT)
            .send()
            .await
            .map_err(|error| {
                self.preferred.fetch_add(1, Ordering::Relaxed);
                if error.is_connect() {
                    PlatformError::Refused(error.to_string())
                } else {
                    PlatformError::NoAnswer(error.to_string())
                }
            })?;
        let status = response.status();
        if status.is_success() {
            return Ok(response);
        }
        self.preferred.fetch_add(1, Ordering::Relaxed);
        if status.as_u16() == 429 || status.as_u16() == 503 {
            return Err(PlatformError::Refused(status.to_string()));
        }
        Err(PlatformError::NoAnswer(status.to_string()))
    }

    async fn call_json<T: DeserializeOwned>(
        &self,
        request: reqwest::RequestBuilder,
    ) -> PlatformResult<T> {
        let response = self.call(request).await?;
        response
            .json()
            .await
            .map_err(|error| PlatformError::NoAnswer(error.to_string()))
    }
}

#[async_trait]
impl AppendLog for HttpPlatform {
    async fn append(&self, stream: &str, record: Value) -> PlatformResult<u64> {
        let url = self.url(&format!("/log/{stream}"));
        let response: AppendResponse = self.call_json(self.client.post(url).json(&record)).await?;
        Ok(response.offset)
    }

    async fn read(&self, stream: &str, from_offset: u64) -> PlatformResult<LogPage> {
        let url = self.url(&format!("/log/{stream}?from={from_offset}"));
        self.call_json(self.client.get(url)).await
    }
}

#[async_trait]
impl InstanceList for HttpPlatform {
    async fn list(&self) -> PlatformResult<Vec<ListedInstance>> {
        let url = self.url("/instances");
        self.call_json(self.client.get(url)).await
    }

    async fn announce(&self, instance: &ListedInstance) -> PlatformResult<()> {
        let url = self.url(&format!("/instances/{}", instance.incarnation.name));
        self.call(self.client.put(url).json(instance)).await?;
        Ok(())
    }
}
