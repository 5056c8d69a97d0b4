//! Finds other routers through the platform's store if the seeds in the settings are gone.
//!
//! The routers that watch the store read the list of contacts there from time to time, and more often
//! while they hear no other router. They report to contacts that they do not hear, which introduces
//! them, and add themselves to a list with too few contacts.

use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;

use error_stack::Report;
use jackdaw_base::{ErrorKind, describe_report};
use jackdaw_platform::{ListingAge, StoreClient};
use jackdaw_policy::direct::{plan_contacts, unheard_contacts};
use tokio::time::Instant;

use crate::log_text::format_names;
use crate::peer_reports::ReportExchange;
use crate::report_datagram::ReportDatagram;

/// Longest time between two reads of the list. A read that may be stale costs a tenth of a call.
const READ_PERIOD: Duration = Duration::from_secs(5);

/// As [`READ_PERIOD`], for a router that hears no other one. Each second in which routers do not know each
/// other, streams of the others' callers can't go on.
const ISOLATED_READ_PERIOD: Duration = Duration::from_secs(1);

/// Reads and keeps the list while this router is assigned to watch the store.
pub(super) async fn exchange_contacts(exchange: Rc<ReportExchange>) {
    let state = &exchange.state;
    let mut client = StoreClient::new(state.settings().store_address);
    let mut failures = 0_u32;
    let mut next_read = Instant::now() + spread(READ_PERIOD);
    loop {
        tokio::time::sleep(spread(ISOLATED_READ_PERIOD)).await;
        state.wait_store_watch().await;
        // A router that has just started hears the others by now, if its seeds are there.
        if !exchange.heard().is_empty() && Instant::now() < next_read {
            continue;
        }
        next_read = Instant::now() + spread(READ_PERIOD);
        if client.address() != state.settings().store_address {
            client = StoreClient::new(state.settings().store_address);
        }
        client.raise_era(state.router().targets.era());
        let calls = client.call_count();
        let outcome = exchange.review_contacts(&mut client).await;
        state.metrics.store_calls.inc_by(client.call_count() - calls);
        failures = match outcome {
            Ok(()) => 0,
            Err(report) => {
                if failures.is_multiple_of(10) {
                    log::warn!(failures, error:% = describe_report(&report); "failed to exchange router contacts with the store");
                }
                failures + 1
            }
        };
    }
}

/// Returns 50 to 100 % of a period, so that routers that start together do not all read and write at once.
fn spread(period: Duration) -> Duration {
    period.mul_f64(rand::random_range(0.5..=1.0))
}

impl ReportExchange {
    /// Reads the list, reports to contacts that are not heard and changes the list if it has to.
    async fn review_contacts(&self, client: &mut StoreClient) -> Result<(), Report<ErrorKind>> {
        let stored = client.read_contacts(ListingAge::MayBeStale).await?;
        let (own, heard) = (self.state.settings().ip(), self.heard());
        let unheard = unheard_contacts(&stored.contacts, own, &heard);
        if !unheard.is_empty() {
            log::info!(contacts = format_addresses(&unheard), heard = heard.len(); "reporting to routers that the store names");
            self.state.metrics.contacts_greeted.inc_by(unheard.len() as u64);
            self.greet(&unheard);
        }
        let Some(contacts) = plan_contacts(&stored.contacts, own, &heard) else {
            return Ok(());
        };
        let is_written = client.write_contacts(&contacts, &stored).await?;
        log::info!(
            contacts = format_addresses(&contacts), heard = heard.len(), is_written;
            "adding this router to those that the store names"
        );
        Ok(())
    }

    /// Returns the routers that report to this one.
    fn heard(&self) -> Vec<Ipv4Addr> {
        self.peers.borrow().reporting()
    }

    /// Reports to routers that may not know this one.
    fn greet(&self, contacts: &[Ipv4Addr]) {
        let (own, details) = self.own_report();
        let incarnation = own.report.incarnation;
        let datagram = ReportDatagram { reports: vec![own], known: Vec::new(), is_bundle: false };
        self.send(contacts, &datagram, vec![(incarnation, details)]);
    }
}

fn format_addresses(addresses: &[Ipv4Addr]) -> String {
    let names: Vec<String> = addresses.iter().map(Ipv4Addr::to_string).collect();
    format_names(&names)
}
