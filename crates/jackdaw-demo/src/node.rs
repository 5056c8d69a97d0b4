//! Routers and agents of the demo, each on its own thread.

use std::net::SocketAddr;
use std::time::Duration;

use actix_rt::Arbiter;
use error_stack::{Report, ResultExt};
use jackdaw_agent::{AgentDaemon, AgentOptions};
use jackdaw_base::ErrorKind;
use jackdaw_router::{RouterDaemon, RouterOptions};
use tokio::sync::{mpsc, oneshot};

use crate::cpu::current_thread_id;

/// The maximum time that a node may take to shut down.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(10);

/// Startup options of a node.
pub(crate) enum NodeOptions {
    Router(Box<RouterOptions>),
    Agent(Box<AgentOptions>),
}

/// Handle of a running node.
pub(crate) struct FleetNode {
    /// The addresses and the thread of the node.
    endpoints: NodeEndpoints,
    /// Sends commands to the node's thread.
    commands: mpsc::UnboundedSender<NodeCommand>,
    /// The event loop on the node's thread.
    arbiter: Arbiter,
}

/// Addresses and thread of a node.
#[derive(Debug, Clone, Copy)]
struct NodeEndpoints {
    /// The address for callers; `None` for an agent.
    caller: Option<SocketAddr>,
    /// The address for links from other processes.
    link: SocketAddr,
    /// The identifier of the node's main thread; `None` if the system does not provide it.
    thread_id: Option<u64>,
}

/// Command to a node.
enum NodeCommand {
    /// Return the number of bytes of control traffic sent and received.
    ReadControlBytes(oneshot::Sender<u64>),
    /// Shut down.
    Close(oneshot::Sender<()>),
}

/// The daemon that a node runs.
enum NodeDaemon {
    Router(RouterDaemon),
    Agent(AgentDaemon),
}

impl FleetNode {
    /// Starts a node on a new thread.
    ///
    /// Fails with [`ErrorKind::LocalResource`] if an address cannot be bound.
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

    /// Returns the address for callers; `None` for an agent.
    pub(crate) fn caller_address(&self) -> Option<SocketAddr> {
        self.endpoints.caller
    }

    /// Returns the address for links from other processes.
    pub(crate) fn link_address(&self) -> SocketAddr {
        self.endpoints.link
    }

    /// Returns the identifier of the node's main thread; `None` if the system does not provide it.
    pub(crate) fn thread_id(&self) -> Option<u64> {
        self.endpoints.thread_id
    }

    /// Returns the number of bytes of control traffic sent and received since the start.
    pub(crate) async fn control_bytes(&self) -> u64 {
        let (sender, answer) = oneshot::channel();
        // If the node has stopped, `answer` fails and the count is zero.
        let _ = self.commands.send(NodeCommand::ReadControlBytes(sender));
        answer.await.unwrap_or_default()
    }

    /// Shuts the node down gracefully and joins its thread.
    pub(crate) async fn close(self) {
        let (sender, answer) = oneshot::channel();
        // The send fails only if the node has already stopped.
        let _ = self.commands.send(NodeCommand::Close(sender));
        if tokio::time::timeout(CLOSE_TIMEOUT, answer).await.is_err() {
            log::warn!("node {} did not shut down within the timeout", self.endpoints.link);
        }
        self.arbiter.stop();
        if self.arbiter.join().is_err() {
            log::error!("thread of node {} panicked", self.endpoints.link);
        }
    }
}

impl NodeDaemon {
    /// Starts the daemon.
    fn spawn(options: NodeOptions) -> Result<NodeDaemon, Report<ErrorKind>> {
        match options {
            NodeOptions::Router(options) => RouterDaemon::spawn(*options).map(NodeDaemon::Router),
            NodeOptions::Agent(options) => AgentDaemon::spawn(*options).map(NodeDaemon::Agent),
        }
    }

    /// Returns the daemon's addresses and the current thread.
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

    /// Returns the number of bytes of control traffic sent and received.
    async fn control_bytes(&self) -> u64 {
        let (sent, received) = match self {
            NodeDaemon::Router(router) => router.control_bytes().await,
            NodeDaemon::Agent(agent) => agent.control_bytes(),
        };
        sent + received
    }

    /// Shuts the daemon down gracefully.
    async fn close(self) {
        match self {
            NodeDaemon::Router(router) => router.close().await,
            NodeDaemon::Agent(agent) => agent.close().await,
        }
    }
}

/// Runs a node until it receives [`NodeCommand::Close`].
async fn run_node(
    options: NodeOptions,
    ready: oneshot::Sender<Result<NodeEndpoints, Report<ErrorKind>>>,
    mut commands: mpsc::UnboundedReceiver<NodeCommand>,
) {
    let daemon = match NodeDaemon::spawn(options) {
        Ok(daemon) => daemon,
        Err(report) => {
            // The send fails only if `FleetNode::spawn` was cancelled.
            let _ = ready.send(Err(report));
            return;
        }
    };
    // The send fails only if `FleetNode::spawn` was cancelled.
    let _ = ready.send(Ok(daemon.endpoints()));
    while let Some(command) = commands.recv().await {
        match command {
            NodeCommand::ReadControlBytes(answer) => {
                // The caller may have been cancelled.
                let _ = answer.send(daemon.control_bytes().await);
            }
            NodeCommand::Close(answer) => {
                daemon.close().await;
                // The caller may have timed out.
                let _ = answer.send(());
                return;
            }
        }
    }
}
