//! Fleet configuration as a single versioned value.

use std::time::Duration;

use jackdaw_base::{CustomerId, plain_data};

use crate::direct::request_rate::RequestRate;

plain_data! {
    /// Complete fleet configuration; a higher version replaces a lower one.
    pub struct FleetConfig {
        /// Version, counted from one; zero stands for no configuration.
        pub version: u64,
        /// Routes in no particular order; the longest matching path prefix wins.
        pub routes: Vec<RouteConfig>,
        /// Services that routes refer to by name.
        pub services: Vec<ServiceConfig>,
        /// Customers with their keys; empty if requests carry no keys.
        pub customers: Vec<CustomerConfig>,
        /// Limits on callers' connections and requests.
        pub limits: CallerLimits,
    }
}

plain_data! {
    copy
    /// Execution semantics of a route's requests, which decide whether they may be retried.
    pub enum RequestKind {
        /// Safe to execute any number of times.
        Idempotent,
        /// Must be executed at most once.
        Once,
        /// Answered by a stream of events.
        Stream {
            /// Whether another run can resume the stream after a given event.
            resumable: bool,
        },
    }
}

impl RequestKind {
    /// Returns whether a second run does no harm after the first one was cut off. This includes
    /// streams that a second run can resume.
    pub fn is_idempotent(self) -> bool {
        match self {
            RequestKind::Idempotent => true,
            RequestKind::Once => false,
            RequestKind::Stream { resumable } => resumable,
        }
    }
}

plain_data! {
    /// Route that maps requests to services, with the limits that apply to them.
    pub struct RouteConfig {
        /// Name of the route.
        pub name: String,
        /// Host name in lower case, without a port.
        pub host: String,
        /// Path prefix of matching requests; begins and ends with a slash.
        pub path_prefix: String,
        /// Whether and how requests may be retried.
        pub kind: RequestKind,
        /// Maximum time that a request may wait for its response.
        pub timeout: Duration,
        /// Time to the response, or to the first event of a stream, that counts as on time.
        pub latency_objective: Duration,
        /// Longest pause between two events of a stream that counts as on time; `None` if the route
        /// states none. Snapshots carry it apart, since older builds do not know it.
        #[serde(skip)]
        pub pause_objective: Option<Duration>,
        /// Priority of the requests; zero is the highest.
        pub priority: u32,
        /// Maximum number of targets to which one request may be sent.
        pub max_attempts: u32,
        /// Whether requests are accepted without a key.
        pub is_public: bool,
        /// Regions to which the route's requests are confined; empty if they may go to all. Snapshots
        /// carry them apart, since older builds do not know them.
        #[serde(skip)]
        pub homes: Vec<String>,
        /// Services among which the route divides its requests.
        pub services: Vec<ServiceWeight>,
    }
}

plain_data! {
    /// Weight of one service of a route.
    pub struct ServiceWeight {
        /// Name of the service.
        pub service: String,
        /// Weight relative to the other services of the route.
        pub weight: u32,
    }
}

plain_data! {
    /// Properties of a service that all its targets share.
    pub struct ServiceConfig {
        /// Name of the service.
        pub name: String,
        /// Maximum number of connections that one target accepts from all routers.
        pub connection_limit: u32,
        /// Memory of one target in tokens; `None` for a plain service.
        pub memory_tokens: Option<u64>,
        /// What the service's targets take while they are cold; `None` if they are never cold.
        /// Snapshots carry it apart, since older builds do not know it.
        #[serde(skip)]
        pub cold_start: Option<ColdStart>,
        /// How targets copy cached prompt parts from each other; `None` if they cannot. Snapshots carry
        /// it apart, since older builds do not know it.
        #[serde(skip)]
        pub cache_transfer: Option<CacheTransfer>,
    }
}

plain_data! {
    copy
    /// Speed at which one target copies cached prompt parts from another.
    pub struct CacheTransfer {
        /// Size of the cache of one token, in bytes.
        pub token_bytes: u32,
        /// Bandwidth of a target's link, in bytes per millisecond.
        pub bytes_per_ms: u64,
    }
}

impl CacheTransfer {
    /// Returns the time to copy the cache of `tokens`.
    pub fn time(self, tokens: u64) -> Duration {
        let bytes = tokens.saturating_mul(u64::from(self.token_bytes));
        Duration::from_micros(bytes.saturating_mul(1000) / self.bytes_per_ms.max(1))
    }
}

plain_data! {
    copy
    /// Behavior of a service's targets after their start.
    pub struct ColdStart {
        /// How long a target is cold.
        pub duration: Duration,
        /// Requests that a cold target takes from all routers together.
        pub rate: RequestRate,
    }
}

plain_data! {
    /// Customer with its keys.
    pub struct CustomerConfig {
        /// Identifier, derived from the name.
        pub customer: CustomerId,
        /// Name of the customer.
        pub name: String,
        /// Secret keys that authorize the customer's requests.
        pub keys: Vec<String>,
        /// Priority, which overrides that of the route.
        pub priority: Option<u32>,
        /// Regions to which the customer's requests are confined; empty if they may go to all.
        /// Snapshots carry them apart, since older builds do not know them.
        #[serde(skip)]
        pub homes: Vec<String>,
    }
}

plain_data! {
    /// Limits on callers' connections and requests.
    pub struct CallerLimits {
        /// Maximum size of a request head in bytes.
        pub header_bytes: usize,
        /// Maximum size of a request body in bytes.
        pub body_bytes: usize,
        /// Time within which a request head must arrive completely.
        pub header_timeout: Duration,
        /// Time after which an idle connection is closed.
        pub idle_timeout: Duration,
        /// Total capacity of the targets in tokens per second; a generated token counts twice.
        pub tokens_per_second: u64,
    }
}
