//! What the actor does with its links and with the configuration that comes over them.

use actix::{AsyncContext, Context};
use jackdaw_base::{DocumentBody, DocumentKey, ServiceId, VersionedDocument, VmId};
use jackdaw_link::{ControlMessage, PeerLink, ProcessRole};
use jackdaw_policy::{DIGEST_FANOUT, GOSSIP_FANOUT, RouterEvent, pick_peers};
use jackdaw_telemetry::Readiness;

use super::DecisionActor;

/// The documents that one message carries at the most.
const DOCUMENT_BATCH: usize = 500;

impl DecisionActor {
    pub(super) fn open_link(&mut self, link: &PeerLink, context: &Context<DecisionActor>) {
        let greeting = *link.greeting();
        if self.links.insert(link) {
            self.decide(lost_event(greeting.vm, greeting.role), context);
        }
        match greeting.role {
            ProcessRole::Agent => {
                let Some(service) = greeting.service else {
                    return self.refuse(link, "agent without a service");
                };
                let domain = self.links.domain(greeting.vm);
                self.send_service(link, service);
                let event = RouterEvent::AgentJoined { agent: greeting.vm, service, domain };
                self.decide(event, context);
                if self.links.is_leaving(greeting.vm) {
                    self.decide(RouterEvent::AgentLeaving { agent: greeting.vm }, context);
                }
            }
            ProcessRole::Router => {
                let digest = ControlMessage::DocumentDigest(self.catalog.digest());
                self.links.send(greeting.vm, digest);
                self.decide(RouterEvent::PeerJoined { router: greeting.vm }, context);
            }
            ProcessRole::Operator => {}
        }
    }

    pub(super) fn close_link(&mut self, link: &PeerLink, context: &Context<DecisionActor>) {
        if !self.links.remove(link) {
            return;
        }
        let greeting = link.greeting();
        self.decide(lost_event(greeting.vm, greeting.role), context);
    }

    pub(super) fn send_service(&self, link: &PeerLink, service: ServiceId) {
        if let Some(document) = self.catalog.document(DocumentKey::Service(service)) {
            let documents = ControlMessage::Documents(vec![document.clone()]);
            self.links.send(link.greeting().vm, documents);
        }
    }

    pub(super) fn refuse(&self, link: &PeerLink, reason: &str) {
        log::warn!("closing link to {}: {reason}", link.greeting().vm);
        link.close(reason);
    }

    pub(super) fn receive(
        &mut self,
        link: &PeerLink,
        message: ControlMessage,
        context: &Context<DecisionActor>,
    ) {
        if !self.links.is_current(link) {
            return;
        }
        match link.greeting().role {
            ProcessRole::Agent => self.receive_from_agent(link, message, context),
            ProcessRole::Router => self.receive_from_router(link, message, context),
            ProcessRole::Operator => self.refuse(link, "operators send no control messages"),
        }
    }

    pub(super) fn receive_from_agent(
        &mut self,
        link: &PeerLink,
        message: ControlMessage,
        context: &Context<DecisionActor>,
    ) {
        let agent = link.greeting().vm;
        let event = match message {
            ControlMessage::Grant(offer) => RouterEvent::GrantReceived { agent, offer },
            ControlMessage::Room(places) => RouterEvent::RoomAnnounced { agent, places },
            ControlMessage::Leaving => RouterEvent::AgentLeaving { agent },
            ControlMessage::Reports(reports) => {
                RouterEvent::ReportsReceived { sender: agent, reports }
            }
            ControlMessage::Probe(nonce) => {
                return self.links.send(agent, ControlMessage::ProbeReply(nonce));
            }
            ControlMessage::ProbeReply(_) => return,
            _ => return self.refuse(link, "message that agents do not send"),
        };
        self.decide(event, context);
    }

