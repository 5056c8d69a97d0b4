//! Fleet of router and agent processes that run against stand-ins.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use jackdaw_base::{
    CustomerRecord, CustomerShare, DomainId, ServiceId, ServiceKind, ServiceRecord, TargetRecord,
    TicketNumber, VmId, VmRecord, VmState,
};
use jackdaw_link::{FleetAuthority, ProcessRole};
use jackdaw_objects::{ChangeTicket, PlatformClient, PlatformSettings, TicketAcceptor, digest_key};
use jackdaw_standin::{PlatformStandin, StandinSettings};
use tempfile::TempDir;

use crate::operator::OperatorClient;
use crate::process::FleetProcess;

/// Operators' key that all processes accept.
pub const ADMIN_KEY: &str = "operators-key";

/// Name of the engine service and of the model that it serves.
pub const ENGINE_SERVICE: &str = "asistente";

/// Name of the plain service; its path prefix is `/` followed by the name.
pub const PLAIN_SERVICE: &str = "cobranza";

/// Validity of certificates in days.
const CERTIFICATE_DAYS: u32 = 2;

/// Place limit of a target in the first ticket.
const TARGET_PLACES: u32 = 8;

/// Interval at which a condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Number of polls after which a condition counts as failed; 30 seconds or more, far above every
/// specified time limit.
const POLL_LIMIT: u32 = 1500;

/// Processes of a fleet with their settings, certificates and platform stand-in.
pub struct ProcessFleet {
    /// Stand-in of the platform.
    pub platform: PlatformStandin,
    /// Certificate authority of the fleet.
    authority: FleetAuthority,
    /// Directory of keys, settings and logs.
    directory: TempDir,
    /// VM list last sent to the platform stand-in.
    vms: Vec<VmRecord>,
}

impl ProcessFleet {
    /// Starts the platform stand-in and accepts a ticket with both services and with the customers,
    /// given by name and share; their keys are `key-<name>`.
    pub async fn spawn(customers: &[(&str, u32)]) -> ProcessFleet {
        ProcessFleet::spawn_with(customers, StandinSettings::default()).await
    }

    /// Starts a fleet like [`ProcessFleet::spawn`], with given settings of the platform stand-in.
    pub async fn spawn_with(customers: &[(&str, u32)], settings: StandinSettings) -> ProcessFleet {
        let platform = PlatformStandin::bind(settings).expect("stand-in can be bound");
        let authority = FleetAuthority::generate(CERTIFICATE_DAYS).expect("authority can be made");
        let directory = TempDir::new().expect("directory can be made");
        authority.save(directory.path()).expect("authority can be saved");
        let fleet = ProcessFleet { platform, authority, directory, vms: Vec::new() };
        let mut ticket = ChangeTicket::new(TicketNumber(1));
        for (name, share) in customers {
            ticket.set_customer(customer(name, *share));
        }
        ticket.set_service(service(ENGINE_SERVICE, ServiceKind::Engine));
        ticket.set_service(service(PLAIN_SERVICE, ServiceKind::Plain));
        fleet.accept(&ticket).await;
        fleet
    }

    /// Returns the certificate of the authority that all processes trust, in PEM format.
    pub fn authority_pem(&self) -> &str {
        self.authority.certificate_pem()
    }

    /// Accepts a ticket, which publishes its changes.
    pub async fn accept(&self, ticket: &ChangeTicket) {
        let acceptor = TicketAcceptor::open(self.platform_client());
        acceptor.accept(ticket).await.expect("ticket is accepted");
    }

    /// Returns a client of the platform stand-in.
    pub fn platform_client(&self) -> PlatformClient {
        PlatformClient::open(PlatformSettings::new(self.platform.address()))
    }

    /// Starts a router on free ports and adds its VM to the list.
    pub fn spawn_router(&mut self, name: &str) -> FleetProcess {
        self.spawn_router_at(name, loopback(), loopback())
    }

    /// Starts a router at given addresses and adds its VM to the list.
    pub fn spawn_router_at(
        &mut self,
        name: &str,
        callers: SocketAddr,
        link: SocketAddr,
    ) -> FleetProcess {
        let process = format!("caller_address = {callers}\n");
        let settings =
            self.write_settings(name, ProcessRole::Router, link, &process, "[requests]\n");
        let router = FleetProcess::spawn("jackdaw-router", &settings, self.log_path(name));
        self.list_vm(name, router.address("link"), None);
        router
    }

    /// Starts an agent for a target and adds its VM to the list.
    pub fn spawn_agent(
        &mut self,
        name: &str,
        service: &str,
        kind: ServiceKind,
        target: SocketAddr,
    ) -> FleetProcess {
        let kind_name = match kind {
            ServiceKind::Engine => "engine",
            ServiceKind::Plain => "plain",
        };
        let section =
            format!("[target]\nservice = {service}\nurl = http://{target}\nkind = {kind_name}\n");
        let settings = self.write_settings(name, ProcessRole::Agent, loopback(), "", &section);
        let agent = FleetProcess::spawn("jackdaw-agent", &settings, self.log_path(name));
        self.list_vm(name, agent.address("link"), Some(ServiceId::from_name(service)));
        agent
    }

