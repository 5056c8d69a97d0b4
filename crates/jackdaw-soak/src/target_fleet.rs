//! Targets that crash, leave and come again under other names.

use std::cell::RefCell;
use std::time::Duration;

use jackdaw_platform_standins::{
    ReceivedRequest, StoreStandin, TargetBehavior, TargetStandin, TargetState,
};

use crate::fault_plan::LinkFault;
use crate::fault_proxy::FaultProxy;

/// Time for which a target works on a request.
const WORK: Duration = Duration::from_millis(40);

/// Time for which a leaving target goes on serving after the store has its notice; routers know
/// of it within two seconds.
const DRAIN: Duration = Duration::from_millis(2500);

/// Time after which the store removes the entry of a target that crashed.
const LAPSE: Duration = Duration::from_millis(800);

/// The service of all targets.
const SERVICE: &str = "s";

/// The targets of a run.
pub(crate) struct TargetFleet {
    places: RefCell<Vec<TargetPlace>>,
    /// All targets so far, with what they ran.
    all: RefCell<Vec<TargetStandin>>,
}

struct TargetPlace {
    name: String,
    target: TargetStandin,
    proxy: FaultProxy,
}

impl TargetFleet {
    /// Starts and registers targets.
    pub(crate) async fn spawn(store: &StoreStandin, count: usize) -> TargetFleet {
        let fleet = TargetFleet { places: RefCell::default(), all: RefCell::default() };
        for _ in 0..count {
            let place = fleet.open_place(store).await;
            fleet.places.borrow_mut().push(place);
        }
        fleet
    }

    /// Sets the fault of the way to a target.
    pub(crate) fn set_fault(&self, place: usize, fault: Option<LinkFault>) {
        self.places.borrow()[place].proxy.set_fault(fault);
    }

    /// Heals all ways.
    pub(crate) fn heal(&self) {
        for place in self.places.borrow().iter() {
            place.proxy.set_fault(None);
        }
    }

    /// Ends a target at once; another takes its place after a span.
    pub(crate) async fn crash(&self, store: &StoreStandin, place: usize, span: Duration) {
        let (name, target) = self.current(place);
        target.crash();
        tokio::time::sleep(LAPSE).await;
        // An earlier fault at the same place may have removed it.
        let _ = store.remove_target(&name);
        tokio::time::sleep(span).await;
        self.fill(store, place, &name).await;
    }

    /// Lets a target leave as planned; another takes its place.
    pub(crate) async fn replace(&self, store: &StoreStandin, place: usize) {
        let (name, target) = self.current(place);
        let address = self.places.borrow()[place].proxy.address;
        store.put_target(&name, &target.entry_at(address, SERVICE, TargetState::Draining));
        self.fill(store, place, &name).await;
        tokio::time::sleep(DRAIN).await;
        // An earlier fault at the same place may have removed it.
        let _ = store.remove_target(&name);
    }

    /// Returns all that targets ran.
    pub(crate) fn runs(&self) -> Vec<ReceivedRequest> {
        self.all.borrow().iter().flat_map(TargetStandin::received_requests).collect()
    }

    fn current(&self, place: usize) -> (String, TargetStandin) {
        let places = self.places.borrow();
        (places[place].name.clone(), places[place].target.clone())
    }

    /// Fills a place that still has the named target.
    async fn fill(&self, store: &StoreStandin, place: usize, name: &str) {
        let next = self.open_place(store).await;
        let mut places = self.places.borrow_mut();
        if places[place].name == name {
            places[place] = next;
        }
    }

    async fn open_place(&self, store: &StoreStandin) -> TargetPlace {
        let name = format!("i-{}", self.all.borrow().len());
        let target = TargetStandin::bind(&name).await;
        target.set_default_behavior(TargetBehavior::Echo(WORK));
        self.all.borrow_mut().push(target.clone());
        let proxy = FaultProxy::spawn(target.address).await;
        store.put_target(&name, &target.entry_at(proxy.address, SERVICE, TargetState::Ready));
        TargetPlace { name, target, proxy }
    }
}
