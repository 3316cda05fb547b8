//! Calls of plain services, with retries at other endpoints.

use std::sync::Arc;

use rand::seq::SliceRandom;
use spdlog::info;

use super::endpoints::is_departed;
use super::node::Node;
use super::request::{CallerRequest, RequestedWork};
use super::response::{ResponseEvent, ResponseSink};
use crate::endpoint::{ServiceCall, ServiceResponse};
use crate::error::{Error, ErrorKind, Result};
use crate::kernel::attempt::{AttemptFailure, FailedAttempts, UnsentAttempt};
use crate::kernel::object::Endpoint as EndpointObject;
use crate::kernel::rules::Workload;
use crate::settings::ms;

/// Runs a service call and writes its response to `sink`.
pub(crate) async fn run(node: &Arc<Node>, request: &CallerRequest, sink: &ResponseSink) {
    let event = match call_service(node, request).await {
        Ok(response) => ResponseEvent::Service(response),
        Err(error) => error.into(),
    };
    sink.send(event).await;
}

/// Tries the endpoints of the service, those of this hall first, until one answers.
///
/// A failed attempt that may have run is retried only if the request is repeatable. Each retry is
/// charged to the retry budget of the account.
async fn call_service(node: &Arc<Node>, request: &CallerRequest) -> Result<ServiceResponse> {
    let RequestedWork::Service {
        service,
        path,
        content_type,
        body,
    } = &request.work
    else {
        return Err(Error::new(ErrorKind::Internal, "not a service call"));
    };
    let catalog = node.catalog();
    let account = catalog.account_for_key(&request.bearer_key)?;
    let call = ServiceCall {
        path: path.clone(),
        content_type: content_type.clone(),
        body: body.clone(),
        request_id: request.request_id,
        account: account.name.clone(),
    };
    let timeout = request.options.deadline;
    let deadline = node.now() + timeout.unwrap_or(ms(node.settings.times.deadline_ms));
    let allowed = catalog.allowed_endpoints(account, Workload::Service(service))?;
    let mut endpoints: Vec<EndpointObject> = allowed
        .iter()
        .map(|allowed| catalog.endpoints[allowed.index].clone())
        .collect();
    endpoints.shuffle(&mut rand::rng());
    endpoints.sort_by_key(|endpoint| endpoint.hall != node.settings.hall);
    node.record_first_attempt(&account.name);
    let mut failures = FailedAttempts::default();
    for endpoint in &endpoints {
        if !failures.is_empty() && !node.try_spend_retry(&account.name) {
            break;
        }
        // Checked immediately before sending, since the departure may have become known while other
        // endpoints were tried.
        if is_departed(
            node,
            &endpoint.name,
            node.endpoints.incarnation(&endpoint.name),
        ) {
            continue;
        }
        let Some(client) = node.endpoints.client_for(endpoint) else {
            continue;
        };
        let attempt = UnsentAttempt::default();
        let attempt_id = attempt.attempt_id;
        let request_id = request.request_id;
        info!("attempt", kv: {
            request_id:,
            attempt_id:,
            endpoint = endpoint.name.as_str(),
        });
        let timeout = deadline.saturating_sub(node.now());
        match client.call_service(attempt, &call, timeout).await {
            Ok(response) => return Ok(response),
            Err(AttemptFailure::MayHaveRun(error)) if !request.options.repeatable => {
                return Err(error);
            }
            Err(failed) => failures.record(failed),
        }
        if node.now() >= deadline {
            break;
        }
    }
    Err(failures.error(Error::new(
        ErrorKind::NoEndpoint,
        "no endpoint of this service is live",
    )))
}
