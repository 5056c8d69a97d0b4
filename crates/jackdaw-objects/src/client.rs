//! Implementation of [`ObjectStore`] over the platform's HTTP API.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use awc::error::SendRequestError;
use awc::http::{StatusCode, header};
use awc::{Client, ClientRequest};
use bytes::Bytes;
use error_stack::Report;
use jackdaw_base::{ErrorKind, MonotonicTime};
use serde::de::DeserializeOwned;

use crate::backoff::CallBackoff;
use crate::governor::{CallGovernor, CallPermission, GovernorSettings};
use crate::store::{
    CallCounts, OBJECT_LIMIT_BYTES, ObjectListing, ObjectStore, ObjectVersion, StoredObject,
    VmListing, WriteCondition,
};

/// Maximum size in bytes of a response body; listings are larger than single objects.
const RESPONSE_LIMIT_BYTES: usize = 8 * OBJECT_LIMIT_BYTES;

/// Address of the platform and limits on the calls to it.
#[derive(Debug, Clone)]
pub struct PlatformSettings {
    /// The address of the platform's object API.
    pub address: SocketAddr,
    /// The rate limit and the circuit breaker.
    pub governor: GovernorSettings,
    /// The maximum number of attempts per call.
    pub max_attempts: u32,
    /// The time limit of one call over all its attempts, not counting the wait of a watch.
    pub call_timeout: Duration,
    /// The upper bound of the wait after the first attempt.
    pub initial_backoff: Duration,
    /// The upper bound of any wait between attempts.
    pub max_backoff: Duration,
}

impl PlatformSettings {
    /// Creates settings with the default limits for the platform at `address`.
    pub fn new(address: SocketAddr) -> PlatformSettings {
        PlatformSettings {
            address,
            governor: GovernorSettings::default(),
            max_attempts: 4,
            call_timeout: Duration::from_secs(3),
            initial_backoff: Duration::from_millis(20),
            max_backoff: Duration::from_millis(500),
        }
    }
}

/// Client of the platform's object API.
///
/// Clones share the connections, the budget, the circuit breaker and the counters.
#[derive(Clone)]
pub struct PlatformClient {
    shared: Rc<SharedClient>,
}

/// State that all clones of a client share.
struct SharedClient {
    settings: PlatformSettings,
    http: Client,
    origin: Instant,
    governor: RefCell<CallGovernor>,
    counts: RefCell<CallCounts>,
}

/// Kind of a call, by which calls are counted.
#[derive(Debug, Clone, Copy)]
enum CallKind {
    Read,
    Write,
    List,
    Watch,
}

/// A call, which every attempt sends unchanged.
struct CallRequest<'a> {
    kind: CallKind,
    path: &'a str,
    condition: Option<WriteCondition>,
    value: Bytes,
    /// How long the platform may delay the response.
    wait: Duration,
}

impl<'a> CallRequest<'a> {
    /// Creates a call without condition and body.
    fn get(kind: CallKind, path: &'a str, wait: Duration) -> CallRequest<'a> {
        CallRequest { kind, path, condition: None, value: Bytes::new(), wait }
    }
}

/// Response of the platform to one attempt.
struct CallResponse {
    status: StatusCode,
    version: Option<ObjectVersion>,
    body: Bytes,
}

/// Why an attempt got no usable response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AttemptError {
    /// The platform did not execute the call.
    NotExecuted,
    /// The platform may have executed the call.
    Ambiguous,
}

/// Response to a call after all its attempts.
struct CallOutcome {
    response: CallResponse,
    /// Whether an earlier attempt may have taken effect.
    ambiguous: bool,
}

impl PlatformClient {
    /// Opens a client, which connects on its first call.
    ///
    /// Must be used within an actix runtime.
    pub fn open(settings: PlatformSettings) -> PlatformClient {
        let http = Client::builder().disable_redirects().disable_timeout().finish();
        let governor = CallGovernor::new(&settings.governor, MonotonicTime(0));
        let shared = SharedClient {
            settings,
            http,
            origin: Instant::now(),
            governor: RefCell::new(governor),
            counts: RefCell::default(),
        };
        PlatformClient { shared: Rc::new(shared) }
    }

