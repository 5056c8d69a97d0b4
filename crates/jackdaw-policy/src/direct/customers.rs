//! What is known of the customers: what they asked for and got, and who returns after a refusal.
//!
//! Fed by arriving requests, by runs and by other routers' reports. Never reads the state of targets.

pub mod customer_ledger;
pub mod refusal_tracker;
