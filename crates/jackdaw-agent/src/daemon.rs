//! The running agent: its link endpoint, its decisions and its way to the target.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use actix::{Actor, Addr};
use error_stack::Report;
use jackdaw_base::{DomainId, ErrorKind, ProcessIncarnation, ServiceId, ServiceKind};
use jackdaw_link::{
    FleetIdentity, LinkEndpoint, LinkGreeting, LinkSettings, MESSAGE_VERSION, PeerLink, ProcessRole,
};
use jackdaw_platform::PlatformSettings;
use jackdaw_policy::{AgentCore, AgentPolicy, AgentSnapshot};
use tokio::sync::oneshot;

use crate::claim_desk::ClaimDesk;
use crate::decision_actor::{AgentInput, DecisionActor, DrainAgent, DumpAgent};
use crate::run::RunContext;
use crate::target_client::TargetClient;

/// What an agent needs to start.
pub struct AgentOptions {
    /// The certificate, key and authority.
    pub identity: FleetIdentity,
    /// The address on which routers open links; port zero lets the system choose.
    pub link_address: SocketAddr,
    /// The failure domain.
    pub domain: DomainId,
    /// The service of the target.
    pub service: ServiceId,
    /// The way requests of the service are forwarded.
    pub kind: ServiceKind,
    /// The base URL of the target.
    pub target_url: String,
    /// The settings of the decision code.
    pub policy: AgentPolicy,
    /// The settings of the links.
    pub link: LinkSettings,
    /// The platform that keeps the claims of recordings.
    pub platform: PlatformSettings,
    /// The seed of the decision code's randomness.
    pub seed: u64,
}

/// Handle of a running agent.
pub struct AgentDaemon {
    /// The link endpoint.
    endpoint: Rc<LinkEndpoint>,
    /// The decisions.
    actor: Addr<DecisionActor>,
    /// The task that accepts links.
    acceptor: actix_rt::task::JoinHandle<()>,
    /// The links that are open.
    links: Rc<RefCell<Vec<PeerLink>>>,
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
        let actor = DecisionActor::new(core).start();
        let claims = ClaimDesk;
        let context = Rc::new(RunContext {
            actor: actor.clone(),
            client: TargetClient::open(&options.target_url, options.kind),
            claims,
        });
        let links = Rc::new(RefCell::new(Vec::new()));
        let acceptor = actix_rt::spawn(accept_links(endpoint.clone(), context, links.clone()));
        Ok(AgentDaemon { endpoint, actor, acceptor, links })
    }

    /// Returns the address on which routers open links.
    pub fn link_address(&self) -> SocketAddr {
        self.endpoint.local_address()
    }

    /// Returns the state of the decision code.
    pub async fn dump(&self) -> Option<AgentSnapshot> {
        self.actor.send(DumpAgent).await.ok()
    }

    /// Returns the bytes of control traffic sent and received since the start.
    pub fn control_bytes(&self) -> (u64, u64) {
        sum_control_bytes(&self.links.borrow())
    }

    /// Takes no new work, lets what runs end, then closes the links.
    pub async fn close(self) {
        let (sender, receiver) = oneshot::channel();
        self.actor.do_send(DrainAgent { done: sender });
        // An error means that the actor is gone, and with it everything that ran.
        let _ = receiver.await;
        self.abort().await;
    }

    /// Closes the links at once, as a crash would.
    pub async fn abort(self) {
        self.acceptor.abort();
        for link in self.links.borrow().iter() {
            link.close("agent closed");
        }
        // A task of a run may hold the endpoint; it ends with its link.
        if let Ok(endpoint) = Rc::try_unwrap(self.endpoint) {
            endpoint.close().await;
        }
    }
}

/// Adds up the control traffic of links.
fn sum_control_bytes(links: &[PeerLink]) -> (u64, u64) {
    let mut total = (0, 0);
    for link in links {
        let (sent, received) = link.control_bytes();
        total = (total.0 + sent, total.1 + received);
    }
    total
}

/// Accepts links until the endpoint closes.
async fn accept_links(
    endpoint: Rc<LinkEndpoint>,
    context: Rc<RunContext>,
    links: Rc<RefCell<Vec<PeerLink>>>,
) {
    while let Some(link) = endpoint.accept().await {
        if link.greeting().role != ProcessRole::Router {
            log::warn!("refused link: peer {} is not a router", link.greeting().vm);
            link.close("agents take links from routers only");
            continue;
        }
        links.borrow_mut().push(link.clone());
        context.actor.do_send(AgentInput::LinkOpened(link.clone()));
        actix_rt::spawn(receive_control(link.clone(), context.actor.clone()));
        actix_rt::spawn(accept_runs(link, context.clone()));
    }
}

/// Passes control messages of one link to the decisions until the link closes.
async fn receive_control(link: PeerLink, actor: Addr<DecisionActor>) {
    while let Some(message) = link.receive().await {
        actor.do_send(AgentInput::Control(link.clone(), message));
    }
    actor.do_send(AgentInput::LinkClosed(link));
}

/// Starts a task for each run of one link until the link closes.
async fn accept_runs(link: PeerLink, context: Rc<RunContext>) {
    while let Some(run) = link.accept_run().await {
        let router = link.greeting().vm;
        actix_rt::spawn(crate::run::carry_run(router, run, context.clone()));
    }
}
