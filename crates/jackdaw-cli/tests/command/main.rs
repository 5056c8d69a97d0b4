//! The `jackdaw` program as operators call it.

mod check_files;
mod command_line;
mod fleet_keys;
mod operators_page;
mod process_state;
mod program;
mod ticket_desk;
mod trace_replay;