    /// Repeats a call until it gets a response, its attempts are used up or its time limit passes.
    async fn call(&self, request: &CallRequest<'_>) -> Result<CallOutcome, Report<ErrorKind>> {
        let settings = &self.shared.settings;
        let deadline = self.now().after(settings.call_timeout + request.wait);
        let mut backoff = CallBackoff::new(settings.initial_backoff, settings.max_backoff);
        let mut ambiguous = false;
        for attempt in 1..=settings.max_attempts {
            self.acquire(deadline).await?;
            match self.attempt(request).await {
                Ok(response) => return Ok(CallOutcome { response, ambiguous }),
                Err(AttemptError::Ambiguous) => ambiguous = true,
                Err(AttemptError::NotExecuted) => {}
            }
            let wait = backoff.next_wait(&mut rand::rng());
            if attempt == settings.max_attempts || self.now().after(wait) >= deadline {
                break;
            }
            actix_rt::time::sleep(wait).await;
        }
        let report = Report::new(ErrorKind::PlatformUnavailable);
        Err(report.attach(format!("no response to {} after all attempts", request.path)))
    }

    /// Waits until the governor permits a call; fails if the circuit breaker is open or the budget
    /// permits no call before the deadline.
    async fn acquire(&self, deadline: MonotonicTime) -> Result<(), Report<ErrorKind>> {
        loop {
            let permission = self.shared.governor.borrow_mut().request(self.now());
            match permission {
                CallPermission::Granted => return Ok(()),
                CallPermission::Delayed(wait) if self.now().after(wait) < deadline => {
                    actix_rt::time::sleep(wait).await;
                }
                CallPermission::Delayed(_) => {
                    return Err(Report::new(ErrorKind::BudgetExhausted)
                        .attach("the process has used up its budget of platform calls"));
                }
                CallPermission::Refused => {
                    return Err(Report::new(ErrorKind::PlatformUnavailable)
                        .attach("the circuit breaker is open"));
                }
            }
        }
    }

    /// Makes one attempt and records its result.
    async fn attempt(&self, request: &CallRequest<'_>) -> Result<CallResponse, AttemptError> {
        self.count_call(request);
        let limit = self.shared.settings.governor.attempt_timeout + request.wait;
        let result = match actix_rt::time::timeout(limit, self.send(request)).await {
            Ok(result) => result,
            Err(_) => Err(AttemptError::Ambiguous),
        };
        let mut governor = self.shared.governor.borrow_mut();
        let mut counts = self.shared.counts.borrow_mut();
        match &result {
            Ok(response) => {
                governor.record_success();
                counts.bytes_received += response.body.len() as u64;
            }
            Err(_) => {
                governor.record_failure(self.now(), &mut rand::rng());
                counts.failures += 1;
            }
        }
        result
    }

    /// Sends the request and reads the response.
    async fn send(&self, request: &CallRequest<'_>) -> Result<CallResponse, AttemptError> {
        let prepared = self.prepare(request);
        let mut response = match prepared.send_body(request.value.clone()).await {
            Ok(response) => response,
            Err(SendRequestError::Url(_)) => return Err(AttemptError::NotExecuted),
            // A connection that closed after sending gives the same error as one that was never
            // established.
            Err(_) => return Err(AttemptError::Ambiguous),
        };
        let status = response.status();
        if status == StatusCode::TOO_MANY_REQUESTS {
            return Err(AttemptError::NotExecuted);
        }
        if status.is_server_error() {
            return Err(AttemptError::Ambiguous);
        }
        let version = response.headers().get(header::ETAG).and_then(parse_etag);
        let body = response.body().limit(RESPONSE_LIMIT_BYTES).await;
        let body = body.map_err(|_| AttemptError::Ambiguous)?;
        Ok(CallResponse { status, version, body })
    }

    /// Builds the HTTP request: a GET, or a PUT with the write condition as a header.
    fn prepare(&self, request: &CallRequest<'_>) -> ClientRequest {
        let url = format!("http://{}{}", self.shared.settings.address, request.path);
        match request.condition {
            None => self.shared.http.get(url),
            Some(WriteCondition::Absent) => {
                self.shared.http.put(url).insert_header((header::IF_NONE_MATCH, "*"))
            }
            Some(WriteCondition::Version(version)) => {
                let tag = format!("\"{}\"", version.0);
                self.shared.http.put(url).insert_header((header::IF_MATCH, tag))
            }
        }
    }

    /// Makes a call whose response is a JSON document.
    async fn fetch<T: DeserializeOwned>(
        &self,
        request: &CallRequest<'_>,
    ) -> Result<T, Report<ErrorKind>> {
        let response = self.call(request).await?.response;
        if response.status != StatusCode::OK {
            return Err(unexpected_status(request, response.status));
        }
        serde_json::from_slice(&response.body).map_err(|error| {
            Report::new(ErrorKind::ProtocolViolation)
                .attach(format!("the response to {} cannot be decoded: {error}", request.path))
        })
    }

