//! One HTTP exchange with a caller: reads and admits a request and produces its response.

use std::rc::Rc;
use std::time::{Duration, Instant};

use http::request::Parts;
use http::{HeaderValue, Request, Response, header, response};
use hyper::body::Incoming;
use jackdaw_base::ErrorKind;
use jackdaw_platform::{RequestHead, ResponseHead};
use jackdaw_policy::direct::{KeyError, RouteConfig, RouteTable};
use xxhash_rust::xxh3::Xxh3;

use crate::caller_stream::CallerStream;
use crate::delivery::{DeliveredBody, DeliveryGuard};
use crate::edge_state::{EdgeStage, EdgeState};
use crate::local_response::LocalResponse;
use crate::request_body::{BodyFault, read_body};
use crate::request_context::{AdmittedRequest, RequestContext, RequestCustomer};
use crate::response_relay::{ResponseBody, WatchedRelay};
use crate::stream_head::StreamHead;
use crate::target_send::{TargetResponse, obtain_response};

/// Delay after which a caller may retry when this router is short of processor time; the retry
/// reaches another router.
const OVERLOAD_RETRY: Duration = Duration::from_millis(300);

/// Delay after which a caller may retry when this router is shutting down; the retry reaches another
/// router.
const STOPPING_RETRY: Duration = Duration::from_millis(100);

