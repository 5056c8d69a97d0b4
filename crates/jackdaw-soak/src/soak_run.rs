//! One run: processes, faults, load, and what must hold at its end.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

use http::StatusCode;
use jackdaw_platform_standins::{
    CallerAnswer, DEFAULT_API_KEY, RouterEndpoints, StoreMode, StoreStandin,
    build_request_with_key, sample_config, send_request,
};
use jackdaw_proofs::ProcessSignal;

use crate::fault_plan::{FaultKind, FaultPlan, LinkFault, PlannedFault};
use crate::fault_proxy::FaultProxy;
use crate::promise_book::{CHECK_PREFIX, CallKind, PromiseBook};
use crate::router_process::RouterProcess;
use crate::soak_load::{LoadSetting, SoakLoad};
use crate::target_fleet::TargetFleet;

/// Routers that all know from their settings.
const SEEDS: usize = 2;

/// Pause between two looks at whether a router serves.
const LOOK_PAUSE: Duration = Duration::from_millis(50);

/// Looks after which a router counts as not coming back. It is far over the twelve seconds of
/// the strictest known deployment, which a report states instead.
const LOOKS: usize = 1200;

/// The time for one request of the checks at the end.
const CHECK_TIMEOUT: Duration = Duration::from_secs(5);

/// How large a run is.
#[derive(Debug, Clone)]
pub struct SoakSize {
    /// Routers, in two failure domains.
    pub routers: usize,
    /// Targets.
    pub targets: usize,
    /// Callers.
    pub callers: usize,
    /// The time within which faults happen.
    pub fault_span: Duration,
}

/// What a run showed.
#[derive(Debug)]
pub struct SoakReport {
    /// The broken promises.
    pub broken: Vec<String>,
    /// The requests.
    pub calls: usize,
    /// The requests by how they ended: a status, or `cut` and `left`.
    pub ends: BTreeMap<String, usize>,
    /// The time from the last fault until all routers served with the newest configuration.
    pub recovery: Duration,
}

/// What the faults act on.
struct SoakFleet {
    store: StoreStandin,
    targets: TargetFleet,
    routers: Vec<Rc<RouterProcess>>,
    caller_links: Vec<FaultProxy>,
    store_links: Vec<FaultProxy>,
    config_version: Cell<u64>,
    checks: Cell<u64>,
    broken: RefCell<Vec<String>>,
}

/// Plays a run with its files in a folder; the current task must be in a local task set.
pub async fn run_soak(seed: u64, size: &SoakSize, folder: &Path) -> SoakReport {
    let plan = FaultPlan::draw(seed, size);
    let fleet = Rc::new(SoakFleet::spawn(size, folder).await);
    for router in 0..size.routers {
        fleet.wait_serving(router).await;
    }
    let book = Rc::new(RefCell::new(PromiseBook::default()));
    let origin = Instant::now();
    let routers = fleet.caller_links.clone();
    let setting = Rc::new(LoadSetting { routers, book: Rc::clone(&book), origin });
    let load = SoakLoad::spawn(&setting, seed, size.callers);
    let mut faults = Vec::new();
    for fault in plan.faults.clone() {
        let fleet = Rc::clone(&fleet);
        faults.push(tokio::task::spawn_local(async move {
            tokio::time::sleep_until((origin + fault.start).into()).await;
            fleet.play(&fault).await;
        }));
    }
    for fault in faults {
        fault.await.expect("a fault could not be played");
    }
    let healed = Instant::now();
    fleet.heal();
    for router in 0..size.routers {
        fleet.wait_serving(router).await;
    }
    let recovery = healed.elapsed();
    load.close().await;
    fleet.check_keys().await;
    let mut broken = fleet.broken.take();
    broken.extend(fleet.routers.iter().flat_map(|router| router.fault_lines()));
    let book = book.borrow();
    broken.extend(
        book.broken(&fleet.targets.runs(), |from, to, after| plan.is_disturbed(from, to, after)),
    );
    SoakReport { broken, calls: book.len(), ends: book.ends(), recovery }
}

impl SoakFleet {
    async fn spawn(size: &SoakSize, folder: &Path) -> SoakFleet {
        let store = StoreStandin::bind().await;
        store.put_config(&sample_config(1, &[DEFAULT_API_KEY, &version_key(1)]));
        let targets = TargetFleet::spawn(&store, size.targets).await;
        let domains = ["a", "b"];
        let places: Vec<RouterEndpoints> = (0..size.routers)
            .map(|number| RouterEndpoints::allocate(domains[number % 2]))
            .collect();
        let mut fleet = SoakFleet {
            store,
            targets,
            routers: Vec::new(),
            caller_links: Vec::new(),
            store_links: Vec::new(),
            config_version: Cell::new(1),
            checks: Cell::new(0),
            broken: RefCell::default(),
        };
        for place in &places {
            let store_link = FaultProxy::spawn(fleet.store.address).await;
            let settings = place.settings(&places[..size.routers.min(SEEDS)], store_link.address);
            fleet.routers.push(RouterProcess::spawn(*place, &settings, folder));
            fleet.store_links.push(store_link);
            fleet.caller_links.push(FaultProxy::spawn(place.caller_address()).await);
        }
        fleet
    }

