//! A fleet of routers, agents, targets and a platform stand-in inside the current process.

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use actix_rt::time::sleep;
use error_stack::Report;
use jackdaw_agent::AgentOptions;
use jackdaw_base::{
    CustomerRecord, DomainId, ErrorKind, ServiceId, ServiceKind, ServiceRecord, TargetRecord,
    TicketNumber, VmRecord, VmState,
};
use jackdaw_link::{FleetAuthority, FleetIdentity, LinkSettings, ProcessRole};
use jackdaw_objects::{ChangeTicket, PlatformClient, PlatformSettings, TicketAcceptor, digest_key};
use jackdaw_policy::{AgentPolicy, RouterPolicy, SharePolicy};
use jackdaw_router::RouterOptions;
use jackdaw_router::caller_server::CallerSettings;
use jackdaw_standin::{
    EngineSettings, EngineStandin, EngineTally, EngineUsage, PlatformStandin, ServiceSettings,
    ServiceStandin, ServiceTally, StandinSettings, expected_reply,
};

use crate::client::{CallOutcome, CallerClient, CompletionCall, ServiceCall};
use crate::cpu::{thread_cpu_time, thread_ids};
use crate::node::{FleetNode, NodeOptions};
use crate::population::CustomerPlan;

/// The model that every engine serves.
pub const MODEL_NAME: &str = "drafts";

/// The path prefix that routes requests to the plain service.
pub const SERVICE_PREFIX: &str = "/cobranza";

/// The name of the service that the engines provide.
const ENGINE_SERVICE: &str = "asistente";

/// The name of the plain service.
const PLAIN_SERVICE: &str = "cobranza";

/// The number of engines per plain-service target.
const ENGINES_PER_SERVICE_TARGET: usize = 4;

/// The failure domains, assigned to the VMs in rotation.
const DOMAIN_NAMES: [&str; 3] = ["ba-a", "ba-b", "ba-c"];

/// The validity of the certificates in days.
const CERTIFICATE_DAYS: u32 = 2;

/// The maximum size of a request body in bytes.
const BODY_LIMIT: usize = 1 << 20;

/// The time within which a run must start if the caller does not state one.
const DEFAULT_PATIENCE: Duration = Duration::from_secs(30);

/// The lower bound of the number of requests that a customer may queue at one router.
const MIN_QUEUE_LIMIT: usize = 64;

/// The time within which every router must serve both services.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// The delay between readiness probes.
const READY_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The deadline of the requests of a readiness probe.
const PROBE_DEADLINE: Duration = Duration::from_secs(2);

/// Size and configuration of a fleet.
#[derive(Debug, Clone)]
pub struct FleetPlan {
    /// The number of routers.
    pub routers: usize,
    /// The number of engines.
    pub engines: usize,
    /// The settings of the engines; each engine gets its own seed.
    pub engine: EngineSettings,
    /// The policy by which agents select among offers.
    pub policy: SharePolicy,
    /// The base from which the seeds of the processes are derived.
    pub seed: u64,
}

/// Handle of a running fleet.
pub struct DemoFleet {
    platform: PlatformStandin,
    engines: Vec<EngineStandin>,
    services: Vec<ServiceStandin>,
    agents: Vec<FleetNode>,
    routers: Vec<FleetNode>,
    /// The identifiers of all threads that the routers use.
    router_threads: BTreeSet<u64>,
}

/// Starts the agents and routers of a fleet and collects their VM records.
struct FleetBuilder {
    /// The size and configuration of the fleet.
    plan: FleetPlan,
    platform: PlatformStandin,
    /// The authority that issues all certificates.
    authority: FleetAuthority,
    /// The records of the VMs started so far.
    vms: Vec<VmRecord>,
}

