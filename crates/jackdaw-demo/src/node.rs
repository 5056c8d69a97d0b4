//! A router or agent on a thread of its own.

use std::net::SocketAddr;
use std::time::Duration;

use actix_rt::Arbiter;
use error_stack::{Report, ResultExt};
use jackdaw_agent::{AgentDaemon, AgentOptions};
use jackdaw_base::ErrorKind;
use jackdaw_router::{RouterDaemon, RouterOptions};
use tokio::sync::{mpsc, oneshot};

use crate::cpu::current_thread_id;

/// The longest time that a node may take to close.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(10);

/// What a node needs to start.
pub(crate) enum NodeOptions {
    /// A router.
    Router(Box<RouterOptions>),
    /// An agent.
    Agent(Box<AgentOptions>),
}

/// Handle of a node.
pub(crate) struct FleetNode {
    /// Where it is.
    endpoints: NodeEndpoints,
    /// The way to the node's thread.
    commands: mpsc::UnboundedSender<NodeCommand>,
    /// The thread.
    arbiter: Arbiter,
}

/// Where a node is.
#[derive(Debug, Clone, Copy)]
struct NodeEndpoints {
    /// The address for callers; `None` for an agent.
    caller: Option<SocketAddr>,
    /// The address for links.
    link: SocketAddr,
    /// The node's main thread, where the system tells it.
    thread_id: Option<u64>,
}

/// What a node is asked.
enum NodeCommand {
    /// To tell the bytes of control traffic, sent and received.
    ReadControlBytes(oneshot::Sender<u64>),
    /// To close.
    Close(oneshot::Sender<()>),
}

/// The process on a node.
enum NodeDaemon {
    /// A router.
    Router(RouterDaemon),
    /// An agent.
    Agent(AgentDaemon),
}

impl FleetNode {
    /// Starts a node on a thread of its own.
    ///
    /// Fails with [`ErrorKind::LocalResource`] when an address cannot be bound.
    pub(crate) async fn spawn(options: NodeOptions) -> Result<FleetNode, Report<ErrorKind>> {
        let arbiter = Arbiter::new();
        let (commands, receiver) = mpsc::unbounded_channel();
        let (ready, started) = oneshot::channel();
        arbiter.spawn_fn(move || {
            actix_rt::spawn(run_node(options, ready, receiver));
        });
        let endpoints = started.await.change_context(ErrorKind::LocalResource)??;
        Ok(FleetNode { endpoints, commands, arbiter })
    }

    /// Returns the address for callers, where the node is a router.
    pub(crate) fn caller_address(&self) -> Option<SocketAddr> {
        self.endpoints.caller
    }

    /// Returns the address for links.
    pub(crate) fn link_address(&self) -> SocketAddr {
        self.endpoints.link
    }

    /// Returns the node's main thread, where the system tells it.
    pub(crate) fn thread_id(&self) -> Option<u64> {
        self.endpoints.thread_id
    }

    /// Returns the bytes of control traffic since the start, sent and received.
    pub(crate) async fn control_bytes(&self) -> u64 {
        let (sender, answer) = oneshot::channel();
        // A node that is gone has no traffic to tell.
        let _ = self.commands.send(NodeCommand::ReadControlBytes(sender));
        answer.await.unwrap_or_default()
    }

    /// Closes the node in order and ends its thread.
    pub(crate) async fn close(self) {
        let (sender, answer) = oneshot::channel();
        // A node that is gone is closed.
        let _ = self.commands.send(NodeCommand::Close(sender));
        if tokio::time::timeout(CLOSE_TIMEOUT, answer).await.is_err() {
            log::warn!("node {} did not close in time", self.endpoints.link);
        }
        self.arbiter.stop();
        if self.arbiter.join().is_err() {
            log::error!("the thread of node {} has panicked", self.endpoints.link);
        }
    }
}

impl NodeDaemon {
    /// Starts the process.
    fn spawn(options: NodeOptions) -> Result<NodeDaemon, Report<ErrorKind>> {
        match options {
            NodeOptions::Router(options) => RouterDaemon::spawn(*options).map(NodeDaemon::Router),
            NodeOptions::Agent(options) => AgentDaemon::spawn(*options).map(NodeDaemon::Agent),
        }
    }

    /// Returns where the process is.
    fn endpoints(&self) -> NodeEndpoints {
        match self {
            NodeDaemon::Router(router) => NodeEndpoints {
                caller: Some(router.caller_address()),
                link: router.link_address(),
                thread_id: current_thread_id(),
            },
            NodeDaemon::Agent(agent) => NodeEndpoints {
                caller: None,
                link: agent.link_address(),
                thread_id: current_thread_id(),
            },
        }
    }

    /// Returns the bytes of control traffic, sent and received.
    async fn control_bytes(&self) -> u64 {
        let (sent, received) = match self {
            NodeDaemon::Router(router) => router.control_bytes().await,
            NodeDaemon::Agent(agent) => agent.control_bytes(),
        };
        sent + received
    }

    /// Closes the process in order.
    async fn close(self) {
        match self {
            NodeDaemon::Router(router) => router.close().await,
            NodeDaemon::Agent(agent) => agent.close().await,
        }
    }
}

/// Runs a node until it is told to close.
async fn run_node(
    options: NodeOptions,
    ready: oneshot::Sender<Result<NodeEndpoints, Report<ErrorKind>>>,
    mut commands: mpsc::UnboundedReceiver<NodeCommand>,
) {
    let daemon = match NodeDaemon::spawn(options) {
        Ok(daemon) => daemon,
        Err(report) => {
            // The starter waits for exactly this message.
            let _ = ready.send(Err(report));
            return;
        }
    };
    // As above.
    let _ = ready.send(Ok(daemon.endpoints()));
    while let Some(command) = commands.recv().await {
        match command {
            NodeCommand::ReadControlBytes(answer) => {
                // The asker may have given up.
                let _ = answer.send(daemon.control_bytes().await);
            }
            NodeCommand::Close(answer) => {
                daemon.close().await;
                // As above.
                let _ = answer.send(());
                return;
            }
        }
    }
}
