//! Run of the soak test: starts processes and load, injects faults and checks the recovery.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

use http::StatusCode;
use jackdaw_platform_standins::{
    CallerAnswer, DEFAULT_API_KEY, RouterEndpoints, StoreMode, StoreStandin, UnwantedReason,
    build_request_with_key, sample_config, sample_config_with_routes, send_request,
};
use jackdaw_proofs::ProcessSignal;
use serde_json::Value;

use crate::call_history::{CHECK_PREFIX, CallHistory, CallKind};
use crate::deadly_caller::{self, DeadlyCaller};
use crate::fault_plan::{FaultKind, FaultPlan, LinkFault, PlannedFault};
use crate::fault_proxy::FaultProxy;
use crate::router_process::RouterProcess;
use crate::soak_load::{LoadContext, SoakLoad};
use crate::target_fleet::{COLD_RATE, COLD_TIME_S, DOMAIN_SETTINGS, TargetFleet};

/// Maximum number of routers listed as seeds in the settings of all routers.
const SEED_ROUTERS: usize = 2;

/// Routes by which the configuration grows at a time.
const GROWN_ROUTES: usize = 1000;

/// Interval at which a router is polled until it serves.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Number of polls after which a router counts as not recovered. This is a minute or more, far over
/// the twelve seconds that the strictest known deployment allows; a run reports its recovery time,
/// which is to be compared with that limit.
const POLL_LIMIT: usize = 1200;

/// Time for which the store is away before it comes back from a copy.
const RESTORE_TIME: Duration = Duration::from_millis(200);

/// Time after a restore until the operator and the targets have written their objects again.
const REWRITE_DELAY: Duration = Duration::from_millis(400);

/// Timeout of a request that checks whether a router serves.
const CHECK_TIMEOUT: Duration = Duration::from_secs(5);

/// Size of a run.
#[derive(Debug, Clone)]
pub struct SoakSize {
    /// Number of routers, spread over two failure domains.
    pub routers: usize,
    /// Number of targets.
    pub targets: usize,
    /// Number of callers.
    pub callers: usize,
    /// Time after the start of the load within which all faults start and end.
    pub fault_window: Duration,
}

/// Result of a run.
#[derive(Debug)]
pub struct SoakReport {
    /// Descriptions of the violated guarantees.
    pub violations: Vec<String>,
    /// Number of completed requests.
    pub calls: usize,
    /// Number of requests by outcome, as in [`CallHistory::count_outcomes`].
    pub outcomes: BTreeMap<String, usize>,
    /// Time from the end of the last fault until all routers served with the newest configuration.
    pub recovery: Duration,
}

/// Processes, stand-ins and proxies on which the faults act.
struct SoakFleet {
    store: StoreStandin,
    targets: TargetFleet,
    routers: Vec<Rc<RouterProcess>>,
    caller_links: Vec<FaultProxy>,
    store_links: Vec<FaultProxy>,
    config_version: Cell<u64>,
    /// Number of routes beyond those of the sample configuration.
    added_routes: Cell<usize>,
    checks: Cell<u64>,
    violations: RefCell<Vec<String>>,
}

/// Runs the soak test with its files in a directory. Must be called within a `LocalSet`.
pub async fn run_soak(seed: u64, size: &SoakSize, directory: &Path) -> SoakReport {
    let mut plan = FaultPlan::draw(seed, size);
    let fleet = Rc::new(SoakFleet::spawn(size, directory).await);
    for router in 0..size.routers {
        fleet.wait_serving(router).await;
    }
    let history = Rc::new(RefCell::new(CallHistory::default()));
    let origin = Instant::now();
    let routers = fleet.caller_links.clone();
    let context = Rc::new(LoadContext { routers, history: Rc::clone(&history), origin });
    let load = SoakLoad::spawn(&context, seed, size.callers);
    let deadly = DeadlyCaller::spawn(&context.routers, seed);
    let replacing = tokio::task::spawn_local({
        let fleet = Rc::clone(&fleet);
        async move { fleet.targets.replace_ended(&fleet.store).await }
    });
    let mut faults = Vec::new();
    for fault in plan.faults.clone() {
        let fleet = Rc::clone(&fleet);
        faults.push(tokio::task::spawn_local(async move {
            tokio::time::sleep_until((origin + fault.start).into()).await;
            fleet.inject(&fault).await;
        }));
    }
    for fault in faults {
        fault.await.expect("fault can be injected");
    }
    if let Some(caller) = deadly {
        caller.close().await;
    }
    let recovery_start = Instant::now();
    fleet.clear_faults();
    for router in 0..size.routers {
        fleet.wait_serving(router).await;
    }
    let recovery = recovery_start.elapsed();
    load.close().await;
    replacing.abort();
    let arrivals = fleet.targets.deadly_arrivals();
    plan.faults.extend(arrivals.iter().map(|arrival| PlannedFault {
        kind: FaultKind::TargetEnded,
        start: arrival.time.saturating_duration_since(origin),
        duration: Duration::ZERO,
    }));
    fleet.check_keys().await;
    let mut violations = fleet.violations.take();
    violations.extend(fleet.routers.iter().flat_map(|router| router.panic_lines()));
    let history = history.borrow();
    violations.extend(history.violations(&fleet.targets.runs(), |from, to, after| {
        plan.allows_cut_connections(from, to, after)
    }));
    violations.extend(fleet.unwanted_violations(origin, &plan));
    violations.extend(fleet.cold_violations(origin, &plan));
    violations.extend(deadly_caller::find_violation(&arrivals));
    SoakReport { violations, calls: history.len(), outcomes: history.count_outcomes(), recovery }
}

