//! Settings of an edge router.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::Path;
use std::time::Duration;

use error_stack::Report;
use jackdaw_base::ErrorKind;

use crate::LogSettings;
use crate::reader::{SettingsReader, ValueRule, read_file};
use crate::section::{ADDRESS, NAME};

/// A list of IPv4 socket addresses of other routers.
const SEEDS: ValueRule<Vec<SocketAddrV4>> = ValueRule {
    allowed: "addresses such as 10.0.0.5:7400, separated by commas",
    parse: parse_seeds,
};

const PORT: ValueRule<u16> = ValueRule {
    allowed: "a whole number from 1 to 65535",
    parse: |text| text.parse().ok().filter(|port| *port > 0),
};

/// A quantity that the platform may state as a fraction.
const AMOUNT: ValueRule<f64> =
    ValueRule { allowed: "a number from 0 to 10000000", parse: |text| parse_number(text, 1e7) };

const CORES: ValueRule<f64> = ValueRule {
    allowed: "a number of cores from 0 to 1024",
    parse: |text| parse_number(text, 1024.0),
};

/// Failure domains with their regions.
const REGIONS: ValueRule<Vec<(String, String)>> = ValueRule {
    allowed: "domains with their regions, such as a:north,b:north",
    parse: parse_regions,
};

const MILLIS: ValueRule<Duration> = ValueRule {
    allowed: "milliseconds from 0 to 1000000000",
    parse: |text| parse_number(text, 1e9).map(|millis| Duration::from_secs_f64(millis / 1e3)),
};

const SECONDS: ValueRule<Duration> =
    ValueRule { allowed: "seconds from 0 to 1000000", parse: parse_seconds };

/// Shortest window over which shares and retries are counted; a shorter one is raised to it, since
/// it would expire before it is read.
const MIN_WINDOW: Duration = Duration::from_millis(100);

/// Memory of a process if neither command line nor settings state it, in megabytes: that of the smallest VM
/// of the known deployments, since a process that takes more than it has is killed.
const DEFAULT_MEMORY_MB: f64 = 88.0;

/// Least memory with which a router can serve, in megabytes; less is raised to it.
const MIN_MEMORY_MB: f64 = 48.0;

/// Lowest processor share; a share of zero is raised to it.
const MIN_CORES: f64 = 0.01;

/// Settings of an edge router.
#[derive(Debug, Clone, PartialEq)]
pub struct EdgeSettings {
    /// The name of the VM.
    pub name: String,
    /// The name of the failure domain.
    pub domain: String,
    /// The address on which callers connect.
    pub caller_address: SocketAddr,
    /// The address of the readiness endpoint for the load balancer.
    pub readiness_address: SocketAddr,
    /// The address at which other routers fetch the configuration and the targets.
    pub peer_address: SocketAddrV4,
    /// The port for reports between routers; it must be the same on every VM.
    pub report_port: u16,
    /// The port of the metrics endpoint.
    pub metrics_port: u16,
    /// The peer addresses of seed routers, through which this router discovers the others.
    pub seeds: Vec<SocketAddrV4>,
    /// The address of the platform's object store.
    pub store_address: SocketAddr,
    /// The maximum number of open file descriptors of the process.
    pub descriptors: usize,
    /// The memory that the process may use, in bytes, with what its sockets have received.
    pub memory_bytes: usize,
    /// Whether no router of the deployment has run before, as stated on the command line.
    pub is_first_start: bool,
    /// The number of cores that the process may use.
    pub processor_share: f64,
    /// The time from SIGTERM until the process is killed with SIGKILL.
    pub shutdown_grace: Duration,
    /// The sliding window over which customers' shares are computed.
    pub share_window: Duration,
    /// The sliding window of the fleet-wide retry budget, which limits how often requests are
    /// retried.
    pub repeat_window: Duration,
    /// The retries that each request adds to the fleet's budget.
    pub repeat_ratio: f64,
    /// The retries that the fleet may make per window in addition to those of `repeat_ratio`.
    pub repeat_allowance: f64,
    /// The failure domains of the fleet with their regions; empty if no request is confined to some.
    pub regions: Vec<(String, String)>,
    /// The factor by which requests to a cold target may exceed the rate that its service states.
    pub cold_factor: f64,
    /// The requests a second to a cold target that are allowed in addition.
    pub cold_allowance: f64,
    /// The time within which requests must have left a failure domain that is taken out of use; `None`
    /// if domains are never taken out of use, so that the store is not asked for them.
    pub evacuation_time: Option<Duration>,
    /// Level and output of the log.
    pub log: LogSettings,
}

