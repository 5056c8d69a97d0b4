//! Exchange of the software versions of streams with other routers.
//!
//! Before a caller gets the first event of a stream, a few routers are told which version began it.
//! A router that the caller comes back to asks them. Lost datagrams of the first kind leave a stream
//! that fewer routers know; questions are repeated. When routers come or go, the others pass on what
//! they know to those that take over, and a router that stops passes on everything.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;

use jackdaw_policy::direct::{
    HolderRoster, LookupResult, StreamBinding, StreamFinding, StreamKey, StreamLookup, TellingPlan,
    WATCHERS_PER_DOMAIN, plan_handover, stream_receivers, stream_sources,
};
use smallvec::SmallVec;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::edge_state::EdgeState;
use crate::peer_table::PeerTable;
use crate::report_datagram::{
    CrashExtension, DatagramExtension, LimitExtension, ReportDatagram, StreamAnswer,
    StreamExtension, StreamQuestion, encode_datagram,
};

/// Longest time that a caller waits for the answers of other routers. Routers with a quota of
/// processor time answer up to 0.1 s late.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(400);

/// Longest time that a caller waits, in addition, for streams to be read from the store.
const READ_TIMEOUT: Duration = Duration::from_millis(700);

/// Time after which a question without an answer is repeated.
const REPEAT_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum number of lookups at the same time.
const MAX_OPEN_LOOKUPS: usize = 1024;

/// Interval at which the keeper of the failure domain is told of new streams, unless it is writing them to the
/// store.
const KEEPER_INTERVAL: Duration = Duration::from_millis(200);

/// Lower bound of that interval, also then, per router of the domain, which limits what a keeper receives to 200
/// datagrams a second.
const KEEPER_INTERVAL_PER_PEER: Duration = Duration::from_millis(5);

/// Streams told in one datagram: some 1,000 bytes, which fit a packet.
const MAX_TOLD_STREAMS: usize = 48;

/// Sends and receives what routers tell each other about streams.
pub(crate) struct StreamExchange {
    socket: Rc<UdpSocket>,
    peers: Rc<RefCell<PeerTable>>,
    /// The routers that kept streams when it was last checked who has to be told again.
    roster: RefCell<HolderRoster>,
    /// Lookups that wait for answers, by random numbers that answers repeat.
    lookups: RefCell<HashMap<u64, OpenLookup>>,
    /// Streams that this router began since it last told the keeper of its failure domain.
    fresh: RefCell<Vec<StreamBinding>>,
    /// The keeper that was told last, and when; `None` if it was this router itself.
    keeper: Cell<Option<(Ipv4Addr, Instant)>>,
}

/// Result of a lookup, with what it is based on.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LookupReport {
    /// The result.
    pub(crate) result: LookupResult,
    /// Number of routers asked.
    pub(crate) asked: usize,
    /// Number of those that answered in time.
    pub(crate) answered: usize,
}

impl LookupReport {
    /// Report of a router that cannot ask others.
    pub(crate) const ISOLATED: LookupReport =
        LookupReport { result: LookupResult::Unknown { is_isolated: true }, asked: 0, answered: 0 };
}

/// A lookup and the task that waits for it.
struct OpenLookup {
    lookup: StreamLookup,
    answered: Rc<Notify>,
}

/// Closes a lookup when its request ends.
struct LookupGuard<'a> {
    exchange: &'a StreamExchange,
    number: u64,
}

impl Drop for LookupGuard<'_> {
    fn drop(&mut self) {
        self.exchange.lookups.borrow_mut().remove(&self.number);
    }
}

impl StreamExchange {
    /// Creates the exchange on the socket of the reports.
    pub(crate) fn new(socket: &Rc<UdpSocket>, peers: &Rc<RefCell<PeerTable>>) -> StreamExchange {
        StreamExchange {
            socket: Rc::clone(socket),
            peers: Rc::clone(peers),
            roster: RefCell::default(),
            lookups: RefCell::default(),
            fresh: RefCell::default(),
            keeper: Cell::new(None),
        }
    }

    /// Tells the routers that keep a stream which version began it.
    pub(crate) fn tell(&self, state: &EdgeState, binding: StreamBinding) {
        let peers = self.peers.borrow();
        let receivers = stream_receivers(binding.key, &peers.holder_peers());
        state.metrics.bindings_sent.inc_by(receivers.len() as u64);
        let extension = StreamExtension { bindings: vec![binding], ..StreamExtension::default() };
        self.send(state, &receivers, extension);
        self.fresh.borrow_mut().push(binding);
        if state.router().version_record().record.has_several() {
            self.tell_keeper(state);
        }
    }

