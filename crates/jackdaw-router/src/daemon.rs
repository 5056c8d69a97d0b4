//! The running router: its servers, its link endpoint and its decisions.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix::{Actor, Addr};
use actix_rt::task::JoinHandle;
use error_stack::Report;
use jackdaw_base::{ErrorKind, ProcessIncarnation};
use jackdaw_link::{
    FleetIdentity, LinkEndpoint, LinkGreeting, LinkSettings, MESSAGE_VERSION, ProcessRole,
};
use jackdaw_platform::{CatalogFeed, FeedSettings, PlatformClient, PlatformSettings};
use jackdaw_policy::{RouterCore, RouterPolicy, RouterSnapshot};
use tokio::sync::oneshot;

use crate::caller_server::{CallerServer, CallerSettings};
use crate::decision_actor::{DecisionActor, DrainRouter, DumpRouter, LearnUpdate, ReadTraffic};
use crate::membership::{LinkBook, receive_control};

/// What a router needs to start.
pub struct RouterOptions {
    /// The certificate, key and authority.
    pub identity: FleetIdentity,
    /// The server towards callers.
    pub caller: CallerSettings,
    /// The address on which other routers open links; port zero lets the system choose.
    pub link_address: SocketAddr,
    /// The settings of the links.
    pub link: LinkSettings,
    /// The settings of the decision code.
    pub policy: RouterPolicy,
    /// The platform that keeps the configuration.
    pub platform: PlatformSettings,
    /// The time within which a run is to start where the caller names none.
    pub default_patience: Duration,
    /// The seed of the decision code's randomness.
    pub seed: u64,
}

/// Handle of a running router.
pub struct RouterDaemon {
    /// The server towards callers.
    server: CallerServer,
    /// The link endpoint.
    endpoint: Rc<LinkEndpoint>,
    /// The decisions.
    actor: Addr<DecisionActor>,
    /// The tasks that accept links and follow the configuration.
    tasks: Vec<JoinHandle<()>>,
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
        let core = RouterCore::new(options.policy, vm, incarnation, options.seed);
        let book = LinkBook::new(vm, endpoint.clone());
        let actor = DecisionActor::new(core, incarnation, book, options.default_patience).start();
        let store = PlatformClient::open(options.platform);
        let feed = CatalogFeed::spawn(store, FeedSettings::default());
        let server = CallerServer::bind(options.caller, actor.clone())?;
        let tasks = vec![
            actix_rt::spawn(accept_links(endpoint.clone(), actor.clone())),
            actix_rt::spawn(follow_catalog(feed, actor.clone())),
        ];
        Ok(RouterDaemon { server, endpoint, actor, tasks })
    }

    /// Returns the address on which callers are served.
    pub fn caller_address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the address on which other routers open links.
    pub fn link_address(&self) -> SocketAddr {
        self.endpoint.local_address()
    }

    /// Returns the decisions, for the administration server.
    pub fn actor(&self) -> &Addr<DecisionActor> {
        &self.actor
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
        self.endpoint.shutdown("router closed");
    }

    /// Cuts everything at once, as a crash would.
    pub async fn abort(self) {
        close_tasks(&self.tasks);
        self.endpoint.shutdown("router aborted");
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

/// Passes configuration from the platform to the actor.
async fn follow_catalog(mut feed: CatalogFeed, actor: Addr<DecisionActor>) {
    while let Some(update) = feed.next().await {
        actor.do_send(LearnUpdate(update));
    }
}
