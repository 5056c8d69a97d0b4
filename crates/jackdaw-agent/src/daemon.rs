//! The running agent: its link endpoint, its decisions and its way to the target.

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
    /// The link endpoint.
    endpoint: Rc<LinkEndpoint>,
    /// The decisions.
    actor: Addr<DecisionActor>,
    /// The task that accepts links.
    acceptor: actix_rt::task::JoinHandle<()>,
    /// The links that are open.
    links: Rc<RefCell<OpenLinks>>,
    /// The stage of the process's life.
    readiness: SharedReadiness,
    /// The operators' interface.
    admin: Option<AdminServer>,
}

/// The links that are open, and the control traffic of those that were.
#[derive(Default)]
struct OpenLinks {
    /// The open links.
    open: Vec<PeerLink>,
    /// The control traffic of closed links, in bytes sent and received.
    closed_bytes: (u64, u64),
}

impl OpenLinks {
    /// Takes out a link that has closed.
    fn retire(&mut self, link: &PeerLink) {
        self.open.retain(|other| other.id() != link.id());
        let (sent, received) = link.control_bytes();
        self.closed_bytes.0 += sent;
        self.closed_bytes.1 += received;
    }

    /// Returns the control traffic of all links, in bytes sent and received.
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
    /// Fails with [`ErrorKind::LocalResource`] where the address cannot be bound.
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
            client: TargetClient::open(&options.target_url, options.kind),
            claims,
            metrics: metrics.clone(),
            vm: options.identity.vm(),
            latest_loss: Cell::new(None),
            suspect_place: Semaphore::new(1),
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

    /// Returns the address on which routers open links.
    pub fn link_address(&self) -> SocketAddr {
        self.endpoint.local_address()
    }

    /// Returns the address of the operators' interface, where it is served.
    pub fn admin_address(&self) -> Option<SocketAddr> {
        self.admin.as_ref().map(AdminServer::address)
    }

    /// Returns the state of the decision code.
    pub async fn dump(&self) -> Option<AgentSnapshot> {
        self.actor.send(DumpAgent).await.ok()
    }

    /// Returns the bytes of control traffic sent and received since the start.
    pub fn control_bytes(&self) -> (u64, u64) {
        self.links.borrow().control_bytes()
    }

    /// Takes no new work, lets what runs end, then closes the links.
    pub async fn close(self) {
        self.readiness.set(Readiness::Leaving);
        let (sender, receiver) = oneshot::channel();
        self.actor.do_send(DrainAgent { done: sender });
        // An error means that the actor is gone, and with it everything that ran.
        let _ = receiver.await;
        let links = self.links.borrow().open.clone();
        for link in links {
            link.drained().await;
        }
        self.abort().await;
    }

    /// Closes the links at once, as a crash would.
    pub async fn abort(self) {
        self.acceptor.abort();
        if let Some(admin) = self.admin {
            admin.close().await;
        }
        for link in &self.links.borrow().open {
            link.close("agent closed");
        }
        // A task of a run may hold the endpoint; it ends with its link.
        if let Ok(endpoint) = Rc::try_unwrap(self.endpoint) {
            endpoint.close().await;
        }
    }
}

/// Serves the operators' interface of an agent.
fn bind_admin(
    options: &AdminOptions,
    readiness: SharedReadiness,
    metrics: Arc<MetricRegistry>,
    actor: &Addr<DecisionActor>,
) -> Result<AdminServer, Report<ErrorKind>> {
    let actor = actor.clone();
    let dump = DumpSource::new(move || {
        let answer = actor.send(DumpAgent);
        async move { answer.await.map(|state| json!(state)).unwrap_or_default() }
    });
    let key = AdminKey::new(options.key_digest);
    let state = AdminState { key, readiness, metrics, dump };
    AdminServer::bind(options.address, &state, |_| {})
}

/// Accepts links until the endpoint closes.
async fn accept_links(
    endpoint: Rc<LinkEndpoint>,
    context: Rc<RunContext>,
    links: Rc<RefCell<OpenLinks>>,
) {
    while let Some(link) = endpoint.accept().await {
        if link.greeting().role != ProcessRole::Router {
            log::warn!("refused link: peer {} is not a router", link.greeting().vm);
            link.close("agents take links from routers only");
            continue;
        }
        links.borrow_mut().open.push(link.clone());
        context.actor.do_send(AgentInput::LinkOpened(link.clone()));
        actix_rt::spawn(receive_control(link.clone(), context.actor.clone(), links.clone()));
        actix_rt::spawn(accept_runs(link, context.clone()));
    }
}

/// Passes control messages of one link to the decisions until the link closes.
async fn receive_control(
    link: PeerLink,
    actor: Addr<DecisionActor>,
    links: Rc<RefCell<OpenLinks>>,
) {
    while let Some(message) = link.receive().await {
        actor.do_send(AgentInput::Control(link.clone(), message));
    }
    links.borrow_mut().retire(&link);
    actor.do_send(AgentInput::LinkClosed(link));
}

/// Starts a task for each run of one link until the link closes.
async fn accept_runs(link: PeerLink, context: Rc<RunContext>) {
    while let Some(run) = link.accept_run().await {
        let router = link.greeting().vm;
        actix_rt::spawn(crate::run::carry_run(router, run, context.clone()));
    }
}
