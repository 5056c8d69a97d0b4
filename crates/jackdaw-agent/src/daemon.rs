//! Startup and shutdown of an agent's link endpoint, actor and servers.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use actix::{Actor, Addr};
use error_stack::Report;
use jackdaw_base::{ErrorKind, ProcessIncarnation};
use jackdaw_daemon::{AdminOptions, AdminServer};
use jackdaw_link::{LinkEndpoint, LinkGreeting, MESSAGE_VERSION, PeerLink, ProcessRole};
use jackdaw_objects::{ClaimSettings, ClaimWriter, PlatformClient};
use jackdaw_policy::{AgentCore, AgentSnapshot};
use jackdaw_telemetry::{
    AdminKey, AdminState, DumpSource, MetricRegistry, Readiness, SharedReadiness,
};
use serde_json::json;
use tokio::sync::{Semaphore, oneshot};

use crate::decision_actor::{AgentInput, DecisionActor, DrainAgent, DumpAgent};
use crate::metrics::AgentMetrics;
use crate::options::AgentOptions;
use crate::run::RunContext;
use crate::target_client::TargetClient;

/// Handle of a running agent.
pub struct AgentDaemon {
    /// Endpoint of the links from routers.
    endpoint: Rc<LinkEndpoint>,
    /// Actor that owns the agent state machine.
    actor: Addr<DecisionActor>,
    /// Task that accepts links.
    acceptor: actix_rt::task::JoinHandle<()>,
    /// Open links from routers.
    links: Rc<RefCell<OpenLinks>>,
    /// Readiness of the process.
    readiness: SharedReadiness,
    /// Admin interface, if one is configured.
    admin: Option<AdminServer>,
}

/// Open links, and the count of control traffic on closed ones.
#[derive(Default)]
struct OpenLinks {
    /// Open links.
    open: Vec<PeerLink>,
    /// Bytes of control messages sent and received on links that are now closed.
    closed_bytes: (u64, u64),
}

impl OpenLinks {
    /// Removes a closed link and keeps the count of its control traffic.
    fn remove_closed(&mut self, link: &PeerLink) {
        self.open.retain(|other| other.id() != link.id());
        let (sent, received) = link.control_bytes();
        self.closed_bytes.0 += sent;
        self.closed_bytes.1 += received;
    }

    /// Returns the bytes of control messages sent and received on all links, open and closed.
    fn control_bytes(&self) -> (u64, u64) {
        let mut total = self.closed_bytes;
        for link in &self.open {
            let (sent, received) = link.control_bytes();
            total = (total.0 + sent, total.1 + received);
        }
        total
    }
}

impl AgentDaemon {
    /// Starts an agent on the current thread's runtime.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::LocalResource`] if an address cannot be bound.
    pub fn spawn(options: AgentOptions) -> Result<AgentDaemon, Report<ErrorKind>> {
        let incarnation = ProcessIncarnation::random();
        let greeting = LinkGreeting {
            version: MESSAGE_VERSION,
            vm: options.identity.vm(),
            incarnation,
            role: ProcessRole::Agent,
            service: Some(options.service),
        };
        let endpoint =
            LinkEndpoint::bind(options.link_address, &options.identity, greeting, options.link)?;
        let endpoint = Rc::new(endpoint);
        let core = AgentCore::new(options.policy, options.identity.vm(), incarnation, options.seed);
        let metrics = AgentMetrics::new();
        let actor = DecisionActor::new(core, metrics.clone()).start();
        let store = PlatformClient::open(options.platform);
        let claims = ClaimWriter::spawn(store, incarnation, ClaimSettings::default());
        let context = Rc::new(RunContext {
            actor: actor.clone(),
            client: TargetClient::new(&options.target_url, options.kind),
            claims,
            metrics: metrics.clone(),
            vm: options.identity.vm(),
            last_target_loss: Cell::new(None),
            suspect_permits: Semaphore::new(1),
        });
        let links = Rc::new(RefCell::new(OpenLinks::default()));
        let acceptor = actix_rt::spawn(accept_links(endpoint.clone(), context, links.clone()));
        let readiness = SharedReadiness::default();
        let admin = match &options.admin {
            Some(admin) => Some(bind_admin(admin, readiness.clone(), metrics.registry(), &actor)?),
            None => None,
        };
        readiness.set(Readiness::Ready);
        Ok(AgentDaemon { endpoint, actor, acceptor, links, readiness, admin })
    }

