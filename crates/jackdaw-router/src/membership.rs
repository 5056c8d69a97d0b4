//! Links to agents and other routers, opened according to the platform's list of VMs.

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

/// Initial delay before a lost link is reopened, before jitter.
const MIN_REDIAL_DELAY: Duration = Duration::from_millis(50);

/// Maximum delay before a lost link is reopened, before jitter.
const MAX_REDIAL_DELAY: Duration = Duration::from_secs(2);

/// Maximum delay before this router opens a link that the peer should open.
const MAX_FALLBACK_DELAY: Duration = Duration::from_secs(2);

/// Links of a router and the tasks that keep them open.
pub struct LinkTable {
    /// This router.
    own_node: SubsetNode,
    /// Endpoint that opens links.
    endpoint: Rc<LinkEndpoint>,
    /// Numbers of agents per router and of routers per agent between which links are opened.
    policy: SubsetPolicy,
    /// Number of routers that serve as account homes.
    home_routers: usize,
    /// Open links by the VM of the peer.
    links: HashMap<VmId, PeerLink>,
    /// Listed VMs except for this router's own.
    members: BTreeMap<VmId, VmRecord>,
    /// Tasks that open links, with the address to which they connect.
    dialers: HashMap<VmId, (SocketAddr, JoinHandle<()>)>,
    /// Bytes of control messages sent and received on links that are now closed.
    closed_bytes: (u64, u64),
}

