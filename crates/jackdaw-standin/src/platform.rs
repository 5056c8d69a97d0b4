//! Stand-in for the platform: versioned objects, watches, the VM list and fault injection.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, mpsc};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use actix_web::dev::ServerHandle;
use actix_web::{App, HttpServer, web};
use error_stack::{Report, ResultExt};
use jackdaw_base::{ErrorKind, VmRecord, plain_data};

use self::state::PlatformState;

mod handlers;
mod state;

/// Maximum size of a request body, which holds a single object value.
const BODY_LIMIT_BYTES: usize = 1_000_000;

/// Settings of the platform stand-in, apart from injected faults.
#[derive(Debug, Clone)]
pub struct StandinSettings {
    /// The address to listen on; port 0 picks a free one.
    pub address: SocketAddr,
    /// The number of writes accepted per second; zero for no limit.
    pub writes_per_second: u32,
    /// The number of reads, listings and watches accepted per second, taken together; zero for
    /// no limit.
    pub reads_per_second: u32,
    /// The delay before a new VM list becomes visible to readers.
    pub vm_lag: Duration,
}

impl Default for StandinSettings {
    fn default() -> StandinSettings {
        StandinSettings {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            writes_per_second: 0,
            reads_per_second: 0,
            vm_lag: Duration::ZERO,
        }
    }
}

plain_data! {
    copy
    /// How a call to the platform fails.
    #[serde(rename_all = "kebab-case")]
    pub enum AnswerFault {
        /// The call is answered with status 502 (bad gateway).
        Gateway,
        /// The connection is closed without a response.
        Closed,
        /// The connection stays open, but no response is ever sent.
        Silent,
    }
}

plain_data! {
    copy
    /// The faults to inject.
    #[derive(Default)]
    #[serde(default, deny_unknown_fields)]
    pub struct PlatformFaults {
        /// If set, the platform is down: calls have no effect and fail in this way.
        pub down: Option<AnswerFault>,
        /// The delay of each call in milliseconds.
        pub delay_millis: u64,
        /// The number of coming writes that take effect although their responses are lost.
        pub lost_answers: u32,
        /// How those responses are lost; [`AnswerFault::Gateway`] if not given.
        pub lost_as: Option<AnswerFault>,
        /// The number of coming writes that are held back and never answered. A held write is
        /// applied by [`PlatformStandin::release_writes`] if its condition is met at that time.
        pub held_writes: u32,
    }
}

plain_data! {
    copy
    /// Calls that reached the stand-in by kind, including refused and failed ones.
    #[derive(Default)]
    pub struct PlatformCounts {
        /// The reads of a single object.
        pub reads: u64,
        /// The writes.
        pub writes: u64,
        /// The listings.
        pub lists: u64,
        /// The watches of objects and of the VM list.
        pub watches: u64,
        /// The calls that exceeded a rate limit.
        pub refused: u64,
        /// The writes that took effect.
        pub effective_writes: u64,
        /// The total size in bytes of the values of processed writes, including writes whose
        /// condition was not met.
        pub written_bytes: u64,
        /// The total size in bytes of the values read.
        pub read_bytes: u64,
    }
}

impl PlatformCounts {
    /// Returns the total number of calls.
    pub fn calls(&self) -> u64 {
        self.reads + self.writes + self.lists + self.watches
    }
}

/// Handle of a running platform stand-in.
pub struct PlatformStandin {
    address: SocketAddr,
    state: Arc<PlatformState>,
    server: ServerHandle,
    thread: JoinHandle<io::Result<()>>,
}

impl PlatformStandin {
    /// Binds the address and serves the stand-in on a dedicated thread.
    ///
    /// Fails with [`ErrorKind::LocalResource`] if the address cannot be bound or the thread cannot
    /// be started.
    pub fn bind(settings: StandinSettings) -> Result<PlatformStandin, Report<ErrorKind>> {
        let listener =
            TcpListener::bind(settings.address).change_context(ErrorKind::LocalResource)?;
        let address = listener.local_addr().change_context(ErrorKind::LocalResource)?;
        let state = Arc::new(PlatformState::new(settings));
        let (sender, receiver) = mpsc::channel();
        let server_state = Arc::clone(&state);
        let thread = thread::Builder::new()
            .name("platform-standin".to_owned())
            .spawn(move || serve(listener, server_state, &sender))
            .change_context(ErrorKind::LocalResource)?;
        let server = receiver.recv().change_context(ErrorKind::LocalResource)?;
        Ok(PlatformStandin { address, state, server, thread })
    }

    /// Returns the address of the object API.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the VM list; readers see it after [`StandinSettings::vm_lag`].
    pub fn set_vms(&self, vms: Vec<VmRecord>) {
        self.state.set_vms(vms);
    }

    /// Replaces the faults to inject.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.state.set_faults(faults);
    }

    /// Applies the held writes whose conditions are met and returns how many took effect.
    pub fn release_writes(&self) -> usize {
        self.state.release_writes()
    }

    /// Returns the number of writes that are held back.
    pub fn held_writes(&self) -> usize {
        self.state.held_writes()
    }

    /// Returns the call counters.
    pub fn counts(&self) -> PlatformCounts {
        self.state.counts()
    }

    /// Returns the value of an object without counting a call or injecting faults.
    pub fn object(&self, key: &str) -> Option<Vec<u8>> {
        self.state.read_uncounted(key)
    }

    /// Returns the keys of all objects under a prefix without counting a call or injecting faults.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        self.state.list(prefix, 0).changes.into_iter().map(|change| change.key).collect()
    }

    /// Stops the server and joins its thread.
    pub async fn close(self) {
        self.server.stop(false).await;
        if self.thread.join().is_err() {
            log::error!("platform stand-in thread panicked");
        }
    }
}

/// Serves requests until the server is stopped; sends its handle through `sender` first.
fn serve(
    listener: TcpListener,
    state: Arc<PlatformState>,
    sender: &mpsc::Sender<ServerHandle>,
) -> io::Result<()> {
    actix_rt::System::new().block_on(async move {
        let data = web::Data::from(state);
        let server = HttpServer::new(move || {
            App::new()
                .app_data(data.clone())
                .app_data(web::PayloadConfig::new(BODY_LIMIT_BYTES))
                .configure(handlers::configure)
        })
        .workers(1)
        .disable_signals()
        .shutdown_timeout(0)
        .listen(listener)?
        .run();
        // `bind` waits for this message; sending fails only if `bind` has returned.
        if sender.send(server.handle()).is_err() {
            return Ok(());
        }
        server.await
    })
}
