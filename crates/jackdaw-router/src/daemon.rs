//! Startup and shutdown of a router's servers, link endpoint and actor.

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
use crate::decision_actor::{
    ActorComponents, DecisionActor, DrainRouter, DumpRouter, ReadControlBytes,
};
use crate::membership::{LinkTable, receive_control};
use crate::metrics::RouterMetrics;
use crate::options::RouterOptions;

/// Handle of a running router.
pub struct RouterDaemon {
    /// HTTP server for callers.
    server: CallerServer,
    /// Endpoint of the links to agents and other routers.
    endpoint: Rc<LinkEndpoint>,
    /// Actor that owns the router state machine.
    actor: Addr<DecisionActor>,
    /// Tasks that accept links.
    acceptors: Vec<JoinHandle<()>>,
    /// Admin interface, if one is configured.
    admin: Option<AdminServer>,
}

impl RouterDaemon {
    /// Starts a router on the current thread's runtime.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::LocalResource`] if an address cannot be bound.
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
        let own_node = SubsetNode { vm, domain: options.domain };
        let home_routers = options.policy.home_routers as usize;
        let core = RouterCore::new(options.policy, vm, incarnation, options.seed);
        let link_table = LinkTable::new(own_node, endpoint.clone(), home_routers);
        let readiness = SharedReadiness::default();
        let metrics = RouterMetrics::new();
        let registry = metrics.registry();
        let components = ActorComponents {
            core,
            incarnation,
            links: link_table,
            default_patience: options.default_patience,
            readiness: readiness.clone(),
            metrics,
            watch: CatalogWatch::new(PlatformClient::open(options.platform)),
            seed: options.seed,
        };
        let actor = DecisionActor::new(components).start();
        let server = CallerServer::bind(options.caller, actor.clone())?;
        let acceptors = vec![actix_rt::spawn(accept_links(endpoint.clone(), actor.clone()))];
        let admin = match &options.admin {
            Some(admin) => Some(bind_admin(admin, readiness, registry, &actor)?),
            None => None,
        };
        Ok(RouterDaemon { server, endpoint, actor, acceptors, admin })
    }

    /// Returns the bound address of the HTTP server for callers.
    pub fn caller_address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the bound address of the link endpoint, to which other routers connect.
    pub fn link_address(&self) -> SocketAddr {
        self.endpoint.local_address()
    }

    /// Returns the bound address of the admin interface, if one is configured.
    pub fn admin_address(&self) -> Option<SocketAddr> {
        self.admin.as_ref().map(AdminServer::address)
    }

    /// Returns a snapshot of the router state machine, or `None` if the actor has stopped.
    pub async fn dump(&self) -> Option<RouterSnapshot> {
        self.actor.send(DumpRouter).await.ok()
    }

    /// Returns the bytes of control messages sent and received since startup, on all links.
    pub async fn control_bytes(&self) -> (u64, u64) {
        self.actor.send(ReadControlBytes).await.unwrap_or_default()
    }

    /// Shuts the router down gracefully: rejects new requests and waits for those in progress.
    pub async fn close(self) {
        let (sender, receiver) = oneshot::channel();
        self.actor.do_send(DrainRouter { done: sender });
        // An error means that the actor has stopped, so no request is in progress.
        let _ = receiver.await;
        self.server.close().await;
        abort_tasks(&self.acceptors);
        if let Some(admin) = self.admin {
            admin.close().await;
        }
        self.endpoint.shutdown();
    }

    /// Stops the router immediately and drops all connections, as a crash would.
    pub async fn abort(self) {
        abort_tasks(&self.acceptors);
        self.endpoint.shutdown();
        if let Some(admin) = self.admin {
            admin.close().await;
        }
        self.server.abort().await;
    }
}

fn abort_tasks(tasks: &[JoinHandle<()>]) {
    for task in tasks {
        task.abort();
    }
}

/// Accepts links from other routers until the endpoint is shut down.
async fn accept_links(endpoint: Rc<LinkEndpoint>, actor: Addr<DecisionActor>) {
    while let Some(link) = endpoint.accept().await {
        actix_rt::spawn(receive_control(link, actor.clone()));
    }
}
