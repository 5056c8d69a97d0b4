//! Message handlers of the actor.

use actix::{Context, Handler, MessageResult};
use jackdaw_base::{DocumentKey, ErrorKind};
use jackdaw_objects::CatalogUpdate;
use jackdaw_policy::RouterEvent;
use jackdaw_telemetry::Readiness;

use super::{
    AdmitRequest, ApplyUpdate, CancelRequest, DecisionActor, DrainRouter, DumpRouter, FinishRun,
    FleetStatus, HasLink, LinkInput, ReadControlBytes, ReadReadiness, ReadStatus,
};

impl Handler<AdmitRequest> for DecisionActor {
    type Result = Result<(), ErrorKind>;

    fn handle(
        &mut self,
        admit: AdmitRequest,
        context: &mut Context<DecisionActor>,
    ) -> Self::Result {
        self.admit_request(admit.request, admit.sender, context)
    }
}

impl Handler<CancelRequest> for DecisionActor {
    type Result = ();

    fn handle(&mut self, cancel: CancelRequest, context: &mut Context<DecisionActor>) {
        if self.requests.remove(&cancel.id).is_none() {
            return;
        }
        self.process_event(RouterEvent::RequestCancelled { request: cancel.id }, context);
        self.complete_drain_if_idle();
    }
}

impl Handler<FinishRun> for DecisionActor {
    type Result = ();

    fn handle(&mut self, finish: FinishRun, context: &mut Context<DecisionActor>) {
        self.finish_run(&finish, context);
    }
}

impl Handler<LinkInput> for DecisionActor {
    type Result = ();

    fn handle(&mut self, input: LinkInput, context: &mut Context<DecisionActor>) {
        match input {
            LinkInput::Opened(link) => self.open_link(&link, context),
            LinkInput::Closed(link) => self.close_link(&link, context),
            LinkInput::Control(link, message) => self.receive_message(&link, message, context),
        }
    }
}

impl Handler<ApplyUpdate> for DecisionActor {
    type Result = ();

    fn handle(&mut self, apply: ApplyUpdate, context: &mut Context<DecisionActor>) {
        let changed = match apply.0 {
            CatalogUpdate::Documents(documents) => self.catalog.merge(documents),
            CatalogUpdate::Vms(listing) => self.catalog.merge_vms(&listing),
        };
        self.apply_documents(&changed, None, context);
    }
}

impl Handler<HasLink> for DecisionActor {
    type Result = bool;

    fn handle(&mut self, query: HasLink, _: &mut Context<DecisionActor>) -> bool {
        self.links.get(query.vm).is_some()
    }
}

impl Handler<ReadReadiness> for DecisionActor {
    type Result = bool;

    fn handle(&mut self, _: ReadReadiness, _: &mut Context<DecisionActor>) -> bool {
        self.readiness.get() == Readiness::Ready
    }
}

impl Handler<DumpRouter> for DecisionActor {
    type Result = MessageResult<DumpRouter>;

    fn handle(
        &mut self,
        _: DumpRouter,
        _: &mut Context<DecisionActor>,
    ) -> MessageResult<DumpRouter> {
        MessageResult(self.core.snapshot())
    }
}

impl Handler<ReadStatus> for DecisionActor {
    type Result = MessageResult<ReadStatus>;

    fn handle(
        &mut self,
        _: ReadStatus,
        _: &mut Context<DecisionActor>,
    ) -> MessageResult<ReadStatus> {
        let mut ticket = 0;
        for document in self.catalog.documents() {
            if !matches!(document.key, DocumentKey::Vm(_)) {
                ticket = ticket.max(document.number);
            }
        }
        let routers = self.links.routers().len();
        MessageResult(FleetStatus {
            incarnation: self.incarnation.to_string(),
            documents: self.catalog.len(),
            digest: format!("{:016x}", self.catalog.digest()),
            ticket,
            open_requests: self.requests.len(),
            agents: self.links.len() - routers,
            routers,
            watches_platform: self.watch.is_running(),
        })
    }
}

impl Handler<ReadControlBytes> for DecisionActor {
    type Result = MessageResult<ReadControlBytes>;

    fn handle(
        &mut self,
        _: ReadControlBytes,
        _: &mut Context<DecisionActor>,
    ) -> MessageResult<ReadControlBytes> {
        MessageResult(self.links.control_bytes())
    }
}

impl Handler<DrainRouter> for DecisionActor {
    type Result = ();

    fn handle(&mut self, drain: DrainRouter, context: &mut Context<DecisionActor>) {
        self.readiness.set(Readiness::Leaving);
        self.drain_done = Some(drain.done);
        self.process_event(RouterEvent::DrainStarted, context);
        self.complete_drain_if_idle();
    }
}
