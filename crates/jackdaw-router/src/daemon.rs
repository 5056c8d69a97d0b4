//! The running router: its servers, its link endpoint and its decisions.

use std::net::SocketAddr;
use std::rc::Rc;

use actix::{Actor, Addr};
use actix_rt::task::JoinHandle;
use error_stack::Report;
use jackdaw_base::{ErrorKind, ProcessIncarnation};
use jackdaw_daemon::AdminServer;
use jackdaw_link::{LinkEndpoint, LinkGreeting, MESSAGE_VERSION, ProcessRole};
use jackdaw_objects::PlatformClient;
use jackdaw_policy::{RouterCore, RouterSnapshot, SubsetNode};
use jackdaw_telemetry::SharedReadiness;
use tokio::sync::oneshot;

use crate::admin_server::bind_admin;
use crate::caller_server::CallerServer;
use crate::catalog_watch::CatalogWatch;
use crate::decision_actor::{ActorParts, DecisionActor, DrainRouter, DumpRouter, ReadTraffic};
use crate::membership::{LinkBook, receive_control};
use crate::metrics::RouterMetrics;
use crate::options::RouterOptions;

/// Handle of a running router.
pub struct RouterDaemon {
    /// The server towards callers.
    server: CallerServer,
    /// The link endpoint.
    endpoint: Rc<LinkEndpoint>,
    /// The decisions.
    actor: Addr<DecisionActor>,
    /// The tasks that accept links.
    tasks: Vec<JoinHandle<()>>,
    /// The operators' interface.
    admin: Option<AdminServer>,
}

impl RouterDaemon {
    /// Starts a router on the current thread's runtime.
    ///
    /// Fails with [`ErrorKind::LocalResource`] where an address cannot be bound.
    pub fn spawn(options: RouterOptions) -> Result<RouterDaemon, Report<ErrorKind>> {
        let incarnation = ProcessIncarnation::random();
        let vm = options.identity.vm();
        let greeting = LinkGreeting {
            version: MESSAGE_VERSION,
            vm,
            incarnation,
            role: ProcessRole::Router,
            service: None,
        };
        let endpoint =
            LinkEndpoint::bind(options.link_address, &options.identity, greeting, options.link)?;
        let endpoint = Rc::new(endpoint);
        let own = SubsetNode { vm, domain: options.domain };
        let homes = options.policy.home_routers as usize;
        let core = RouterCore::new(options.policy, vm, incarnation, options.seed);
        let book = LinkBook::new(own, endpoint.clone(), homes);
        let readiness = SharedReadiness::default();
        let metrics = RouterMetrics::new();
        let registry = metrics.registry();
        let parts = ActorParts {
            core,
            incarnation,
            links: book,
            default_patience: options.default_patience,
            readiness: readiness.clone(),
            metrics,
            watch: CatalogWatch::new(PlatformClient::open(options.platform)),
            seed: options.seed,
        };
        let actor = DecisionActor::new(parts).start();
        let server = CallerServer::bind(options.caller, actor.clone())?;
        let tasks = vec![actix_rt::spawn(accept_links(endpoint.clone(), actor.clone()))];
        let admin = match &options.admin {
            Some(admin) => Some(bind_admin(admin, readiness, registry, &actor)?),
            None => None,
        };
        Ok(RouterDaemon { server, endpoint, actor, tasks, admin })
    }

    /// Returns the address on which callers are served.
    pub fn caller_address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the address on which other routers open links.
    pub fn link_address(&self) -> SocketAddr {
        self.endpoint.local_address()
    }

    /// Returns the address of the operators' interface, where it is served.
    pub fn admin_address(&self) -> Option<SocketAddr> {
        self.admin.as_ref().map(AdminServer::address)
    }

    /// Returns the state of the decision code.
    pub async fn dump(&self) -> Option<RouterSnapshot> {
        self.actor.send(DumpRouter).await.ok()
    }

    /// Returns the bytes of control traffic sent and received since the start.
    pub async fn control_bytes(&self) -> (u64, u64) {
        self.actor.send(ReadTraffic).await.unwrap_or_default()
    }

    /// Takes no new requests, lets those that came end, then closes everything.
    pub async fn close(self) {
        let (sender, receiver) = oneshot::channel();
        self.actor.do_send(DrainRouter { done: sender });
        // An error means that the actor is gone, and with it everything that waited.
        let _ = receiver.await;
        self.server.close().await;
        close_tasks(&self.tasks);
        if let Some(admin) = self.admin {
            admin.close().await;
        }
        self.endpoint.shutdown();
    }

    /// Cuts everything at once, as a crash would.
    pub async fn abort(self) {
        close_tasks(&self.tasks);
        self.endpoint.shutdown();
        if let Some(admin) = self.admin {
            admin.close().await;
        }
        self.server.abort().await;
    }
}

fn close_tasks(tasks: &[JoinHandle<()>]) {
    for task in tasks {
        task.abort();
    }
}

/// Accepts links of other routers until the endpoint closes.
async fn accept_links(endpoint: Rc<LinkEndpoint>, actor: Addr<DecisionActor>) {
    while let Some(link) = endpoint.accept().await {
        actix_rt::spawn(receive_control(link, actor.clone()));
    }
}
