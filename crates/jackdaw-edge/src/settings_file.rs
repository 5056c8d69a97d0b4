//! Reloading of the settings file while the router runs.

use std::path::{Path, PathBuf};
use std::time::SystemTime;

use error_stack::Report;
use jackdaw_base::{ErrorKind, describe_report};
use jackdaw_settings::EdgeSettings;

use crate::edge_state::EdgeState;

/// A settings file and its stamp at the time of the last read.
#[derive(Debug)]
pub struct SettingsFile {
    path: PathBuf,
    /// Memory that the command line states, in megabytes; empty if it states none.
    memory: String,
    /// Whether the command line states that no router has run before; empty if it does not say.
    first_start: String,
    stamp: Option<FileStamp>,
}

/// Detects changes of a file: the modification time and the length in bytes.
type FileStamp = (SystemTime, u64);

impl SettingsFile {
    /// Creates a handle that treats the current content of the file as already loaded.
    pub fn open(path: &Path) -> SettingsFile {
        let (memory, first_start) = (String::new(), String::new());
        SettingsFile { path: path.to_owned(), memory, first_start, stamp: read_stamp(path) }
    }

    /// Makes the memory on the command line, in megabytes, go before that in the file.
    pub fn with_memory(self, memory: &str) -> SettingsFile {
        SettingsFile { memory: memory.to_owned(), ..self }
    }

    /// Adds what the command line states about earlier runs of the deployment's routers.
    pub fn with_first_start(self, first_start: &str) -> SettingsFile {
        SettingsFile { first_start: first_start.to_owned(), ..self }
    }

    /// Reads the settings.
    ///
    /// # Errors
    ///
    /// Those of [`EdgeSettings::open`], and `SettingsInvalid` if the command line states no valid values.
    pub fn read(&self) -> Result<EdgeSettings, Report<ErrorKind>> {
        let mut settings = EdgeSettings::open(&self.path)?;
        settings.override_memory(&self.memory)?;
        settings.override_first_start(&self.first_start)?;
        Ok(settings)
    }

    /// Reloads the file if it changed since the last read.
    pub fn reload_if_changed(&mut self, state: &EdgeState) {
        // A file without metadata, such as one that is being replaced, is checked again later.
        if read_stamp(&self.path).is_some_and(|stamp| Some(stamp) != self.stamp) {
            self.reload(state);
        }
    }

    /// Reads and applies the file. If it is invalid, the current settings stay in effect.
    pub fn reload(&mut self, state: &EdgeState) {
        self.stamp = read_stamp(&self.path);
        match self.read() {
            Ok(settings) => {
                let fixed = state.reload(settings).join(", ");
                log::info!(until_restart:% = fixed; "settings reloaded");
            }
            Err(report) => {
                let error = describe_report(&report);
                log::error!(error:% = error; "failed to read settings; keeping the current ones");
            }
        }
    }
}

fn read_stamp(path: &Path) -> Option<FileStamp> {
    let metadata = path.metadata().ok()?;
    Some((metadata.modified().ok()?, metadata.len()))
}
