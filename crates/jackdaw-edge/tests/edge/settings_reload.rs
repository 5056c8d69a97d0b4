//! Reloading of settings while the router runs.

use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, SystemTime};

use jackdaw_edge::edge_state::EdgeState;
use jackdaw_edge::settings_file::SettingsFile;
use jackdaw_settings::EdgeSettings;

const TEXT: &str = "\
[process]
name = r-1
domain = a
[listen]
callers = 127.0.0.1:7410
readiness = 127.0.0.1:7411
peers = 127.0.0.1:7412
[store]
address = 127.0.0.1:7413
[limits]
shutdown_grace_s = 4
";

/// A router's state and its settings file, which is in its own temporary directory.
struct ReloadCase {
    _directory: tempfile::TempDir,
    path: PathBuf,
    file: SettingsFile,
    state: Rc<EdgeState>,
    writes: u64,
}

impl ReloadCase {
    fn open() -> ReloadCase {
        let directory = tempfile::tempdir().expect("a directory");
        let path = directory.path().join("edge.ini");
        std::fs::write(&path, TEXT).expect("a file");
        let state = EdgeState::new(EdgeSettings::open(&path).expect("settings"));
        let file = SettingsFile::open(&path);
        ReloadCase { _directory: directory, path, file, state, writes: 0 }
    }

    fn write(&mut self, text: &str) {
        std::fs::write(&self.path, text).expect("a file");
        // Writes within the granularity of file timestamps must still be detected.
        self.writes += 1;
        let time = SystemTime::now() + Duration::from_secs(self.writes);
        let file = std::fs::File::options().write(true).open(&self.path).expect("a file");
        file.set_modified(time).expect("a time");
    }
}

#[test]
fn changed_file_is_applied() {
    let mut case = ReloadCase::open();
    case.file.reload_if_changed(&case.state);
    assert_eq!(case.state.settings().shutdown_grace, Duration::from_secs(4));
    case.write(&TEXT.replace("shutdown_grace_s = 4", "shutdown_grace_s = 9"));
    case.file.reload_if_changed(&case.state);
    assert_eq!(case.state.settings().shutdown_grace, Duration::from_secs(9));
}

#[test]
fn invalid_or_missing_file_keeps_the_settings() {
    let mut case = ReloadCase::open();
    let before = case.state.settings();
    case.write(&TEXT.replace("127.0.0.1:7413", "nowhere"));
    case.file.reload(&case.state);
    assert_eq!(case.state.settings(), before);
    std::fs::remove_file(&case.path).expect("the file");
    case.file.reload_if_changed(&case.state);
    case.file.reload(&case.state);
    assert_eq!(case.state.settings(), before);
    case.write(&TEXT.replace("shutdown_grace_s = 4", "shutdown_grace_s = 7"));
    case.file.reload_if_changed(&case.state);
    assert_eq!(case.state.settings().shutdown_grace, Duration::from_secs(7));
}

/// A reload does not change the listen addresses, the name and the domain of a running process.
#[test]
fn fixed_settings_survive_a_reload() {
    let case = ReloadCase::open();
    let text = TEXT
        .replace("127.0.0.1:7410", "127.0.0.1:7510")
        .replace("domain = a", "domain = b")
        .replace("127.0.0.1:7413", "127.0.0.1:7513");
    let changed = EdgeSettings::parse("test", &text).expect("settings");
    let fixed = case.state.reload(changed);
    assert_eq!(fixed, ["process.domain", "listen.callers"]);
    let settings = case.state.settings();
    assert_eq!(settings.domain, "a");
    assert_eq!(settings.caller_address.port(), 7410);
    assert_eq!(settings.store_address.port(), 7513);
}

/// A router that follows no evacuations must not start to wait for them.
#[test]
fn evacuations_are_switched_on_at_a_start_only() {
    let mut case = ReloadCase::open();
    let before = case.state.router().is_ready();
    case.write(&format!(
        "{TEXT}[domains]\nevacuation_ms = 5000\nregions = a:north\n[cold]\nrate_factor = 2\n"
    ));
    case.file.reload_if_changed(&case.state);
    let settings = case.state.settings();
    assert_eq!(settings.evacuation_time, None);
    assert_eq!(settings.regions, [("a".to_owned(), "north".to_owned())]);
    assert!((settings.cold_factor - 2.0).abs() < 1e-9);
    assert_eq!(case.state.router().is_ready(), before);
}

/// The platform states the memory on the command line, which a changed file must not undo.
#[test]
fn memory_of_the_command_line_outlasts_a_reload() {
    let mut case = ReloadCase::open();
    case.file = SettingsFile::open(&case.path).with_memory("96");
    case.write(&TEXT.replace("shutdown_grace_s = 4", "shutdown_grace_s = 4\nmemory_mb = 400"));
    case.file.reload_if_changed(&case.state);
    assert_eq!(case.state.settings().memory_bytes, 96 * 1024 * 1024);
}
