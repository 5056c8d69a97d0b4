//! One process of the fleet under test.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;

/// Signal that a proof sends.
#[derive(Debug, Clone, Copy)]
pub enum ProcessSignal {
    /// Ends the process after the work in progress.
    Terminate,
    /// Ends the process at once.
    Kill,
    /// Freezes the process.
    Stop,
    /// Wakes a frozen process.
    Continue,
    /// Tells the process that its settings have changed.
    Reload,
}

/// What a process logs where an invariant does not hold.
const VIOLATION_TEXT: &str = "invariant violated";

/// A running process; killed when dropped, which fails the proof where the process has logged
/// that an invariant does not hold.
pub struct FleetProcess {
    /// The process.
    child: Child,
    /// The addresses that it printed when it ran.
    addresses: Value,
    /// The file that holds its log.
    log: PathBuf,
}

impl FleetProcess {
    /// Starts a program of the workspace and waits for the line with its addresses.
    ///
    /// # Panics
    ///
    /// Panics where the program cannot be started; the message names its log.
    pub fn spawn(program: &str, settings: &Path, log: PathBuf) -> FleetProcess {
        let path = program_path(program);
        let errors = std::fs::File::create(log.with_extension("err")).expect("log can be created");
        let mut child = Command::new(&path)
            .arg("--settings")
            .arg(settings)
            .stdout(Stdio::piped())
            .stderr(errors)
            .spawn()
            .unwrap_or_else(|error| panic!("cannot start {}: {error}", path.display()));
        let output = child.stdout.take().expect("standard output is piped");
        let mut line = String::new();
        BufReader::new(output).read_line(&mut line).expect("standard output can be read");
        let addresses = serde_json::from_str(&line).unwrap_or_else(|_| {
            let errors = std::fs::read_to_string(log.with_extension("err"));
            panic!("{program} printed no addresses: {line:?} {errors:?}")
        });
        FleetProcess { child, addresses, log }
    }

    /// Returns an address that the process printed.
    pub fn address(&self, name: &str) -> SocketAddr {
        let text = self.addresses[name].as_str().expect("address is printed");
        text.parse().expect("address is readable")
    }

    /// Sends a signal.
    pub fn signal(&self, signal: ProcessSignal) {
        signal_process(&self.child, signal);
    }

    /// Waits for the end of the process without holding up the runtime.
    pub async fn wait(&mut self) -> ExitStatus {
        loop {
            if let Some(status) = self.child.try_wait().expect("process can be waited for") {
                return status;
            }
            actix_rt::time::sleep(std::time::Duration::from_millis(10)).await;
        }
    }

    /// Returns what the process has logged.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for FleetProcess {
    fn drop(&mut self) {
        // Both fail only where the process has ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        if std::thread::panicking() {
            return;
        }
        // Invariants are asserted inside the processes; a broken one fails the proof.
        for line in self.log().lines() {
            assert!(!line.contains(VIOLATION_TEXT), "{line}");
        }
    }
}

/// Sends a signal to a process that this one started.
pub fn signal_process(child: &Child, signal: ProcessSignal) {
    let signal = match signal {
        ProcessSignal::Terminate => Signal::TERM,
        ProcessSignal::Kill => Signal::KILL,
        ProcessSignal::Stop => Signal::STOP,
        ProcessSignal::Continue => Signal::CONT,
        ProcessSignal::Reload => Signal::HUP,
    };
    // The process may have ended already, which is seen by its exit status.
    let _ = kill_process(Pid::from_child(child), signal);
}

/// Returns the path of a program of the workspace, beside the directory of the running test.
///
/// # Panics
///
/// Panics where the path of the running program is not known.
pub fn program_path(program: &str) -> PathBuf {
    let mut path = std::env::current_exe().expect("path of the test is known");
    path.pop();
    if path.ends_with("deps") {
        path.pop();
    }
    path.join(program)
}
