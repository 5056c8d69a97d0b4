//! Decisions of a router that sends requests to targets itself.

mod common;
mod crash_quarantine;
mod customer_shares;
mod load_reports;
mod prefix_homes;
mod processor_shortage;
mod random_beliefs;
mod repeat_limit;
mod report_relays;
mod route_lookup;
mod target_belief;
mod target_faults;
mod wait_tiers;
mod watch_share;
