//! Addresses of a few routers in the platform's store, through which routers find each other if the
//! seeds in their settings are gone.
//!
//! The list is kept by whoever reads it: a router that finds too few contacts it hears adds itself.
//! Contacts that it does not hear stay while there is room, since they may belong to a part of the fleet
//! that does not know this one yet.

use std::net::Ipv4Addr;

/// Maximum number of contacts in the list.
pub const MAX_CONTACTS: usize = 8;

/// Number of contacts known to run at which the list is left alone; with three, one is left if two
/// routers fail, which each deployment has to bear.
const SUFFICIENT_CONTACTS: usize = 3;

/// Returns the contacts that the store is to hold in place of `stored`; `None` if it need not change.
/// `heard` are the routers that report to this one.
pub fn plan_contacts(
    stored: &[Ipv4Addr],
    own: Ipv4Addr,
    heard: &[Ipv4Addr],
) -> Option<Vec<Ipv4Addr>> {
    let (running, unheard): (Vec<Ipv4Addr>, Vec<Ipv4Addr>) =
        stored.iter().partition(|contact| heard.contains(contact));
    if stored.contains(&own) || running.len() >= SUFFICIENT_CONTACTS {
        return None;
    }
    let mut contacts = vec![own];
    contacts.extend(running);
    contacts.extend(unheard);
    contacts.truncate(MAX_CONTACTS);
    Some(contacts)
}

/// Returns the contacts to report to: those that this router does not hear.
pub fn unheard_contacts(stored: &[Ipv4Addr], own: Ipv4Addr, heard: &[Ipv4Addr]) -> Vec<Ipv4Addr> {
    let unheard = stored.iter().filter(|contact| **contact != own && !heard.contains(contact));
    unheard.take(MAX_CONTACTS).copied().collect()
}
