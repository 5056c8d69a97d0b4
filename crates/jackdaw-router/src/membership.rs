//! Links to agents and other routers, as the platform's list of VMs has them.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix::Addr;
use actix_rt::task::JoinHandle;
use jackdaw_base::{
    DocumentBody, DocumentKey, DomainId, ServiceId, VersionedDocument, VmId, VmRecord, VmState,
};
use jackdaw_link::{ControlMessage, LinkEndpoint, PeerLink, ProcessRole};
use jackdaw_policy::relay_routers;
use jackdaw_policy::subset::{SubsetNode, SubsetPolicy, home_routers, linked_agents};
use rand::Rng;

use crate::decision_actor::{DecisionActor, HasLink, LinkInput};

/// The shortest wait before a lost link is opened again.
const REDIAL_MIN: Duration = Duration::from_millis(50);

/// The longest wait before a lost link is opened again.
const REDIAL_MAX: Duration = Duration::from_secs(2);

/// The longest wait before a link that the peer should open is opened from this end.
const HELP_WAIT: Duration = Duration::from_secs(2);

/// The links of a router, and the tasks that keep them open.
pub struct LinkBook {
    /// The router itself.
    own: SubsetNode,
    /// The endpoint that opens links.
    endpoint: Rc<LinkEndpoint>,
    /// The size of subsets.
    policy: SubsetPolicy,
    /// The number of routers that keep account homes.
    home_routers: usize,
    /// The open links by the VM of the peer.
    links: HashMap<VmId, PeerLink>,
    /// The VMs of the list, without this one.
    members: BTreeMap<VmId, VmRecord>,
    /// The tasks that dial, with the address that they dial.
    dialers: HashMap<VmId, (SocketAddr, JoinHandle<()>)>,
    /// The control traffic of links that are closed, in bytes sent and received.
    closed_bytes: (u64, u64),
}

impl LinkBook {
    /// Creates an empty book.
    pub fn new(own: SubsetNode, endpoint: Rc<LinkEndpoint>, home_routers: usize) -> LinkBook {
        LinkBook {
            own,
            endpoint,
            policy: SubsetPolicy::default(),
            home_routers,
            links: HashMap::new(),
            members: BTreeMap::new(),
            dialers: HashMap::new(),
            closed_bytes: (0, 0),
        }
    }

    /// Returns the open link to a VM.
    pub fn get(&self, vm: VmId) -> Option<&PeerLink> {
        self.links.get(&vm)
    }

    /// Returns the number of open links.
    pub fn len(&self) -> usize {
        self.links.len()
    }

    /// Returns whether no link is open.
    pub fn is_empty(&self) -> bool {
        self.links.is_empty()
    }

    /// Returns the failure domain of a VM, or an empty one where the list has none.
    pub fn domain(&self, vm: VmId) -> DomainId {
        match self.members.get(&vm) {
            Some(member) => member.domain,
            None => DomainId(0),
        }
    }

    /// Returns whether the list has a VM as leaving.
    pub fn is_leaving(&self, vm: VmId) -> bool {
        self.members.get(&vm).is_some_and(|member| member.state == VmState::Leaving)
    }

    /// Returns the routers to which links are open.
    pub fn routers(&self) -> Vec<VmId> {
        let mut routers = Vec::new();
        for (vm, link) in &self.links {
            if link.greeting().role == ProcessRole::Router {
                routers.push(*vm);
            }
        }
        routers
    }

    /// Returns the agents to which links are open.
    pub fn agents(&self) -> Vec<VmId> {
        let mut agents = Vec::new();
        for (vm, link) in &self.links {
            if link.greeting().role == ProcessRole::Agent {
                agents.push(*vm);
            }
        }
        agents
    }

    /// Returns the control traffic of all links, in bytes sent and received.
    pub fn control_bytes(&self) -> (u64, u64) {
        let mut total = self.closed_bytes;
        for link in self.links.values() {
            let (sent, received) = link.control_bytes();
            total = (total.0 + sent, total.1 + received);
        }
        total
    }

