//! Reports between routers, as datagrams.
//!
//! Each router sends its whole state to those that [`jackdaw_policy::direct::plan_reports`] names;
//! relays of a large fleet pack the reports of their failure domain for the others. A router knows
//! the seeds of its settings and all that others name. A lost datagram is made good by the next.

use std::cell::RefCell;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;

use error_stack::{Report, ResultExt};
use jackdaw_base::{ErrorKind, plain_data};
use jackdaw_policy::direct::uses_relays;
use tokio::net::UdpSocket;
use tokio::task::JoinHandle;

use crate::edge_state::EdgeState;
use crate::peer_snapshot::{FleetSnapshot, fetch_snapshot};
use crate::peer_table::{PeerTable, RouterReport};

/// Pause between two reports while the fleet is small: a fifth of the shortest latency objectives,
/// so that a choice sees most of the others' sends.
const REPORT_PERIOD: Duration = Duration::from_millis(100);

/// Pause between two reports in a fleet with relays: those wait for the next period of their
/// relays in any case.
const RELAYED_PERIOD: Duration = Duration::from_millis(150);

/// Pause for each receiver, where that is longer: it bounds the datagrams a second.
const PERIOD_PER_PEER: Duration = Duration::from_millis(8);

/// Reports of which one names the routers that the sender knows.
const PEER_LIST_INTERVAL: u64 = 8;

/// Pause between two looks for a router to be asked: what it adds to the age of news is small
/// beside the report period of a large fleet.
const FETCH_POLL: Duration = Duration::from_millis(100);

/// The largest datagram.
const DATAGRAM_BYTES: usize = 60 * 1024;

/// Reports in one datagram; at most some 3 KB each.
const BATCH_REPORTS: usize = 16;

