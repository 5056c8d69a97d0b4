//! Stand-in for a plain HTTP service: `GET` reads, which are idempotent, and `POST` recordings,
//! which are not.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use actix_rt::task::JoinHandle;
use actix_web::body::SizedStream;
use actix_web::dev::ServerHandle;
use actix_web::error::ErrorInternalServerError;
use actix_web::{App, HttpRequest, HttpResponse, HttpServer, web};
use bytes::Bytes;
use error_stack::{Report, ResultExt};
use futures_util::{StreamExt, stream};
use jackdaw_base::{ErrorKind, plain_data};
use tokio::sync::Semaphore;
use xxhash_rust::xxh3::xxh3_64;

use crate::port::ReservedPort;

/// The request header whose value identifies a recording.
pub const IDEMPOTENCY_KEY_HEADER: &str = "Idempotency-Key";

/// Text in a request path that makes the service cut its response off halfway.
pub const TRUNCATION_MARKER: &str = "cut-answer";

/// The delay between the first half of a truncated response and the end of the connection.
const TRUNCATION_DELAY: Duration = Duration::from_millis(20);

plain_data! {
    /// Settings of a plain-service stand-in.
    pub struct ServiceSettings {
        /// The loopback port; zero picks a free one.
        pub port: u16,
        /// The number of requests processed concurrently; further ones wait.
        pub capacity: usize,
        /// The processing time of a request.
        pub processing_time: Duration,
    }
}

impl Default for ServiceSettings {
    fn default() -> ServiceSettings {
        ServiceSettings { port: 0, capacity: 8, processing_time: Duration::from_millis(5) }
    }
}

plain_data! {
    /// The work that a service performed.
    #[derive(Default)]
    pub struct ServiceTally {
        /// The number of reads received.
        pub reads: u64,
        /// The number of times each recording was received, by idempotency key; requests without
        /// a key are counted under the empty key.
        pub recordings: BTreeMap<String, u32>,
        /// The total processing time over all requests.
        pub busy_time: Duration,
    }
}

/// Handle of a running plain-service stand-in.
pub struct ServiceStandin {
    /// The bound address.
    address: SocketAddr,
    /// State shared with the worker.
    shared: Arc<ServiceShared>,
    /// Handle that stops the server.
    handle: ServerHandle,
    /// The task that runs the server.
    server: JoinHandle<std::io::Result<()>>,
    /// Holds the port until the stand-in is closed.
    _port: ReservedPort,
}

/// State shared between the handle and the worker.
struct ServiceShared {
    settings: ServiceSettings,
    /// Permits for concurrent requests.
    permits: Semaphore,
    tally: Mutex<ServiceTally>,
}

/// Returns the response body that a service sends for a request.
pub fn expected_reply(method: &str, path: &str, body: &[u8]) -> String {
    let digest = xxh3_64(body);
    let text = format!("{method} {path} {digest:016x}");
    format!("{{\"request\":\"{method}\",\"digest\":\"{:016x}\"}}", xxh3_64(text.as_bytes()))
}

impl ServiceStandin {
    /// Starts a service; must be called inside an actix system.
    ///
    /// Fails with [`ErrorKind::LocalResource`] if the port cannot be bound.
    pub fn bind(settings: ServiceSettings) -> Result<ServiceStandin, Report<ErrorKind>> {
        let port = ReservedPort::bind(settings.port)?;
        let shared = Arc::new(ServiceShared {
            permits: Semaphore::new(settings.capacity),
            settings,
            tally: Mutex::new(ServiceTally::default()),
        });
        let state = Arc::clone(&shared);
        let server = HttpServer::new(move || {
            App::new()
                .app_data(web::Data::from(Arc::clone(&state)))
                .route("/tally", web::get().to(report_tally))
                .default_service(web::to(handle_request))
        })
        .workers(1)
        .disable_signals()
        .h1_allow_half_closed(false)
        // With Nagle's algorithm, small stream chunks would wait for earlier acknowledgements.
        .tcp_nodelay(true)
        .listen(port.listen()?)
        .change_context(ErrorKind::LocalResource)?
        .run();
        let handle = server.handle();
        let server = actix_rt::spawn(server);
        Ok(ServiceStandin { address: port.address(), shared, handle, server, _port: port })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the work performed so far.
    pub fn tally(&self) -> ServiceTally {
        self.shared.lock().clone()
    }

    /// Stops the service immediately, closing open connections.
    pub async fn close(self) {
        self.handle.stop(false).await;
        // `stop` has already waited for the server to end.
        let _ = self.server.await;
    }
}

impl ServiceShared {
    fn lock(&self) -> MutexGuard<'_, ServiceTally> {
        self.tally.lock().expect("no code panics while it holds the tally")
    }
}

/// Processes a read or a recording.
///
/// A recording is counted when it is received, because from then on it may take effect.
async fn handle_request(
    request: HttpRequest,
    body: Bytes,
    shared: web::Data<ServiceShared>,
) -> HttpResponse {
    let method = request.method().as_str();
    match method {
        "GET" => shared.lock().reads += 1,
        "POST" => {
            let key = request.headers().get(IDEMPOTENCY_KEY_HEADER);
            let key = key.and_then(|value| value.to_str().ok()).unwrap_or_default();
            *shared.lock().recordings.entry(key.to_owned()).or_default() += 1;
        }
        _ => return HttpResponse::MethodNotAllowed().finish(),
    }
    let Ok(_permit) = shared.permits.acquire().await else {
        return HttpResponse::ServiceUnavailable().finish();
    };
    let processing_time = shared.settings.processing_time;
    actix_rt::time::sleep(processing_time).await;
    shared.lock().busy_time += processing_time;
    let path = request.uri().path_and_query().map_or("/", |path| path.as_str());
    let reply = expected_reply(method, path, &body);
    if path.contains(TRUNCATION_MARKER) {
        return truncated_reply(reply);
    }
    HttpResponse::Ok().content_type("application/json").body(reply)
}

/// Sends the first half of a body after announcing its full `Content-Length`, then fails the body.
fn truncated_reply(mut reply: String) -> HttpResponse {
    let length = reply.len() as u64;
    reply.truncate(reply.len() / 2);
    let half = stream::iter([Ok(Bytes::from(reply))]);
    let cut = stream::once(async {
        // Without the delay, the server closes the connection before it flushes the first half.
        actix_rt::time::sleep(TRUNCATION_DELAY).await;
        Err(ErrorInternalServerError("response truncated on request"))
    });
    let body = SizedStream::new(length, Box::pin(half.chain(cut)));
    HttpResponse::Ok().content_type("application/json").body(body)
}

/// Handles `GET /tally`.
async fn report_tally(shared: web::Data<ServiceShared>) -> HttpResponse {
    let tally = shared.lock().clone();
    HttpResponse::Ok().json(tally)
}
