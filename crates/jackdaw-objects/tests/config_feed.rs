//! A feed delivers every accepted document, even after outages and stopped acceptors.

use std::time::Duration;

use jackdaw_base::{
    CustomerId, CustomerRecord, CustomerShare, DomainId, TicketNumber, VmRecord, VmState,
};
use jackdaw_objects::{
    CatalogFeed, CatalogUpdate, ChangeTicket, ConfigCatalog, FeedSettings, ObjectStore,
    PlatformClient, PlatformSettings, TicketAcceptor, TicketStatus, VmListing, WriteCondition,
    digest_key,
};
use jackdaw_standin::{AnswerFault, PlatformFaults, PlatformStandin, StandinSettings};

fn open_client(standin: &PlatformStandin) -> PlatformClient {
    let mut settings = PlatformSettings::new(standin.address());
    settings.governor.attempt_timeout = Duration::from_millis(200);
    settings.governor.max_open_time = Duration::from_millis(50);
    PlatformClient::open(settings)
}

fn spawn_feed(standin: &PlatformStandin) -> CatalogFeed {
    let settings = FeedSettings {
        apply_delay: Duration::from_millis(20),
        max_backoff: Duration::from_millis(50),
        ..FeedSettings::default()
    };
    CatalogFeed::spawn(open_client(standin), settings)
}

fn ticket(number: u64, share: u32) -> ChangeTicket {
    let mut ticket = ChangeTicket::new(TicketNumber(number));
    ticket.set_customer(CustomerRecord {
        name: "a".to_owned(),
        share: CustomerShare(share),
        keys: vec![digest_key("a")],
        queue_limit: 1,
    });
    ticket
}

/// Merges updates until the customer has the given share.
async fn wait_for_share(feed: &mut CatalogFeed, catalog: &mut ConfigCatalog, share: u32) {
    let id = CustomerId::from_name("a");
    while catalog.customer(id).map(|record| record.share.0) != Some(share) {
        match feed.next().await.expect("the feed ended") {
            CatalogUpdate::Documents(documents) => {
                catalog.merge(documents);
            }
            CatalogUpdate::Vms(listing) => {
                catalog.merge_vms(&listing);
            }
        }
    }
}

#[actix_rt::test]
async fn outage_passes() {
    let standin = PlatformStandin::bind(StandinSettings::default()).unwrap();
    let acceptor = TicketAcceptor::open(open_client(&standin));
    let mut catalog = ConfigCatalog::new();
    let mut feed = spawn_feed(&standin);
    acceptor.accept(&ticket(1, 1)).await.unwrap();
    wait_for_share(&mut feed, &mut catalog, 1).await;
    let outage = PlatformFaults { down: Some(AnswerFault::Closed), ..PlatformFaults::default() };
    standin.set_faults(outage);
    let calls_before = standin.counts().calls();
    while standin.counts().calls() < calls_before + 5 {
        actix_rt::time::sleep(Duration::from_millis(1)).await;
    }
    standin.set_faults(PlatformFaults::default());
    let acceptor = TicketAcceptor::open(open_client(&standin));
    acceptor.accept(&ticket(2, 2)).await.unwrap();
    wait_for_share(&mut feed, &mut catalog, 2).await;
    feed.close().await;
    standin.close().await;
}

#[actix_rt::test]
async fn pending_ticket() {
    let standin = PlatformStandin::bind(StandinSettings::default()).unwrap();
    let mut settings = PlatformSettings::new(standin.address());
    settings.max_attempts = 1;
    let acceptor = TicketAcceptor::open(PlatformClient::open(settings));
    let ticket = ticket(1, 4);
    let outage = async {
        while standin.counts().effective_writes == 0 {
            actix_rt::time::sleep(Duration::from_micros(100)).await;
        }
        let down = Some(AnswerFault::Gateway);
        standin.set_faults(PlatformFaults { down, ..PlatformFaults::default() });
    };
    let _ = futures_util::join!(acceptor.accept(&ticket), outage);
    standin.set_faults(PlatformFaults::default());
    let mut catalog = ConfigCatalog::new();
    let mut feed = spawn_feed(&standin);
    wait_for_share(&mut feed, &mut catalog, 4).await;
    let other = TicketAcceptor::open(open_client(&standin));
    while other.status(TicketNumber(1)).await.unwrap() != TicketStatus::Applied {
        actix_rt::time::sleep(Duration::from_millis(5)).await;
    }
    feed.close().await;
    standin.close().await;
}

/// An object beside the shards was read as a shard, and one that is none stopped the feed for good.
#[actix_rt::test]
async fn foreign_objects() {
    let standin = PlatformStandin::bind(StandinSettings::default()).unwrap();
    let writer = open_client(&standin);
    let objects = [
        ("catalog/a", "{\"documents\":"),
        ("catalog/customers/64", "\u{1}"),
        ("catalog/customers/007", "[]"),
        ("catalog/customers/", "7"),
        ("catalog/servicesx", "{\"documents\":7}"),
    ];
    for (key, value) in objects {
        writer.write(key, WriteCondition::Absent, value.into()).await.unwrap();
    }
    let acceptor = TicketAcceptor::open(open_client(&standin));
    acceptor.accept(&ticket(1, 3)).await.unwrap();
    let mut feed = spawn_feed(&standin);
    let mut catalog = ConfigCatalog::new();
    wait_for_share(&mut feed, &mut catalog, 3).await;
    feed.close().await;
    standin.close().await;
}

/// One entry that cannot be read hid all other VMs.
#[test]
fn odd_vms() {
    let vm = VmRecord {
        name: "vm-1".to_owned(),
        domain: DomainId::from_name("ba-a"),
        link_address: ([127, 0, 0, 1], 1).into(),
        service: None,
        state: VmState::Live,
    };
    let text = serde_json::to_string(&vm).unwrap();
    let nested = "[".repeat(100_000) + &"]".repeat(100_000);
    for odd in
        ["7", "{}", "1e400", "\"\\ud800\"", &nested, &text.replace("vm-1\"", "vm-1\",\"name\":7")]
    {
        let listing = format!("{{\"version\":3,\"vms\":[{odd},{text},{odd}]}}");
        let listing: VmListing = serde_json::from_str(&listing).unwrap();
        assert_eq!((listing.version, listing.vms), (3, vec![vm.clone()]), "{odd:.20}");
    }
}

#[actix_rt::test]
async fn vm_changes() {
    let lag = Duration::from_millis(50);
    let settings = StandinSettings { vm_lag: lag, ..StandinSettings::default() };
    let standin = PlatformStandin::bind(settings).unwrap();
    let mut feed = spawn_feed(&standin);
    let mut vm = VmRecord {
        name: "vm-1".to_owned(),
        domain: DomainId::from_name("ba-a"),
        link_address: ([127, 0, 0, 1], 1).into(),
        service: None,
        state: VmState::Live,
    };
    for state in [VmState::Live, VmState::Leaving] {
        vm.state = state;
        standin.set_vms(vec![vm.clone()]);
        loop {
            if let Some(CatalogUpdate::Vms(listing)) = feed.next().await
                && listing.vms == [vm.clone()]
            {
                break;
            }
        }
    }
    feed.close().await;
    standin.close().await;
}
