//! State that the parts of one router share, on its one thread.

use std::cell::{Cell, RefCell, RefMut};
use std::rc::Rc;
use std::time::{Duration, Instant};

use jackdaw_base::{MonotonicTime, ProcessIncarnation};
use jackdaw_policy::direct::{DirectPolicy, DirectRouter, OverloadDetector, ShedAction};
use jackdaw_settings::EdgeSettings;
use tokio::sync::{Notify, watch};

use crate::caller_connections::CallerConnections;
use crate::edge_metrics::EdgeMetrics;
use crate::target_pool::TargetPool;

/// Pause between two looks at what has grown old, by which the process's own lag is told.
pub const TICK_PERIOD: Duration = Duration::from_millis(200);

/// The stage of the router's life.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EdgeStage {
    /// It takes requests once it knows configuration and targets.
    Serving,
    /// It is told to end: it is not ready, and its answers close their connections.
    Leaving,
    /// It takes no connections and closes those that are idle.
    Closing,
}

/// State of one router.
pub struct EdgeState {
    settings: RefCell<Rc<EdgeSettings>>,
    /// The metrics.
    pub metrics: EdgeMetrics,
    /// The connections to targets.
    pub pool: TargetPool,
    /// The connections of callers.
    pub callers: CallerConnections,
    router: RefCell<DirectRouter>,
    stage: watch::Sender<EdgeStage>,
    watch_reviewed: Notify,
    lag: RefCell<OverloadDetector>,
    open_calls: Cell<usize>,
    origin: Instant,
}

impl EdgeState {
    /// Creates the state of a router that knows nothing yet.
    pub fn open(settings: EdgeSettings) -> Rc<EdgeState> {
        let policy = direct_policy(&settings);
        let router = DirectRouter::new(MonotonicTime(0), policy, ProcessIncarnation::random());
        Rc::new(EdgeState {
            metrics: EdgeMetrics::open(),
            pool: TargetPool::default(),
            callers: CallerConnections::new(settings.descriptors),
            router: RefCell::new(router),
            stage: watch::Sender::new(EdgeStage::Serving),
            watch_reviewed: Notify::new(),
            lag: RefCell::new(OverloadDetector::new(MonotonicTime(0), TICK_PERIOD)),
            open_calls: Cell::new(0),
            origin: Instant::now(),
            settings: RefCell::new(Rc::new(settings)),
        })
    }

    /// Returns the settings in force.
    pub fn settings(&self) -> Rc<EdgeSettings> {
        Rc::clone(&self.settings.borrow())
    }

    /// Puts changed settings in force, but for those that only a new process can take up; returns
    /// the names of these.
    pub fn reload(&self, mut settings: EdgeSettings) -> Vec<&'static str> {
        let fixed = settings.revert_restart_only(&self.settings());
        self.callers.set_limit(settings.descriptors);
        self.router().set_policy(direct_policy(&settings));
        self.settings.replace(Rc::new(settings));
        fixed
    }

    /// Returns the time on this process's clock.
    pub fn now(&self) -> MonotonicTime {
        MonotonicTime(self.origin.elapsed().as_micros() as u64)
    }

    /// Returns the decisions; never held across a wait.
    pub fn router(&self) -> RefMut<'_, DirectRouter> {
        self.router.borrow_mut()
    }

    /// Returns the stage of the router's life.
    pub fn stage(&self) -> EdgeStage {
        *self.stage.borrow()
    }

    /// Moves on to a later stage.
    pub fn enter_stage(&self, stage: EdgeStage) {
        self.stage.send_replace(stage);
    }

    /// Waits until the router closes its connections.
    pub async fn wait_closing(&self) {
        let mut stage = self.stage.subscribe();
        // The sender lives as long as this state.
        let _ = stage.wait_for(|stage| *stage == EdgeStage::Closing).await;
    }

    /// Wakes what waits for this router's turn to watch the store.
    pub fn note_watch_review(&self) {
        self.watch_reviewed.notify_waiters();
    }

    /// Returns whether this router watches the store.
    pub fn watches_store(&self) -> bool {
        self.router().watch.is_watching()
    }

    /// Waits until this router is to watch the store.
    pub async fn wait_store_watch(&self) {
        // One thread: nothing is decided between the look and the wait.
        while !self.watches_store() {
            self.watch_reviewed.notified().await;
        }
    }

    /// Returns whether the balancer may send new connections.
    pub fn is_ready(&self) -> bool {
        let is_serving = self.stage() == EdgeStage::Serving;
        is_serving && !self.lag.borrow().is_shedding(self.now()) && self.router.borrow().is_ready()
    }

    /// Returns whether callers may keep their connections here: the router neither ends nor is
    /// short of processor time.
    pub fn takes_connections(&self) -> bool {
        self.stage() == EdgeStage::Serving && !self.lag.borrow().is_moving_callers(self.now())
    }

    /// Returns the time for which what is read now may have waited for the processor.
    pub fn lag(&self) -> Duration {
        self.lag.borrow().lag(self.now())
    }

    /// Returns whether requests may have waited unread.
    pub fn is_behind(&self) -> bool {
        let (lag, now) = (self.lag.borrow(), self.now());
        !lag.lag(now).is_zero() || lag.has_accept_backlog(now)
    }

    /// Notes whether a connection was waiting when the server was free to take one.
    pub fn note_accept(&self, is_at_hand: bool) {
        self.lag.borrow_mut().record_accept(self.now(), is_at_hand);
    }

    /// Takes in a tick of the process; sheds work where the process is behind.
    pub fn note_tick(&self) {
        let now = self.now();
        let step = self.lag.borrow_mut().tick(now);
        let (lag_ms, connections) = (self.lag().as_millis() as u64, self.callers.open());
        match step {
            ShedAction::None => {}
            ShedAction::Start => {
                log::warn!(lag_ms, connections; "short of processor time, no longer ready");
            }
            ShedAction::MoveCallers => {
                log::warn!(lag_ms, connections; "callers are sent to other routers");
                self.callers.recall_all();
            }
        }
    }

    /// Returns the requests that are not answered yet.
    pub fn open_calls(&self) -> usize {
        self.open_calls.get()
    }

    /// Counts a request until the returned value is dropped.
    pub fn count_call(self: &Rc<EdgeState>) -> OpenCall {
        self.open_calls.set(self.open_calls.get() + 1);
        OpenCall { state: Rc::clone(self) }
    }
}

fn direct_policy(settings: &EdgeSettings) -> DirectPolicy {
    DirectPolicy {
        domain: settings.domain.clone(),
        share_window: settings.share_window,
        repeat_window: settings.repeat_window,
        repeat_ratio: settings.repeat_ratio,
        repeat_allowance: settings.repeat_allowance,
    }
}

/// A request that is not answered yet.
pub struct OpenCall {
    state: Rc<EdgeState>,
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        self.state.open_calls.set(self.state.open_calls.get() - 1);
    }
}
