//! Adapter of [`ObjectStore`] over the platform's HTTP interface.

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

/// The most bytes that an answer may have; listings are longer than single objects.
const ANSWER_LIMIT_BYTES: usize = 8 * OBJECT_LIMIT_BYTES;

/// Where the platform is and how often it may be called.
#[derive(Debug, Clone)]
pub struct PlatformSettings {
    /// The address of the platform's object API.
    pub address: SocketAddr,
    /// The limits on calls.
    pub governor: GovernorSettings,
    /// The attempts that one call may take.
    pub max_attempts: u32,
    /// The time that one call may take with all its attempts, waits of watches apart.
    pub call_timeout: Duration,
    /// The first bound of the wait between attempts.
    pub initial_backoff: Duration,
    /// The longest wait between attempts.
    pub max_backoff: Duration,
}

impl PlatformSettings {
    /// Creates settings with the default limits.
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

/// Kind of a call, for the counters.
#[derive(Debug, Clone, Copy)]
enum CallKind {
    Read,
    Write,
    List,
    Watch,
}

/// One call as it is sent, possibly several times.
struct CallRequest<'a> {
    kind: CallKind,
    path: &'a str,
    condition: Option<WriteCondition>,
    value: Bytes,
    /// The time for which the platform may hold the answer back.
    wait: Duration,
}

impl<'a> CallRequest<'a> {
    /// Creates a call without a body.
    fn get(kind: CallKind, path: &'a str, wait: Duration) -> CallRequest<'a> {
        CallRequest { kind, path, condition: None, value: Bytes::new(), wait }
    }
}

/// Answer of the platform to one attempt.
struct CallAnswer {
    status: StatusCode,
    version: Option<ObjectVersion>,
    body: Bytes,
}

/// Why an attempt brought no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AttemptFault {
    /// The platform did not act on the call.
    NotTaken,
    /// The platform may have acted on the call.
    Ambiguous,
}

/// Answer to a call after all its attempts.
struct CallOutcome {
    answer: CallAnswer,
    /// Whether an earlier attempt may have taken effect.
    ambiguous: bool,
}

impl PlatformClient {
    /// Opens a client; no call is made until it is used.
    ///
    /// It must be used within an actix runtime.
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

    /// Makes a call until it is answered, its attempts are used up or its time is over.
    async fn call(&self, request: &CallRequest<'_>) -> Result<CallOutcome, Report<ErrorKind>> {
        let settings = &self.shared.settings;
        let deadline = self.now().after(settings.call_timeout + request.wait);
        let mut backoff = CallBackoff::new(settings.initial_backoff, settings.max_backoff);
        let mut ambiguous = false;
        for attempt in 1..=settings.max_attempts {
            self.acquire(deadline).await?;
            match self.attempt(request).await {
                Ok(answer) => return Ok(CallOutcome { answer, ambiguous }),
                Err(AttemptFault::Ambiguous) => ambiguous = true,
                Err(AttemptFault::NotTaken) => {}
            }
            let wait = backoff.next_wait(&mut rand::rng());
            if attempt == settings.max_attempts || self.now().after(wait) >= deadline {
                break;
            }
            actix_rt::time::sleep(wait).await;
        }
        let report = Report::new(ErrorKind::PlatformUnavailable);
        Err(report.attach(format!("no answer to the call of {}", request.path)))
    }

    /// Waits until the budget allows a call.
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
                        .attach("the process has made all the platform calls that it may"));
                }
                CallPermission::Refused => {
                    return Err(Report::new(ErrorKind::PlatformUnavailable)
                        .attach("the circuit breaker is open"));
                }
            }
        }
    }

    /// Makes one attempt and records its end.
    async fn attempt(&self, request: &CallRequest<'_>) -> Result<CallAnswer, AttemptFault> {
        self.count_call(request);
        let limit = self.shared.settings.governor.attempt_timeout + request.wait;
        let result = match actix_rt::time::timeout(limit, self.send(request)).await {
            Ok(result) => result,
            Err(_) => Err(AttemptFault::Ambiguous),
        };
        let mut governor = self.shared.governor.borrow_mut();
        let mut counts = self.shared.counts.borrow_mut();
        match &result {
            Ok(answer) => {
                governor.record_success();
                counts.bytes_received += answer.body.len() as u64;
            }
            Err(_) => {
                governor.record_failure(self.now(), &mut rand::rng());
                counts.failures += 1;
            }
        }
        result
    }

    /// Sends the request and reads the answer.
    async fn send(&self, request: &CallRequest<'_>) -> Result<CallAnswer, AttemptFault> {
        let prepared = self.prepare(request);
        let mut response = match prepared.send_body(request.value.clone()).await {
            Ok(response) => response,
            Err(SendRequestError::Url(_)) => return Err(AttemptFault::NotTaken),
            // A connection closed after sending is reported like one that was never made.
            Err(_) => return Err(AttemptFault::Ambiguous),
        };
        let status = response.status();
        if status == StatusCode::TOO_MANY_REQUESTS {
            return Err(AttemptFault::NotTaken);
        }
        if status.is_server_error() {
            return Err(AttemptFault::Ambiguous);
        }
        let version = response.headers().get(header::ETAG).and_then(parse_etag);
        let body = response.body().limit(ANSWER_LIMIT_BYTES).await;
        let body = body.map_err(|_| AttemptFault::Ambiguous)?;
        Ok(CallAnswer { status, version, body })
    }

    /// Builds the HTTP request.
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

    /// Makes a call whose answer is a JSON document.
    async fn fetch<T: DeserializeOwned>(
        &self,
        request: &CallRequest<'_>,
    ) -> Result<T, Report<ErrorKind>> {
        let answer = self.call(request).await?.answer;
        if answer.status != StatusCode::OK {
            return Err(unexpected_status(request, answer.status));
        }
        serde_json::from_slice(&answer.body).map_err(|error| {
            Report::new(ErrorKind::ProtocolViolation)
                .attach(format!("the answer to {} cannot be read: {error}", request.path))
        })
    }

    /// Decides what a refused condition means where an earlier attempt may have taken effect.
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

    /// Counts one attempt.
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

    /// Returns the time on this client's own clock.
    fn now(&self) -> MonotonicTime {
        MonotonicTime(self.shared.origin.elapsed().as_micros() as u64)
    }
}

impl ObjectStore for PlatformClient {
    async fn read(&self, key: &str) -> Result<Option<StoredObject>, Report<ErrorKind>> {
        let path = format!("/objects/{key}");
        let request = CallRequest::get(CallKind::Read, &path, Duration::ZERO);
        let answer = self.call(&request).await?.answer;
        match (answer.status, answer.version) {
            (StatusCode::OK, Some(version)) => {
                Ok(Some(StoredObject { version, value: answer.body }))
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
        match (outcome.answer.status, outcome.answer.version) {
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

/// Reads the version from an entity tag.
fn parse_etag(value: &header::HeaderValue) -> Option<ObjectVersion> {
    let number = value.to_str().ok()?.trim_matches('"').parse().ok()?;
    Some(ObjectVersion(number))
}

fn version_conflict(key: &str) -> Report<ErrorKind> {
    Report::new(ErrorKind::VersionConflict).attach(format!("object {key}"))
}

fn unexpected_status(request: &CallRequest<'_>, status: StatusCode) -> Report<ErrorKind> {
    Report::new(ErrorKind::ProtocolViolation)
        .attach(format!("the platform answered {status} to the call of {}", request.path))
}
