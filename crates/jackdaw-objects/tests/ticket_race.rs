//! Acceptors that race, lose responses or stop partway accept each ticket once and revert nothing.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use error_stack::Report;
use jackdaw_base::{
    CustomerId, CustomerRecord, CustomerShare, DocumentKey, ErrorKind, ServiceKind, ServiceRecord,
    TargetRecord, TicketNumber,
};
use jackdaw_objects::{
    CallCounts, ChangeTicket, ObjectListing, ObjectStore, ObjectVersion, PlatformClient,
    PlatformSettings, StoredObject, TicketAcceptor, TicketProblem, TicketStatus, VmListing,
    WriteCondition, digest_key,
};
use jackdaw_standin::{AnswerFault, PlatformFaults, PlatformStandin, StandinSettings};

fn open_acceptor(standin: &PlatformStandin) -> TicketAcceptor<PlatformClient> {
    let mut settings = PlatformSettings::new(standin.address());
    settings.governor.attempt_timeout = Duration::from_millis(100);
    settings.governor.burst = 10_000;
    TicketAcceptor::open(PlatformClient::open(settings))
}

/// Opens an acceptor that gives up after one attempt of a call, as if its process had stopped.
fn open_single_attempt_acceptor(standin: &PlatformStandin) -> TicketAcceptor<PlatformClient> {
    let mut settings = PlatformSettings::new(standin.address());
    settings.governor.attempt_timeout = Duration::from_millis(100);
    settings.max_attempts = 1;
    TicketAcceptor::open(PlatformClient::open(settings))
}

fn customer(name: &str, share: u32) -> CustomerRecord {
    CustomerRecord {
        name: name.to_owned(),
        share: CustomerShare(share),
        keys: vec![digest_key(name)],
        queue_limit: 10,
    }
}

fn ticket(number: u64, customers: &[(&str, u32)]) -> ChangeTicket {
    let mut ticket = ChangeTicket::new(TicketNumber(number));
    for (name, share) in customers {
        ticket.set_customer(customer(name, *share));
    }
    ticket
}

async fn share_of<S: ObjectStore>(acceptor: &TicketAcceptor<S>, name: &str) -> Option<u32> {
    let catalog = acceptor.catalog().await.unwrap();
    catalog.customer(CustomerId::from_name(name)).map(|record| record.share.0)
}

#[actix_rt::test]
async fn same_number() {
    let standin = PlatformStandin::bind(StandinSettings::default()).unwrap();
    let (left, right) = (open_acceptor(&standin), open_acceptor(&standin));
    let (ours, theirs) = (ticket(5, &[("a", 1)]), ticket(5, &[("a", 2)]));
    let (first, second) = futures_util::join!(left.accept(&ours), right.accept(&theirs));
    let results = [first, second];
    let accepted = results.iter().filter(|result| result.is_ok()).count();
    assert_eq!(accepted, 1, "{results:?}");
    for result in results {
        if let Err(report) = result {
            assert_eq!(*report.current_context(), ErrorKind::TicketConflict);
        }
    }
    let (first, second) = futures_util::join!(left.accept(&ours), right.accept(&theirs));
    assert!(first.is_ok() != second.is_ok());
    assert!(first.or(second).unwrap().repeated);
    standin.close().await;
}

#[actix_rt::test]
async fn crossed_numbers() {
    let standin = PlatformStandin::bind(StandinSettings::default()).unwrap();
    let (left, right) = (open_acceptor(&standin), open_acceptor(&standin));
    for round in 0..10 {
        let (low, high) = (2 * round + 1, 2 * round + 2);
        let older = ticket(low, &[("a", 1), ("b", 1)]);
        let newer = ticket(high, &[("a", 2)]);
        let (old, new) = futures_util::join!(left.accept(&older), right.accept(&newer));
        assert_eq!(new.unwrap().status, TicketStatus::Applied);
        assert_eq!(share_of(&left, "a").await, Some(2), "round {round}");
        if let Err(report) = old {
            assert_eq!(*report.current_context(), ErrorKind::TicketStale);
            let problem = report.downcast_ref::<TicketProblem>().unwrap();
            assert_eq!(problem.path, "customers[0]");
            assert!(problem.reason.contains("`a` already carries"), "{problem}");
        }
    }
    standin.close().await;
}

