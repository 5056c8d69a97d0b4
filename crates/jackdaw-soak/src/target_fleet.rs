//! Targets that crash or drain and are replaced by targets with other names.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use jackdaw_platform_standins::{
    ReceivedRequest, StoreStandin, TargetBehavior, TargetStandin, TargetState, UnwantedRequest,
};
use rand::Rng;
use rand::seq::SliceRandom;
use serde_json::Value;

use crate::deadly_caller::{DEADLY_PART, DeadlyArrival, is_deadly_run};
use crate::fault_plan::LinkFault;
use crate::fault_proxy::FaultProxy;

/// Processing time of a request at a target.
const PROCESSING_TIME: Duration = Duration::from_millis(40);

/// Time for which a target keeps serving after it is marked as draining in the store; routers learn
/// of the change within two seconds.
const DRAIN_TIME: Duration = Duration::from_millis(2500);

/// Time after which the entry of a crashed target is removed from the store.
const REMOVAL_DELAY: Duration = Duration::from_millis(800);

/// Interval at which targets are checked for a crash by the deadly request.
const END_POLL: Duration = Duration::from_millis(100);

/// Software versions of the targets, which take turns.
pub(crate) const VERSIONS: [&str; 2] = ["v1", "v2"];

/// Service of all targets, as in the sample configuration.
const SERVICE: &str = "s";

/// Time from the announcement of a leaving to its registration in the store, and from the removal of
/// an entry until the target may end. It is long enough for requests to arrive that a router should
/// no longer send.
const LEAVING_TIME: Duration = Duration::from_millis(4500);

/// Pause that targets ask for, in seconds; longer than most faults.
const PAUSE_SECONDS: &str = "2.5";

/// Failure domains of the targets, which take turns.
const DOMAINS: [&str; 2] = ["a", "b"];

/// Failure domain that is taken out of use.
pub(crate) const EVACUATED_DOMAIN: &str = DOMAINS[1];

/// Time for which a target that starts during the run states that it is cold.
const COLD_TIME: Duration = Duration::from_secs(2);
pub(crate) const COLD_TIME_S: f64 = 2.0;

/// Requests a second that cold targets state, and those that [`DOMAIN_SETTINGS`] allow.
pub(crate) const COLD_RATE: f64 = 4.0;
const COLD_BOUND: usize = 11;

/// Settings of routers that heed cold targets and evacuated domains.
pub(crate) const DOMAIN_SETTINGS: &str =
    "[domains]\nevacuation_ms = 5000\n[cold]\nrate_factor = 1.5\nrate_allowance = 5\n";

/// Targets of a run.
#[derive(Default)]
pub(crate) struct TargetFleet {
    members: RefCell<Vec<TargetMember>>,
    /// All targets so far, including replaced ones, with the requests that they ran.
    all: RefCell<Vec<TargetStandin>>,
    /// When those targets started that started during the run.
    started: RefCell<Vec<(TargetStandin, Instant)>>,
    /// Whether targets that start now start during the run.
    is_running: Cell<bool>,
    /// Whether one of the failure domains is out of use.
    is_evacuated: Cell<bool>,
    /// Entries that the targets have registered, by name.
    entries: RefCell<BTreeMap<String, Value>>,
}

/// More requests to a cold target than it takes.
#[derive(Debug)]
pub(crate) struct ColdExcess {
    /// When the target started.
    pub(crate) started: Instant,
    /// When it was warm.
    pub(crate) warm: Instant,
    /// The most requests within a second in between.
    pub(crate) requests: usize,
}

struct TargetMember {
    name: String,
    target: TargetStandin,
    proxy: FaultProxy,
}

impl TargetFleet {
    /// Starts and registers targets.
    pub(crate) async fn spawn(store: &StoreStandin, count: usize) -> TargetFleet {
        let fleet = TargetFleet::default();
        for _ in 0..count {
            let member = fleet.spawn_member(store).await;
            fleet.members.borrow_mut().push(member);
        }
        fleet.is_running.set(true);
        fleet
    }

    /// Sets the fault of the connections to a target.
    pub(crate) fn set_fault(&self, index: usize, fault: Option<LinkFault>) {
        self.members.borrow()[index].proxy.set_fault(fault);
    }