impl LinkTable {
    /// Creates an empty table.
    pub fn new(own_node: SubsetNode, endpoint: Rc<LinkEndpoint>, home_routers: usize) -> LinkTable {
        LinkTable {
            own_node,
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

    /// Returns the failure domain of a VM, or domain zero if the VM is not listed.
    pub fn domain(&self, vm: VmId) -> DomainId {
        match self.members.get(&vm) {
            Some(member) => member.domain,
            None => DomainId(0),
        }
    }

    /// Returns whether a VM is listed as leaving.
    pub fn is_leaving(&self, vm: VmId) -> bool {
        self.members.get(&vm).is_some_and(|member| member.state == VmState::Leaving)
    }

    /// Returns the routers with an open link.
    pub fn routers(&self) -> Vec<VmId> {
        let mut routers = Vec::new();
        for (vm, link) in &self.links {
            if link.greeting().role == ProcessRole::Router {
                routers.push(*vm);
            }
        }
        routers
    }

    /// Returns the agents with an open link.
    pub fn agents(&self) -> Vec<VmId> {
        let mut agents = Vec::new();
        for (vm, link) in &self.links {
            if link.greeting().role == ProcessRole::Agent {
                agents.push(*vm);
            }
        }
        agents
    }

    /// Returns the bytes of control messages sent and received on all links, open and closed.
    pub fn control_bytes(&self) -> (u64, u64) {
        let mut total = self.closed_bytes;
        for link in self.links.values() {
            let (sent, received) = link.control_bytes();
            total = (total.0 + sent, total.1 + received);
        }
        total
    }

    /// Adds an open link; returns whether it replaced an older link to the same VM.
    pub fn insert(&mut self, link: &PeerLink) -> bool {
        let Some(old) = self.links.insert(link.greeting().vm, link.clone()) else { return false };
        self.add_closed_bytes(&old);
        old.close("replaced by a newer link");
        true
    }

    /// Removes a closed link; returns whether it was the current link to its peer.
    pub fn remove(&mut self, link: &PeerLink) -> bool {
        if !self.is_current(link) {
            return false;
        }
        self.links.remove(&link.greeting().vm);
        self.add_closed_bytes(link);
        true
    }

    /// Returns whether the link is the current one to its peer.
    pub fn is_current(&self, link: &PeerLink) -> bool {
        self.links.get(&link.greeting().vm).is_some_and(|current| current.id() == link.id())
    }

    /// Sends a message if a link to the VM is open; closes the link if its control queue is full.
    pub fn send(&self, vm: VmId, message: ControlMessage) {
        let Some(link) = self.links.get(&vm) else { return };
        if let Err(report) = link.send(message) {
            log::warn!("closing link to {vm}: {report}");
            link.close("control queue is full");
        }
    }

    /// Sends the document of a service to the agents of its targets.
    pub fn send_to_agents(&self, document: &VersionedDocument) {
        for (vm, link) in &self.links {
            let service = link.greeting().service;
            if service.map(DocumentKey::Service) == Some(document.key) {
                self.send(*vm, ControlMessage::Documents(vec![document.clone()]));
            }
        }
    }

    /// Applies changes to the VM list; returns the linked VMs that are leaving or no longer listed.
    pub fn apply_vm_changes(
        &mut self,
        documents: &[VersionedDocument],
        actor: &Addr<DecisionActor>,
    ) -> Vec<(VmId, ProcessRole)> {
        let mut leaving = Vec::new();
        let mut is_changed = false;
        for document in documents {
            let DocumentKey::Vm(vm) = document.key else { continue };
            if vm == self.own_node.vm {
                continue;
            }
            match &document.body {
                Some(DocumentBody::Vm(record)) => {
                    self.members.insert(vm, record.clone());
                    if record.state == VmState::Leaving {
                        leaving.extend(self.linked_role(vm));
                    }
                }
                _ => {
                    leaving.extend(self.linked_role(vm));
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

    /// Returns whether this router is a relay, which watches the platform on behalf of its peers.
    pub fn is_relay(&self) -> bool {
        relay_routers(&self.router_nodes()).contains(&self.own_node.vm)
    }

    fn linked_role(&self, vm: VmId) -> Option<(VmId, ProcessRole)> {
        self.links.get(&vm).map(|link| (vm, link.greeting().role))
    }

    /// Starts and stops dialing tasks so that they match the desired links.
    ///
    /// Of two routers, the one with the lower VM identifier opens the link. The other one opens it
    /// as a fallback, because a router that starts during a platform outage knows no addresses.
    ///
    /// A link that is no longer desired stays open until it closes by itself, because runs may
    /// still use it.
    fn update_dialers(&mut self, actor: &Addr<DecisionActor>) {
        let desired = self.desired_links();
        self.dialers.retain(|vm, (address, task)| {
            let is_desired = desired.get(vm) == Some(address);
            if !is_desired {
                task.abort();
            }
            is_desired
        });
        for (vm, address) in desired {
            if self.dialers.contains_key(&vm) {
                continue;
            }
            let is_dialer = self.own_node.vm < vm || self.members[&vm].service.is_some();
            let (endpoint, actor) = (self.endpoint.clone(), actor.clone());
            let task = match is_dialer {
                true => actix_rt::spawn(maintain_link(endpoint, vm, address, actor)),
                false => actix_rt::spawn(dial_as_fallback(endpoint, vm, address, actor)),
            };
            self.dialers.insert(vm, (address, task));
        }
    }

    /// Returns the VMs to which this router should have a link, with their addresses.
    fn desired_links(&self) -> HashMap<VmId, SocketAddr> {
        let routers = self.router_nodes();
        let mut desired = HashMap::new();
        for agents in self.agent_nodes().values() {
            for agent in linked_agents(self.own_node, &routers, agents, &self.policy) {
                desired.insert(agent, self.members[&agent].link_address);
            }
        }
        let mut ids: Vec<VmId> = routers.iter().map(|node| node.vm).collect();
        ids.sort_unstable();
        let homes = home_routers(&ids, self.home_routers);
        let is_home = homes.contains(&self.own_node.vm);
        for router in ids {
            if router != self.own_node.vm && (is_home || homes.contains(&router)) {
                desired.insert(router, self.members[&router].link_address);
            }
        }
        desired
    }

    /// Returns the listed routers, including this one.
    fn router_nodes(&self) -> Vec<SubsetNode> {
        let mut nodes = vec![self.own_node];
        for (vm, record) in &self.members {
            if record.service.is_none() {
                nodes.push(SubsetNode { vm: *vm, domain: record.domain });
            }
        }
        nodes
    }

    /// Returns the listed agents by service.
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

    fn add_closed_bytes(&mut self, link: &PeerLink) {
        let (sent, received) = link.control_bytes();
        self.closed_bytes.0 += sent;
        self.closed_bytes.1 += received;
    }
}

/// Forwards the control messages of a link to the actor until the link closes.
pub async fn receive_control(link: PeerLink, actor: Addr<DecisionActor>) {
    actor.do_send(LinkInput::Opened(link.clone()));
    while let Some(message) = link.receive().await {
        actor.do_send(LinkInput::Control(link.clone(), message));
    }
    actor.do_send(LinkInput::Closed(link));
}

/// Opens a link that the peer should open whenever none has been open for a while.
async fn dial_as_fallback(
    endpoint: Rc<LinkEndpoint>,
    vm: VmId,
    address: SocketAddr,
    actor: Addr<DecisionActor>,
) {
    loop {
        let jitter = rand::rng().random_range(0.5..1.0);
        actix_rt::time::sleep(MAX_FALLBACK_DELAY.mul_f64(jitter)).await;
        // If the actor has stopped, nothing can use a new link.
        if actor.send(HasLink { vm }).await.unwrap_or(true) {
            continue;
        }
        match endpoint.dial(address, vm).await {
            Ok(link) => drop(actix_rt::spawn(receive_control(link, actor.clone()))),
            Err(report) => log::debug!("cannot open link to {vm}: {report}"),
        }
    }
}

/// Opens the link to a VM and reopens it whenever it closes.
///
/// The delay grows exponentially with failed attempts; jitter shortens it by up to a half.
async fn maintain_link(
    endpoint: Rc<LinkEndpoint>,
    vm: VmId,
    address: SocketAddr,
    actor: Addr<DecisionActor>,
) {
    let mut delay = MIN_REDIAL_DELAY;
    loop {
        match endpoint.dial(address, vm).await {
            Ok(link) => {
                delay = MIN_REDIAL_DELAY;
                // In a task of its own so that the link outlives the dialing task, which is aborted
                // when the VM is no longer a desired peer.
                let receiver = actix_rt::spawn(receive_control(link, actor.clone()));
                // The task ends when the link closes; it does not panic.
                let _ = receiver.await;
            }
            Err(report) => log::debug!("cannot open link to {vm}: {report}"),
        }
        let jitter = rand::rng().random_range(0.5..1.0);
        actix_rt::time::sleep(delay.mul_f64(jitter)).await;
        delay = (delay * 2).min(MAX_REDIAL_DELAY);
    }
}
