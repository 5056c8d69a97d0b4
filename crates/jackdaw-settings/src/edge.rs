//! Settings of an edge router.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::Path;
use std::time::Duration;

use error_stack::Report;
use jackdaw_base::ErrorKind;

use crate::LogSettings;
use crate::reader::{SettingsReader, ValueRule, read_file};
use crate::section::{ADDRESS, NAME};

/// Addresses of other routers by IP number.
const SEEDS: ValueRule<Vec<SocketAddrV4>> = ValueRule {
    allowed: "addresses such as 10.0.0.5:7400, separated by commas",
    parse: parse_seeds,
};

const RATIO: ValueRule<f64> = ValueRule { allowed: "a number from 0 to 10", parse: parse_ratio };

const CORES: ValueRule<f64> =
    ValueRule { allowed: "a number of cores over 0 and up to 1024", parse: parse_cores };

const SECONDS: ValueRule<Duration> =
    ValueRule { allowed: "seconds, more than 0 and at most 3600", parse: parse_seconds };

/// Settings of an edge router.
#[derive(Debug, Clone, PartialEq)]
pub struct EdgeSettings {
    /// The name of the VM.
    pub name: String,
    /// The failure domain.
    pub domain: String,
    /// The address for callers.
    pub caller_address: SocketAddr,
    /// The address at which the balancer asks for readiness.
    pub readiness_address: SocketAddr,
    /// The address at which other routers fetch configuration and targets.
    pub peer_address: SocketAddrV4,
    /// The port of the routers' reports to each other, the same on every VM.
    pub report_port: u16,
    /// The port of the metrics.
    pub metrics_port: u16,
    /// The peer addresses of some routers.
    pub seeds: Vec<SocketAddrV4>,
    /// The address of the platform's store.
    pub store_address: SocketAddr,
    /// The descriptors that the process may have open.
    pub descriptors: usize,
    /// The cores that the process may use.
    pub processor_share: f64,
    /// The time from SIGTERM to SIGKILL.
    pub shutdown_grace: Duration,
    /// The window in which customers' shares are kept.
    pub share_window: Duration,
    /// The window of the budget of repeats.
    pub repeat_window: Duration,
    /// The repeats that each request earns the fleet.
    pub repeat_ratio: f64,
    /// The repeats that the fleet has besides in each window.
    pub repeat_allowance: u32,
    /// The log.
    pub log: LogSettings,
}

impl EdgeSettings {
    /// Reads a file.
    ///
    /// # Errors
    ///
    /// `LocalResource` where the file cannot be read, otherwise as [`EdgeSettings::parse`].
    pub fn open(path: &Path) -> Result<EdgeSettings, Report<ErrorKind>> {
        let text = read_file(path)?;
        EdgeSettings::parse(&path.display().to_string(), &text)
    }

    /// Reads a text; the file name is for faults only.
    ///
    /// # Errors
    ///
    /// `SettingsInvalid` with [`crate::SettingsErrors`] attached.
    pub fn parse(file_name: &str, text: &str) -> Result<EdgeSettings, Report<ErrorKind>> {
        let mut reader = SettingsReader::new(file_name, text)?;
        let settings = EdgeSettings::read(&mut reader);
        reader.finish(settings)
    }

    /// Returns the IP number of this router.
    pub fn ip(&self) -> Ipv4Addr {
        *self.peer_address.ip()
    }

