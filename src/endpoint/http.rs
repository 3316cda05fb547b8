//! Endpoint plug-in `http`: speaks the protocol of docs/ENDPOINTS.md to engines and plain services.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use futures::{StreamExt, TryStreamExt};
use reqwest::header::{CONTENT_TYPE, HeaderMap};
use tokio_util::codec::{FramedRead, LinesCodec};
use tokio_util::io::StreamReader;
use uuid::Uuid;

use super::protocol::{
    ATTEMPT_ID_HEADER, CacheEvent, EngineEvent, GenerationRequest, NOT_ADMITTED_HEADER, Order,
    OrderStatus, REQUEST_ID_HEADER, Started,
};
use super::{
    Endpoint, EndpointPlugin, EngineStream, OrderError, ResumeError, ResumePosition, ServiceCall,
    ServiceResponse, StreamError, no_retry_client,
};
use crate::kernel::attempt::{AttemptFailure, SentAttempt, UnsentAttempt};
use crate::kernel::policy::LoadReport;

const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout for an engine to accept a generation. The engine may queue the generation afterwards.
const START_TIMEOUT: Duration = Duration::from_secs(5);
const LINE_MAX_BYTES: usize = 1 << 20;

inventory::submit! { EndpointPlugin { name: "http", connect } }

struct HttpEndpoint {
    name: String,
    base_url: String,
    client: reqwest::Client,
}

fn connect(name: &str, address: &str) -> anyhow::Result<Arc<dyn Endpoint>> {
    Ok(Arc::new(HttpEndpoint {
        name: name.to_owned(),
        base_url: format!("http://{address}"),
        client: no_retry_client(Duration::from_secs(1))?,
    }))
}

fn event_stream(response: reqwest::Response) -> EngineStream {
    let bytes = response.bytes_stream().map_err(std::io::Error::other);
    let lines = FramedRead::new(
        StreamReader::new(bytes),
        LinesCodec::new_with_max_length(LINE_MAX_BYTES),
    );
    let events = lines.map(|line| {
        let line = line.map_err(|error| StreamError(error.to_string()))?;
        serde_json::from_str(&line).map_err(|error| StreamError(error.to_string()))
    });
    Box::pin(events)
}

/// Reads the `Started` event. Returns it with the stream, which still begins with that event.
///
/// # Errors
/// The stream is empty, broken, or begins with another event.
async fn read_started_event(mut stream: EngineStream) -> Result<(Started, EngineStream), String> {
    match stream.next().await {
        Some(Ok(EngineEvent::Started(started))) => {
            let first = EngineEvent::Started(started.clone());
            let full_stream = futures::stream::once(async { Ok(first) }).chain(stream);
            Ok((started, Box::pin(full_stream)))
        }
        Some(Ok(_)) => Err("the first event is not \"started\"".to_owned()),
        Some(Err(error)) => Err(error.to_string()),
        None => Err("the stream was empty".to_owned()),
    }
}

/// Returns `true` if the header has the given id as its value.
fn has_matching_id(headers: &HeaderMap, name: &str, id: Uuid) -> bool {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.parse::<Uuid>().ok())
        == Some(id)
}

impl HttpEndpoint {
    fn url(&self, path: &str) -> String {
        format!("{}{path}", self.base_url)
    }

    /// Sends the request of an attempt.
    ///
    /// # Errors
    /// The failure tells whether the request may have run: it did not run if no connection was made
    /// or the endpoint refused admission; in all other cases it may have run.
    async fn send_attempt(
        &self,
        attempt: UnsentAttempt,
        request: reqwest::RequestBuilder,
        timeout: Duration,
    ) -> Result<SentResponse, AttemptFailure> {
        let attempt_id = attempt.attempt_id;
        let request = request.header(ATTEMPT_ID_HEADER, attempt_id.to_string());
        let result = tokio::time::timeout(timeout, request.send()).await;
        let response = match result {
            Ok(Err(error)) if error.is_connect() => return Err(attempt.not_connected(&self.name)),
            Ok(Err(error)) => return Err(attempt.mark_sent().lost(&self.name, &error.to_string())),
            Err(_) => return Err(attempt.mark_sent().lost(&self.name, "no answer in time")),
            Ok(Ok(response)) => response,
        };
        let sent = attempt.mark_sent();
        if has_matching_id(response.headers(), NOT_ADMITTED_HEADER, attempt_id) {
            return Err(sent.refused(&self.name));
        }
        Ok(SentResponse { sent, response })
    }

    async fn get_json<T: serde::de::DeserializeOwned>(&self, path: &str) -> anyhow::Result<T> {
        let request = self.client.get(self.url(path)).timeout(CONTROL_TIMEOUT);
        Ok(request.send().await?.error_for_status()?.json().await?)
    }
}

struct SentResponse {
    sent: SentAttempt,
    response: reqwest::Response,
}