    /// Resolves a failed condition when an earlier attempt may have taken effect: the write
    /// succeeded if the object holds its value.
    async fn read_back(
        &self,
        key: &str,
        value: &Bytes,
    ) -> Result<ObjectVersion, Report<ErrorKind>> {
        match self.read(key).await? {
            Some(object) if object.value == *value => Ok(object.version),
            _ => Err(version_conflict(key)),
        }
    }

    /// Counts one attempt and the bytes that it sends.
    fn count_call(&self, request: &CallRequest<'_>) {
        let mut counts = self.shared.counts.borrow_mut();
        match request.kind {
            CallKind::Read => counts.reads += 1,
            CallKind::Write => counts.writes += 1,
            CallKind::List => counts.lists += 1,
            CallKind::Watch => counts.watches += 1,
        }
        counts.bytes_sent += request.value.len() as u64;
    }

    /// Returns the time since the client was opened.
    fn now(&self) -> MonotonicTime {
        MonotonicTime(self.shared.origin.elapsed().as_micros() as u64)
    }
}

impl ObjectStore for PlatformClient {
    async fn read(&self, key: &str) -> Result<Option<StoredObject>, Report<ErrorKind>> {
        let path = format!("/objects/{key}");
        let request = CallRequest::get(CallKind::Read, &path, Duration::ZERO);
        let response = self.call(&request).await?.response;
        match (response.status, response.version) {
            (StatusCode::OK, Some(version)) => {
                Ok(Some(StoredObject { version, value: response.body }))
            }
            (StatusCode::NOT_FOUND, _) => Ok(None),
            (status, _) => Err(unexpected_status(&request, status)),
        }
    }

    async fn write(
        &self,
        key: &str,
        condition: WriteCondition,
        value: Bytes,
    ) -> Result<ObjectVersion, Report<ErrorKind>> {
        let path = format!("/objects/{key}");
        let request = CallRequest {
            kind: CallKind::Write,
            path: &path,
            condition: Some(condition),
            value,
            wait: Duration::ZERO,
        };
        let outcome = self.call(&request).await?;
        match (outcome.response.status, outcome.response.version) {
            (StatusCode::OK | StatusCode::CREATED, Some(version)) => Ok(version),
            (StatusCode::PRECONDITION_FAILED, _) if outcome.ambiguous => {
                self.read_back(key, &request.value).await
            }
            (StatusCode::PRECONDITION_FAILED, _) => Err(version_conflict(key)),
            (StatusCode::PAYLOAD_TOO_LARGE, _) => {
                Err(Report::new(ErrorKind::TooLarge).attach(format!("object {key}")))
            }
            (status, _) => Err(unexpected_status(&request, status)),
        }
    }

    async fn list(&self, prefix: &str) -> Result<ObjectListing, Report<ErrorKind>> {
        let path = format!("/list?prefix={prefix}");
        self.fetch(&CallRequest::get(CallKind::List, &path, Duration::ZERO)).await
    }

    async fn watch(
        &self,
        prefix: &str,
        after: ObjectVersion,
        wait: Duration,
    ) -> Result<ObjectListing, Report<ErrorKind>> {
        let millis = wait.as_millis();
        let path = format!("/watch?prefix={prefix}&after={}&wait_millis={millis}", after.0);
        self.fetch(&CallRequest::get(CallKind::Watch, &path, wait)).await
    }

    async fn watch_vms(&self, after: u64, wait: Duration) -> Result<VmListing, Report<ErrorKind>> {
        let path = format!("/vms?after={after}&wait_millis={}", wait.as_millis());
        self.fetch(&CallRequest::get(CallKind::Watch, &path, wait)).await
    }

    fn counts(&self) -> CallCounts {
        *self.shared.counts.borrow()
    }
}

/// Parses the version from an entity tag.
fn parse_etag(value: &header::HeaderValue) -> Option<ObjectVersion> {
    let number = value.to_str().ok()?.trim_matches('"').parse().ok()?;
    Some(ObjectVersion(number))
}

fn version_conflict(key: &str) -> Report<ErrorKind> {
    Report::new(ErrorKind::VersionConflict).attach(format!("object {key}"))
}

fn unexpected_status(request: &CallRequest<'_>, status: StatusCode) -> Report<ErrorKind> {
    Report::new(ErrorKind::ProtocolViolation)
        .attach(format!("unexpected status {status} in the response to {}", request.path))
}
