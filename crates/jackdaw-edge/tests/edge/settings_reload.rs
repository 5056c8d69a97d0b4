//! Settings that change while the router runs.

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

/// A router's state with its settings file, the file in a folder of its own.
struct ReloadCase {
    _folder: tempfile::TempDir,
    path: PathBuf,
    file: SettingsFile,
    state: Rc<EdgeState>,
    writes: u64,
}

impl ReloadCase {
    fn open() -> ReloadCase {
        let folder = tempfile::tempdir().expect("a folder");
        let path = folder.path().join("edge.ini");
        std::fs::write(&path, TEXT).expect("a file");
        let state = EdgeState::new(EdgeSettings::open(&path).expect("settings"));
        let file = SettingsFile::open(&path);
        ReloadCase { _folder: folder, path, file, state, writes: 0 }
    }

    fn write(&mut self, text: &str) {
        std::fs::write(&self.path, text).expect("a file");
        // Writes within one tick of the file system's clock still differ.
        self.writes += 1;
        let time = SystemTime::now() + Duration::from_secs(self.writes);
        let file = std::fs::File::options().write(true).open(&self.path).expect("a file");
        file.set_modified(time).expect("a time");
    }
}

#[test]
fn changed_file_is_put_in_force() {
    let mut case = ReloadCase::open();
    case.file.reload_if_changed(&case.state);
    assert_eq!(case.state.settings().shutdown_grace, Duration::from_secs(4));
    case.write(&TEXT.replace("shutdown_grace_s = 4", "shutdown_grace_s = 9"));
    case.file.reload_if_changed(&case.state);
    assert_eq!(case.state.settings().shutdown_grace, Duration::from_secs(9));
}

#[test]
fn faulty_or_missing_file_changes_nothing() {
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

/// Addresses, name and domain stay those of the running process.
#[test]
fn what_a_process_cannot_change_stays() {
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