    /// Takes up an open link; returns whether it replaced an older one.
    pub fn insert(&mut self, link: &PeerLink) -> bool {
        let Some(old) = self.links.insert(link.greeting().vm, link.clone()) else { return false };
        self.retire(&old);
        old.close("replaced by a newer link");
        true
    }

    /// Drops a closed link; returns whether it was the one in use.
    pub fn remove(&mut self, link: &PeerLink) -> bool {
        if !self.is_current(link) {
            return false;
        }
        self.links.remove(&link.greeting().vm);
        self.retire(link);
        true
    }

    /// Returns whether the link is the one in use for its peer.
    pub fn is_current(&self, link: &PeerLink) -> bool {
        self.links.get(&link.greeting().vm).is_some_and(|current| current.id() == link.id())
    }

    /// Sends a message where a link is open; a link whose queue is full is closed.
    pub fn send(&self, vm: VmId, message: ControlMessage) {
        let Some(link) = self.links.get(&vm) else { return };
        if let Err(report) = link.send(message) {
            log::warn!("closing link to {vm}: {report}");
            link.close("control queue is full");
        }
    }

    /// Sends a service's document to the agents beside its targets.
    pub fn send_to_agents(&self, document: &VersionedDocument) {
        for (vm, link) in &self.links {
            let service = link.greeting().service;
            if service.map(DocumentKey::Service) == Some(document.key) {
                self.send(*vm, ControlMessage::Documents(vec![document.clone()]));
            }
        }
    }

    /// Follows changes of the VM list; returns the linked VMs that are leaving or gone.
    pub fn follow(
        &mut self,
        documents: &[VersionedDocument],
        actor: &Addr<DecisionActor>,
    ) -> Vec<(VmId, ProcessRole)> {
        let mut leaving = Vec::new();
        let mut is_changed = false;
        for document in documents {
            let DocumentKey::Vm(vm) = document.key else { continue };
            if vm == self.own.vm {
                continue;
            }
            match &document.body {
                Some(DocumentBody::Vm(record)) => {
                    self.members.insert(vm, record.clone());
                    if record.state == VmState::Leaving {
                        leaving.extend(self.role(vm));
                    }
                }
                _ => {
                    leaving.extend(self.role(vm));
                    self.members.remove(&vm);
                }
            }
            is_changed = true;
        }
        if is_changed {
            self.update_dialers(actor);
        }
        leaving
    }

    /// Returns whether this router watches the platform for others.
    pub fn is_relay(&self) -> bool {
        relay_routers(&self.router_nodes()).contains(&self.own.vm)
    }

    fn role(&self, vm: VmId) -> Option<(VmId, ProcessRole)> {
        self.links.get(&vm).map(|link| (vm, link.greeting().role))
    }

    /// Dials the VMs that this router is to be linked to, and no others.
    ///
    /// Of two routers, the one with the lower identifier dials. The other one helps out, since
    /// a router that starts while the platform is down knows no address.
    ///
    /// A link that is open stays until it closes by itself, since work may run on it.
    fn update_dialers(&mut self, actor: &Addr<DecisionActor>) {
        let wanted = self.wanted_links();
        self.dialers.retain(|vm, (address, task)| {
            let keeps = wanted.get(vm) == Some(address);
            if !keeps {
                task.abort();
            }
            keeps
        });
        for (vm, address) in wanted {
            if self.dialers.contains_key(&vm) {
                continue;
            }
            let dials = self.own.vm < vm || self.members[&vm].service.is_some();
            let (endpoint, actor) = (self.endpoint.clone(), actor.clone());
            let task = match dials {
                true => actix_rt::spawn(keep_dialing(endpoint, vm, address, actor)),
                false => actix_rt::spawn(help_dialing(endpoint, vm, address, actor)),
            };
            self.dialers.insert(vm, (address, task));
        }
    }