    /// Tells the router that keeps the streams of this failure domain in the store of those that this one
    /// began since the last time. A new keeper is told of all that are known.
    pub(crate) fn tell_keeper(&self, state: &EdgeState) {
        let (keeper, routers) = {
            let watchers = self.peers.borrow().domain_watchers();
            let own = state.router().incarnation();
            let reaches_store = !state.router().watch.is_store_unreachable(state.now());
            let first = watchers.first().filter(|(first, _)| *first < own || !reaches_store);
            (first.map(|(_, ip)| *ip), watchers.len())
        };
        let Some(keeper) = keeper else {
            // This router keeps the streams itself.
            self.keeper.set(None);
            self.fresh.borrow_mut().clear();
            return;
        };
        let shortest = match state.router().version_record().record.has_several() {
            true => Duration::ZERO,
            false => KEEPER_INTERVAL,
        };
        let interval = shortest.max(KEEPER_INTERVAL_PER_PEER * routers as u32);
        let last = self.keeper.get().filter(|(last, _)| *last == keeper);
        if last.is_some_and(|(_, time)| time.elapsed() < interval) {
            return;
        }
        self.keeper.set(Some((keeper, Instant::now())));
        let mut bindings = self.fresh.take();
        if last.is_none() {
            bindings = state.router().stream_bindings(state.now()).collect();
            log::info!(peer:% = keeper, told = bindings.len(); "telling the new keeper of streams");
        }
        let plan = TellingPlan::from([(keeper, bindings)]);
        let told = self.send_plan(state, &plan);
        state.metrics.bindings_sent.inc_by(told);
    }

    /// Tells routers that are new, have started again or take the place of others of the streams that
    /// they keep from now on.
    pub(crate) fn repair(&self, state: &EdgeState) {
        let members = self.peers.borrow().holder_members();
        let count = members.len();
        if self.roster.borrow().count_lost(&members) > 0 {
            // What only they knew of streams may be in the store.
            state.bindings.request_read();
        }
        let plan = {
            let router = state.router();
            self.roster.borrow_mut().update(members, router.stream_bindings(state.now()))
        };
        let told = self.send_plan(state, &plan);
        if told > 0 {
            state.metrics.bindings_repaired.inc_by(told);
            log::info!(routers = plan.len(), told, members = count; "routers changed; told others of streams again");
        }
    }

    /// Tells other routers of all streams that this one knows, because it is about to stop.
    pub(crate) fn hand_over(&self, state: &EdgeState) {
        let plan = {
            let (router, peers) = (state.router(), self.peers.borrow());
            plan_handover(&peers.holder_peers(), router.stream_bindings(state.now()))
        };
        let told = self.send_plan(state, &plan);
        state.metrics.bindings_handed_over.inc_by(told);
        let known = state.router().stream_count();
        log::info!(routers = plan.len(), told, known; "handed over what is known of streams");
    }

    /// Sends a plan; returns the number of streams told, counted for each receiver.
    fn send_plan(&self, state: &EdgeState, plan: &TellingPlan) -> u64 {
        let mut told = 0;
        for (receiver, bindings) in plan {
            told += bindings.len() as u64;
            for bindings in bindings.chunks(MAX_TOLD_STREAMS) {
                let bindings = bindings.to_vec();
                let extension = StreamExtension { bindings, ..StreamExtension::default() };
                self.send(state, &[*receiver], extension);
            }
        }
        told
    }

    /// Finds out which version began a stream of a service; `None` stands for a stream that its caller
    /// does not name.
    pub(crate) async fn look_up(
        &self,
        state: &EdgeState,
        key: Option<StreamKey>,
        service: &str,
    ) -> LookupReport {
        let own = state.router().find_stream(state.now(), key, service);
        if let StreamFinding::Version(version) = own {
            let result = LookupResult::Known(version);
            return LookupReport { result, asked: 0, answered: 0 };
        }
        let number = rand::random();
        let sources = {
            let peers = self.peers.borrow();
            // Any routers can tell whether the service has had a single version.
            let placing_key = key.unwrap_or(StreamKey(number));
            let knows_others = peers.len() > 0 || state.router().has_members();
            knows_others.then(|| {
                let mut sources = stream_sources(placing_key, &peers.holder_peers());
                // These have read what the store keeps.
                let watchers = peers.domain_watchers().into_iter().map(|(_, ip)| ip);
                for watcher in watchers.take(WATCHERS_PER_DOMAIN) {
                    if !sources.contains(&watcher) {
                        sources.push(watcher);
                    }
                }
                sources
            })
        };
        let question = StreamQuestion { number, key, service: service.to_owned() };
        let asked = sources.as_ref().map_or(0, SmallVec::len);
        let lookup = self.collect(state, StreamLookup::new(own, sources), question).await;
        let mut result = lookup.conclude(&state.router().present_versions(service));
        if let LookupResult::Unknown { is_isolated } = &mut result
            && state.router().version_record().record.has_several()
        {
            if !lookup.waiting().is_empty() {
                // What routers knew that do not answer may be in the store.
                let _ = tokio::time::timeout(READ_TIMEOUT, state.bindings.await_read()).await;
            }
            *is_isolated |= state.bindings.is_reading();
            let own = state.router().find_stream(state.now(), key, service);
            if let StreamFinding::Version(version) = own {
                result = LookupResult::Known(version);
            }
        }
        LookupReport { result, asked, answered: asked - lookup.waiting().len() }
    }

