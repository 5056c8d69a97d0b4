//! Targets that crash or drain and are replaced by targets with other names.

use std::cell::RefCell;
use std::time::Duration;

use jackdaw_platform_standins::{
    ReceivedRequest, StoreStandin, TargetBehavior, TargetStandin, TargetState,
};

use crate::fault_plan::LinkFault;
use crate::fault_proxy::FaultProxy;

/// Processing time of a request at a target.
const PROCESSING_TIME: Duration = Duration::from_millis(40);

/// Time for which a target keeps serving after it is marked as draining in the store; routers learn
/// of the change within two seconds.
const DRAIN_TIME: Duration = Duration::from_millis(2500);

/// Time after which the entry of a crashed target is removed from the store.
const REMOVAL_DELAY: Duration = Duration::from_millis(800);

/// Service of all targets, as in the sample configuration.
const SERVICE: &str = "s";

/// Targets of a run.
pub(crate) struct TargetFleet {
    members: RefCell<Vec<TargetMember>>,
    /// All targets so far, including replaced ones, with the requests that they ran.
    all: RefCell<Vec<TargetStandin>>,
}

struct TargetMember {
    name: String,
    target: TargetStandin,
    proxy: FaultProxy,
}

impl TargetFleet {
    /// Starts and registers targets.
    pub(crate) async fn spawn(store: &StoreStandin, count: usize) -> TargetFleet {
        let fleet = TargetFleet { members: RefCell::default(), all: RefCell::default() };
        for _ in 0..count {
            let member = fleet.spawn_member(store).await;
            fleet.members.borrow_mut().push(member);
        }
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
        // An overlapping fault of the same target may have removed the entry.
        let _ = store.remove_target(&name);
        tokio::time::sleep(duration).await;
        self.install_successor(store, index, &name).await;
    }

    /// Drains a target and replaces it.
    pub(crate) async fn replace(&self, store: &StoreStandin, index: usize) {
        let (name, target) = self.current(index);
        let address = self.members.borrow()[index].proxy.address;
        store.put_target(&name, &target.entry_at(address, SERVICE, TargetState::Draining));
        self.install_successor(store, index, &name).await;
        tokio::time::sleep(DRAIN_TIME).await;
        // An overlapping fault of the same target may have removed the entry.
        let _ = store.remove_target(&name);
    }

    /// Returns all requests that targets ran.
    pub(crate) fn runs(&self) -> Vec<ReceivedRequest> {
        self.all.borrow().iter().flat_map(TargetStandin::received_requests).collect()
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
        let name = format!("i-{}", self.all.borrow().len());
        let target = TargetStandin::bind(&name).await;
        target.set_default_behavior(TargetBehavior::Echo(PROCESSING_TIME));
        self.all.borrow_mut().push(target.clone());
        let proxy = FaultProxy::spawn(target.address).await;
        store.put_target(&name, &target.entry_at(proxy.address, SERVICE, TargetState::Ready));
        TargetMember { name, target, proxy }
    }
}