impl SoakFleet {
    async fn spawn(size: &SoakSize, directory: &Path) -> SoakFleet {
        let store = StoreStandin::bind().await;
        store.put_config(&with_cold_start(sample_config(1, &[DEFAULT_API_KEY, &version_key(1)])));
        let targets = TargetFleet::spawn(&store, size.targets).await;
        let domains = ["a", "b"];
        let endpoints: Vec<RouterEndpoints> = (0..size.routers)
            .map(|number| RouterEndpoints::allocate(domains[number % 2]))
            .collect();
        let mut fleet = SoakFleet {
            store,
            targets,
            routers: Vec::new(),
            caller_links: Vec::new(),
            store_links: Vec::new(),
            config_version: Cell::new(1),
            added_routes: Cell::new(0),
            checks: Cell::new(0),
            violations: RefCell::default(),
        };
        for router in &endpoints {
            let store_link = FaultProxy::spawn(fleet.store.address).await;
            let seeds = &endpoints[..size.routers.min(SEED_ROUTERS)];
            let settings = router.settings(seeds, store_link.address) + DOMAIN_SETTINGS;
            fleet.routers.push(RouterProcess::spawn(*router, &settings, directory));
            fleet.store_links.push(store_link);
            fleet.caller_links.push(FaultProxy::spawn(router.caller_address()).await);
        }
        fleet
    }

    /// Injects a fault and ends it after its duration.
    async fn inject(&self, fault: &PlannedFault) {
        let duration = fault.duration;
        match fault.kind {
            FaultKind::RouterKilled(router) => {
                self.kill(&self.routers[router..=router], duration).await;
            }
            FaultKind::AllRoutersKilled => self.kill(&self.routers, duration).await,
            FaultKind::RouterFrozen(router) => {
                self.routers[router].signal(ProcessSignal::Stop);
                tokio::time::sleep(duration).await;
                self.routers[router].signal(ProcessSignal::Continue);
            }
            FaultKind::RouterTerminated(router) => {
                self.routers[router].signal(ProcessSignal::Terminate);
                let violation = self.routers[router].wait_exit().await;
                self.violations.borrow_mut().extend(violation);
                self.routers[router].start();
            }
            FaultKind::RouterReloaded(router) => self.routers[router].signal(ProcessSignal::Reload),
            FaultKind::CallerLink(router, link) => {
                inject_link_fault(&self.caller_links[router], link, duration).await;
            }
            FaultKind::StoreLink(router, link) => {
                inject_link_fault(&self.store_links[router], link, duration).await;
            }
            FaultKind::TargetLink(target, link) => {
                self.targets.set_fault(target, Some(link));
                tokio::time::sleep(duration).await;
                self.targets.set_fault(target, None);
            }
            FaultKind::StoreUnavailable => {
                self.store.set_mode(StoreMode::Unavailable);
                tokio::time::sleep(duration).await;
                self.store.set_mode(StoreMode::Available);
            }
            FaultKind::StoreHistoryLost => self.store.set_mode(StoreMode::HistoryLost),
            FaultKind::ObjectsMalformed => {
                self.store.put_malformed_objects();
            }
            FaultKind::TargetCrashed(target) => {
                self.targets.crash(&self.store, target, duration).await;
            }
            FaultKind::TargetReplaced(target) => self.targets.replace(&self.store, target).await,
            FaultKind::KeyRotated => self.rotate_key(),
            FaultKind::StoreRestored => self.restore_store(duration).await,
            FaultKind::TargetAnnounced(target) => self.targets.announce(&self.store, target).await,
            FaultKind::TargetPaused(target) => self.targets.pause(target, duration).await,
            FaultKind::TargetRemoved(target) => self.targets.withdraw(&self.store, target).await,
            FaultKind::ConfigGrown => self.grow_config(),
            FaultKind::DomainEvacuated => {
                self.targets.set_evacuated(&self.store, true);
                tokio::time::sleep(duration).await;
                self.targets.set_evacuated(&self.store, false);
            }
            // The deadly caller does this at times that no plan knows.
            FaultKind::TargetEnded => {}
        }
    }

    async fn kill(&self, routers: &[Rc<RouterProcess>], duration: Duration) {
        routers.iter().for_each(|router| router.kill());
        tokio::time::sleep(duration).await;
        routers.iter().for_each(|router| router.start());
    }

