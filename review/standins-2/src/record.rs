//! The record of a case.

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// What a case found.
pub enum Verdict {
    Held,
    Broken(String),
}

/// Error that ends a case.
pub type CaseError = Box<dyn std::error::Error>;

/// File of lines with the seconds since the start of the case.
pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Record> {
        Ok(Record { file: Mutex::new(File::create(path)?), start: Instant::now() })
    }

    /// Writes a line with the present time, to the standard output as well.
    pub fn line(&self, text: &str) {
        self.line_at(Instant::now(), text);
        println!("{:8.3} {text}", self.start.elapsed().as_secs_f64());
    }

    /// Writes a line with a time of the past.
    pub fn line_at(&self, at: Instant, text: &str) {
        let seconds = at.saturating_duration_since(self.start).as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{seconds:8.3} {text}");
    }
}
