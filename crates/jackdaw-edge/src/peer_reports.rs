//! Reports between routers, as datagrams.
//!
//! Each router sends its whole state to every other it knows. It knows the seeds of its settings
//! and all that the others name. A lost datagram is made good by the next.

use std::cell::RefCell;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;

use error_stack::{Report, ResultExt};
use jackdaw_base::{ErrorKind, plain_data};
use jackdaw_policy::direct::PeerReport;
use tokio::net::UdpSocket;
use tokio::task::JoinHandle;

use crate::edge_state::EdgeState;
use crate::peer_snapshot::{FleetSnapshot, fetch_snapshot};
use crate::peer_table::PeerTable;

/// Pause between two reports while the fleet is small: a fifth of the shortest latency objectives,
/// so that a choice sees most of the others' sends.
const REPORT_PERIOD: Duration = Duration::from_millis(100);

/// Pause for each known router, where that is longer: it bounds the datagrams a second.
const PERIOD_PER_PEER: Duration = Duration::from_millis(8);

/// Reports of which one names the routers that the sender knows.
const NAMING_INTERVAL: u64 = 8;

/// Pause between two looks for a router to be asked: what it adds to the age of news is small
/// beside the report period of a large fleet.
const FETCH_PAUSE: Duration = Duration::from_millis(100);

/// The largest datagram.
const DATAGRAM_BYTES: usize = 60 * 1024;

plain_data! {
    /// A datagram between routers.
    struct ReportDatagram {
        /// The state of the sender.
        report: PeerReport,
        /// Routers that the sender has heard.
        known: Vec<Ipv4Addr>,
    }
}

/// The exchange of reports.
pub struct PeerReports {
    tasks: Vec<JoinHandle<()>>,
}

/// State of the exchange.
struct ReportExchange {
    state: Rc<EdgeState>,
    socket: UdpSocket,
    peers: RefCell<PeerTable>,
}

impl PeerReports {
    /// Binds the report port and exchanges reports until the returned value is closed.
    ///
    /// # Errors
    ///
    /// `LocalResource` where the port cannot be bound.
    pub async fn bind(state: &Rc<EdgeState>) -> Result<PeerReports, Report<ErrorKind>> {
        let address = SocketAddrV4::new(state.settings.ip(), state.settings.report_port);
        let socket = UdpSocket::bind(address).await;
        let socket =
            socket.change_context(ErrorKind::LocalResource).attach_with(|| address.to_string())?;
        let peers = RefCell::default();
        let exchange = Rc::new(ReportExchange { state: Rc::clone(state), socket, peers });
        for seed in &state.settings.seeds {
            exchange.add(*seed.ip());
        }
        let tasks = vec![
            tokio::task::spawn_local(send_reports(Rc::clone(&exchange))),
            tokio::task::spawn_local(hear_reports(Rc::clone(&exchange))),
            tokio::task::spawn_local(catch_up(exchange)),
        ];
        Ok(PeerReports { tasks })
    }

    /// Ends the exchange.
    pub fn close(self) {
        for task in self.tasks {
            task.abort();
        }
    }
}

impl ReportExchange {
    fn add(&self, ip: Ipv4Addr) {
        if ip != self.state.settings.ip() {
            self.peers.borrow_mut().add(ip);
        }
    }

    /// Takes in a datagram.
    fn learn(&self, sender: Ipv4Addr, datagram: &ReportDatagram) {
        self.add(sender);
        for ip in &datagram.known {
            self.add(*ip);
        }
        let now = self.state.now();
        let is_new = self.state.router().learn_report(now, &datagram.report);
        if is_new {
            self.peers.borrow_mut().learn(&self.state, sender, &datagram.report);
        }
    }

