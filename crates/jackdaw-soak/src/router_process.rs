//! Router process under test.

use std::cell::{Cell, RefCell};
use std::fs::File;
use std::os::unix::process::ExitStatusExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::Duration;

use jackdaw_platform_standins::RouterEndpoints;
use jackdaw_proofs::{ProcessSignal, program_path, signal_process};

/// Text that a router logs when it starts to serve.
const STARTED_TEXT: &str = "edge router started";

/// Interval at which the exit of a process is polled.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Router process that can be restarted.
pub struct RouterProcess {
    /// Addresses on which the router listens.
    pub endpoints: RouterEndpoints,
    settings: PathBuf,
    /// Further arguments of the program.
    args: Vec<String>,
    log: PathBuf,
    child: RefCell<Option<Child>>,
    /// Number of starts so far.
    starts: Cell<u32>,
    /// Length of the log in bytes at the last start.
    log_offset: Cell<usize>,
}

impl RouterProcess {
    /// Starts a router whose settings and log are written to a directory.
    ///
    /// # Panics
    ///
    /// Panics if the settings cannot be written or the program cannot be started.
    pub fn spawn(
        endpoints: RouterEndpoints,
        settings: &str,
        directory: &Path,
    ) -> Rc<RouterProcess> {
        RouterProcess::spawn_with(endpoints, settings, &[], directory)
    }

    /// As [`RouterProcess::spawn`], with further arguments of the program.
    ///
    /// # Panics
    ///
    /// As [`RouterProcess::spawn`].
    pub fn spawn_with(
        endpoints: RouterEndpoints,
        settings: &str,
        args: &[&str],
        directory: &Path,
    ) -> Rc<RouterProcess> {
        let path = directory.join(format!("{}.ini", endpoints.ip));
        std::fs::write(&path, settings).expect("settings can be written");
        let router = Rc::new(RouterProcess {
            endpoints,
            settings: path,
            args: args.iter().map(|arg| (*arg).to_owned()).collect(),
            log: directory.join(format!("{}.log", endpoints.ip)),
            child: RefCell::new(None),
            starts: Cell::new(0),
            log_offset: Cell::new(0),
        });
        router.start();
        router
    }

    /// Starts the process unless it is running.
    ///
    /// # Panics
    ///
    /// Panics if the program cannot be started.
    pub fn start(&self) {
        if self.child.borrow().is_some() {
            return;
        }
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.expect("log can be opened");
        let errors = log.try_clone().expect("log handle can be cloned");
        let length = log.metadata().expect("log has a length").len();
        self.log_offset.set(length as usize);
        let child = Command::new(program_path("jackdaw-edge"))
            .arg("--settings")
            .arg(&self.settings)
            .args(&self.args)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("router can be started");
        self.starts.set(self.starts.get() + 1);
        self.child.replace(Some(child));
    }

    /// Returns the number of starts so far, which identifies the current process.
    pub fn starts(&self) -> u32 {
        self.starts.get()
    }

    /// Sends a signal if the process is running.
    pub fn signal(&self, signal: ProcessSignal) {
        if let Some(child) = self.child.borrow().as_ref() {
            signal_process(child, signal);
        }
    }

    /// Kills the process and waits for its exit; does nothing if it is not running.
    pub fn kill(&self) {
        if let Some(mut child) = self.child.take() {
            // Both fail only if the process has exited already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits for the exit of a process that was sent SIGTERM. Returns a description of the failure
    /// if it did not exit cleanly, or `None` if it did or if another fault killed it meanwhile.
    ///
    /// # Panics
    ///
    /// Panics if the process cannot be waited for.
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
                // SIGTERM kills a process that has not installed its signal handlers yet.
                let is_early = status.signal().is_some() && !self.has_started();
                let is_failure = !status.success() && !is_early;
                return is_failure
                    .then(|| format!("router {} exited with {status}", self.endpoints.ip));
            }
            tokio::time::sleep(EXIT_POLL_INTERVAL).await;
        }
    }

    /// Returns whether the current or last process has logged that it serves.
    fn has_started(&self) -> bool {
        let text = std::fs::read_to_string(&self.log).unwrap_or_default();
        text.get(self.log_offset.get()..).is_some_and(|text| text.contains(STARTED_TEXT))
    }

    /// Returns the lines with a text that the current or last process has logged.
    pub fn lines_with(&self, text: &str) -> Vec<String> {
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        let lines = log.get(self.log_offset.get()..).unwrap_or_default().lines();
        lines.filter(|line| line.contains(text)).map(str::to_owned).collect()
    }

    /// Returns the lines of the log that report a panic.
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
