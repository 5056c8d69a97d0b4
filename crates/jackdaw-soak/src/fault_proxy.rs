//! A loopback proxy whose connections fail as they are told.

use std::cell::Cell;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::fault_plan::LinkFault;

/// Time by which bytes come later.
const DELAY: Duration = Duration::from_millis(300);

/// Bytes passed on at once.
const CHUNK_BYTES: usize = 16 * 1024;

/// A proxy before one address.
#[derive(Clone)]
pub struct FaultProxy {
    /// The address at which it listens.
    pub address: SocketAddr,
    shared: Rc<SharedProxy>,
}

struct SharedProxy {
    target: SocketAddr,
    fault: Cell<Option<LinkFault>>,
    /// The resets so far; connections end when it changes.
    resets: watch::Sender<u64>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FlowSide {
    Forth,
    Back,
}

impl FaultProxy {
    /// Starts a proxy before an address.
    ///
    /// # Panics
    ///
    /// Panics where no port can be bound.
    pub async fn spawn(target: SocketAddr) -> FaultProxy {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let shared =
            Rc::new(SharedProxy { target, fault: Cell::new(None), resets: watch::Sender::new(0) });
        tokio::task::spawn_local(accept(listener, Rc::clone(&shared)));
        FaultProxy { address, shared }
    }

    /// Sets the fault of all connections from now on; a silenced one stays silent.
    pub fn set_fault(&self, fault: Option<LinkFault>) {
        self.shared.fault.set(fault);
        if fault == Some(LinkFault::Reset) {
            self.shared.resets.send_modify(|count| *count += 1);
        }
    }
}

async fn accept(listener: TcpListener, shared: Rc<SharedProxy>) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::task::spawn_local(relay(stream, Rc::clone(&shared)));
    }
}

async fn relay(mut near: TcpStream, shared: Rc<SharedProxy>) {
    let mut resets = shared.resets.subscribe();
    // A connection that is not taken is closed, as one to a port without a listener.
    let Ok(mut far) = TcpStream::connect(shared.target).await else {
        return;
    };
    for stream in [&near, &far] {
        // Without this option bytes come a little later.
        let _ = stream.set_nodelay(true);
    }
    let is_reset = {
        let (near_read, near_write) = near.split();
        let (far_read, far_write) = far.split();
        let forth = pump(near_read, far_write, &shared, FlowSide::Forth);
        let back = pump(far_read, near_write, &shared, FlowSide::Back);
        tokio::select! {
            _ = async { tokio::join!(forth, back) } => false,
            _ = resets.changed() => true,
        }
    };
    if is_reset {
        for stream in [&near, &far] {
            // Without this option the reset looks like an end.
            let _ = stream.set_zero_linger();
        }
    }
}

/// Passes bytes on until the connection ends or falls silent, then keeps it open but silent.
async fn pump(mut from: ReadHalf<'_>, mut to: WriteHalf<'_>, shared: &SharedProxy, side: FlowSide) {
    let mut bytes = vec![0; CHUNK_BYTES];
    let mut is_silent = false;
    while let Ok(length @ 1..) = from.read(&mut bytes).await {
        match shared.fault.get() {
            Some(LinkFault::Delay) => tokio::time::sleep(DELAY).await,
            Some(LinkFault::Silent) => is_silent = true,
            Some(LinkFault::SilentForth) => is_silent |= side == FlowSide::Forth,
            Some(LinkFault::SilentBack) => is_silent |= side == FlowSide::Back,
            Some(LinkFault::Reset) | None => {}
        }
        if !is_silent && to.write_all(&bytes[..length]).await.is_err() {
            break;
        }
    }
    if !is_silent {
        // The other side may have closed already.
        let _ = to.shutdown().await;
    }
}