plain_data! {
    /// A datagram between routers.
    struct ReportDatagram {
        /// The states of the sender, or of routers of its failure domain.
        reports: Vec<RouterReport>,
        /// Routers that the sender has heard.
        known: Vec<Ipv4Addr>,
        /// Whether the receiver passes the reports on in its failure domain.
        is_batch: bool,
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
        let address = SocketAddrV4::new(state.settings().ip(), state.settings().report_port);
        let socket = UdpSocket::bind(address).await;
        let socket =
            socket.change_context(ErrorKind::LocalResource).attach_with(|| address.to_string())?;
        let peers = RefCell::default();
        let exchange = Rc::new(ReportExchange { state: Rc::clone(state), socket, peers });
        let tasks = vec![
            tokio::task::spawn_local(send_reports(Rc::clone(&exchange))),
            tokio::task::spawn_local(receive_reports(Rc::clone(&exchange))),
            tokio::task::spawn_local(fetch_snapshots(exchange)),
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
        if ip != self.state.settings().ip() {
            self.peers.borrow_mut().add(ip);
        }
    }

    fn seeds(&self) -> Vec<Ipv4Addr> {
        self.state.settings().seeds.iter().map(|seed| *seed.ip()).collect()
    }

    /// Takes in a datagram.
    fn receive(&self, sender: Ipv4Addr, datagram: ReportDatagram) {
        self.add(sender);
        for ip in &datagram.known {
            self.add(*ip);
        }
        let now = self.state.now();
        for RouterReport { address, report } in &datagram.reports {
            let is_new = self.state.router().apply_report(now, report);
            if is_new {
                self.peers.borrow_mut().record(&self.state, *address, report);
            }
        }
        if datagram.is_batch {
            let peers = self.peers.borrow().domain_peers();
            self.send(&peers, &ReportDatagram { is_batch: false, ..datagram });
        }
    }

    /// Sends the reports of one period; returns the time until the next.
    fn send_period(&self, period: u64) -> Duration {
        let report = self.state.router().report(self.state.now());
        let own = RouterReport { address: self.state.settings().ip(), report };
        let (plan, known, is_relayed) = {
            let peers = self.peers.borrow();
            let known = match period % PEER_LIST_INTERVAL {
                0 => peers.reporting(),
                _ => Vec::new(),
            };
            (peers.plan(&self.state, period), known, uses_relays(peers.len()))
        };
        self.send(
            &plan.direct,
            &ReportDatagram { reports: vec![own.clone()], known, is_batch: false },
        );
        if !plan.bundles.is_empty() {
            let mut reports = self.peers.borrow().domain_reports();
            reports.push(own);
            for reports in reports.chunks(BATCH_REPORTS) {
                let reports = reports.to_vec();
                let datagram = ReportDatagram { reports, known: Vec::new(), is_batch: true };
                self.send(&plan.bundles, &datagram);
            }
        }
        let shortest = if is_relayed { RELAYED_PERIOD } else { REPORT_PERIOD };
        shortest.max(PERIOD_PER_PEER * plan.direct.len() as u32)
    }

    fn send(&self, receivers: &[Ipv4Addr], datagram: &ReportDatagram) {
        let bytes = match postcard::to_stdvec(datagram) {
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
        let port = self.state.settings().report_port;
        for peer in receivers {
            let address = SocketAddrV4::new(*peer, port);
            // A report that cannot be sent now is replaced by the next.
            match self.socket.try_send_to(&bytes, SocketAddr::V4(address)) {
                Ok(_) => {
                    self.state.metrics.reports_sent.inc();
                }
                Err(error) => log::debug!(peer:% = peer, error:% = error; "report not sent"),
            }
        }
    }
}

async fn send_reports(exchange: Rc<ReportExchange>) {
    let mut period = 0;
    loop {
        // Read each time, as a reload may change them.
        let seeds = exchange.seeds();
        for seed in &seeds {
            exchange.add(*seed);
        }
        let pause = exchange.send_period(period);
        {
            let mut peers = exchange.peers.borrow_mut();
            peers.set_report_period(pause);
            peers.expire(&seeds);
            peers.review_watch(&exchange.state);
        }
        period += 1;
        tokio::time::sleep(pause).await;
    }
}

async fn receive_reports(exchange: Rc<ReportExchange>) {
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
                exchange.state.metrics.reports_received.inc();
                exchange.receive(*sender.ip(), datagram);
            }
            Err(error) => {
                log::warn!(peer:% = sender, error:% = error; "a report cannot be read");
            }
        }
    }
}

/// Fetches from another router what this one's own watch does not bring.
async fn fetch_snapshots(exchange: Rc<ReportExchange>) {
    let state = &exchange.state;
    loop {
        tokio::time::sleep(FETCH_POLL).await;
        let Some(peer) = exchange.peers.borrow().snapshot_source(state) else {
            continue;
        };
        let address = SocketAddrV4::new(peer, state.settings().peer_address.port());
        let known_version = state.router().config_version();
        match fetch_snapshot(address, known_version).await {
            Ok(snapshot) => install_snapshot(state, peer, snapshot),
            Err(error) => {
                let now = state.now();
                state.router().watch.record_failed_fetch(now);
                let error = jackdaw_base::describe_report(&error);
                log::warn!(peer:% = peer, error:% = error; "no snapshot from another router");
            }
        }
    }
}

/// Puts another router's snapshot in force where it is newer.
fn install_snapshot(state: &EdgeState, peer: Ipv4Addr, snapshot: FleetSnapshot) {
    let mut router = state.router();
    let version = snapshot.config.as_ref().map_or(0, |config| config.version);
    let is_installed = snapshot.config.is_some_and(|config| router.install_config(config));
    let revision = snapshot.targets.change_revision;
    let is_complete = snapshot.targets.is_complete;
    router.targets.merge(state.now(), snapshot.targets);
    log::info!(
        peer:% = peer, config = version, installed = is_installed, revision, is_complete;
        "configuration and targets taken over from another router"
    );
}