impl EdgeSettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns `LocalResource` if the file cannot be read, and the errors of
    /// [`EdgeSettings::parse`].
    pub fn open(path: &Path) -> Result<EdgeSettings, Report<ErrorKind>> {
        let text = read_file(path)?;
        EdgeSettings::parse(&path.display().to_string(), &text)
    }

    /// Parses and checks settings in INI format. `file_name` is only used in error messages.
    ///
    /// # Errors
    ///
    /// Returns `SettingsInvalid` with [`crate::SettingsErrors`] attached if any setting is
    /// invalid.
    pub fn parse(file_name: &str, text: &str) -> Result<EdgeSettings, Report<ErrorKind>> {
        let mut reader = SettingsReader::new(file_name, text)?;
        let settings = EdgeSettings::read(&mut reader);
        reader.finish(settings)
    }

    /// Replaces the memory that the process may use by a number of megabytes, as stated on the command
    /// line. An empty text changes nothing.
    ///
    /// # Errors
    ///
    /// `SettingsInvalid` if the text is no such number.
    pub fn override_memory(&mut self, megabytes: &str) -> Result<(), Report<ErrorKind>> {
        if megabytes.is_empty() {
            return Ok(());
        }
        let ValueRule { allowed, parse } = AMOUNT;
        let parsed = parse(megabytes).ok_or_else(|| {
            let problem = format!("memory_mb is {megabytes:?}, allowed: {allowed}");
            Report::new(ErrorKind::SettingsInvalid).attach(problem)
        })?;
        self.memory_bytes = memory_bytes(parsed);
        Ok(())
    }

    /// Sets whether no router of the deployment has run before, as stated on the command line. An empty
    /// text changes nothing.
    ///
    /// # Errors
    ///
    /// `SettingsInvalid` if the text is neither `true` nor `false`.
    pub fn override_first_start(&mut self, text: &str) -> Result<(), Report<ErrorKind>> {
        self.is_first_start = match text {
            "" => self.is_first_start,
            "true" => true,
            "false" => false,
            _ => {
                let problem = format!("first-start is {text:?}, allowed: true or false");
                return Err(Report::new(ErrorKind::SettingsInvalid).attach(problem));
            }
        };
        Ok(())
    }

    /// Returns the IP address by which other routers reach this router.
    pub fn ip(&self) -> Ipv4Addr {
        *self.peer_address.ip()
    }

    /// Resets the settings that only take effect after a restart to the values in `running`;
    /// returns the names of those that differed.
    pub fn revert_restart_only(&mut self, running: &EdgeSettings) -> Vec<&'static str> {
        let mut reverted = Vec::new();
        revert(&mut self.name, &running.name, "process.name", &mut reverted);
        revert(&mut self.domain, &running.domain, "process.domain", &mut reverted);
        revert(&mut self.caller_address, &running.caller_address, "listen.callers", &mut reverted);
        let readiness = &running.readiness_address;
        revert(&mut self.readiness_address, readiness, "listen.readiness", &mut reverted);
        revert(&mut self.peer_address, &running.peer_address, "listen.peers", &mut reverted);
        revert(&mut self.report_port, &running.report_port, "listen.report_port", &mut reverted);
        revert(&mut self.metrics_port, &running.metrics_port, "listen.metrics_port", &mut reverted);
        let share = &running.processor_share;
        revert(&mut self.processor_share, share, "limits.processor_share", &mut reverted);
        // The store's entries are followed from the start, or not at all.
        let evacuation = &running.evacuation_time;
        revert(&mut self.evacuation_time, evacuation, "domains.evacuation_ms", &mut reverted);
        revert(&mut self.log, &running.log, "log", &mut reverted);
        reverted
    }

    fn read(reader: &mut SettingsReader<'_>) -> Option<EdgeSettings> {
        let name = reader.required("process", "name", &NAME);
        let domain = reader.required("process", "domain", &NAME);
        let caller_address = reader.required("listen", "callers", &ADDRESS);
        let readiness_address = reader.required("listen", "readiness", &ADDRESS);
        let peer_address = reader.required("listen", "peers", &ADDRESS);
        let report_port = reader.optional_or_empty("listen", "report_port", &PORT);
        let metrics_port = reader.optional_or_empty("listen", "metrics_port", &PORT);
        let seeds = reader.optional_or_empty("peers", "seeds", &SEEDS);
        let store_address = reader.required("store", "address", &ADDRESS);
        let descriptors = reader.optional_or_empty("limits", "descriptors", &AMOUNT);
        let memory = reader.optional_or_empty("limits", "memory_mb", &AMOUNT);
        let processor_share = reader.optional_or_empty("limits", "processor_share", &CORES);
        let grace = reader.optional_or_empty("limits", "shutdown_grace_s", &SECONDS);
        let share_window = reader.optional_or_empty("limits", "share_window_s", &SECONDS);
        let repeat_window = reader.optional_or_empty("limits", "repeat_window_s", &SECONDS);
        let repeat_ratio = reader.optional_or_empty("limits", "repeat_ratio", &AMOUNT);
        let repeat_allowance = reader.optional_or_empty("limits", "repeat_allowance", &AMOUNT);
        let regions = reader.optional_or_empty("domains", "regions", &REGIONS);
        let evacuation_time = reader.optional_or_empty("domains", "evacuation_ms", &MILLIS);
        let cold_factor = reader.optional_or_empty("cold", "rate_factor", &AMOUNT);
        let cold_allowance = reader.optional_or_empty("cold", "rate_allowance", &AMOUNT);
        let log = LogSettings::read(reader);
        let SocketAddr::V4(peer_address) = peer_address? else {
            reader.add_error("listen", "peers", "an IPv6 address".into(), "an IPv4 address".into());
            return None;
        };
        Some(EdgeSettings {
            name: name?,
            domain: domain?,
            caller_address: caller_address?,
            readiness_address: readiness_address?,
            peer_address,
            report_port: report_port?.unwrap_or(7400),
            metrics_port: metrics_port?.unwrap_or(7401),
            seeds: seeds?.unwrap_or_default(),
            store_address: store_address?,
            descriptors: descriptors?.unwrap_or(4096.0) as usize,
            memory_bytes: memory_bytes(memory?.unwrap_or(DEFAULT_MEMORY_MB)),
            is_first_start: false,
            processor_share: processor_share?.unwrap_or(1.0).max(MIN_CORES),
            shutdown_grace: grace?.unwrap_or(Duration::from_secs(8)),
            share_window: share_window?.unwrap_or(Duration::from_secs(4)).max(MIN_WINDOW),
            repeat_window: repeat_window?.unwrap_or(Duration::from_secs(10)).max(MIN_WINDOW),
            repeat_ratio: repeat_ratio?.unwrap_or(0.2),
            repeat_allowance: repeat_allowance?.unwrap_or(0.0),
            regions: regions?.unwrap_or_default(),
            cold_factor: cold_factor?.unwrap_or(1.0),
            cold_allowance: cold_allowance?.unwrap_or(0.0),
            evacuation_time: evacuation_time?,
            log: log?,
        })
    }
}