    /// Asks the sources of a lookup until it is complete or its time is over.
    async fn collect(
        &self,
        state: &EdgeState,
        lookup: StreamLookup,
        question: StreamQuestion,
    ) -> StreamLookup {
        if lookup.is_complete() {
            return lookup;
        }
        if self.lookups.borrow().len() >= MAX_OPEN_LOOKUPS {
            log::warn!("too many lookups of streams; not asking other routers");
            return lookup;
        }
        let number = question.number;
        let answered = Rc::new(Notify::new());
        let open = OpenLookup { lookup: lookup.clone(), answered: Rc::clone(&answered) };
        self.lookups.borrow_mut().insert(number, open);
        let _guard = LookupGuard { exchange: self, number };
        let ends_at = Instant::now() + LOOKUP_TIMEOUT;
        loop {
            let current = self.lookups.borrow().get(&number).map(|open| open.lookup.clone());
            let Some(current) = current else {
                return lookup;
            };
            if current.is_complete() || Instant::now() >= ends_at {
                return current;
            }
            let questions = vec![question.clone()];
            let extension = StreamExtension { questions, ..StreamExtension::default() };
            self.send(state, current.waiting(), extension);
            self.wait_complete(number, &answered).await;
        }
    }

    /// Waits until a lookup is complete, but not longer than until its questions are repeated.
    async fn wait_complete(&self, number: u64, answered: &Notify) {
        let complete = async {
            loop {
                answered.notified().await;
                let lookups = self.lookups.borrow();
                if lookups.get(&number).is_none_or(|open| open.lookup.is_complete()) {
                    return;
                }
            }
        };
        // After the timeout, the caller repeats the question or gives up.
        let _ = tokio::time::timeout(REPEAT_INTERVAL, complete).await;
    }

    /// Processes what another router tells, asks or answers.
    pub(crate) fn receive(&self, state: &EdgeState, sender: Ipv4Addr, received: &StreamExtension) {
        let now = state.now();
        for binding in &received.bindings {
            state.metrics.bindings_received.inc();
            state.record_binding(binding);
        }
        for answer in &received.answers {
            if let Some(open) = self.lookups.borrow_mut().get_mut(&answer.number) {
                open.lookup.record(sender, answer.finding);
                open.answered.notify_one();
            }
        }
        if received.questions.is_empty() {
            return;
        }
        let answers = received.questions.iter().map(|question| StreamAnswer {
            number: question.number,
            finding: state.router().find_stream(now, question.key, &question.service),
        });
        let answers: Vec<StreamAnswer> = answers.collect();
        for (question, answer) in received.questions.iter().zip(&answers) {
            log::debug!(peer:% = sender, key:? = question.key, finding:? = answer.finding; "answered a question for a stream");
        }
        self.send(state, &[sender], StreamExtension { answers, ..StreamExtension::default() });
    }

    fn send(&self, state: &EdgeState, receivers: &[Ipv4Addr], streams: StreamExtension) {
        let datagram = (
            ReportDatagram::default(),
            DatagramExtension::default(),
            CrashExtension::default(),
            LimitExtension::default(),
            streams,
        );
        let Some(bytes) = encode_datagram(&datagram) else {
            return;
        };
        let port = state.settings().report_port;
        for peer in receivers {
            let address = SocketAddr::V4(SocketAddrV4::new(*peer, port));
            if let Err(error) = self.socket.try_send_to(&bytes, address) {
                state.metrics.stream_send_failures.inc();
                log::debug!(peer:% = peer, error:% = error; "failed to send versions of streams");
            }
        }
    }
}
