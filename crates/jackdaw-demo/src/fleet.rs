//! The processes of the demo, all inside this one.

use std::net::SocketAddr;
use std::time::Duration;

use error_stack::Report;
use jackdaw_base::ErrorKind;
use jackdaw_standin::{
    EngineSettings, EngineStandin, EngineTally, EngineUsage, ServiceSettings, ServiceStandin,
    ServiceTally,
};

use crate::args::DemoSettings;
use crate::population::CustomerPlan;

/// The model that every engine answers for.
pub const MODEL_NAME: &str = "drafts";

/// The path under which the plain service is reached.
pub const SERVICE_PREFIX: &str = "/cobranza";

/// Places of an engine.
pub const ENGINE_PLACES: usize = 8;

/// Engines for each plain-service target.
const ENGINES_PER_SERVICE: usize = 4;

/// The time of an engine's step before any request is counted.
const STEP_BASE: Duration = Duration::from_millis(4);

/// A running fleet.
pub struct DemoFleet {
    /// The engines.
    engines: Vec<EngineStandin>,
    /// The plain-service targets.
    services: Vec<ServiceStandin>,
}

impl DemoFleet {
    /// Starts all processes and waits until they serve.
    pub async fn spawn(
        settings: &DemoSettings,
        _customers: &[CustomerPlan],
    ) -> Result<DemoFleet, Report<ErrorKind>> {
        let mut engines = Vec::with_capacity(settings.targets);
        for index in 0..settings.targets {
            engines.push(EngineStandin::bind(EngineSettings {
                models: vec![MODEL_NAME.to_owned()],
                batch_places: ENGINE_PLACES,
                step_base: STEP_BASE,
                seed: settings.seed + index as u64,
                ..EngineSettings::default()
            })?);
        }
        let mut services = Vec::new();
        for _ in 0..settings.targets.div_ceil(ENGINES_PER_SERVICE) {
            services.push(ServiceStandin::bind(ServiceSettings::default())?);
        }
        Ok(DemoFleet { engines, services })
    }

    /// Returns the addresses to which callers send completions, one for each router.
    pub fn completion_entries(&self) -> Vec<SocketAddr> {
        self.engines.iter().map(EngineStandin::address).collect()
    }

    /// Returns the addresses to which callers send reads and recordings, one for each router.
    pub fn service_entries(&self) -> Vec<SocketAddr> {
        self.services.iter().map(ServiceStandin::address).collect()
    }

    /// Returns the addresses of the engines themselves.
    pub fn engine_addresses(&self) -> Vec<SocketAddr> {
        self.engines.iter().map(EngineStandin::address).collect()
    }

    /// Returns the usage of each engine.
    pub fn engine_usages(&self) -> Vec<EngineUsage> {
        self.engines.iter().map(EngineStandin::usage).collect()
    }

    /// Returns the tally of each engine.
    pub fn engine_tallies(&self) -> Vec<EngineTally> {
        self.engines.iter().map(EngineStandin::tally).collect()
    }

    /// Returns the tally of each plain-service target.
    pub fn service_tallies(&self) -> Vec<ServiceTally> {
        self.services.iter().map(ServiceStandin::tally).collect()
    }

    /// Returns the calls that the platform stand-in has counted.
    pub fn platform_calls(&self) -> u64 {
        0
    }

    /// Returns the bytes that routers and agents have sent on control streams.
    pub fn control_bytes(&self) -> u64 {
        0
    }

    /// Returns the number of routers and agents.
    pub fn node_count(&self) -> usize {
        self.engines.len() + self.services.len()
    }

    /// Stops all processes.
    pub async fn close(self) {
        for engine in self.engines {
            engine.close().await;
        }
        for service in self.services {
            service.close().await;
        }
    }
}
