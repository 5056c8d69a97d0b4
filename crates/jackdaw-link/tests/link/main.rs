//! Links between processes over loopback sockets.

mod common;
mod control_stream;
mod fleet_keys;
mod message_codec;
mod peer_refusal;
mod peer_version;
mod protocol_violation;
mod raw_peer;
mod run_stream;
mod silent_link;