    /// Clears the faults of the connections to all targets.
    pub(crate) fn clear_faults(&self) {
        for member in self.members.borrow().iter() {
            member.proxy.set_fault(None);
        }
    }

    /// Crashes a target and replaces it after a time.
    pub(crate) async fn crash(&self, store: &StoreStandin, index: usize, duration: Duration) {
        let (name, target) = self.current(index);
        target.crash();
        tokio::time::sleep(REMOVAL_DELAY).await;
        self.remove_entry(store, &name);
        tokio::time::sleep(duration).await;
        self.install_successor(store, index, &name).await;
    }

    /// Drains a target and replaces it.
    pub(crate) async fn replace(&self, store: &StoreStandin, index: usize) {
        let (name, target) = self.current(index);
        let address = self.members.borrow()[index].proxy.address;
        let mut entry = target.entry_at(address, SERVICE, TargetState::Draining);
        if let Some(registered) = self.entries.borrow().get(&name) {
            entry["zone"] = registered["zone"].clone();
        }
        self.put_entry(store, &name, entry);
        target.retire();
        self.install_successor(store, index, &name).await;
        tokio::time::sleep(DRAIN_TIME).await;
        self.remove_entry(store, &name);
    }

    /// Removes the entry of a target that does not register as draining and keeps serving, and
    /// replaces the target.
    pub(crate) async fn withdraw(&self, store: &StoreStandin, index: usize) {
        let (name, target) = self.current(index);
        self.remove_entry(store, &name);
        target.retire();
        self.install_successor(store, index, &name).await;
        tokio::time::sleep(LEAVING_TIME).await;
    }

    /// Lets a target announce its leaving, and drains and replaces it after a time.
    pub(crate) async fn announce(&self, store: &StoreStandin, index: usize) {
        let (_, target) = self.current(index);
        target.announce_leaving();
        tokio::time::sleep(LEAVING_TIME).await;
        self.replace(store, index).await;
    }

    /// Lets a target turn away all requests for a time.
    pub(crate) async fn pause(&self, index: usize, duration: Duration) {
        let (_, target) = self.current(index);
        target.set_default_behavior(TargetBehavior::Pausing(PAUSE_SECONDS));
        tokio::time::sleep(duration).await;
        target.set_default_behavior(TargetBehavior::Echo(PROCESSING_TIME));
    }

    /// Writes all entries again after the store was restored, in random order.
    pub(crate) fn rewrite_entries(&self, store: &StoreStandin, rng: &mut impl Rng) {
        let entries = self.entries.borrow();
        let mut names: Vec<&String> = entries.keys().collect();
        names.shuffle(rng);
        for name in names {
            store.put_target(name, &entries[name]);
        }
        let members = self.all.borrow();
        let removed = (0..members.len()).map(target_name);
        for name in removed.filter(|name| !entries.contains_key(name)) {
            // The copy may not have the entry.
            let _ = store.remove_target(&name);
        }
    }

    /// Takes one of the failure domains out of use, or back into use.
    pub(crate) fn set_evacuated(&self, store: &StoreStandin, is_evacuated: bool) {
        self.is_evacuated.set(is_evacuated);
        self.write_evacuation(store);
        let members = self.all.borrow();
        let concerned = members.iter().enumerate();
        for (_, target) in concerned.filter(|(number, _)| domain_of(*number) == EVACUATED_DOMAIN) {
            target.set_evacuated(is_evacuated);
        }
    }

    /// Writes the operator's evacuation, or removes it.
    pub(crate) fn write_evacuation(&self, store: &StoreStandin) {
        match self.is_evacuated.get() {
            true => store.evacuate(EVACUATED_DOMAIN),
            // It may be gone already.
            false => drop(store.end_evacuation(EVACUATED_DOMAIN)),
        }
    }