impl DemoFleet {
    /// Starts all processes and waits until each router serves both services.
    ///
    /// Fails with [`ErrorKind::NotReady`] if a router does not serve both before the readiness
    /// timeout.
    pub async fn spawn(
        plan: FleetPlan,
        customers: &[CustomerPlan],
    ) -> Result<DemoFleet, Report<ErrorKind>> {
        let platform = PlatformStandin::bind(StandinSettings::default())?;
        accept_ticket(&platform, &plan, customers).await?;
        let authority = FleetAuthority::generate(CERTIFICATE_DAYS)?;
        let mut builder = FleetBuilder { plan, platform, authority, vms: Vec::new() };
        let mut engines = Vec::with_capacity(builder.plan.engines);
        let mut services = Vec::new();
        let mut agents = Vec::new();
        for index in 0..builder.plan.engines {
            let seed = builder.plan.seed + index as u64;
            let settings = EngineSettings { seed, ..builder.plan.engine.clone() };
            let engine = EngineStandin::bind(settings)?;
            agents.push(builder.spawn_agent(ServiceKind::Engine, engine.address()).await?);
            engines.push(engine);
        }
        for _ in 0..builder.plan.engines.div_ceil(ENGINES_PER_SERVICE_TARGET) {
            let service = ServiceStandin::bind(ServiceSettings::default())?;
            agents.push(builder.spawn_agent(ServiceKind::Plain, service.address()).await?);
            services.push(service);
        }
        let other_threads = thread_ids();
        let mut routers = Vec::with_capacity(builder.plan.routers);
        for _ in 0..builder.plan.routers {
            routers.push(builder.spawn_router().await?);
        }
        let FleetBuilder { platform, vms, .. } = builder;
        platform.set_vms(vms);
        let mut fleet = DemoFleet {
            platform,
            engines,
            services,
            agents,
            routers,
            router_threads: BTreeSet::new(),
        };
        fleet.wait_ready(&customers[customers.len() - 1]).await?;
        // The routers start last, so all threads created since then belong to them.
        fleet.router_threads = &thread_ids() - &other_threads;
        Ok(fleet)
    }

    /// Returns the addresses at which the routers accept callers.
    pub fn router_addresses(&self) -> Vec<SocketAddr> {
        self.routers.iter().filter_map(FleetNode::caller_address).collect()
    }

    /// Returns the addresses for direct requests to the engines.
    pub fn engine_addresses(&self) -> Vec<SocketAddr> {
        self.engines.iter().map(EngineStandin::address).collect()
    }

    /// Returns the usage counters of each engine.
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

    /// Returns the number of calls that the platform stand-in has received.
    pub fn platform_calls(&self) -> u64 {
        self.platform.counts().calls()
    }

    /// Returns the bytes of control traffic sent and received by all routers and agents.
    pub async fn control_bytes(&self) -> u64 {
        let mut total = 0;
        for node in self.agents.iter().chain(&self.routers) {
            total += node.control_bytes().await;
        }
        total
    }

    /// Returns the total CPU time of all routers.
    pub fn router_cpu_time(&self) -> Duration {
        thread_cpu_time(&self.router_threads)
    }

    /// Returns the total CPU time of the main threads of all agents.
    pub fn agent_cpu_time(&self) -> Duration {
        let threads: BTreeSet<u64> = self.agents.iter().filter_map(FleetNode::thread_id).collect();
        thread_cpu_time(&threads)
    }

    /// Returns the number of routers and agents.
    pub fn node_count(&self) -> usize {
        self.agents.len() + self.routers.len()
    }

    /// Shuts down all processes, beginning with the routers.
    pub async fn close(self) {
        for node in self.routers.into_iter().chain(self.agents) {
            node.close().await;
        }
        for engine in self.engines {
            engine.close().await;
        }
        for service in self.services {
            service.close().await;
        }
        self.platform.close().await;
    }

    /// Probes each router with a completion and a read until both are answered.
    async fn wait_ready(&self, customer: &CustomerPlan) -> Result<(), Report<ErrorKind>> {
        let client = CallerClient::new();
        let start = Instant::now();
        for (router, address) in self.router_addresses().into_iter().enumerate() {
            let completion = CompletionCall {
                model: MODEL_NAME.to_owned(),
                prompt: format!("is router {router} ready?"),
                max_tokens: 1,
                user: customer.name.clone(),
                deadline: PROBE_DEADLINE,
            };
            let path = format!("{SERVICE_PREFIX}/ready/{router}");
            let read = ServiceCall {
                expected: expected_reply("GET", &path, b""),
                path,
                idempotency_key: None,
                body: String::new(),
                deadline: PROBE_DEADLINE,
            };
            loop {
                let first = client.complete(address, &customer.key, &completion).await.outcome;
                let second = client.call_service(address, &customer.key, &read).await.outcome;
                if first == CallOutcome::Answered && second == CallOutcome::Answered {
                    break;
                }
                if start.elapsed() > READY_TIMEOUT {
                    let note = format!("router {router}: completion {first:?}, read {second:?}");
                    return Err(Report::new(ErrorKind::NotReady).attach(note));
                }
                sleep(READY_RETRY_DELAY).await;
            }
        }
        Ok(())
    }
}

