//! Runs the `jackdaw` program as operators do.

mod change_tickets;
mod check_files;
mod command_line;
mod fleet_keys;
mod operators_page;
mod process_state;
mod program;
mod trace_replay;
