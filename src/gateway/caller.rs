//! From a caller's request to its answer: head, route, key, body, then the way that fits the route.

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{Request, Response};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use rand::RngExt;
use spdlog::info;

use super::answer_body::{AnswerBody, whole};
use super::call::CallHead;
use super::inbound_call::Call;
use super::node::{Gateway, Stage};
use super::site_store::Subject;
use super::{generation, held, plain_call};
use crate::error::{Error, ErrorKind, Result};
use crate::kernel::clock::millis;
use crate::kernel::route::{CallKind, Route, RouteTable};
use crate::platform::ingress;

/// Longest wait for the next part of a body.
const BODY_PAUSE_MAX: Duration = Duration::from_secs(5);

impl Gateway {
    /// The error for a call that comes before the configuration is known.
    pub(crate) fn not_ready(&self) -> Error {
        let retry_after = if self.store.is_failing(Subject::Configuration) {
            STORE_AWAY_RETRY_AFTER
        } else {
            NOT_READY_RETRY_AFTER
        };
        Error::new(
            ErrorKind::StandingDown,
            "this instance knows no configuration yet; use another address or come back",
        )
        .with_retry_after(retry_after)
    }
}

/// A start takes about this long once the store answers.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(500);
/// While the store is away and no member knows a configuration, nothing can be answered before it returns. Outages on the users' sites last
/// 4.5 to 9 s; at any moment of one about half of that is left.
const STORE_AWAY_RETRY_AFTER: Duration = Duration::from_secs(3);

/// Answers a caller's request.
pub(crate) async fn answer(
    gateway: Arc<Gateway>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let arrived = gateway.now();
    let stage = gateway.in_flight.stage();
    let answered = match take(&gateway, request, arrived).await {
        Ok(call) => match call.route.kind {
            CallKind::Generation => generation::answer(call).await,
            CallKind::Once | CallKind::Repeatable => plain_call::answer(call).await,
        },
        Err(refused) => {
            tell_refused(&gateway, &refused, arrived);
            ingress::refusal(&refused.error).map(whole)
        }
    };
    let mut answered = answered;
    if stage == Stage::Leaving {
        let close = http::HeaderValue::from_static("close");
        answered
            .headers_mut()
            .insert(http::header::CONNECTION, close);
    }
    answered
}

/// A call that was refused before it had a route.
struct Refused {
    request_id: String,
    error: Error,
}

fn tell_refused(gateway: &Gateway, refused: &Refused, arrived: Duration) {
    metrics::counter!("larkwick_calls_total", "outcome" => format!("{:?}", refused.error.kind))
        .increment(1);
    if crate::log::admits("call refused") {
        info!("call refused", kv: {
            request_id = refused.request_id.as_str(),
            kind:? = refused.error.kind,
            why = refused.error.message.as_str(),
            config_version: = gateway.config_version(),
            took_ms: = millis(gateway.now().saturating_sub(arrived)),
        });
    }
}

async fn take(
    gateway: &Arc<Gateway>,
    request: Request<Incoming>,
    arrived: Duration,
) -> std::result::Result<Call, Refused> {
    let (parts, body) = request.into_parts();
    let counted = gateway.begin_call();
    let head = ingress::decode_head(&parts).map_err(|error| Refused {
        request_id: String::new(),
        error,
    })?;
    let refused = |error| Refused {
        request_id: head.request_id.clone(),
        error,
    };
    held::hold(gateway, &head).await;
    let table = gateway
        .table()
        .ok_or_else(|| refused(gateway.not_ready()))?;
    let routed = route(&table, &head).map_err(refused)?;
    if !fits_before_stop(gateway, &routed.route, &head) {
        return Err(refused(stopping()));
    }
    let deadline = head.deadline.unwrap_or(routed.route.timeout);
    let deadline = arrived + deadline.min(routed.route.timeout);
    let body = read_body(body, table.config().limits.body_max_bytes)
        .await
        .map_err(refused)?;
    Ok(Call {
        gateway: gateway.clone(),
        table,
        head,
        parts,
        body,
        service: routed.service,
        account: routed.account,
        priority: routed.priority,
        route: routed.route,
        arrived,
        deadline,
        content: OnceLock::new(),
        _counted: counted,
    })
}

/// Whether a call will surely have its answer before this instance ends; always, where it was not asked to stop.
fn fits_before_stop(gateway: &Gateway, route: &Route, head: &CallHead) -> bool {
    let Some(left) = gateway.time_until_stop() else {
        return true;
    };
    let most = match (&head.tokens, route.kind) {
        (Some(tokens), CallKind::Generation) => {
            let made_s = f64::from(tokens.made_max_tokens) / MADE_TOKENS_PER_S;
            FIRST_EVENT_MAX + Duration::from_secs_f64(made_s)
        }
        _ => route.timeout,
    };
    most.min(route.timeout) < left
}

/// The error for a call that would be cut by a planned stop: another instance takes it at once.
fn stopping() -> Error {
    Error::new(
        ErrorKind::StandingDown,
        "this instance is stopping; use another address",
    )
    .with_retry_after(STOPPING_RETRY_AFTER)
}

/// Time to a first event on engines under load.
const FIRST_EVENT_MAX: Duration = Duration::from_secs(2);
/// Tokens that a generation makes in a second at the least; half of what was measured on crowded engines.
const MADE_TOKENS_PER_S: f64 = 32.0;
/// Other instances are ready now.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(20);

/// Where a call goes and for whom.
struct Routed {
    route: Route,
    service: String,
    account: Option<String>,
    priority: u8,
}

fn route(table: &RouteTable, head: &CallHead) -> Result<Routed> {
    let route = table.find(&head.host, &head.path)?;
    let account = table.authorize(route, head.key.as_deref())?;
    let drawn = rand::rng().random_range(0.0..1.0);
    Ok(Routed {
        service: route.choose_service(drawn).to_owned(),
        account: account.name().map(str::to_owned),
        priority: account.priority(route),
        route: route.clone(),
    })
}

/// Reads a body whole: it may have to be sent again, and an endpoint never waits for a slow caller.
async fn read_body(mut body: Incoming, max_bytes: usize) -> Result<Bytes> {
    let too_large = || {
        Error::new(
            ErrorKind::TooLarge,
            format!("the body exceeds {max_bytes} bytes"),
        )
    };
    let told = body.size_hint().lower();
    if told > u64::try_from(max_bytes).unwrap_or(u64::MAX) {
        return Err(too_large());
    }
    let mut whole = BytesMut::new();
    loop {
        let frame = tokio::time::timeout(BODY_PAUSE_MAX, body.frame()).await;
        let frame = frame.map_err(|_| Error::new(ErrorKind::BodyTimeout, "the body stopped"))?;
        let Some(frame) = frame else { break };
        let frame =
            frame.map_err(|error| Error::new(ErrorKind::BadRequest, format!("body: {error}")))?;
        if let Some(data) = frame.data_ref() {
            whole.extend_from_slice(data);
            if whole.len() > max_bytes {
                return Err(too_large());
            }
        }
    }
    Ok(whole.freeze())
}