#[actix_rt::test]
async fn lost_acceptance() {
    for fault in [AnswerFault::Gateway, AnswerFault::Closed, AnswerFault::Silent] {
        for lost in 1..=4 {
            let standin = PlatformStandin::bind(StandinSettings::default()).unwrap();
            let acceptor = open_acceptor(&standin);
            standin.set_faults(PlatformFaults {
                lost_answers: lost,
                lost_as: Some(fault),
                ..PlatformFaults::default()
            });
            let ticket = ticket(1, &[("a", 3)]);
            let acceptance = acceptor.accept(&ticket).await.unwrap();
            assert_eq!(acceptance.status, TicketStatus::Applied, "{fault:?} {lost}");
            assert_eq!(share_of(&acceptor, "a").await, Some(3));
            standin.close().await;
        }
    }
}

#[actix_rt::test]
async fn late_acceptance() {
    let standin = PlatformStandin::bind(StandinSettings::default()).unwrap();
    let (delayed, other) = (open_single_attempt_acceptor(&standin), open_acceptor(&standin));
    standin.set_faults(PlatformFaults { held_writes: 1, ..PlatformFaults::default() });
    let unavailable = delayed.accept(&ticket(1, &[("a", 1)])).await.unwrap_err();
    assert_eq!(*unavailable.current_context(), ErrorKind::PlatformUnavailable);
    assert_eq!(standin.held_writes(), 1);
    other.accept(&ticket(2, &[("a", 2)])).await.unwrap();
    assert_eq!(standin.release_writes(), 0, "the delayed write took effect");
    assert_eq!(share_of(&other, "a").await, Some(2));
    let stale = delayed.accept(&ticket(1, &[("a", 1)])).await.unwrap_err();
    assert_eq!(*stale.current_context(), ErrorKind::TicketStale);
    standin.close().await;
}

#[actix_rt::test]
async fn stopped_acceptor() {
    let standin = PlatformStandin::bind(StandinSettings::default()).unwrap();
    let first = ticket(1, &[("a", 1), ("b", 1), ("c", 1)]);
    // The acceptor stops after it has accepted the ticket and made `done` further writes.
    for done in 0..4 {
        let number = TicketNumber(done + 1);
        let mut ticket = first.clone();
        ticket.number = number;
        let stopping = open_single_attempt_acceptor(&standin);
        standin.set_faults(PlatformFaults::default());
        let accept = stopping.accept(&ticket);
        let outage = async {
            let start = standin.counts().effective_writes;
            while standin.counts().effective_writes <= start + done {
                actix_rt::time::sleep(Duration::from_micros(100)).await;
            }
            standin.set_faults(PlatformFaults {
                down: Some(AnswerFault::Gateway),
                ..PlatformFaults::default()
            });
        };
        let (result, ()) = futures_util::join!(accept, outage);
        standin.set_faults(PlatformFaults::default());
        let other = open_acceptor(&standin);
        let next = TicketNumber(done + 100);
        other.accept(&self::ticket(next.0, &[("d", 1)])).await.unwrap();
        assert_eq!(other.status(number).await.unwrap(), TicketStatus::Applied, "{result:?}");
        let acceptance = other.accept(&ticket).await.unwrap();
        assert!(acceptance.repeated, "{result:?}");
        assert_eq!(other.status(number).await.unwrap(), TicketStatus::Applied);
        let catalog = other.catalog().await.unwrap();
        for name in ["a", "b", "c"] {
            let key = DocumentKey::Customer(CustomerId::from_name(name));
            assert_eq!(catalog.document(key).unwrap().number, number.0);
        }
    }
    standin.close().await;
}

