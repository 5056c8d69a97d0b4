//! The settings file of a running router, which may change.

use std::path::{Path, PathBuf};
use std::time::SystemTime;

use jackdaw_base::describe_report;
use jackdaw_settings::EdgeSettings;

use crate::edge_state::EdgeState;

/// A settings file with what it was like when it was read last.
#[derive(Debug)]
pub struct SettingsFile {
    path: PathBuf,
    stamp: Option<FileStamp>,
}

/// What tells versions of a file apart: the time of its last change and its length.
type FileStamp = (SystemTime, u64);

impl SettingsFile {
    /// Takes the present state of a file as read.
    pub fn open(path: &Path) -> SettingsFile {
        SettingsFile { path: path.to_owned(), stamp: read_stamp(path) }
    }

    /// Reads the file again where it has changed since.
    pub fn reload_if_changed(&mut self, state: &EdgeState) {
        // A file that cannot be looked at, such as one being replaced, is looked at later.
        if read_stamp(&self.path).is_some_and(|stamp| Some(stamp) != self.stamp) {
            self.reload(state);
        }
    }

    /// Reads the file and puts it in force; one with faults changes nothing.
    pub fn reload(&mut self, state: &EdgeState) {
        self.stamp = read_stamp(&self.path);
        match EdgeSettings::open(&self.path) {
            Ok(settings) => {
                let fixed = state.reload(settings).join(", ");
                log::info!(until_restart:% = fixed; "settings reloaded");
            }
            Err(report) => {
                let error = describe_report(&report);
                log::error!(error:% = error; "settings cannot be read, those in force stay");
            }
        }
    }
}

fn read_stamp(path: &Path) -> Option<FileStamp> {
    let data = path.metadata().ok()?;
    Some((data.modified().ok()?, data.len()))
}
