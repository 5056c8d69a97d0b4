//! Edge router: accepts requests from callers and forwards them directly to targets.
//!
//! A request passes through these modules: [`caller_server`] accepts the connection;
//! [`http_exchange`] reads and admits the request; [`target_send`] sends it to the target that
//! [`jackdaw_policy::direct`] selects, on a connection from the [`target_pool`]; and
//! [`response_relay`] forwards the response. A stream goes on elsewhere only at the software version that
//! began it: `stream_origin` binds requests to it, `stream_exchange` passes it between routers, and
//! `target_identity` confirms it. If a connection to a target breaks, [`crash_check`] finds
//! out whether the target crashed. In the background, [`store_watch`] watches the
//! configuration, the targets and the findings on crashes on a few routers of each failure domain and
//! writes such findings, [`peer_reports`]
//! exchanges load and customer usage with the other routers, and [`peer_snapshot`] copies
//! configuration and targets to routers that do not watch the store or cannot reach it.

mod binding_store;
pub mod body_buffer;
pub mod caller_connections;
pub mod caller_server;
pub mod caller_stream;
pub mod crash_check;
pub mod delivery;
pub mod edge_daemon;
pub mod edge_metrics;
pub mod edge_state;
pub mod event_framer;
mod finding_store;
pub mod http_exchange;
pub mod internal_server;
pub mod local_response;
mod log_text;
pub mod peer_reports;
pub mod peer_snapshot;
mod peer_table;
pub mod read_meter;
mod report_datagram;
pub mod request_body;
pub mod request_context;
pub mod response_relay;
pub mod run_guard;
pub mod settings_file;
pub mod socket_progress;
pub mod store_watch;
mod stream_exchange;
mod stream_head;
mod stream_origin;
mod target_identity;
pub mod target_pool;
pub mod target_send;
mod version_store;