    /// Restores the store from a copy made `age` before, after a moment away. The operator and the
    /// targets write their objects again.
    async fn restore_store(&self, age: Duration) {
        let copy = self.store.copy();
        tokio::time::sleep(age).await;
        self.store.set_mode(StoreMode::Unavailable);
        tokio::time::sleep(RESTORE_TIME).await;
        self.store.restore(&copy);
        self.store.set_mode(StoreMode::Available);
        tokio::time::sleep(REWRITE_DELAY).await;
        self.targets.rewrite_entries(&self.store, &mut rand::rng());
        self.put_config(self.config_version.get());
        self.targets.write_evacuation(&self.store);
    }

    fn rotate_key(&self) {
        self.put_config(self.config_version.get() + 1);
    }

    fn grow_config(&self) {
        self.added_routes.set(self.added_routes.get() + GROWN_ROUTES);
        self.put_config(self.config_version.get() + 1);
    }

    fn put_config(&self, version: u64) {
        self.config_version.set(version);
        let keys = [DEFAULT_API_KEY, &version_key(version)];
        let config = sample_config_with_routes(version, &keys, self.added_routes.get());
        self.store.put_config(&with_cold_start(config));
    }

    /// Returns the violations among the requests that targets did not want. What only the store
    /// registered binds a router once it can have learned of it.
    fn unwanted_violations(&self, origin: Instant, plan: &FaultPlan) -> Vec<String> {
        let unwanted = self.targets.unwanted_requests();
        let violations = unwanted.into_iter().filter(|request| {
            let (from, to) = (request.since - origin, request.arrived - origin);
            let is_stored =
                matches!(request.reason, UnwantedReason::StoredLeaving | UnwantedReason::Evacuated);
            !is_stored || !plan.may_delay_updates(from, to)
        });
        violations
            .map(|request| format!("request that a target did not want: {request:?}"))
            .collect()
    }

    /// Returns the cold targets that got more requests than they take, unless the connections to
    /// targets were harmed.
    fn cold_violations(&self, origin: Instant, plan: &FaultPlan) -> Vec<String> {
        let excesses = self.targets.cold_excesses().into_iter().filter(|excess| {
            let (from, to) =
                (excess.started.saturating_duration_since(origin), excess.warm - origin);
            !plan.harms_targets(from, to)
        });
        excesses
            .map(|excess| format!("{} requests in a second to a cold target", excess.requests))
            .collect()
    }

    /// Ends all faults, since one of several overlapping faults may remain active.
    fn clear_faults(&self) {
        self.store.set_mode(StoreMode::Available);
        self.targets.clear_faults();
        for link in self.caller_links.iter().chain(&self.store_links) {
            link.set_fault(None);
        }
        for router in &self.routers {
            router.signal(ProcessSignal::Continue);
            router.start();
        }
    }

    /// Waits until a router serves each kind of request with the newest configuration; adds a
    /// violation if it does not.
    async fn wait_serving(&self, router: usize) {
        let key = version_key(self.config_version.get());
        for kind in CallKind::ALL {
            let mut polls = 0;
            while self.check_status(router, &key, kind).await != Some(StatusCode::OK) {
                polls += 1;
                if polls > POLL_LIMIT {
                    let ip = self.routers[router].endpoints.ip;
                    let violation = format!("router {ip} did not recover for {kind:?} requests");
                    self.violations.borrow_mut().push(violation);
                    return;
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
    }

    /// Checks that each router rejects the keys of older configurations.
    async fn check_keys(&self) {
        let newest = self.config_version.get();
        for router in 0..self.routers.len() {
            for version in 1..newest {
                let status = self.check_status(router, &version_key(version), CallKind::Safe).await;
                if status.is_some_and(|status| status != StatusCode::UNAUTHORIZED) {
                    let ip = self.routers[router].endpoints.ip;
                    let violation =
                        format!("router {ip} answers {status:?} to the key of version {version}");
                    self.violations.borrow_mut().push(violation);
                }
            }
        }
    }

    /// Sends a check request and returns its status, or `None` without a complete answer in time.
    async fn check_status(&self, router: usize, key: &str, kind: CallKind) -> Option<StatusCode> {
        let number = self.checks.get();
        self.checks.set(number + 1);
        let id = format!("{CHECK_PREFIX}{number}");
        let request = build_request_with_key(key, kind.path(), &id, "checked");
        let answer = send_request(self.routers[router].endpoints.caller_address(), request);
        let answer: Option<CallerAnswer> =
            tokio::time::timeout(CHECK_TIMEOUT, answer).await.ok().flatten();
        answer.filter(|answer| answer.body.is_some()).map(|answer| answer.status)
    }
}

async fn inject_link_fault(link: &FaultProxy, fault: LinkFault, duration: Duration) {
    link.set_fault(Some(fault));
    tokio::time::sleep(duration).await;
    link.set_fault(None);
}

/// Adds to a configuration what cold targets take.
fn with_cold_start(mut config: Value) -> Value {
    config["services"][0]["cold_start_s"] = COLD_TIME_S.into();
    config["services"][0]["cold_per_s"] = COLD_RATE.into();
    config
}

/// Returns the API key that is valid only in one version of the configuration.
fn version_key(version: u64) -> String {
    format!("key-of-{version}")
}
