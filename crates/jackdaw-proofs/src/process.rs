//! Processes under test and the signals sent to them.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;

/// Signal sent to a process under test.
#[derive(Debug, Clone, Copy)]
pub enum ProcessSignal {
    /// SIGTERM: exits after the work in progress.
    Terminate,
    /// SIGKILL: ends the process at once.
    Kill,
    /// SIGSTOP: freezes the process.
    Stop,
    /// SIGCONT: resumes a frozen process.
    Continue,
    /// SIGHUP: reloads the settings.
    Reload,
}

/// Text that a process logs when an invariant does not hold.
const VIOLATION_TEXT: &str = "invariant violated";

/// Running process of the fleet.
///
/// Dropping it kills the process, and panics if the process has logged an invariant violation.
pub struct FleetProcess {
    /// Handle of the child process.
    child: Child,
    /// Addresses that the process printed after its start, by name.
    addresses: Value,
    /// Path of the log file.
    log: PathBuf,
}

impl FleetProcess {
    /// Starts a program of the workspace and waits until it prints its addresses.
    ///
    /// # Panics
    ///
    /// Panics if the program cannot be started or prints no addresses; the message then contains
    /// its error output.
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

    /// Returns the address that the process printed under a name.
    pub fn address(&self, name: &str) -> SocketAddr {
        let text = self.addresses[name].as_str().expect("address is printed");
        text.parse().expect("address can be parsed")
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: ProcessSignal) {
        signal_process(&self.child, signal);
    }

    /// Waits for the exit of the process without blocking the runtime.
    pub async fn wait(&mut self) -> ExitStatus {
        loop {
            if let Some(status) = self.child.try_wait().expect("process can be waited for") {
                return status;
            }
            actix_rt::time::sleep(std::time::Duration::from_millis(10)).await;
        }
    }

    /// Returns the contents of the log; empty if it cannot be read.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for FleetProcess {
    fn drop(&mut self) {
        // Both fail only if the process has exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        if std::thread::panicking() {
            return;
        }
        // Processes check their own invariants; a violation fails the test.
        for line in self.log().lines() {
            assert!(!line.contains(VIOLATION_TEXT), "{line}");
        }
    }
}

/// Sends a signal to a child process.
pub fn signal_process(child: &Child, signal: ProcessSignal) {
    let signal = match signal {
        ProcessSignal::Terminate => Signal::TERM,
        ProcessSignal::Kill => Signal::KILL,
        ProcessSignal::Stop => Signal::STOP,
        ProcessSignal::Continue => Signal::CONT,
        ProcessSignal::Reload => Signal::HUP,
    };
    // Fails if the process has exited already, which its exit status shows.
    let _ = kill_process(Pid::from_child(child), signal);
}

/// Returns the path of a program of the workspace, built with the profile of the running test.
///
/// # Panics
///
/// Panics if the path of the running program is unknown.
pub fn program_path(program: &str) -> PathBuf {
    let mut path = std::env::current_exe().expect("path of the test is known");
    path.pop();
    if path.ends_with("deps") {
        path.pop();
    }
    path.join(program)
}
