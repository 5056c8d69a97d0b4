//! Stand-in for the platform: objects with versions, watches, the VM list, and faults on
//! command.

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

/// The room that a request body may take: a value and no more.
const BODY_LIMIT_BYTES: usize = 1_000_000;

/// Behaviour of the stand-in without faults.
#[derive(Debug, Clone)]
pub struct StandinSettings {
    /// The address to listen on; port 0 takes a free one.
    pub address: SocketAddr,
    /// The writes a second above which calls are refused; zero for no limit.
    pub writes_per_second: u32,
    /// The reads, listings and watches a second above which calls are refused; zero for no
    /// limit.
    pub reads_per_second: u32,
    /// The time after which a new VM list can be seen.
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
    /// Way in which the platform fails to answer.
    #[serde(rename_all = "kebab-case")]
    pub enum AnswerFault {
        /// The answer is an error of a gateway.
        Gateway,
        /// The connection is closed without an answer.
        Closed,
        /// No answer ever comes.
        Silent,
    }
}

plain_data! {
    copy
    /// Faults in force.
    #[derive(Default)]
    #[serde(default, deny_unknown_fields)]
    pub struct PlatformFaults {
        /// The platform is down: calls have no effect and fail in this way.
        pub down: Option<AnswerFault>,
        /// The milliseconds by which each call is late.
        pub delay_millis: u64,
        /// The next so many writes take effect, but their answers are lost.
        pub lost_answers: u32,
        /// The way in which those answers are lost; a gateway's error if not given.
        pub lost_as: Option<AnswerFault>,
        /// The next so many writes are never answered, and take effect, if their conditions
        /// hold then, when [`PlatformStandin::release_writes`] is called.
        pub held_writes: u32,
    }
}

plain_data! {
    copy
    /// Calls that have reached the stand-in, per kind; refused and failed ones included.
    #[derive(Default)]
    pub struct PlatformCounts {
        /// The reads of one object.
        pub reads: u64,
        /// The writes.
        pub writes: u64,
        /// The listings.
        pub lists: u64,
        /// The watches, of objects and of the VM list.
        pub watches: u64,
        /// The calls above the rate limit.
        pub refused: u64,
        /// The writes that took effect.
        pub effective_writes: u64,
        /// The bytes of the values of all writes.
        pub written_bytes: u64,
        /// The bytes of all values read.
        pub read_bytes: u64,
    }
}

impl PlatformCounts {
    /// Returns the number of calls of all kinds.
    pub fn calls(&self) -> u64 {
        self.reads + self.writes + self.lists + self.watches
    }
}

/// Running stand-in for the platform.
pub struct PlatformStandin {
    address: SocketAddr,
    state: Arc<PlatformState>,
    server: ServerHandle,
    thread: JoinHandle<io::Result<()>>,
}

impl PlatformStandin {
    /// Binds the stand-in and serves it on a thread of its own.
    ///
    /// Fails with [`ErrorKind::LocalResource`] if the address cannot be used.
    pub fn bind(settings: StandinSettings) -> Result<PlatformStandin, Report<ErrorKind>> {
        let listener =
            TcpListener::bind(settings.address).change_context(ErrorKind::LocalResource)?;
        let address = listener.local_addr().change_context(ErrorKind::LocalResource)?;
        let state = Arc::new(PlatformState::new(settings));
        let (sender, receiver) = mpsc::channel();
        let served = Arc::clone(&state);
        let thread = thread::Builder::new()
            .name("platform-standin".to_owned())
            .spawn(move || serve(listener, served, &sender))
            .change_context(ErrorKind::LocalResource)?;
        let server = receiver.recv().change_context(ErrorKind::LocalResource)?;
        Ok(PlatformStandin { address, state, server, thread })
    }

    /// Returns the address of the object API.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the VM list; it can be seen after the lag that the settings give.
    pub fn set_vms(&self, vms: Vec<VmRecord>) {
        self.state.set_vms(vms);
    }

    /// Replaces the faults in force.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.state.set_faults(faults);
    }

    /// Lets the held writes take effect where their conditions still hold, and returns how
    /// many did.
    pub fn release_writes(&self) -> usize {
        self.state.release_writes()
    }

    /// Returns the number of writes held back.
    pub fn held_writes(&self) -> usize {
        self.state.held_writes()
    }

    /// Returns the calls so far.
    pub fn counts(&self) -> PlatformCounts {
        self.state.counts()
    }

    /// Returns the value of an object, outside of all counts and faults.
    pub fn object(&self, key: &str) -> Option<Vec<u8>> {
        self.state.peek(key)
    }

    /// Returns the keys of all objects under a prefix, outside of all counts and faults.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        self.state.list(prefix, 0).changes.into_iter().map(|change| change.key).collect()
    }

    /// Stops serving and waits for the thread's end.
    pub async fn close(self) {
        self.server.stop(false).await;
        if self.thread.join().is_err() {
            log::error!("the platform stand-in's thread has panicked");
        }
    }
}

/// Serves until the handle stops the server.
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
        // The receiver waits in `bind` for exactly this message.
        if sender.send(server.handle()).is_err() {
            return Ok(());
        }
        server.await
    })
}
