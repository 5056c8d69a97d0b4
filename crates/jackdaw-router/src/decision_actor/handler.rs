//! How each message reaches the actor.

use actix::{Context, Handler, MessageResult};
use jackdaw_base::{DocumentKey, ErrorKind};
use jackdaw_objects::CatalogUpdate;
use jackdaw_policy::RouterEvent;
use jackdaw_telemetry::Readiness;

use super::{
    AdmitCall, CancelCall, DecisionActor, DrainRouter, DumpRouter, FleetStatus, HasLink,
    LearnUpdate, LinkInput, ReadReadiness, ReadStatus, ReadTraffic, RunOver,
};

impl Handler<AdmitCall> for DecisionActor {
    type Result = Result<(), ErrorKind>;

    fn handle(&mut self, admit: AdmitCall, context: &mut Context<DecisionActor>) -> Self::Result {
        self.admit(admit.call, admit.sender, context)
    }
}

impl Handler<CancelCall> for DecisionActor {
    type Result = ();

    fn handle(&mut self, cancel: CancelCall, context: &mut Context<DecisionActor>) {
        if self.requests.remove(&cancel.id).is_none() {
            return;
        }
        self.decide(RouterEvent::RequestCancelled { request: cancel.id }, context);
        self.check_drain();
    }
}

impl Handler<RunOver> for DecisionActor {
    type Result = ();

    fn handle(&mut self, over: RunOver, context: &mut Context<DecisionActor>) {
        self.end_run(&over, context);
    }
}

impl Handler<LinkInput> for DecisionActor {
    type Result = ();

    fn handle(&mut self, input: LinkInput, context: &mut Context<DecisionActor>) {
        match input {
            LinkInput::Opened(link) => self.open_link(&link, context),
            LinkInput::Closed(link) => self.close_link(&link, context),
            LinkInput::Control(link, message) => self.receive(&link, message, context),
        }
    }
}

impl Handler<LearnUpdate> for DecisionActor {
    type Result = ();

    fn handle(&mut self, learn: LearnUpdate, context: &mut Context<DecisionActor>) {
        let changed = match learn.0 {
            CatalogUpdate::Documents(documents) => self.catalog.merge(documents),
            CatalogUpdate::Vms(listing) => self.catalog.merge_vms(&listing),
        };
        self.apply(&changed, None, context);
    }
}

impl Handler<HasLink> for DecisionActor {
    type Result = bool;

    fn handle(&mut self, has: HasLink, _: &mut Context<DecisionActor>) -> bool {
        self.links.get(has.vm).is_some()
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

impl Handler<ReadTraffic> for DecisionActor {
    type Result = MessageResult<ReadTraffic>;

    fn handle(
        &mut self,
        _: ReadTraffic,
        _: &mut Context<DecisionActor>,
    ) -> MessageResult<ReadTraffic> {
        MessageResult(self.links.control_bytes())
    }
}

impl Handler<DrainRouter> for DecisionActor {
    type Result = ();

    fn handle(&mut self, drain: DrainRouter, context: &mut Context<DecisionActor>) {
        self.readiness.set(Readiness::Leaving);
        self.drained = Some(drain.done);
        self.decide(RouterEvent::DrainStarted, context);
        self.check_drain();
    }
}