/// Serves one request and returns its response.
pub async fn serve_request(
    state: Rc<EdgeState>,
    caller: &CallerStream,
    request: Request<Incoming>,
) -> Response<DeliveredBody> {
    let received = Instant::now();
    let closes = !state.keeps_connections();
    let (parts, body) = request.into_parts();
    let deliver = || DeliveryGuard::new(caller.guard().served(), &state.deliveries);
    let head = match RequestHead::parse(&parts) {
        Ok(head) => head,
        Err(fault) => {
            log::info!(outcome = "malformed", reason = fault.describe(); "request malformed");
            let refusal = LocalResponse::new(ErrorKind::Malformed, fault.describe());
            let response = refusal.into_response(None, closes);
            let delivery = deliver();
            return response.map(|body| DeliveredBody::new(body, delivery, caller.progress()));
        }
    };
    let id = head.id.clone();
    let admitted = admit(&state, parts, head, body, received).await;
    caller.guard().end_request();
    let delivery = deliver();
    let mut response = match admitted {
        Ok(context) => respond(&context, caller).await,
        Err(refusal) => {
            log::info!(
                request:% = id,
                outcome = refusal.kind.slug(),
                status = refusal.kind.status(),
                detail = refusal.detail,
                config = state.router().config_version(),
                lag_ms = state.lag().as_millis() as u64;
                "request refused before target selection"
            );
            state.metrics.responses.add(&[("route", ""), ("outcome", refusal.kind.slug())], 1);
            refusal.into_response(Some(&id), closes)
        }
    };
    if closes || !state.keeps_connections() {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response.map(|body| DeliveredBody::new(body, delivery, caller.progress()))
}

/// Resolves the request's route, customer and service, and reads its body.
async fn admit(
    state: &Rc<EdgeState>,
    parts: Parts,
    head: RequestHead,
    body: Incoming,
    received: Instant,
) -> Result<RequestContext, LocalResponse> {
    let open = state.track_request();
    let table = state.router().table().cloned();
    let table = table.ok_or(LocalResponse {
        kind: ErrorKind::NotReady,
        detail: "the configuration is not known yet",
        retry_after: Duration::from_millis(500),
    })?;
    let route = table.find_route(&head.host, &head.path);
    let route =
        route.ok_or(LocalResponse::new(ErrorKind::NotFound, "no route matches host and path"))?;
    let lag = state.lag();
    if lag > route.latency_objective {
        return Err(LocalResponse {
            kind: ErrorKind::NotReady,
            detail: "the router is short of processor time",
            retry_after: OVERLOAD_RETRY,
        });
    }
    let customer = authorize(&table, route, &head)?;
    // A caller that goes on with a stream returns to the service that began it.
    let service = table.pick_service(route, head.first_attempt());
    let service =
        service.ok_or(LocalResponse::new(ErrorKind::NoCapacity, "the route has no service"))?;
    let limit = table.config().limits.body_bytes;
    let time_limit = head.timeout.min(route.timeout);
    // The caller's deadline also covers the time that the request waited to be read.
    let received = received.checked_sub(lag).unwrap_or(received);
    let outcome = tokio::select! {
        outcome = tokio::time::timeout(time_limit, read_body(state, body, limit)) => outcome,
        () = state.wait_stage(EdgeStage::Exiting) => return Err(stopping_response()),
    };
    let body = outcome.map_err(|_| {
        LocalResponse::new(ErrorKind::DeadlineUnreachable, "the body did not come in time")
    })?;
    let body = body.map_err(body_refusal)?;
    if !state.may_begin(received + time_limit) {
        return Err(stopping_response());
    }
    let fingerprint = fingerprint(customer.as_ref(), &parts, &body.bytes);
    let request = AdmittedRequest {
        parts,
        body: body.bytes,
        _body_lease: body.lease,
        head,
        route: route.clone(),
        service: service.to_owned(),
        customer,
        fingerprint,
        received,
        config_version: table.config().version,
    };
    Ok(RequestContext::new(state, request, open))
}

/// Returns the response to a request that this router is too late to begin.
fn stopping_response() -> LocalResponse {
    LocalResponse {
        kind: ErrorKind::NotReady,
        detail: "the router is shutting down",
        retry_after: STOPPING_RETRY,
    }
}

fn authorize(
    table: &RouteTable,
    route: &RouteConfig,
    head: &RequestHead,
) -> Result<Option<RequestCustomer>, LocalResponse> {
    let customer = table.authorize(route, head.api_key.as_deref()).map_err(|fault| {
        let detail = match fault {
            KeyError::Missing => "a key is needed",
            KeyError::Unknown => "no customer has the key",
        };
        LocalResponse::new(ErrorKind::Unauthorized, detail)
    })?;
    Ok(customer.map(|found| RequestCustomer {
        customer: found.customer,
        name: found.name.clone(),
        rank: table.rank_below_first(Some(found)),
        homes: found.homes.clone(),
    }))
}

/// Returns the response to a request whose body was not read.
fn body_refusal(fault: BodyFault) -> LocalResponse {
    match fault {
        BodyFault::TooLarge => {
            LocalResponse::new(ErrorKind::TooLarge, "the body is over the limit")
        }
        BodyFault::Broken => LocalResponse::new(ErrorKind::Malformed, "the body broke off"),
        BodyFault::NoRoom => LocalResponse {
            kind: ErrorKind::NotReady,
            detail: "bodies of other requests fill the memory",
            retry_after: OVERLOAD_RETRY,
        },
    }
}

/// Hashes customer, method, path and body to recognize repetitions of a request.
fn fingerprint(customer: Option<&RequestCustomer>, parts: &Parts, body: &[u8]) -> u64 {
    let mut digest = Xxh3::new();
    digest.update(&customer.map_or(0, |customer| customer.customer.0).to_le_bytes());
    digest.update(parts.method.as_str().as_bytes());
    digest.update(parts.uri.path_and_query().map_or("", |path| path.as_str()).as_bytes());
    digest.update(body);
    // 32 bits are enough for the few seconds that a fingerprint is used, and keep reports short.
    digest.digest() >> 32
}

/// Forwards an admitted request to targets and builds the response to its caller.
async fn respond(context: &RequestContext, caller: &CallerStream) -> Response<ResponseBody> {
    // Lets the connection first detect that its caller left while the request waited unread.
    tokio::task::yield_now().await;
    if context.inner.state.is_behind() && caller.has_closed() {
        // Dropping the context logs the outcome `caller-left`.
        let abandoned = LocalResponse::new(ErrorKind::NotReady, "the caller has left");
        return abandoned.into_response(Some(&context.inner.request.head.id), true);
    }
    context.record_arrival();
    let deadline = context.deadline_at();
    let result = tokio::select! {
        result = tokio::time::timeout_at(deadline, begin_response(context)) => {
            result.unwrap_or_else(|_| Err(context.timeout_response()))
        }
        () = context.inner.state.wait_stage(EdgeStage::Exiting) => Err(match context.inner.runs.get() {
            0 => stopping_response(),
            _ => LocalResponse::new(ErrorKind::Interrupted, "the router is shutting down"),
        }),
    };
    match result {
        Ok(TargetResponse::Complete(parts, body)) => {
            context.record_bytes();
            context.finish("answered", parts.status.as_u16());
            build_response(&parts, ResponseBody::complete(body))
        }
        Ok(TargetResponse::Stream(parts, source)) => {
            let _ = context.inner.stream_head.set(StreamHead::new(&parts));
            let relay = WatchedRelay::spawn(context.clone(), source, caller);
            build_response(&parts, ResponseBody::Relay(relay))
        }
        Err(failure) => {
            context.finish(failure.kind.slug(), failure.kind.status());
            failure.into_response(Some(&context.inner.request.head.id), false)
        }
    }
}

/// Finds out what the request goes on with, if anything, and sends it to targets.
async fn begin_response(context: &RequestContext) -> Result<TargetResponse, LocalResponse> {
    context.resolve_origin().await?;
    obtain_response(context).await
}

fn build_response(parts: &response::Parts, body: ResponseBody) -> Response<ResponseBody> {
    let mut response = Response::new(body);
    *response.status_mut() = parts.status;
    ResponseHead::copy_headers(&parts.headers, response.headers_mut());
    response
}
