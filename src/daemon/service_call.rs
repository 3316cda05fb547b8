//! A call of a plain service.

use std::sync::Arc;

use rand::seq::SliceRandom;
use spdlog::info;

use super::answer::{AnswerEvent, AnswerSink};
use super::endpoints::is_departed;
use super::node::Node;
use super::request::{CallerRequest, RequestedWork};
use crate::endpoint::{ServiceAnswer, ServiceCall};
use crate::error::{Error, ErrorKind, Result};
use crate::kernel::attempt::{AttemptFailure, FailedAttempts, UnsentAttempt};
use crate::kernel::object::Endpoint as EndpointObject;
use crate::kernel::rules::Workload;
use crate::settings::ms;

/// Runs the call and writes its answer.
pub(crate) async fn run(node: &Arc<Node>, request: &CallerRequest, sink: &AnswerSink) {
    let event = match call(node, request).await {
        Ok(answer) => AnswerEvent::Service(answer),
        Err(error) => error.into(),
    };
    sink.send(event).await;
}

async fn call(node: &Arc<Node>, request: &CallerRequest) -> Result<ServiceAnswer> {
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
    let deadline = request.options.deadline;
    let deadline = node.now() + deadline.unwrap_or(ms(node.settings.times.deadline_ms));
    let allowed = catalog.allowed_endpoints(account, Workload::Service(service))?;
    let mut endpoints: Vec<EndpointObject> = allowed
        .iter()
        .map(|one| catalog.endpoints[one.index].clone())
        .collect();
    endpoints.shuffle(&mut rand::rng());
    endpoints.sort_by_key(|endpoint| endpoint.hall != node.settings.hall);
    node.count_first_try(&account.name);
    let mut failures = FailedAttempts::default();
    for endpoint in &endpoints {
        if !failures.is_empty() && !node.take_retry(&account.name) {
            break;
        }
        // The last step before sending: news of a departure may have come while others were tried.
        if is_departed(
            node,
            &endpoint.name,
            node.endpoints.incarnation(&endpoint.name),
        ) {
            continue;
        }
        let Some(client) = node.endpoints.client(endpoint) else {
            continue;
        };
        let attempt = UnsentAttempt::default();
        let attempt_id = attempt.attempt_id;
        let request_id = request.request_id;
        info!("attempt", kv: { request_id:, attempt_id:, endpoint = endpoint.name.as_str() });
        let timeout = deadline.saturating_sub(node.now());
        match client.call(attempt, &call, timeout).await {
            Ok(answer) => return Ok(answer),
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
