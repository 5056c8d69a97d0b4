//! Exchange of state reports between routers, as UDP datagrams.
//!
//! In each period, a router sends its complete state to the receivers chosen by
//! [`jackdaw_policy::direct::plan_reports`]. In a large fleet, relays bundle the reports of their
//! failure domain and send them to relays of the other domains, which forward them. Routers
//! discover each other from the seeds in their settings, from the peers listed in reports and, if the
//! seeds are gone, from the store. Lost datagrams are not resent, because the next report replaces them.

mod contact_exchange;

use std::cell::RefCell;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;

use error_stack::{Report, ResultExt};
use jackdaw_base::{ErrorKind, ProcessIncarnation};
use jackdaw_policy::direct::{FindingSource, uses_relays};
use tokio::net::UdpSocket;
use tokio::task::JoinHandle;

use crate::edge_state::{EdgeState, vm_of};
use crate::log_text::format_names;
use crate::peer_reports::contact_exchange::exchange_contacts;
use crate::peer_snapshot::{FleetSnapshot, fetch_snapshot};
use crate::peer_table::PeerTable;
use crate::report_datagram::{
    CrashExtension, DatagramExtension, EvacuationExtension, LimitExtension, MAX_DATAGRAM_BYTES,
    ReceivedDatagram, ReportDatagram, ReportDetails, RouterLimits, RouterPrefills, RouterReport,
    StreamExtension, decode_datagram, encode_datagram,
};
use crate::stream_exchange::StreamExchange;

/// Report period of a small fleet: a fifth of the shortest latency objectives, so that target
/// selection knows most of the requests sent by other routers.
const REPORT_PERIOD: Duration = Duration::from_millis(100);

/// Report period of a fleet with relays, where a report waits for the relay's next period anyway.
const RELAYED_PERIOD: Duration = Duration::from_millis(150);

/// Lower bound of the report period per receiver, which limits the datagrams per second.
const PERIOD_PER_PEER: Duration = Duration::from_millis(8);

/// A report lists the routers known to its sender once per this number of periods.
const PEER_LIST_INTERVAL: u64 = 8;

/// Interval of checks for a router to fetch a snapshot from. The delay that it adds to changes is
/// small compared with the report period of a large fleet.
const FETCH_POLL: Duration = Duration::from_millis(100);

/// Time for which a router passes on that a target announced its leaving: several report periods of
/// a large fleet.
const LEAVING_REPORT_TIME: Duration = Duration::from_secs(3);

/// Maximum number of reports in a bundle; a report takes up to about 3 KB.
const MAX_BUNDLE_REPORTS: usize = 16;

/// Background tasks that exchange reports.
pub struct PeerReports {
    tasks: Vec<JoinHandle<()>>,
}

/// State shared by the tasks of the exchange.
struct ReportExchange {
    state: Rc<EdgeState>,
    socket: Rc<UdpSocket>,
    peers: Rc<RefCell<PeerTable>>,
}

impl PeerReports {
    /// Binds the report port and exchanges reports until [`PeerReports::close`].
    ///
    /// # Errors
    ///
    /// `LocalResource` if the port cannot be bound.
    pub async fn bind(state: &Rc<EdgeState>) -> Result<PeerReports, Report<ErrorKind>> {
        let address = SocketAddrV4::new(state.settings().ip(), state.settings().report_port);
        let socket = UdpSocket::bind(address).await;
        let socket =
            socket.change_context(ErrorKind::LocalResource).attach_with(|| address.to_string())?;
        let (socket, peers) = (Rc::new(socket), Rc::default());
        state.open_streams(StreamExchange::new(&socket, &peers));
        let exchange = Rc::new(ReportExchange { state: Rc::clone(state), socket, peers });
        let tasks = vec![
            tokio::task::spawn_local(send_reports(Rc::clone(&exchange))),
            tokio::task::spawn_local(receive_reports(Rc::clone(&exchange))),
            tokio::task::spawn_local(fetch_snapshots(Rc::clone(&exchange))),
            tokio::task::spawn_local(exchange_contacts(exchange)),
        ];
        Ok(PeerReports { tasks })
    }

    /// Stops the exchange.
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