fn memory_bytes(megabytes: f64) -> usize {
    (megabytes.max(MIN_MEMORY_MB) * 1024.0 * 1024.0) as usize
}

fn revert<T: Clone + PartialEq>(
    value: &mut T,
    running: &T,
    name: &'static str,
    reverted: &mut Vec<&'static str>,
) {
    if value != running {
        value.clone_from(running);
        reverted.push(name);
    }
}

fn parse_seeds(text: &str) -> Option<Vec<SocketAddrV4>> {
    let words = text.split(',').map(str::trim).filter(|word| !word.is_empty());
    words.map(|word| word.parse().ok()).collect()
}

fn parse_regions(text: &str) -> Option<Vec<(String, String)>> {
    let words = text.split(',').map(str::trim).filter(|word| !word.is_empty());
    let pair = |word: &str| {
        let (domain, region) = word.split_once(':')?;
        let (domain, region) = (domain.trim(), region.trim());
        let is_named = !domain.is_empty() && !region.is_empty();
        is_named.then(|| (domain.to_owned(), region.to_owned()))
    };
    words.map(pair).collect()
}

fn parse_number(text: &str, limit: f64) -> Option<f64> {
    text.parse().ok().filter(|number: &f64| (0.0..=limit).contains(number))
}

fn parse_seconds(text: &str) -> Option<Duration> {
    parse_number(text, 1e6).map(Duration::from_secs_f64)
}
