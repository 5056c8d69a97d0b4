//! Handling of links, their control messages and the configuration received over them.

use actix::{AsyncContext, Context};
use jackdaw_base::{DocumentBody, DocumentKey, ServiceId, VersionedDocument, VmId};
use jackdaw_link::{ControlMessage, PeerLink, ProcessRole};
use jackdaw_policy::{DIGEST_FANOUT, GOSSIP_FANOUT, RouterEvent, pick_peers};
use jackdaw_telemetry::Readiness;

use super::DecisionActor;

/// Maximum number of documents in one message.
const MAX_DOCUMENT_BATCH: usize = 500;

impl DecisionActor {
    pub(super) fn open_link(&mut self, link: &PeerLink, context: &Context<DecisionActor>) {
        let greeting = *link.greeting();
        if self.links.insert(link) {
            self.process_event(link_lost_event(greeting.vm, greeting.role), context);
        }
        match greeting.role {
            ProcessRole::Agent => {
                let Some(service) = greeting.service else {
                    return self.reject_link(link, "agent without a service");
                };
                let domain = self.links.domain(greeting.vm);
                self.send_service_document(link, service);
                let event = RouterEvent::AgentJoined { agent: greeting.vm, service, domain };
                self.process_event(event, context);
                if self.links.is_leaving(greeting.vm) {
                    self.process_event(RouterEvent::AgentLeaving { agent: greeting.vm }, context);
                }
            }
            ProcessRole::Router => {
                let digest = ControlMessage::DocumentDigest(self.catalog.digest());
                self.links.send(greeting.vm, digest);
                self.process_event(RouterEvent::PeerJoined { router: greeting.vm }, context);
            }
            ProcessRole::Operator => {}
        }
    }

    pub(super) fn close_link(&mut self, link: &PeerLink, context: &Context<DecisionActor>) {
        if !self.links.remove(link) {
            return;
        }
        let greeting = link.greeting();
        self.process_event(link_lost_event(greeting.vm, greeting.role), context);
    }

    pub(super) fn send_service_document(&self, link: &PeerLink, service: ServiceId) {
        if let Some(document) = self.catalog.document(DocumentKey::Service(service)) {
            let documents = ControlMessage::Documents(vec![document.clone()]);
            self.links.send(link.greeting().vm, documents);
        }
    }

    pub(super) fn reject_link(&self, link: &PeerLink, reason: &str) {
        log::warn!("closing link to {}: {reason}", link.greeting().vm);
        link.close(reason);
    }

    pub(super) fn receive_message(
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
            ProcessRole::Operator => self.reject_link(link, "operators send no control messages"),
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
            _ => return self.reject_link(link, "message that agents do not send"),
        };
        self.process_event(event, context);
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
                self.process_event(event, context);
            }
            ControlMessage::RelayedTotals { agent, totals } => {
                self.process_event(RouterEvent::TotalsReceived { agent, totals }, context);
            }
            ControlMessage::Documents(documents) => {
                let changed = self.catalog.merge(documents);
                self.apply_documents(&changed, Some(router), context);
            }
            ControlMessage::DocumentDigest(digest) => {
                if digest != self.catalog.digest() {
                    let digests = ControlMessage::BucketDigests(self.catalog.bucket_digests());
                    self.links.send(router, digests);
                }
            }
            ControlMessage::BucketDigests(digests) => self.reconcile_buckets(router, &digests),
            ControlMessage::BucketRequest(buckets) => {
                self.send_documents(router, &self.catalog.bucket_documents(&buckets));
            }
            ControlMessage::Probe(nonce) => {
                self.links.send(router, ControlMessage::ProbeReply(nonce));
            }
            ControlMessage::CrashEvidence(evidence) => self.record_peer_evidence(evidence),
            ControlMessage::ProbeReply(_) | ControlMessage::Leaving => {}
            _ => self.reject_link(link, "message that routers do not send to routers"),
        }
    }

    /// Sends the documents of the buckets that differ and requests the peer's documents of them.
    pub(super) fn reconcile_buckets(&self, router: VmId, digests: &[u64]) {
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
        for batch in documents.chunks(MAX_DOCUMENT_BATCH) {
            self.links.send(router, ControlMessage::Documents(batch.to_vec()));
        }
    }

    /// Returns whether any documents other than VM records are known.
    ///
    /// Without them, no API key is known and no request can be authenticated.
    pub(super) fn has_configuration(&self) -> bool {
        self.catalog.documents().any(|document| !matches!(document.key, DocumentKey::Vm(_)))
    }

    /// Forwards changed documents to other routers and agents, and applies them to the links.
    pub(super) fn apply_documents(
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
            for batch in changed.chunks(MAX_DOCUMENT_BATCH) {
                self.links.send(router, ControlMessage::Documents(batch.to_vec()));
            }
        }
        for document in changed {
            if let Some(DocumentBody::Service(_)) = &document.body {
                self.links.send_to_agents(document);
            }
        }
        for (agent, role) in self.links.apply_vm_changes(changed, &context.address()) {
            if role == ProcessRole::Agent {
                self.process_event(RouterEvent::AgentLeaving { agent }, context);
            }
        }
    }

    /// Runs the watch on the platform if this router is a relay, has no link to another router or
    /// is still starting.
    pub(super) fn update_watch(&mut self, context: &Context<DecisionActor>) {
        let is_isolated = self.links.routers().is_empty();
        if is_isolated || self.links.is_relay() || self.readiness.get() == Readiness::Starting {
            self.watch.start(context.address());
        } else {
            self.watch.stop();
        }
    }

    pub(super) fn send_digests(&mut self) {
        self.metrics.set_open_requests(self.requests.len());
        let digest = self.catalog.digest();
        let routers = self.links.routers();
        for router in pick_peers(&mut self.rng, &routers, None, DIGEST_FANOUT) {
            self.links.send(router, ControlMessage::DocumentDigest(digest));
        }
    }
}

fn link_lost_event(vm: VmId, role: ProcessRole) -> RouterEvent {
    match role {
        ProcessRole::Router => RouterEvent::PeerLost { router: vm },
        ProcessRole::Agent | ProcessRole::Operator => RouterEvent::AgentLost { agent: vm },
    }
}