    /// Processes a datagram, and forwards it within the failure domain if it is a bundle.
    fn receive(&self, sender: Ipv4Addr, received: &ReceivedDatagram) {
        let datagram = &received.datagram;
        self.add(sender);
        for ip in &datagram.known {
            self.add(*ip);
        }
        let now = self.state.now();
        let is_introduced = match datagram.reports.as_slice() {
            // Introductions list routers themselves, so they are not answered in turn.
            [RouterReport { address, report }]
                if *address == sender && datagram.known.is_empty() =>
            {
                self.peers.borrow().needs_introduction(&self.state, sender, report)
            }
            _ => false,
        };
        for RouterReport { address, report } in &datagram.reports {
            if !self.state.router().apply_report(now, report) {
                continue;
            }
            let details = received.details(report.incarnation);
            self.state.router().record_member(now, vm_of(*address));
            self.state.router().apply_prefill(report.incarnation, &details.prefills);
            let limits = &details.limits;
            let changes = self.state.router().apply_limits(now, report.incarnation, limits);
            for change in changes {
                self.state.handle_limit(change.target, change.statement, &address.to_string());
            }
            self.peers.borrow_mut().record(&self.state, *address, report, details);
        }
        if let (true, [RouterReport { report, .. }]) = (is_introduced, &datagram.reports[..]) {
            self.introduce(sender, &report.domain);
        }
        if datagram.is_bundle {
            let peers = self.peers.borrow().domain_peers();
            let forwarded = ReportDatagram { is_bundle: false, ..datagram.clone() };
            let details = datagram.reports.iter().map(|RouterReport { report, .. }| {
                (report.incarnation, received.details(report.incarnation))
            });
            self.send(&peers, &forwarded, details.collect());
        }
        let source = sender.to_string();
        for target in &received.extension.leaving {
            self.state.record_leaving(*target, &source);
        }
        if let Some(evacuations) = &received.evacuations.evacuations {
            let effect = self.state.router().merge_evacuations(now, evacuations);
            self.state.handle_evacuations(&effect, &source);
        }
        if let Some(streams) = self.state.streams() {
            streams.receive(&self.state, sender, &received.streams);
        }
        let findings = &received.crashes.findings;
        self.state.router().apply_crash_findings(now, findings, FindingSource::Report);
        self.state.log_crash_notices();
    }

    /// Answers a router of the failure domain `domain` with the routers that it has to know, which
    /// include itself.
    fn introduce(&self, sender: Ipv4Addr, domain: &str) {
        let known = self.peers.borrow().introduction(domain);
        log::debug!(peer:% = sender, introduced = known.len(); "introducing routers to a peer");
        let (own, details) = self.own_report();
        let incarnation = own.report.incarnation;
        let datagram = ReportDatagram { reports: vec![own], known, is_bundle: false };
        self.send(&[sender], &datagram, vec![(incarnation, details)]);
    }

    fn own_report(&self) -> (RouterReport, ReportDetails) {
        let mut router = self.state.router();
        let now = self.state.now();
        let (prefills, limits) = (router.prefill_usage(now), router.limit_usage(now));
        let report = router.report(now);
        let address = self.state.settings().ip();
        (RouterReport { address, report }, ReportDetails { prefills, limits })
    }

    /// Sends the reports of one period; returns the time until the next period.
    fn send_period(&self, period: u64) -> Duration {
        let (own, details) = self.own_report();
        let incarnation = own.report.incarnation;
        let (plan, known, is_relayed) = {
            let peers = self.peers.borrow();
            let known = match period % PEER_LIST_INTERVAL {
                0 => peers.reporting(),
                _ => Vec::new(),
            };
            (peers.plan(&self.state, period), known, uses_relays(peers.len()))
        };
        let datagram = ReportDatagram { reports: vec![own.clone()], known, is_bundle: false };
        self.send(&plan.direct, &datagram, vec![(incarnation, details.clone())]);
        if !plan.bundles.is_empty() {
            let mut reports = self.peers.borrow().domain_reports();
            reports.push((own, details));
            for reports in reports.chunks(MAX_BUNDLE_REPORTS) {
                let details = reports.iter();
                let details =
                    details.map(|(own, details)| (own.report.incarnation, details.clone()));
                let details = details.collect();
                let reports = reports.iter().map(|(report, _)| report.clone()).collect();
                let datagram = ReportDatagram { reports, known: Vec::new(), is_bundle: true };
                self.send(&plan.bundles, &datagram, details);
            }
        }
        let min_period = if is_relayed { RELAYED_PERIOD } else { REPORT_PERIOD };
        min_period.max(PERIOD_PER_PEER * plan.direct.len() as u32)
    }

