//! Stand-in for a plain service: reads that may be repeated and recordings that may not.

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

/// The header that names a recording.
pub const IDEMPOTENCY_KEY_HEADER: &str = "Idempotency-Key";

/// Text in a path that makes the service break its answer off halfway.
pub const TRUNCATION_MARKER: &str = "cut-answer";

/// The time between the first half of a cut answer and the cut.
const CUT_DELAY: Duration = Duration::from_millis(20);

plain_data! {
    /// Properties of a plain-service stand-in.
    pub struct ServiceSettings {
        /// The loopback port; zero for a free one.
        pub port: u16,
        /// The requests that run at a time; the rest wait.
        pub capacity: usize,
        /// The time that one request takes.
        pub processing_time: Duration,
    }
}

impl Default for ServiceSettings {
    fn default() -> ServiceSettings {
        ServiceSettings { port: 0, capacity: 8, processing_time: Duration::from_millis(5) }
    }
}

plain_data! {
    /// What a service really did.
    #[derive(Default)]
    pub struct ServiceTally {
        /// The reads that ran.
        pub reads: u64,
        /// The runs of each recording by its idempotency key; an empty key where there was none.
        pub recordings: BTreeMap<String, u32>,
        /// The time that requests ran, summed over requests.
        pub busy_time: Duration,
    }
}

/// A running plain-service stand-in.
pub struct ServiceStandin {
    /// The address.
    address: SocketAddr,
    /// The state shared with the worker.
    shared: Arc<ServiceShared>,
    /// Stops the server.
    handle: ServerHandle,
    /// The server.
    server: JoinHandle<std::io::Result<()>>,
    /// The port, held until the stand-in is closed.
    _port: ReservedPort,
}

/// State shared between the handle and the worker.
struct ServiceShared {
    /// The settings.
    settings: ServiceSettings,
    /// The free places.
    places: Semaphore,
    /// The tally.
    tally: Mutex<ServiceTally>,
}

/// Returns the body with which a service answers a request.
pub fn expected_reply(method: &str, path: &str, body: &[u8]) -> String {
    let digest = xxh3_64(body);
    let text = format!("{method} {path} {digest:016x}");
    format!("{{\"request\":\"{method}\",\"digest\":\"{:016x}\"}}", xxh3_64(text.as_bytes()))
}

impl ServiceStandin {
    /// Starts a service; runs inside an actix system. Fails with
    /// [`ErrorKind::LocalResource`] when the port cannot be bound.
    pub fn bind(settings: ServiceSettings) -> Result<ServiceStandin, Report<ErrorKind>> {
        let port = ReservedPort::bind(settings.port)?;
        let shared = Arc::new(ServiceShared {
            places: Semaphore::new(settings.capacity),
            settings,
            tally: Mutex::new(ServiceTally::default()),
        });
        let state = Arc::clone(&shared);
        let server = HttpServer::new(move || {
            App::new()
                .app_data(web::Data::from(Arc::clone(&state)))
                .route("/tally", web::get().to(report_tally))
                .default_service(web::to(process))
        })
        .workers(1)
        .disable_signals()
        .h1_allow_half_closed(false)
        // Small parts of a stream must not wait for acknowledgements of earlier ones.
        .tcp_nodelay(true)
        .listen(port.listen()?)
        .change_context(ErrorKind::LocalResource)?
        .run();
        let handle = server.handle();
        let server = actix_rt::spawn(server);
        Ok(ServiceStandin { address: port.address(), shared, handle, server, _port: port })
    }

    /// Returns the address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns what the service has done so far.
    pub fn tally(&self) -> ServiceTally {
        self.shared.lock().clone()
    }

    /// Stops the service at once, cutting its connections.
    pub async fn close(self) {
        self.handle.stop(false).await;
        // The result repeats what `stop` has already waited for.
        let _ = self.server.await;
    }
}

impl ServiceShared {
    /// Locks the tally.
    fn lock(&self) -> MutexGuard<'_, ServiceTally> {
        self.tally.lock().expect("no code panics while it holds the tally")
    }
}

/// Runs a read or a recording.
///
/// A recording counts as run from the moment it is received, since its effect can no longer
/// be ruled out.
async fn process(
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
    let Ok(_place) = shared.places.acquire().await else {
        return HttpResponse::ServiceUnavailable().finish();
    };
    let span = shared.settings.processing_time;
    actix_rt::time::sleep(span).await;
    shared.lock().busy_time += span;
    let path = request.uri().path_and_query().map_or("/", |path| path.as_str());
    let reply = expected_reply(method, path, &body);
    if path.contains(TRUNCATION_MARKER) {
        return cut_reply(reply);
    }
    HttpResponse::Ok().content_type("application/json").body(reply)
}

/// Answers with the first half of a body whose whole length is announced.
fn cut_reply(mut reply: String) -> HttpResponse {
    let length = reply.len() as u64;
    reply.truncate(reply.len() / 2);
    let half = stream::iter([Ok(Bytes::from(reply))]);
    let cut = stream::once(async {
        // The server would drop what it has not flushed yet along with the connection.
        actix_rt::time::sleep(CUT_DELAY).await;
        Err(ErrorInternalServerError("the answer is cut"))
    });
    let body = SizedStream::new(length, Box::pin(half.chain(cut)));
    HttpResponse::Ok().content_type("application/json").body(body)
}

/// Answers with the tally.
async fn report_tally(shared: web::Data<ServiceShared>) -> HttpResponse {
    let tally = shared.lock().clone();
    HttpResponse::Ok().json(tally)
}
