//! Reports between routers, as datagrams.
//!
//! Each router sends its whole state to every other it knows. It knows the seeds of its settings
//! and all that the others name. A lost datagram is made good by the next.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::{Duration, Instant};

use error_stack::{Report, ResultExt};
use jackdaw_base::{ErrorKind, plain_data};
use jackdaw_policy::direct::PeerReport;
use tokio::net::UdpSocket;
use tokio::task::JoinHandle;

use crate::edge_state::EdgeState;
use crate::peer_snapshot::fetch_snapshot;

/// Pause between two reports while the fleet is small: a fifth of the shortest latency objectives,
/// so that a choice sees most of the others' sends.
const REPORT_PERIOD: Duration = Duration::from_millis(100);

/// Pause for each known router, where that is longer: it bounds the datagrams a second.
const PERIOD_PER_PEER: Duration = Duration::from_millis(8);

/// Reports of which one names the routers that the sender knows.
const NAMING_INTERVAL: u64 = 8;

/// Time after which a silent router gets no more reports.
const PEER_LIFETIME: Duration = Duration::from_secs(6);

/// Time for which another router must be ahead before its snapshot is fetched; a watch brings
/// the same news within this time where it works.
const AHEAD_SPAN: Duration = Duration::from_millis(350);

/// Pause between two fetches of snapshots.
const FETCH_PAUSE: Duration = Duration::from_millis(400);

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

/// What is known of another router.
#[derive(Debug, Clone, Copy)]
struct PeerRecord {
    heard: Option<Instant>,
    config_version: u64,
    targets_revision: u64,
    ahead_since: Option<Instant>,
}

/// The exchange of reports.
pub struct PeerReports {
    tasks: Vec<JoinHandle<()>>,
}

/// State of the exchange.
struct PeerTable {
    state: Rc<EdgeState>,
    socket: UdpSocket,
    peers: RefCell<BTreeMap<Ipv4Addr, PeerRecord>>,
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
        let table =
            Rc::new(PeerTable { state: Rc::clone(state), socket, peers: RefCell::default() });
        for seed in &state.settings.seeds {
            table.add(*seed.ip());
        }
        let tasks = vec![
            tokio::task::spawn_local(send_reports(Rc::clone(&table))),
            tokio::task::spawn_local(hear_reports(Rc::clone(&table))),
            tokio::task::spawn_local(catch_up(table)),
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

impl PeerTable {
    fn add(&self, ip: Ipv4Addr) {
        if ip == self.state.settings.ip() {
            return;
        }
        let record =
            PeerRecord { heard: None, config_version: 0, targets_revision: 0, ahead_since: None };
        self.peers.borrow_mut().entry(ip).or_insert(record);
    }

    /// Takes in a datagram.
    fn learn(&self, sender: Ipv4Addr, datagram: &ReportDatagram) {
        self.add(sender);
        for ip in &datagram.known {
            self.add(*ip);
        }
        let report = &datagram.report;
        let is_new = {
            let mut router = self.state.router();
            router.learn_report(self.state.now(), report)
        };
        if !is_new {
            return;
        }
        let (config_version, targets_revision) = self.own_versions();
        if let Some(record) = self.peers.borrow_mut().get_mut(&sender) {
            if record.heard.is_none() {
                log::info!(peer:% = sender; "router reports");
            }
            let is_ahead = report.config_version > config_version
                || report.targets_revision > targets_revision;
            let now = Instant::now();
            record.heard = Some(now);
            record.config_version = report.config_version;
            record.targets_revision = report.targets_revision;
            record.ahead_since = is_ahead.then(|| record.ahead_since.unwrap_or(now));
        }
    }

    fn own_versions(&self) -> (u64, u64) {
        let router = self.state.router();
        (router.config_version(), router.targets.change_revision())
    }

    /// Drops routers that fell silent, but for the seeds.
    fn expire(&self) {
        let seeds = &self.state.settings.seeds;
        self.peers.borrow_mut().retain(|ip, record| {
            let is_silent = record.heard.is_some_and(|heard| heard.elapsed() > PEER_LIFETIME);
            if is_silent {
                log::info!(peer:% = ip; "router no longer reports");
                record.heard = None;
                record.ahead_since = None;
            }
            !is_silent || seeds.iter().any(|seed| seed.ip() == ip)
        });
    }

    /// Returns a router that has been ahead for long enough.
    fn peer_ahead(&self) -> Option<Ipv4Addr> {
        let (config_version, targets_revision) = self.own_versions();
        let is_bare = config_version == 0;
        let peers = self.peers.borrow();
        let ahead = peers.iter().filter(|(_, record)| {
            let is_ahead = record.config_version > config_version
                || record.targets_revision > targets_revision;
            let since = record.ahead_since.map_or(Duration::ZERO, |since| since.elapsed());
            is_ahead && (is_bare || since >= AHEAD_SPAN)
        });
        ahead
            .max_by_key(|(_, record)| (record.config_version, record.targets_revision))
            .map(|(ip, _)| *ip)
    }

    async fn send_to_all(&self, sequence: u64) {
        let report = self.state.router().report(self.state.now());
        let peers: Vec<Ipv4Addr> = self.peers.borrow().keys().copied().collect();
        let known = match sequence % NAMING_INTERVAL {
            0 => self.heard_peers(),
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

    fn heard_peers(&self) -> Vec<Ipv4Addr> {
        let peers = self.peers.borrow();
        peers.iter().filter(|(_, record)| record.heard.is_some()).map(|(ip, _)| *ip).collect()
    }

    fn period(&self) -> Duration {
        let peers = self.peers.borrow().len() as u32;
        REPORT_PERIOD.max(PERIOD_PER_PEER * peers)
    }
}

async fn send_reports(table: Rc<PeerTable>) {
    let mut sequence = 0;
    loop {
        table.send_to_all(sequence).await;
        table.expire();
        sequence += 1;
        tokio::time::sleep(table.period()).await;
    }
}

async fn hear_reports(table: Rc<PeerTable>) {
    let mut bytes = vec![0; DATAGRAM_BYTES];
    loop {
        let (length, sender) = match table.socket.recv_from(&mut bytes).await {
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
                table.state.metrics.reports_heard.inc();
                table.learn(*sender.ip(), &datagram);
            }
            Err(error) => {
                log::warn!(peer:% = sender, error:% = error; "a report cannot be read");
            }
        }
    }
}

/// Fetches from another router what the store has not brought.
async fn catch_up(table: Rc<PeerTable>) {
    loop {
        tokio::time::sleep(FETCH_PAUSE).await;
        let Some(peer) = table.peer_ahead() else {
            continue;
        };
        let address = SocketAddrV4::new(peer, table.state.settings.peer_address.port());
        match fetch_snapshot(address).await {
            Ok(snapshot) => {
                let state = &table.state;
                let mut router = state.router();
                let version = snapshot.config.as_ref().map_or(0, |config| config.version);
                let is_installed =
                    snapshot.config.is_some_and(|config| router.install_config(config));
                let revision = snapshot.targets.change_revision;
                router.targets.adopt(state.now(), snapshot.targets);
                log::info!(
                    peer:% = peer, config = version, installed = is_installed, revision;
                    "configuration and targets taken over from another router"
                );
            }
            Err(error) => {
                log::warn!(
                    peer:% = peer,
                    error:% = jackdaw_base::describe_report(&error);
                    "no snapshot from another router"
                );
            }
        }
    }
}