    async fn send_to_all(&self, sequence: u64) {
        let report = self.state.router().report(self.state.now());
        let peers = self.peers.borrow().addresses();
        let known = match sequence % NAMING_INTERVAL {
            0 => self.peers.borrow().heard(),
            _ => Vec::new(),
        };
        let datagram = ReportDatagram { report, known };
        let bytes = match postcard::to_stdvec(&datagram) {
            Ok(bytes) if bytes.len() <= DATAGRAM_BYTES => bytes,
            Ok(bytes) => {
                log::error!(bytes = bytes.len(); "a report is too large to be sent");
                return;
            }
            Err(error) => {
                log::error!(error:% = error; "a report cannot be written");
                return;
            }
        };
        for peer in peers {
            let address = SocketAddrV4::new(peer, self.state.settings.report_port);
            // A report that cannot be sent now is replaced by the next.
            match self.socket.try_send_to(&bytes, SocketAddr::V4(address)) {
                Ok(_) => {
                    self.state.metrics.reports_sent.inc();
                }
                Err(error) => log::debug!(peer:% = peer, error:% = error; "report not sent"),
            }
        }
    }

    fn period(&self) -> Duration {
        let peers = self.peers.borrow().len() as u32;
        REPORT_PERIOD.max(PERIOD_PER_PEER * peers)
    }
}

async fn send_reports(exchange: Rc<ReportExchange>) {
    let seeds: Vec<Ipv4Addr> =
        exchange.state.settings.seeds.iter().map(|seed| *seed.ip()).collect();
    let mut sequence = 0;
    loop {
        exchange.send_to_all(sequence).await;
        exchange.peers.borrow_mut().expire(&seeds);
        let period = exchange.period();
        exchange.peers.borrow().review_watch(&exchange.state, period);
        sequence += 1;
        tokio::time::sleep(period).await;
    }
}

async fn hear_reports(exchange: Rc<ReportExchange>) {
    let mut bytes = vec![0; DATAGRAM_BYTES];
    loop {
        let (length, sender) = match exchange.socket.recv_from(&mut bytes).await {
            Ok(received) => received,
            Err(error) => {
                log::warn!(error:% = error; "reports cannot be received");
                tokio::time::sleep(REPORT_PERIOD).await;
                continue;
            }
        };
        let SocketAddr::V4(sender) = sender else {
            continue;
        };
        match postcard::from_bytes::<ReportDatagram>(&bytes[..length]) {
            Ok(datagram) => {
                exchange.state.metrics.reports_heard.inc();
                exchange.learn(*sender.ip(), &datagram);
            }
            Err(error) => {
                log::warn!(peer:% = sender, error:% = error; "a report cannot be read");
            }
        }
    }
}

/// Fetches from another router what this one's own watch does not bring.
async fn catch_up(exchange: Rc<ReportExchange>) {
    let state = &exchange.state;
    loop {
        tokio::time::sleep(FETCH_PAUSE).await;
        let Some(peer) = exchange.peers.borrow().news_source(state) else {
            continue;
        };
        let address = SocketAddrV4::new(peer, state.settings.peer_address.port());
        let known_version = state.router().config_version();
        match fetch_snapshot(address, known_version).await {
            Ok(snapshot) => take_over(state, peer, snapshot),
            Err(error) => {
                let now = state.now();
                state.router().watch.note_failed_fetch(now);
                let error = jackdaw_base::describe_report(&error);
                log::warn!(peer:% = peer, error:% = error; "no snapshot from another router");
            }
        }
    }
}

/// Puts another router's snapshot in force where it is newer.
fn take_over(state: &EdgeState, peer: Ipv4Addr, snapshot: FleetSnapshot) {
    let mut router = state.router();
    let version = snapshot.config.as_ref().map_or(0, |config| config.version);
    let is_installed = snapshot.config.is_some_and(|config| router.install_config(config));
    let revision = snapshot.targets.change_revision;
    let is_complete = snapshot.targets.is_complete;
    router.targets.adopt(state.now(), snapshot.targets);
    log::info!(
        peer:% = peer, config = version, installed = is_installed, revision, is_complete;
        "configuration and targets taken over from another router"
    );
}