#[async_trait]
impl Endpoint for HttpEndpoint {
    async fn generate(
        &self,
        attempt: UnsentAttempt,
        request: &GenerationRequest,
    ) -> Result<EngineStream, AttemptFailure> {
        let http = self.client.post(self.url("/v1/generations")).json(request);
        let SentResponse { sent, response } =
            self.send_attempt(attempt, http, START_TIMEOUT).await?;
        if !response.status().is_success() {
            let reason = format!("status {}", response.status());
            return Err(sent.lost(&self.name, &reason));
        }
        let first =
            tokio::time::timeout(START_TIMEOUT, read_started_event(event_stream(response))).await;
        let first = first.unwrap_or_else(|_| Err("no first event in time".to_owned()));
        match first {
            Err(reason) => Err(sent.lost(&self.name, &reason)),
            Ok((started, _))
                if started.attempt_id != sent.attempt_id
                    || started.request_id != request.request_id =>
            {
                Err(sent.lost(&self.name, "the answer belongs to another request"))
            }
            Ok((_, stream)) => Ok(stream),
        }
    }

    async fn resume(&self, from: &ResumePosition<'_>) -> Result<EngineStream, ResumeError> {
        let unreachable = |reason: String| ResumeError::Unreachable(reason);
        let path = format!("/v1/generations/{}?from={}", from.number, from.index);
        let response_future = self.client.get(self.url(&path)).send();
        let response = tokio::time::timeout(CONTROL_TIMEOUT, response_future)
            .await
            .map_err(|_| unreachable("no answer in time".to_owned()))?
            .map_err(|error| unreachable(error.to_string()))?;
        if response.status().as_u16() == 404 {
            return Err(ResumeError::Unknown);
        }
        if !response.status().is_success() {
            return Err(unreachable(response.status().to_string()));
        }
        let first =
            tokio::time::timeout(CONTROL_TIMEOUT, read_started_event(event_stream(response))).await;
        let (started, stream) = first
            .map_err(|_| unreachable("no first event in time".to_owned()))?
            .map_err(unreachable)?;
        if started.incarnation != from.incarnation || started.account != from.account {
            return Err(ResumeError::Unknown);
        }
        Ok(stream)
    }

    async fn cancel(&self, number: u64, incarnation: Uuid, unless_read: bool) {
        let path =
            format!("/v1/generations/{number}?incarnation={incarnation}&unless_read={unless_read}");
        let request = self.client.delete(self.url(&path)).timeout(CONTROL_TIMEOUT);
        // The error is ignored: a generation that was not cancelled ends by itself.
        let _ = request.send().await;
    }

    async fn load_report(&self) -> anyhow::Result<LoadReport> {
        self.get_json("/v1/load").await
    }

    async fn cache_events(&self, after_sequence: u64) -> anyhow::Result<Vec<CacheEvent>> {
        self.get_json(&format!("/v1/cache_events?after={after_sequence}"))
            .await
    }

    async fn send_order(
        &self,
        order: &Order,
        timeout: Duration,
    ) -> Result<OrderStatus, OrderError> {
        let unreachable = |error: reqwest::Error| OrderError::Unreachable(error.to_string());
        let request = self.client.post(self.url("/v1/orders")).json(order);
        let response = request.timeout(timeout).send().await.map_err(unreachable)?;
        if response.status().as_u16() == 409 {
            let status: OrderStatus = response.json().await.map_err(unreachable)?;
            return Err(OrderError::Fenced {
                newest_fence: status.fence,
            });
        }
        let response = response.error_for_status().map_err(unreachable)?;
        response.json().await.map_err(unreachable)
    }

    async fn call_service(
        &self,
        attempt: UnsentAttempt,
        call: &ServiceCall,
        timeout: Duration,
    ) -> Result<ServiceResponse, AttemptFailure> {
        let http = self
            .client
            .post(self.url(&format!("/{}", call.path)))
            .header(CONTENT_TYPE, &call.content_type)
            .header(REQUEST_ID_HEADER, call.request_id.to_string())
            .header("larkwick-account", &call.account)
            .body(call.body.clone());
        let SentResponse { sent, response } = self.send_attempt(attempt, http, timeout).await?;
        if !has_matching_id(response.headers(), REQUEST_ID_HEADER, call.request_id)
            || !has_matching_id(response.headers(), ATTEMPT_ID_HEADER, sent.attempt_id)
        {
            return Err(sent.lost(&self.name, "the answer belongs to another request"));
        }
        let status = response.status().as_u16();
        let content_type = response
            .headers()
            .get(CONTENT_TYPE)
            .and_then(|value| value.to_str().ok())
            .unwrap_or("application/octet-stream")
            .to_owned();
        match tokio::time::timeout(timeout, response.bytes()).await {
            Ok(Ok(body)) => Ok(ServiceResponse {
                status,
                content_type,
                body: body.to_vec(),
            }),
            Ok(Err(error)) => Err(sent.lost(&self.name, &error.to_string())),
            Err(_) => Err(sent.lost(&self.name, "the answer did not end in time")),
        }
    }
}
