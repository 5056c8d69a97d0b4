//! The configuration of a fleet as one versioned value.

use std::time::Duration;

use jackdaw_base::{CustomerId, plain_data};

plain_data! {
    /// A whole configuration; a higher version replaces a lower one.
    pub struct FleetConfig {
        /// The version.
        pub version: u64,
        /// The routes.
        pub routes: Vec<RouteConfig>,
        /// The services.
        pub services: Vec<ServiceConfig>,
        /// The customers; empty where requests carry no keys.
        pub customers: Vec<CustomerConfig>,
        /// The limits of callers' requests.
        pub limits: CallerLimits,
    }
}

plain_data! {
    copy
    /// What may be repeated of a request.
    pub enum RequestKind {
        /// It may run any number of times.
        Idempotent,
        /// It may run once at the most.
        Once,
        /// Its answer is a stream of events.
        Stream {
            /// Whether another run may go on after a given event.
            resumable: bool,
        },
    }
}

impl RequestKind {
    /// Returns whether a further run does no harm.
    pub fn is_repeatable(self) -> bool {
        match self {
            RequestKind::Idempotent => true,
            RequestKind::Once => false,
            RequestKind::Stream { resumable } => resumable,
        }
    }
}

plain_data! {
    /// A route: which requests go to which service, and under which limits.
    pub struct RouteConfig {
        /// The name.
        pub name: String,
        /// The host, in lower case.
        pub host: String,
        /// The start of the paths; begins and ends with a slash.
        pub path_prefix: String,
        /// What may be repeated.
        pub kind: RequestKind,
        /// The longest time for which a request may be kept waiting.
        pub timeout: Duration,
        /// The time to the answer, or to the first event, within which it is on time.
        pub latency_objective: Duration,
        /// The rank; zero goes first.
        pub priority: u32,
        /// The targets to which one request may be sent.
        pub max_attempts: u32,
        /// Whether the route needs no key.
        pub is_public: bool,
        /// The services with their weights.
        pub services: Vec<ServiceWeight>,
    }
}

plain_data! {
    /// Part of a route's requests that goes to one service.
    pub struct ServiceWeight {
        /// The service.
        pub service: String,
        /// The weight among the route's services.
        pub weight: u32,
    }
}

plain_data! {
    /// What is stated of a service.
    pub struct ServiceConfig {
        /// The name.
        pub name: String,
        /// The connections that one target takes from all routers.
        pub connection_limit: u32,
        /// The tokens that one target keeps; `None` for a plain service.
        pub memory_tokens: Option<u64>,
    }
}

plain_data! {
    /// A customer with its keys.
    pub struct CustomerConfig {
        /// The identifier, derived from the name.
        pub customer: CustomerId,
        /// The name.
        pub name: String,
        /// The secret keys.
        pub keys: Vec<String>,
        /// The rank, which goes before that of the route.
        pub priority: Option<u32>,
    }
}

plain_data! {
    /// Limits of callers' requests.
    pub struct CallerLimits {
        /// The most bytes of a request's head.
        pub header_bytes: usize,
        /// The most bytes of a request's body.
        pub body_bytes: usize,
        /// The longest time in which a head may arrive.
        pub header_timeout: Duration,
        /// The time for which a connection may be idle.
        pub idle_timeout: Duration,
        /// The tokens that the targets produce a second together; a token written counts twice.
        pub tokens_per_second: u64,
    }
}
