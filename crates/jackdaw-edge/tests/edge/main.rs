//! Tests of single components of the edge router.

mod body_buffer;
mod caller_stream;
mod command_line;
mod connection_limit;
mod event_bounds;
mod mixed_builds;
mod settings_reload;
mod support;
