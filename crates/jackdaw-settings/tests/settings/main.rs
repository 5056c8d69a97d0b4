//! Settings files and their faults.

mod example_files;
mod garbled_text;
mod settings_faults;
