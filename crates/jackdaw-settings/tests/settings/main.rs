//! Settings files and their faults.

mod example_files;
mod settings_faults;