    /// Brings a fault about and ends it.
    async fn play(&self, fault: &PlannedFault) {
        let span = fault.span;
        match fault.kind {
            FaultKind::RouterKilled(router) => {
                self.kill(&self.routers[router..=router], span).await;
            }
            FaultKind::AllKilled => self.kill(&self.routers, span).await,
            FaultKind::RouterStopped(router) => {
                self.routers[router].signal(ProcessSignal::Stop);
                tokio::time::sleep(span).await;
                self.routers[router].signal(ProcessSignal::Continue);
            }
            FaultKind::RouterEnded(router) => {
                self.routers[router].signal(ProcessSignal::Terminate);
                let wrong = self.routers[router].wait_end().await;
                self.broken.borrow_mut().extend(wrong);
                self.routers[router].start();
            }
            FaultKind::RouterReloaded(router) => self.routers[router].signal(ProcessSignal::Reload),
            FaultKind::CallerLink(router, link) => {
                play_link(&self.caller_links[router], link, span).await;
            }
            FaultKind::StoreLink(router, link) => {
                play_link(&self.store_links[router], link, span).await;
            }
            FaultKind::TargetLink(target, link) => {
                self.targets.set_fault(target, Some(link));
                tokio::time::sleep(span).await;
                self.targets.set_fault(target, None);
            }
            FaultKind::StoreAway => {
                self.store.set_mode(StoreMode::Unavailable);
                tokio::time::sleep(span).await;
                self.store.set_mode(StoreMode::Available);
            }
            FaultKind::StoreForgets => self.store.set_mode(StoreMode::HistoryLost),
            FaultKind::ObjectGarbled => {
                self.store.put_malformed_objects();
            }
            FaultKind::TargetCrashed(target) => {
                self.targets.crash(&self.store, target, span).await;
            }
            FaultKind::TargetReplaced(target) => self.targets.replace(&self.store, target).await,
            FaultKind::KeyChanged => self.change_key(),
        }
    }

    async fn kill(&self, routers: &[Rc<RouterProcess>], span: Duration) {
        routers.iter().for_each(|router| router.kill());
        tokio::time::sleep(span).await;
        routers.iter().for_each(|router| router.start());
    }

    fn change_key(&self) {
        let version = self.config_version.get() + 1;
        self.config_version.set(version);
        let keys = [DEFAULT_API_KEY, &version_key(version)];
        self.store.put_config(&sample_config(version, &keys));
    }

    /// Ends all faults that overlapping ones may have left.
    fn heal(&self) {
        self.store.set_mode(StoreMode::Available);
        self.targets.heal();
        for link in self.caller_links.iter().chain(&self.store_links) {
            link.set_fault(None);
        }
        for router in &self.routers {
            router.signal(ProcessSignal::Continue);
            router.start();
        }
    }

    /// Waits until a router serves each kind of request with the newest configuration.
    async fn wait_serving(&self, router: usize) {
        let key = version_key(self.config_version.get());
        for kind in CallKind::ALL {
            let mut looks = 0;
            while self.check_status(router, &key, kind).await != Some(StatusCode::OK) {
                looks += 1;
                if looks > LOOKS {
                    let place = self.routers[router].place.ip;
                    let wrong = format!("router {place} does not serve {kind:?} again");
                    self.broken.borrow_mut().push(wrong);
                    return;
                }
                tokio::time::sleep(LOOK_PAUSE).await;
            }
        }
    }

    /// Checks that no router takes a key of an older configuration.
    async fn check_keys(&self) {
        let newest = self.config_version.get();
        for router in 0..self.routers.len() {
            for version in 1..newest {
                let status = self.check_status(router, &version_key(version), CallKind::Safe).await;
                if status.is_some_and(|status| status != StatusCode::UNAUTHORIZED) {
                    let place = self.routers[router].place.ip;
                    let wrong = format!("router {place} answers {status:?} to a key of {version}");
                    self.broken.borrow_mut().push(wrong);
                }
            }
        }
    }

    async fn check_status(&self, router: usize, key: &str, kind: CallKind) -> Option<StatusCode> {
        let number = self.checks.get();
        self.checks.set(number + 1);
        let id = format!("{CHECK_PREFIX}{number}");
        let request = build_request_with_key(key, kind.path(), &id, "checked");
        let answer = send_request(self.routers[router].place.caller_address(), request);
        let answer: Option<CallerAnswer> =
            tokio::time::timeout(CHECK_TIMEOUT, answer).await.ok().flatten();
        answer.filter(|answer| answer.body.is_some()).map(|answer| answer.status)
    }
}

async fn play_link(link: &FaultProxy, fault: LinkFault, span: Duration) {
    link.set_fault(Some(fault));
    tokio::time::sleep(span).await;
    link.set_fault(None);
}

/// Returns the key that only one version of the configuration has, beside the callers' key.
fn version_key(version: u64) -> String {
    format!("key-of-{version}")
}
