//! Tests of links between endpoints on loopback sockets.

mod common;
mod control_stream;
mod fleet_authority;
mod message_codec;
mod peer_refusal;
mod peer_version;
mod protocol_violation;
mod raw_peer;
mod run_stream;
mod silent_link;