    pub(super) fn receive_from_router(
        &mut self,
        link: &PeerLink,
        message: ControlMessage,
        context: &Context<DecisionActor>,
    ) {
        let router = link.greeting().vm;
        match message {
            ControlMessage::Reports(reports) => {
                let event = RouterEvent::ReportsReceived { sender: router, reports };
                self.decide(event, context);
            }
            ControlMessage::RelayedTotals { agent, totals } => {
                self.decide(RouterEvent::TotalsReceived { agent, totals }, context);
            }
            ControlMessage::Documents(documents) => {
                let changed = self.catalog.merge(documents);
                self.apply(&changed, Some(router), context);
            }
            ControlMessage::DocumentDigest(digest) => {
                if digest != self.catalog.digest() {
                    let digests = ControlMessage::BucketDigests(self.catalog.bucket_digests());
                    self.links.send(router, digests);
                }
            }
            ControlMessage::BucketDigests(digests) => self.compare_buckets(router, &digests),
            ControlMessage::BucketRequest(buckets) => {
                self.send_documents(router, &self.catalog.bucket_documents(&buckets));
            }
            ControlMessage::Probe(nonce) => {
                self.links.send(router, ControlMessage::ProbeReply(nonce));
            }
            ControlMessage::CrashEvidence(evidence) => self.hear_evidence(evidence),
            ControlMessage::ProbeReply(_) | ControlMessage::Leaving => {}
            _ => self.refuse(link, "message that routers do not send to routers"),
        }
    }

    /// Exchanges the documents of those buckets that differ.
    pub(super) fn compare_buckets(&self, router: VmId, digests: &[u64]) {
        let mut buckets = Vec::new();
        for (index, own) in self.catalog.bucket_digests().iter().enumerate() {
            if digests.get(index) != Some(own) {
                buckets.push(index as u16);
            }
        }
        self.send_documents(router, &self.catalog.bucket_documents(&buckets));
        self.links.send(router, ControlMessage::BucketRequest(buckets));
    }

    pub(super) fn send_documents(&self, router: VmId, documents: &[VersionedDocument]) {
        for batch in documents.chunks(DOCUMENT_BATCH) {
            self.links.send(router, ControlMessage::Documents(batch.to_vec()));
        }
    }

    /// Returns whether anything but the list of VMs is known; without it no key is.
    pub(super) fn has_configuration(&self) -> bool {
        self.catalog.documents().any(|document| !matches!(document.key, DocumentKey::Vm(_)))
    }

    /// Passes what is new on to the other routers and acts on it.
    pub(super) fn apply(
        &mut self,
        changed: &[VersionedDocument],
        source: Option<VmId>,
        context: &Context<DecisionActor>,
    ) {
        if self.readiness.get() == Readiness::Starting && self.has_configuration() {
            self.readiness.set(Readiness::Ready);
        }
        let routers = self.links.routers();
        for router in pick_peers(&mut self.rng, &routers, source, GOSSIP_FANOUT) {
            for batch in changed.chunks(DOCUMENT_BATCH) {
                self.links.send(router, ControlMessage::Documents(batch.to_vec()));
            }
        }
        for document in changed {
            if let Some(DocumentBody::Service(_)) = &document.body {
                self.links.send_to_agents(document);
            }
        }
        for (agent, role) in self.links.follow(changed, &context.address()) {
            if role == ProcessRole::Agent {
                self.decide(RouterEvent::AgentLeaving { agent }, context);
            }
        }
    }

    /// Keeps the watch on the platform where this router is a relay or knows no other router.
    pub(super) fn update_watch(&mut self, context: &Context<DecisionActor>) {
        let is_alone = self.links.routers().is_empty();
        if is_alone || self.links.is_relay() || self.readiness.get() == Readiness::Starting {
            self.watch.start(context.address());
        } else {
            self.watch.stop();
        }
    }

    pub(super) fn compare_digests(&mut self) {
        self.metrics.set_open(self.requests.len());
        let digest = self.catalog.digest();
        let routers = self.links.routers();
        for router in pick_peers(&mut self.rng, &routers, None, DIGEST_FANOUT) {
            self.links.send(router, ControlMessage::DocumentDigest(digest));
        }
    }
}

fn lost_event(vm: VmId, role: ProcessRole) -> RouterEvent {
    match role {
        ProcessRole::Router => RouterEvent::PeerLost { router: vm },
        ProcessRole::Agent | ProcessRole::Operator => RouterEvent::AgentLost { agent: vm },
    }
}
