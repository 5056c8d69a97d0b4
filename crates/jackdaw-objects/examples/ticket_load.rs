//! Counts the platform calls that tickets and feeds cause.
//!
//! `ticket_load` prints a Markdown table with one line per number of feeds and tickets.

use std::time::Duration;

use error_stack::{Report, ResultExt};
use jackdaw_base::{CustomerRecord, CustomerShare, ErrorKind, TicketNumber};
use jackdaw_objects::{
    CatalogFeed, CatalogUpdate, ChangeTicket, FeedSettings, PlatformClient, PlatformSettings,
    TicketAcceptor, digest_key,
};
use jackdaw_standin::{PlatformStandin, StandinSettings};

/// Numbers of feeds to measure.
const FEEDS: [usize; 3] = [1, 4, 16];
/// Numbers of tickets to measure.
const TICKETS: [u64; 3] = [4, 16, 64];
/// The time between two tickets.
const TICKET_INTERVAL: Duration = Duration::from_millis(50);

fn main() -> Result<(), Report<ErrorKind>> {
    println!(
        "| feeds | tickets | writes per ticket | reads per ticket | listings per ticket | \
              watches per ticket |"
    );
    println!("|---|---|---|---|---|---|");
    actix_rt::System::new().block_on(async {
        for feeds in FEEDS {
            for tickets in TICKETS {
                measure(feeds, tickets).await?;
            }
        }
        Ok(())
    })
}

/// Submits tickets of one customer each while feeds follow them, and prints the calls per ticket.
async fn measure(feeds: usize, tickets: u64) -> Result<(), Report<ErrorKind>> {
    let standin = PlatformStandin::bind(StandinSettings::default())?;
    let mut followers: Vec<CatalogFeed> = (0..feeds).map(|_| spawn_feed(&standin)).collect();
    let acceptor = TicketAcceptor::open(open_client(&standin));
    acceptor.accept(&ticket(1)).await?;
    for follower in &mut followers {
        wait_for_number(follower, 1).await;
    }
    actix_rt::time::sleep(TICKET_INTERVAL).await;
    let before = standin.counts();
    let last = 1 + tickets;
    let waits: Vec<_> = followers
        .into_iter()
        .map(|mut follower| {
            actix_rt::spawn(async move {
                wait_for_number(&mut follower, last).await;
                follower
            })
        })
        .collect();
    for number in 2..=last {
        acceptor.accept(&ticket(number)).await?;
        actix_rt::time::sleep(TICKET_INTERVAL).await;
    }
    let mut followers = Vec::new();
    for wait in waits {
        followers.push(wait.await.change_context(ErrorKind::InvariantViolated)?);
    }
    let after = standin.counts();
    let per_ticket = |count: u64| count as f64 / tickets as f64;
    println!(
        "| {feeds} | {tickets} | {:.2} | {:.2} | {:.2} | {:.2} |",
        per_ticket(after.writes - before.writes),
        per_ticket(after.reads - before.reads),
        per_ticket(after.lists - before.lists),
        per_ticket(after.watches - before.watches),
    );
    for follower in followers {
        follower.close().await;
    }
    standin.close().await;
    Ok(())
}

fn open_client(standin: &PlatformStandin) -> PlatformClient {
    let mut settings = PlatformSettings::new(standin.address());
    settings.governor.calls_per_second = 1000;
    settings.governor.burst = 1000;
    PlatformClient::open(settings)
}

fn spawn_feed(standin: &PlatformStandin) -> CatalogFeed {
    CatalogFeed::spawn(open_client(standin), FeedSettings::default())
}

fn ticket(number: u64) -> ChangeTicket {
    let name = format!("customer-{number}");
    let mut ticket = ChangeTicket::new(TicketNumber(number));
    ticket.set_customer(CustomerRecord {
        keys: vec![digest_key(&name)],
        name,
        share: CustomerShare(1),
        queue_limit: 1,
    });
    ticket
}

/// Receives updates until one contains a document of the ticket.
async fn wait_for_number(feed: &mut CatalogFeed, number: u64) {
    while let Some(update) = feed.next().await {
        if let CatalogUpdate::Documents(documents) = update
            && documents.iter().any(|document| document.number == number)
        {
            return;
        }
    }
}
