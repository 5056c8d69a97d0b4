//! The record of a case: one line for each thing that was sent, answered, run or signalled.

use std::cell::RefCell;
use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::rc::Rc;
use std::time::Instant;

/// Exit status of a case whose rule was kept.
pub const HELD: i32 = 0;
/// Exit status of a case whose rule was broken.
pub const BROKEN: i32 = 1;
/// Exit status of a case that could not run.
pub const COULD_NOT_RUN: i32 = 2;

/// Writes `record.txt` and the same lines to standard output.
#[derive(Clone)]
pub struct Record {
    file: Rc<RefCell<File>>,
    start: Instant,
}

impl Record {
    pub fn create(folder: &Path) -> std::io::Result<Record> {
        let file = File::create(folder.join("record.txt"))?;
        Ok(Record { file: Rc::new(RefCell::new(file)), start: Instant::now() })
    }

    pub fn add(&self, text: &str) {
        let line = format!("{:8.3} s  {text}\n", self.start.elapsed().as_secs_f64());
        print!("{line}");
        // A record that cannot be written does not change the result.
        let _ = self.file.borrow_mut().write_all(line.as_bytes());
    }
}

/// Returns whether the disruption is left out.
pub fn is_calm() -> bool {
    std::env::var("TROUBLE").is_ok_and(|value| value == "0")
}