    fn send(
        &self,
        receivers: &[Ipv4Addr],
        datagram: &ReportDatagram,
        details: Vec<(ProcessIncarnation, ReportDetails)>,
    ) {
        let now = self.state.now();
        let (prefills, limits) = details
            .into_iter()
            .map(|(incarnation, ReportDetails { prefills, limits })| {
                let prefills = RouterPrefills { incarnation, usages: prefills };
                (prefills, RouterLimits { incarnation, usages: limits })
            })
            .unzip();
        let leaving = self.state.router().targets.announced_leaving(now, LEAVING_REPORT_TIME);
        let extension = DatagramExtension { leaving, prefills };
        let crashes = CrashExtension { findings: self.state.router().crash_findings(now) };
        let mut limits = LimitExtension { limits };
        limits.limits.retain(|limits| !limits.usages.is_empty());
        let encoded = match self.state.router().evacuation_state(now) {
            None => encode_datagram(&(datagram, extension, crashes, limits)),
            Some(evacuations) => {
                let evacuations = EvacuationExtension { evacuations: Some(evacuations) };
                let streams = StreamExtension::default();
                encode_datagram(&(datagram, extension, crashes, limits, streams, evacuations))
            }
        };
        let Some(bytes) = encoded else {
            return;
        };
        let port = self.state.settings().report_port;
        for peer in receivers {
            let address = SocketAddrV4::new(*peer, port);
            // No retry: the next report replaces one that cannot be sent now.
            match self.socket.try_send_to(&bytes, SocketAddr::V4(address)) {
                Ok(_) => {
                    self.state.metrics.reports_sent.inc();
                }
                Err(error) => {
                    log::debug!(peer:% = peer, error:% = error; "failed to send a report");
                }
            }
        }
    }
}

async fn send_reports(exchange: Rc<ReportExchange>) {
    let mut period = 0;
    loop {
        // Read in each period, because a settings reload may change the seeds.
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
        if let Some(streams) = exchange.state.streams() {
            streams.repair(&exchange.state);
        }
        period += 1;
        tokio::time::sleep(pause).await;
    }
}

async fn receive_reports(exchange: Rc<ReportExchange>) {
    let mut bytes = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (length, sender) = match exchange.socket.recv_from(&mut bytes).await {
            Ok(received) => received,
            Err(error) => {
                log::warn!(error:% = error; "failed to receive reports");
                tokio::time::sleep(REPORT_PERIOD).await;
                continue;
            }
        };
        let SocketAddr::V4(sender) = sender else {
            continue;
        };
        match decode_datagram(&bytes[..length]) {
            Ok(received) => {
                exchange.state.metrics.reports_received.inc();
                exchange.receive(*sender.ip(), &received);
            }
            Err(error) => {
                log::warn!(peer:% = sender, error:% = error; "failed to decode a report");
            }
        }
    }
}

/// Fetches snapshots from other routers for changes that this router's watch does not deliver.
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
            Ok((snapshot, extension)) => {
                apply_snapshot(state, peer, snapshot);
                let source = peer.to_string();
                for target in extension.leaving {
                    state.record_copied_leaving(target, &source);
                }
            }
            Err(error) => {
                let now = state.now();
                state.router().watch.record_failed_fetch(now);
                let error = jackdaw_base::describe_report(&error);
                log::warn!(peer:% = peer, error:% = error; "failed to fetch a snapshot");
            }
        }
    }
}

/// Installs the configuration of another router's snapshot if it is newer, and merges its targets.
fn apply_snapshot(state: &EdgeState, peer: Ipv4Addr, snapshot: FleetSnapshot) {
    let mut router = state.router();
    let version = snapshot.config.as_ref().map_or(0, |config| config.version);
    let is_installed = snapshot.config.is_some_and(|config| router.install_config(config));
    let revision = snapshot.targets.change_revision;
    let is_complete = snapshot.targets.is_complete;
    let effect = router.targets.merge(state.now(), snapshot.targets);
    state.metrics.record_target_update(&effect);
    log::info!(
        peer:% = peer, config = version, installed = is_installed, revision:% = revision, is_complete,
        withdrawn = format_names(&effect.withdrawn), registered = format_names(&effect.registered);
        "applied a snapshot from another router"
    );
}
