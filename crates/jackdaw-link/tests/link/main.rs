//! Links between processes over loopback sockets.

mod common;
mod control_stream;
mod run_stream;