    /// Puts back what a running process cannot change; returns the names of those that differed.
    pub fn revert_restart_only(&mut self, running: &EdgeSettings) -> Vec<&'static str> {
        let mut kept = Vec::new();
        keep(&mut self.name, &running.name, "process.name", &mut kept);
        keep(&mut self.domain, &running.domain, "process.domain", &mut kept);
        keep(&mut self.caller_address, &running.caller_address, "listen.callers", &mut kept);
        let readiness = &running.readiness_address;
        keep(&mut self.readiness_address, readiness, "listen.readiness", &mut kept);
        keep(&mut self.peer_address, &running.peer_address, "listen.peers", &mut kept);
        keep(&mut self.report_port, &running.report_port, "listen.report_port", &mut kept);
        keep(&mut self.metrics_port, &running.metrics_port, "listen.metrics_port", &mut kept);
        let share = &running.processor_share;
        keep(&mut self.processor_share, share, "limits.processor_share", &mut kept);
        keep(&mut self.log, &running.log, "log", &mut kept);
        kept
    }

    fn read(reader: &mut SettingsReader<'_>) -> Option<EdgeSettings> {
        let name = reader.required("process", "name", &NAME);
        let domain = reader.required("process", "domain", &NAME);
        let caller_address = reader.required("listen", "callers", &ADDRESS);
        let readiness_address = reader.required("listen", "readiness", &ADDRESS);
        let peer_address = reader.required("listen", "peers", &ADDRESS);
        let report_port = reader.number("listen", "report_port", 1..=65_535, 7400);
        let metrics_port = reader.number("listen", "metrics_port", 1..=65_535, 7401);
        let seeds = reader.optional("peers", "seeds", &SEEDS);
        let store_address = reader.required("store", "address", &ADDRESS);
        let descriptors = reader.number("limits", "descriptors", 256..=10_000_000, 4096);
        let processor_share = reader.optional("limits", "processor_share", &CORES);
        let grace = reader.optional("limits", "shutdown_grace_s", &SECONDS);
        let share_window = reader.optional("limits", "share_window_s", &SECONDS);
        let repeat_window = reader.optional("limits", "repeat_window_s", &SECONDS);
        let repeat_ratio = reader.optional("limits", "repeat_ratio", &RATIO);
        let repeat_allowance = reader.number("limits", "repeat_allowance", 0..=1_000_000, 0);
        let log = LogSettings::read(reader);
        let SocketAddr::V4(peer_address) = peer_address? else {
            reader.fault("listen", "peers", "an IPv6 address".into(), "an IPv4 address".into());
            return None;
        };
        Some(EdgeSettings {
            name: name?,
            domain: domain?,
            caller_address: caller_address?,
            readiness_address: readiness_address?,
            peer_address,
            report_port: report_port? as u16,
            metrics_port: metrics_port? as u16,
            seeds: seeds?.unwrap_or_default(),
            store_address: store_address?,
            descriptors: descriptors? as usize,
            processor_share: processor_share?.unwrap_or(1.0),
            shutdown_grace: grace?.unwrap_or(Duration::from_secs(8)),
            share_window: share_window?.unwrap_or(Duration::from_secs(4)),
            repeat_window: repeat_window?.unwrap_or(Duration::from_secs(10)),
            repeat_ratio: repeat_ratio?.unwrap_or(0.2),
            repeat_allowance: repeat_allowance? as u32,
            log: log?,
        })
    }
}

fn keep<T: Clone + PartialEq>(
    value: &mut T,
    running: &T,
    name: &'static str,
    kept: &mut Vec<&'static str>,
) {
    if value != running {
        value.clone_from(running);
        kept.push(name);
    }
}

fn parse_seeds(text: &str) -> Option<Vec<SocketAddrV4>> {
    let words = text.split(',').map(str::trim).filter(|word| !word.is_empty());
    words.map(|word| word.parse().ok()).collect()
}

fn parse_cores(text: &str) -> Option<f64> {
    text.parse().ok().filter(|cores: &f64| *cores > 0.0 && *cores <= 1024.0)
}

fn parse_ratio(text: &str) -> Option<f64> {
    let ratio: f64 = text.parse().ok()?;
    (0.0..=10.0).contains(&ratio).then_some(ratio)
}

fn parse_seconds(text: &str) -> Option<Duration> {
    let seconds: f64 = text.parse().ok()?;
    (seconds > 0.0 && seconds <= 3600.0).then(|| Duration::from_secs_f64(seconds))
}