    /// Returns the bound address of the link endpoint, to which routers connect.
    pub fn link_address(&self) -> SocketAddr {
        self.endpoint.local_address()
    }

    /// Returns the bound address of the admin interface, if one is configured.
    pub fn admin_address(&self) -> Option<SocketAddr> {
        self.admin.as_ref().map(AdminServer::address)
    }

    /// Returns a snapshot of the agent state machine, or `None` if the actor has stopped.
    pub async fn dump(&self) -> Option<AgentSnapshot> {
        self.actor.send(DumpAgent).await.ok()
    }

    /// Returns the bytes of control messages sent and received since startup, on all links.
    pub fn control_bytes(&self) -> (u64, u64) {
        self.links.borrow().control_bytes()
    }

    /// Shuts the agent down gracefully: grants no further offers, waits for the work in progress and
    /// for routers to receive the final replies, then closes the links.
    pub async fn close(self) {
        self.readiness.set(Readiness::Leaving);
        let (sender, receiver) = oneshot::channel();
        self.actor.do_send(DrainAgent { done: sender });
        // An error means that the actor has stopped, so no work is in progress.
        let _ = receiver.await;
        let links = self.links.borrow().open.clone();
        for link in links {
            link.drained().await;
        }
        self.abort().await;
    }

    /// Stops the agent immediately and closes all links, as a crash would.
    pub async fn abort(self) {
        self.acceptor.abort();
        if let Some(admin) = self.admin {
            admin.close().await;
        }
        for link in &self.links.borrow().open {
            link.close("agent closed");
        }
        // The aborted acceptor may still hold a reference, in which case the endpoint closes when
        // it is dropped.
        if let Ok(endpoint) = Rc::try_unwrap(self.endpoint) {
            endpoint.close().await;
        }
    }
}

/// Binds the address and starts serving the admin interface.
///
/// # Errors
///
/// [`ErrorKind::LocalResource`] if the address cannot be bound.
fn bind_admin(
    options: &AdminOptions,
    readiness: SharedReadiness,
    metrics: Arc<MetricRegistry>,
    actor: &Addr<DecisionActor>,
) -> Result<AdminServer, Report<ErrorKind>> {
    let actor = actor.clone();
    let dump = DumpSource::new(move || {
        let snapshot = actor.send(DumpAgent);
        async move { snapshot.await.map(|state| json!(state)).unwrap_or_default() }
    });
    let key = AdminKey::new(options.key_digest);
    let state = AdminState { key, readiness, metrics, dump };
    AdminServer::bind(options.address, &state, |_| {})
}

/// Accepts links from routers until the endpoint is shut down; rejects links from other peers.
async fn accept_links(
    endpoint: Rc<LinkEndpoint>,
    context: Rc<RunContext>,
    links: Rc<RefCell<OpenLinks>>,
) {
    while let Some(link) = endpoint.accept().await {
        if link.greeting().role != ProcessRole::Router {
            log::warn!("rejecting link: peer {} is not a router", link.greeting().vm);
            link.close("agents take links from routers only");
            continue;
        }
        links.borrow_mut().open.push(link.clone());
        context.actor.do_send(AgentInput::LinkOpened(link.clone()));
        actix_rt::spawn(receive_control(link.clone(), context.actor.clone(), links.clone()));
        actix_rt::spawn(accept_runs(link, context.clone()));
    }
}

/// Forwards the control messages of a link to the actor until the link closes.
async fn receive_control(
    link: PeerLink,
    actor: Addr<DecisionActor>,
    links: Rc<RefCell<OpenLinks>>,
) {
    while let Some(message) = link.receive().await {
        actor.do_send(AgentInput::Control(link.clone(), message));
    }
    links.borrow_mut().remove_closed(&link);
    actor.do_send(AgentInput::LinkClosed(link));
}

/// Spawns a task for each run that is started over a link, until the link closes.
async fn accept_runs(link: PeerLink, context: Rc<RunContext>) {
    while let Some(run) = link.accept_run().await {
        let router = link.greeting().vm;
        actix_rt::spawn(crate::run::execute_run(router, run, context.clone()));
    }
}