impl FleetBuilder {
    /// Starts an agent for the target at the given address and adds it to the VM list.
    async fn spawn_agent(
        &mut self,
        kind: ServiceKind,
        target: SocketAddr,
    ) -> Result<FleetNode, Report<ErrorKind>> {
        let index = self.vms.len();
        let name = format!("target-{index}");
        let (service, places) = match kind {
            ServiceKind::Engine => (ENGINE_SERVICE, self.plan.engine.max_batch_size),
            ServiceKind::Plain => (PLAIN_SERVICE, ServiceSettings::default().capacity),
        };
        let service = ServiceId::from_name(service);
        let options = AgentOptions {
            identity: self.issue_identity(&name, ProcessRole::Agent)?,
            link_address: free_loopback_address(),
            admin: None,
            domain: self.next_domain(),
            service,
            kind,
            target_url: format!("http://{target}"),
            policy: AgentPolicy {
                share_policy: self.plan.policy,
                places: places as u32,
                ..AgentPolicy::default()
            },
            link: LinkSettings::default(),
            platform: PlatformSettings::new(self.platform.address()),
            seed: self.plan.seed + index as u64,
        };
        let node = FleetNode::spawn(NodeOptions::Agent(Box::new(options))).await?;
        self.add_vm(name, &node, Some(service));
        Ok(node)
    }

    /// Starts a router with its own identity and adds it to the VM list.
    async fn spawn_router(&mut self) -> Result<FleetNode, Report<ErrorKind>> {
        let index = self.vms.len();
        let name = format!("router-{index}");
        let options = RouterOptions {
            identity: self.issue_identity(&name, ProcessRole::Router)?,
            caller: CallerSettings {
                address: free_loopback_address(),
                body_limit: BODY_LIMIT,
                tls: None,
            },
            link_address: free_loopback_address(),
            admin: None,
            domain: self.next_domain(),
            link: LinkSettings::default(),
            policy: RouterPolicy::default(),
            platform: PlatformSettings::new(self.platform.address()),
            default_patience: DEFAULT_PATIENCE,
            seed: self.plan.seed + index as u64,
        };
        let node = FleetNode::spawn(NodeOptions::Router(Box::new(options))).await?;
        self.add_vm(name, &node, None);
        Ok(node)
    }

    /// Issues the certificate and key of a process.
    fn issue_identity(
        &self,
        name: &str,
        role: ProcessRole,
    ) -> Result<FleetIdentity, Report<ErrorKind>> {
        let keys = self.authority.issue(name, role, CERTIFICATE_DAYS)?;
        FleetIdentity::from_pem(
            self.authority.certificate_pem(),
            &keys.certificate_pem,
            &keys.key_pem,
        )
    }

    /// Returns the failure domain of the next VM.
    fn next_domain(&self) -> DomainId {
        DomainId::from_name(DOMAIN_NAMES[self.vms.len() % DOMAIN_NAMES.len()])
    }

    /// Adds the record of a VM to the VM list.
    fn add_vm(&mut self, name: String, node: &FleetNode, service: Option<ServiceId>) {
        self.vms.push(VmRecord {
            name,
            domain: self.next_domain(),
            link_address: node.link_address(),
            service,
            state: VmState::Live,
        });
    }
}

/// Submits a change ticket with all customers and services and waits until it is accepted.
async fn accept_ticket(
    platform: &PlatformStandin,
    plan: &FleetPlan,
    customers: &[CustomerPlan],
) -> Result<(), Report<ErrorKind>> {
    let mut ticket = ChangeTicket::new(TicketNumber(1));
    for customer in customers {
        ticket.set_customer(CustomerRecord {
            name: customer.name.clone(),
            share: customer.share,
            keys: vec![digest_key(&customer.key)],
            queue_limit: MIN_QUEUE_LIMIT.max(2 * customer.concurrency) as u32,
        });
    }
    ticket.set_service(ServiceRecord {
        name: ENGINE_SERVICE.to_owned(),
        kind: ServiceKind::Engine,
        models: vec![MODEL_NAME.to_owned()],
        path_prefix: String::new(),
        target: TargetRecord {
            place_limit: plan.engine.max_batch_size as u32,
            checks_fencing: plan.engine.checks_fencing,
        },
    });
    ticket.set_service(ServiceRecord {
        name: PLAIN_SERVICE.to_owned(),
        kind: ServiceKind::Plain,
        models: Vec::new(),
        path_prefix: SERVICE_PREFIX.to_owned(),
        target: TargetRecord {
            place_limit: ServiceSettings::default().capacity as u32,
            checks_fencing: false,
        },
    });
    let client = PlatformClient::open(PlatformSettings::new(platform.address()));
    TicketAcceptor::open(client).accept(&ticket).await?;
    Ok(())
}

/// Returns a loopback address with port zero, for which the system chooses a free port.
fn free_loopback_address() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}