    /// Returns the VMs that this router dials, with their addresses.
    fn wanted_links(&self) -> HashMap<VmId, SocketAddr> {
        let routers = self.router_nodes();
        let mut wanted = HashMap::new();
        for agents in self.agent_nodes().values() {
            for agent in linked_agents(self.own, &routers, agents, &self.policy) {
                wanted.insert(agent, self.members[&agent].link_address);
            }
        }
        let mut ids: Vec<VmId> = routers.iter().map(|node| node.vm).collect();
        ids.sort_unstable();
        let homes = home_routers(&ids, self.home_routers);
        let is_home = homes.contains(&self.own.vm);
        for router in ids {
            if router != self.own.vm && (is_home || homes.contains(&router)) {
                wanted.insert(router, self.members[&router].link_address);
            }
        }
        wanted
    }

    /// Returns the routers of the list, this one included.
    fn router_nodes(&self) -> Vec<SubsetNode> {
        let mut nodes = vec![self.own];
        for (vm, record) in &self.members {
            if record.service.is_none() {
                nodes.push(SubsetNode { vm: *vm, domain: record.domain });
            }
        }
        nodes
    }

    /// Returns the agents of the list by service.
    fn agent_nodes(&self) -> BTreeMap<ServiceId, Vec<SubsetNode>> {
        let mut nodes: BTreeMap<ServiceId, Vec<SubsetNode>> = BTreeMap::new();
        for (vm, record) in &self.members {
            if let Some(service) = record.service {
                let node = SubsetNode { vm: *vm, domain: record.domain };
                nodes.entry(service).or_default().push(node);
            }
        }
        nodes
    }

    fn retire(&mut self, link: &PeerLink) {
        let (sent, received) = link.control_bytes();
        self.closed_bytes.0 += sent;
        self.closed_bytes.1 += received;
    }
}

/// Passes control messages of one link to the actor until the link closes.
pub async fn receive_control(link: PeerLink, actor: Addr<DecisionActor>) {
    actor.do_send(LinkInput::Opened(link.clone()));
    while let Some(message) = link.receive().await {
        actor.do_send(LinkInput::Control(link.clone(), message));
    }
    actor.do_send(LinkInput::Closed(link));
}

/// Opens the link to a router that is to dial itself and has not done so for a while.
async fn help_dialing(
    endpoint: Rc<LinkEndpoint>,
    vm: VmId,
    address: SocketAddr,
    actor: Addr<DecisionActor>,
) {
    loop {
        let jitter = rand::rng().random_range(0.5..1.0);
        actix_rt::time::sleep(HELP_WAIT.mul_f64(jitter)).await;
        // Without an actor there is nobody to hold a link.
        if actor.send(HasLink { vm }).await.unwrap_or(true) {
            continue;
        }
        match endpoint.dial(address, vm).await {
            Ok(link) => drop(actix_rt::spawn(receive_control(link, actor.clone()))),
            Err(report) => log::debug!("cannot open link to {vm}: {report}"),
        }
    }
}

/// Opens the link to a VM again each time it closes, with exponential backoff and full jitter.
async fn keep_dialing(
    endpoint: Rc<LinkEndpoint>,
    vm: VmId,
    address: SocketAddr,
    actor: Addr<DecisionActor>,
) {
    let mut wait = REDIAL_MIN;
    loop {
        match endpoint.dial(address, vm).await {
            Ok(link) => {
                wait = REDIAL_MIN;
                // A task of its own, so that a link outlives the dialer of a VM that is leaving.
                let receiver = actix_rt::spawn(receive_control(link, actor.clone()));
                // The task ends with its link and does not panic.
                let _ = receiver.await;
            }
            Err(report) => log::debug!("cannot open link to {vm}: {report}"),
        }
        let jitter = rand::rng().random_range(0.5..1.0);
        actix_rt::time::sleep(wait.mul_f64(jitter)).await;
        wait = (wait * 2).min(REDIAL_MAX);
    }
}
