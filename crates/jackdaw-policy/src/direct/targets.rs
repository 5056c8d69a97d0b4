//! What is known of the targets: registration, health, speed, load, limits and cached prompt
//! parts.
//!
//! Fed by entries of the store, by responses to this router's runs, and by other routers' reports.
//! Never reads routes, and of customers only the tier of their share.

pub mod cold_shares;
pub mod cold_targets;
pub mod evacuation_table;
pub mod load_table;
pub mod mean_wait;
pub mod prefill_window;
pub mod prefix_map;
pub mod software_version;
pub mod target_health;
pub mod target_limits;
pub mod target_speed;
pub mod target_table;
pub mod version_gate;
pub mod version_history;
