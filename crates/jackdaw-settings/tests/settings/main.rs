//! Tests of reading settings files and reporting their errors.

mod example_files;
mod garbled_text;
mod settings_errors;
