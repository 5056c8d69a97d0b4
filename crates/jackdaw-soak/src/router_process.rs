//! One router as a process of its own.

use std::cell::{Cell, RefCell};
use std::fs::File;
use std::os::unix::process::ExitStatusExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::Duration;

use jackdaw_platform_standins::RouterEndpoints;
use jackdaw_proofs::{ProcessSignal, program_path, signal_process};

/// What a router logs once it serves.
const STARTED_TEXT: &str = "edge router started";

/// Pause between two looks whether a process has ended.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A router that is started again after its end.
pub struct RouterProcess {
    /// Where it listens.
    pub endpoints: RouterEndpoints,
    settings: PathBuf,
    log: PathBuf,
    child: RefCell<Option<Child>>,
    /// The starts so far.
    starts: Cell<u32>,
    /// The length of the log at the last start.
    log_offset: Cell<usize>,
}

impl RouterProcess {
    /// Starts a router with a settings file in a folder.
    ///
    /// # Panics
    ///
    /// Panics where the settings cannot be written or the program cannot be started.
    pub fn spawn(
        endpoints: RouterEndpoints,
        settings: &str,
        directory: &Path,
    ) -> Rc<RouterProcess> {
        let path = directory.join(format!("{}.ini", endpoints.ip));
        std::fs::write(&path, settings).expect("settings can be written");
        let router = Rc::new(RouterProcess {
            endpoints,
            settings: path,
            log: directory.join(format!("{}.log", endpoints.ip)),
            child: RefCell::new(None),
            starts: Cell::new(0),
            log_offset: Cell::new(0),
        });
        router.start();
        router
    }

    /// Starts the process where it does not run.
    ///
    /// # Panics
    ///
    /// Panics where the program cannot be started.
    pub fn start(&self) {
        if self.child.borrow().is_some() {
            return;
        }
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.expect("log can be opened");
        let errors = log.try_clone().expect("log can be opened twice");
        let length = log.metadata().expect("log has a length").len();
        self.log_offset.set(length as usize);
        let child = Command::new(program_path("jackdaw-edge"))
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("the router can be started");
        self.starts.set(self.starts.get() + 1);
        self.child.replace(Some(child));
    }

    /// Returns the starts so far; requests on both sides of a start met different processes.
    pub fn starts(&self) -> u32 {
        self.starts.get()
    }

    /// Sends a signal where the process runs.
    pub fn signal(&self, signal: ProcessSignal) {
        if let Some(child) = self.child.borrow().as_ref() {
            signal_process(child, signal);
        }
    }

    /// Kills the process.
    pub fn kill(&self) {
        if let Some(mut child) = self.child.take() {
            // Both fail only where the process has ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits until a process that was told to end has done so, and returns what is wrong with
    /// its end; nothing is where another fault killed it meanwhile.
    ///
    /// # Panics
    ///
    /// Panics where the process cannot be waited for.
    pub async fn wait_exit(&self) -> Option<String> {
        let start = self.starts();
        loop {
            if self.starts() != start {
                return None;
            }
            let ended = match self.child.borrow_mut().as_mut() {
                Some(child) => child.try_wait().expect("process can be waited for"),
                None => return None,
            };
            if let Some(status) = ended {
                self.child.take();
                // A signal that comes before the process receives any ends it at once.
                let is_early = status.signal().is_some() && !self.has_started();
                let is_failure = !status.success() && !is_early;
                return is_failure.then(|| format!("{} ended with {status}", self.endpoints.ip));
            }
            tokio::time::sleep(EXIT_POLL_INTERVAL).await;
        }
    }

    /// Returns whether the present or last process has said that it serves.
    fn has_started(&self) -> bool {
        let text = std::fs::read_to_string(&self.log).unwrap_or_default();
        text.get(self.log_offset.get()..).is_some_and(|text| text.contains(STARTED_TEXT))
    }

    /// Returns lines of the log that tell of a fault of the program itself.
    pub fn panic_lines(&self) -> Vec<String> {
        let text = std::fs::read_to_string(&self.log).unwrap_or_default();
        text.lines().filter(|line| line.contains("panicked")).map(str::to_owned).collect()
    }
}

impl Drop for RouterProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
