//! Edge router: takes callers' requests and sends them to targets itself.
//!
//! Stages of a request: [`caller_server`] takes the connection; [`http_exchange`] reads the request,
//! asks [`jackdaw_policy::direct`] where it goes; [`target_send`] sends it on a connection of the
//! [`target_pool`]; [`response_relay`] passes the answer on. Beside them [`store_watch`]
//! follows configuration and targets in a few routers of each failure domain, [`peer_reports`]
//! exchanges load and shares with the other routers, and [`peer_snapshot`] brings what they know
//! to routers that do not watch or cannot.

pub mod caller_connections;
pub mod caller_server;
pub mod caller_stream;
pub mod edge_daemon;
pub mod edge_metrics;
pub mod edge_state;
pub mod event_framer;
pub mod http_exchange;
pub mod internal_server;
pub mod local_response;
pub mod peer_reports;
pub mod peer_snapshot;
mod peer_table;
pub mod request_context;
pub mod response_relay;
pub mod run_guard;
pub mod settings_file;
pub mod store_watch;
pub mod target_pool;
pub mod target_send;