    /// Returns the cold targets that got more requests than they take.
    pub(crate) fn cold_excesses(&self) -> Vec<ColdExcess> {
        let mut excesses = Vec::new();
        for (target, started) in self.started.borrow().iter() {
            let warm = *started + COLD_TIME;
            let arrivals: Vec<Instant> =
                target.arrivals().into_iter().filter(|time| *time < warm).collect();
            let within = |first: &Instant| {
                let end = *first + Duration::from_secs(1);
                arrivals.iter().filter(|time| *time >= first && **time < end).count()
            };
            let requests = arrivals.iter().map(within).max().unwrap_or(0);
            if requests > COLD_BOUND {
                excesses.push(ColdExcess { started: *started, warm, requests });
            }
        }
        excesses
    }

    /// Returns the requests that targets did not want.
    pub(crate) fn unwanted_requests(&self) -> Vec<UnwantedRequest> {
        self.all.borrow().iter().flat_map(TargetStandin::unwanted_requests).collect()
    }

    fn put_entry(&self, store: &StoreStandin, name: &str, entry: Value) {
        store.put_target(name, &entry);
        self.entries.borrow_mut().insert(name.to_owned(), entry);
    }

    fn remove_entry(&self, store: &StoreStandin, name: &str) {
        // An overlapping fault of the same target may have removed the entry.
        let _ = store.remove_target(name);
        self.entries.borrow_mut().remove(name);
    }

    /// Returns all requests that targets ran, but for those of the deadly caller.
    pub(crate) fn runs(&self) -> Vec<ReceivedRequest> {
        let members = self.all.borrow();
        let runs = members.iter().flat_map(TargetStandin::received_requests);
        runs.filter(|run| !is_deadly_run(run)).collect()
    }

    /// Returns when the deadly request reached targets.
    pub(crate) fn deadly_arrivals(&self) -> Vec<DeadlyArrival> {
        let members = self.all.borrow();
        let arrivals = members.iter().flat_map(TargetStandin::deadly_arrivals);
        arrivals.map(|(id, time)| DeadlyArrival { id, time }).collect()
    }

    /// Replaces targets that the deadly request ends, for as long as the future is polled.
    pub(crate) async fn replace_ended(&self, store: &StoreStandin) {
        let mut replaced = BTreeSet::new();
        loop {
            tokio::time::sleep(END_POLL).await;
            let count = self.members.borrow().len();
            for index in 0..count {
                let (name, target) = self.current(index);
                if !target.deadly_arrivals().is_empty() && replaced.insert(name.clone()) {
                    tokio::time::sleep(REMOVAL_DELAY).await;
                    self.remove_entry(store, &name);
                    self.install_successor(store, index, &name).await;
                }
            }
        }
    }

    fn current(&self, index: usize) -> (String, TargetStandin) {
        let members = self.members.borrow();
        (members[index].name.clone(), members[index].target.clone())
    }

    /// Starts a target and puts it in place of the named one, unless that was replaced already.
    async fn install_successor(&self, store: &StoreStandin, index: usize, name: &str) {
        let successor = self.spawn_member(store).await;
        let mut members = self.members.borrow_mut();
        if members[index].name == name {
            members[index] = successor;
        }
    }

    async fn spawn_member(&self, store: &StoreStandin) -> TargetMember {
        let number = self.all.borrow().len();
        let name = target_name(number);
        let target = TargetStandin::bind(&name).await;
        target.set_version(VERSIONS[self.all.borrow().len() % VERSIONS.len()]);
        target.set_default_behavior(TargetBehavior::Echo(PROCESSING_TIME));
        self.all.borrow_mut().push(target.clone());
        target.crash_on_part(DEADLY_PART);
        let proxy = FaultProxy::spawn_until_ended(target.address).await;
        let mut entry = target.entry_at(proxy.address, SERVICE, TargetState::Ready);
        entry["zone"] = domain_of(number).into();
        if self.is_running.get() {
            entry["cold_left_ms"] = (COLD_TIME.as_millis() as u64).into();
            self.started.borrow_mut().push((target.clone(), Instant::now()));
        }
        if self.is_evacuated.get() && domain_of(number) == EVACUATED_DOMAIN {
            target.set_evacuated(true);
        }
        self.put_entry(store, &name, entry);
        TargetMember { name, target, proxy }
    }
}

fn domain_of(number: usize) -> &'static str {
    DOMAINS[number % DOMAINS.len()]
}

fn target_name(number: usize) -> String {
    format!("i-{number}")
}