    /// Lists an agent with another address, such as that of a relay in front of it.
    pub fn list_agent_at(&mut self, name: &str, service: &str, address: SocketAddr) {
        self.list_vm(name, address, Some(ServiceId::from_name(service)));
    }

    /// Changes the state of a VM on the list.
    pub fn set_vm_state(&mut self, name: &str, state: VmState) {
        for vm in &mut self.vms {
            if vm.name == name {
                vm.state = state;
            }
        }
        self.platform.set_vms(self.vms.clone());
    }

    /// Removes a VM from the list.
    pub fn remove_vm(&mut self, name: &str) {
        self.vms.retain(|vm| vm.name != name);
        self.platform.set_vms(self.vms.clone());
    }

    fn list_vm(&mut self, name: &str, link_address: SocketAddr, service: Option<ServiceId>) {
        self.vms.retain(|vm| vm.name != name);
        self.vms.push(VmRecord {
            name: name.to_owned(),
            domain: DomainId::from_name("ba-a"),
            link_address,
            service,
            state: VmState::Live,
        });
        self.platform.set_vms(self.vms.clone());
    }

    fn write_settings(
        &self,
        name: &str,
        role: ProcessRole,
        link: SocketAddr,
        process: &str,
        section: &str,
    ) -> PathBuf {
        let directory = self.directory.path();
        let certificate = directory.join(format!("{name}.pem"));
        let key = directory.join(format!("{name}.key"));
        // A restarted process keeps the identity of its VM.
        if !key.exists() {
            let keys = self.authority.issue(name, role, CERTIFICATE_DAYS).expect("keys are issued");
            keys.save(&certificate, &key).expect("keys can be saved");
        }
        let digest = digest_key(ADMIN_KEY).0;
        let digest: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
        let text = format!(
            "[process]\nname = {name}\ndomain = ba-a\nregion = ba\n{process}\
             link_address = {link}\nadmin_address = 127.0.0.1:0\n\
             [keys]\nauthority = {authority}\ncertificate = {certificate}\nkey = {key}\n\
             [platform]\nurl = http://{platform}\ncalls_per_second = 200\n{section}\
             [log]\nlevel = debug\noutput = {log}\n[admin]\nkey_digest = {digest}\n",
            authority = directory.join("authority.pem").display(),
            certificate = certificate.display(),
            key = key.display(),
            platform = self.platform.address(),
            log = self.log_path(name).display(),
        );
        let path = directory.join(format!("{name}.ini"));
        std::fs::write(&path, text).expect("settings can be written");
        path
    }

    fn log_path(&self, name: &str) -> PathBuf {
        self.directory.path().join(format!("{name}.log"))
    }
}

/// Polls a condition until it holds.
///
/// # Panics
///
/// Panics with `what` if the condition does not hold within the poll limit.
pub async fn wait_until<F: Future<Output = bool>>(what: &str, mut condition: impl FnMut() -> F) {
    for _ in 0..POLL_LIMIT {
        if condition().await {
            return;
        }
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
    panic!("condition did not hold in time: {what}");
}

/// Waits until a router is ready and has open links to exactly `agents` agents.
pub async fn wait_agents(router: &FleetProcess, agents: u64) {
    let operator = OperatorClient::open(router);
    wait_until("the router is ready and linked to its agents", || async {
        operator.is_ready().await
            && operator.status().await.is_some_and(|status| status["agents"] == agents)
    })
    .await;
}

/// Returns the identifier of a VM.
pub fn vm(name: &str) -> VmId {
    VmId::from_name(name)
}

/// Returns the API key of a customer.
pub fn customer_key(name: &str) -> String {
    format!("key-{name}")
}

/// Returns the record of a customer whose API key is `key-<name>`.
pub fn customer(name: &str, share: u32) -> CustomerRecord {
    CustomerRecord {
        name: name.to_owned(),
        share: CustomerShare(share),
        keys: vec![digest_key(&customer_key(name))],
        queue_limit: 1000,
    }
}

/// Returns the record of a service as in the first ticket.
pub fn service(name: &str, kind: ServiceKind) -> ServiceRecord {
    let (models, path_prefix) = match kind {
        ServiceKind::Engine => (vec![name.to_owned()], String::new()),
        ServiceKind::Plain => (Vec::new(), format!("/{name}")),
    };
    let target = TargetRecord { place_limit: TARGET_PLACES, checks_fencing: true };
    ServiceRecord { name: name.to_owned(), kind, models, path_prefix, target }
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
