//! Loopback TCP proxy that injects connection faults.

use std::cell::Cell;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::fault_plan::LinkFault;

/// Time added before each chunk by [`LinkFault::Delay`].
const ADDED_DELAY: Duration = Duration::from_millis(300);

/// Buffer size in bytes; faults apply to each chunk read.
const CHUNK_BYTES: usize = 16 * 1024;

/// Proxy in front of one address.
#[derive(Clone)]
pub struct FaultProxy {
    /// Address on which the proxy listens.
    pub address: SocketAddr,
    state: Rc<ProxyState>,
}

struct ProxyState {
    target: SocketAddr,
    fault: Cell<Option<LinkFault>>,
    /// Number of resets so far; all connections are reset when it changes.
    resets: watch::Sender<u64>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FlowDirection {
    Upstream,
    Downstream,
}

impl FaultProxy {
    /// Starts a proxy in front of an address.
    ///
    /// # Panics
    ///
    /// Panics if no port can be bound.
    pub async fn spawn(target: SocketAddr) -> FaultProxy {
        let (proxy, listener) = FaultProxy::bind(target).await;
        tokio::task::spawn_local(accept(listener, Rc::clone(&proxy.state)));
        proxy
    }

    /// As [`FaultProxy::spawn`], but refuses connections once the target has ended, as its own address
    /// would.
    ///
    /// # Panics
    ///
    /// Panics if no port can be bound.
    pub async fn spawn_until_ended(target: SocketAddr) -> FaultProxy {
        let (proxy, listener) = FaultProxy::bind(target).await;
        let accepting = accept(listener, Rc::clone(&proxy.state));
        tokio::task::spawn_local(async move {
            tokio::select! {
                () = accepting => {}
                () = wait_end(target) => {}
            }
        });
        proxy
    }

    async fn bind(target: SocketAddr) -> (FaultProxy, TcpListener) {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
            .await
            .expect("a loopback port can be bound");
        let address = listener.local_addr().expect("listener has an address");
        let state =
            Rc::new(ProxyState { target, fault: Cell::new(None), resets: watch::Sender::new(0) });
        (FaultProxy { address, state }, listener)
    }

    /// Sets the fault of all connections. A connection that dropped bytes drops all later ones too.
    pub fn set_fault(&self, fault: Option<LinkFault>) {
        self.state.fault.set(fault);
        if fault == Some(LinkFault::Reset) {
            self.state.resets.send_modify(|count| *count += 1);
        }
    }
}

async fn accept(listener: TcpListener, state: Rc<ProxyState>) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::task::spawn_local(relay(stream, Rc::clone(&state)));
    }
}

/// Waits until a target that was just started has ended, which closes an idle connection to it.
async fn wait_end(target: SocketAddr) {
    if let Ok(mut connection) = TcpStream::connect(target).await {
        // The target sends nothing on it, so that any outcome is its end.
        let _ = connection.read(&mut [0]).await;
    }
}

async fn relay(mut client: TcpStream, state: Rc<ProxyState>) {
    let mut resets = state.resets.subscribe();
    // If the target refuses, the client sees its connection closed.
    let Ok(mut target) = TcpStream::connect(state.target).await else {
        return;
    };
    for stream in [&client, &target] {
        // Failure only leaves Nagle's algorithm on, which adds a short delay.
        let _ = stream.set_nodelay(true);
    }
    let is_reset = {
        let (client_read, client_write) = client.split();
        let (target_read, target_write) = target.split();
        let upstream = forward_bytes(client_read, target_write, &state, FlowDirection::Upstream);
        let downstream =
            forward_bytes(target_read, client_write, &state, FlowDirection::Downstream);
        tokio::select! {
            _ = async { tokio::join!(upstream, downstream) } => false,
            _ = resets.changed() => true,
        }
    };
    if is_reset {
        for stream in [&client, &target] {
            // Failure turns the reset into an orderly close.
            let _ = stream.set_zero_linger();
        }
    }
}

/// Forwards bytes until the connection ends. Once a fault drops bytes, all later ones are dropped
/// while the connection stays open.
async fn forward_bytes(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    state: &ProxyState,
    direction: FlowDirection,
) {
    let mut buffer = vec![0; CHUNK_BYTES];
    let mut is_silent = false;
    while let Ok(length @ 1..) = from.read(&mut buffer).await {
        match state.fault.get() {
            Some(LinkFault::Delay) => tokio::time::sleep(ADDED_DELAY).await,
            Some(LinkFault::Silent) => is_silent = true,
            Some(LinkFault::SilentUpstream) => is_silent |= direction == FlowDirection::Upstream,
            Some(LinkFault::SilentDownstream) => {
                is_silent |= direction == FlowDirection::Downstream;
            }
            Some(LinkFault::Reset) | None => {}
        }
        if !is_silent && to.write_all(&buffer[..length]).await.is_err() {
            break;
        }
    }
    if !is_silent {
        // Fails if the other side has closed already.
        let _ = to.shutdown().await;
    }
}
