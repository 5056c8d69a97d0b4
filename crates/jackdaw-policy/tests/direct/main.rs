//! Tests of a router that sends requests directly to targets.

mod common;
mod crash_ledger;
mod crash_quarantine;
mod customer_shares;
mod fleet_retry_budget;
mod load_reports;
mod overload_detector;
mod peer_discovery;
mod prefill_bursts;
mod prefix_affinity;
mod random_updates;
mod report_relays;
mod route_lookup;
mod staged_placement;
mod store_restores;
mod stored_findings;
mod stream_lookups;
mod stream_versions;
mod target_faults;
mod target_limits;
mod target_pauses;
mod target_table;
mod wait_tiers;
mod watch_election;
mod watch_takeover;