#[actix_rt::test]
async fn foreign_owners() {
    let standin = PlatformStandin::bind(StandinSettings::default()).unwrap();
    let acceptor = open_acceptor(&standin);
    let mut first = ticket(1, &[("a", 1)]);
    first.set_service(ServiceRecord {
        name: "asistente".to_owned(),
        kind: ServiceKind::Engine,
        models: vec!["m".to_owned()],
        path_prefix: String::new(),
        target: TargetRecord { place_limit: 1, checks_fencing: false },
    });
    acceptor.accept(&first).await.unwrap();
    let mut second = ChangeTicket::new(TicketNumber(2));
    let mut duplicate = customer("b", 1);
    duplicate.keys = vec![digest_key("a")];
    second.set_customer(duplicate);
    second.set_service(ServiceRecord {
        name: "report".to_owned(),
        kind: ServiceKind::Engine,
        models: vec!["m".to_owned()],
        path_prefix: String::new(),
        target: TargetRecord { place_limit: 1, checks_fencing: false },
    });
    let problems = acceptor.check(&second).await.unwrap();
    let paths: Vec<&str> = problems.iter().map(|problem| problem.path.as_str()).collect();
    assert_eq!(paths, ["customers[0].keys[0]", "services[0].models[0]"]);
    let report = acceptor.accept(&second).await.unwrap_err();
    assert_eq!(*report.current_context(), ErrorKind::TicketInvalid);
    second.remove_customer("a");
    second.remove_service("asistente");
    assert_eq!(acceptor.check(&second).await.unwrap(), []);
    assert_eq!(acceptor.status(TicketNumber(2)).await.unwrap(), TicketStatus::Absent);
    acceptor.accept(&second).await.unwrap();
    assert_eq!(share_of(&acceptor, "a").await, None);
    assert_eq!(share_of(&acceptor, "b").await, Some(1));
    standin.close().await;
}

/// Store in which a rival acceptor accepts a ticket right before the next read under a key prefix.
#[derive(Clone)]
struct RivalStore {
    inner: PlatformClient,
    rival: Rc<TicketAcceptor<PlatformClient>>,
    plan: Rc<RefCell<Option<(String, ChangeTicket)>>>,
}

impl ObjectStore for RivalStore {
    async fn read(&self, key: &str) -> Result<Option<StoredObject>, Report<ErrorKind>> {
        let planned = self.plan.borrow_mut().take_if(|(prefix, _)| key.starts_with(&*prefix));
        if let Some((_, ticket)) = planned {
            self.rival.accept(&ticket).await.unwrap();
        }
        self.inner.read(key).await
    }

    async fn write(
        &self,
        key: &str,
        condition: WriteCondition,
        value: Bytes,
    ) -> Result<ObjectVersion, Report<ErrorKind>> {
        self.inner.write(key, condition, value).await
    }

    async fn list(&self, prefix: &str) -> Result<ObjectListing, Report<ErrorKind>> {
        self.inner.list(prefix).await
    }

    async fn watch(
        &self,
        prefix: &str,
        after: ObjectVersion,
        wait: Duration,
    ) -> Result<ObjectListing, Report<ErrorKind>> {
        self.inner.watch(prefix, after, wait).await
    }

    async fn watch_vms(&self, after: u64, wait: Duration) -> Result<VmListing, Report<ErrorKind>> {
        self.inner.watch_vms(after, wait).await
    }

    fn counts(&self) -> CallCounts {
        self.inner.counts()
    }
}

fn open_rival(standin: &PlatformStandin, prefix: &str, ticket: ChangeTicket) -> RivalStore {
    RivalStore {
        inner: PlatformClient::open(PlatformSettings::new(standin.address())),
        rival: Rc::new(open_acceptor(standin)),
        plan: Rc::new(RefCell::new(Some((prefix.to_owned(), ticket)))),
    }
}

#[actix_rt::test]
async fn paused_check() {
    let standin = PlatformStandin::bind(StandinSettings::default()).unwrap();
    let store = open_rival(&standin, "tickets/", ticket(2, &[("a", 2)]));
    let acceptor = TicketAcceptor::open(store.clone());
    let stale = acceptor.accept(&ticket(1, &[("a", 1)])).await.unwrap_err();
    assert_eq!(*stale.current_context(), ErrorKind::TicketStale);
    assert_eq!(share_of(&store.rival, "a").await, Some(2));
    standin.close().await;
}

#[actix_rt::test]
async fn paused_apply() {
    let standin = PlatformStandin::bind(StandinSettings::default()).unwrap();
    let store = open_rival(&standin, "catalog/customers/", ticket(2, &[("a", 2)]));
    let acceptor = TicketAcceptor::open(store.clone());
    acceptor.accept(&ticket(1, &[("a", 1)])).await.unwrap();
    assert!(store.plan.borrow().is_none());
    assert_eq!(share_of(&open_acceptor(&standin), "a").await, Some(2));
    standin.close().await;
}
