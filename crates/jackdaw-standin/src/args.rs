//! Command line of the `jackdaw-standin` program.

use std::ffi::OsString;
use std::net::{Ipv4Addr, SocketAddr};
use std::str::FromStr;
use std::time::Duration;

use error_stack::{Report, ResultExt};
use jackdaw_base::ErrorKind;
use pico_args::Arguments;

use crate::{EngineSettings, ServiceSettings, StandinSettings};

/// The help text.
pub const HELP_TEXT: &str = "\
Runs one stand-in on a loopback port and prints its address as one JSON line.

Usage: jackdaw-standin <engine|service|platform> [options]

Options of every stand-in:
  --port N                  port; 0 for a free one (default 0)
  --help                    print this text

Options of engine:
  --model NAME              a model it answers for; may be given again (default: every model)
  --places N                requests that run at a time (default 8)
  --step-micros N           time of a step (default 10000)
  --request-micros N        time that each running request adds to a step (default 100)
  --slots N                 parts of a step over which its tokens are spread (default 1)
  --prefill-micros N        time to read a prompt token that is not cached (default 50)
  --cache-prefixes N        prefixes that fit the cache (default 64)
  --load-lag-millis N       age of the load that is reported (default 500)
  --event-lag-millis N      time after which a cache event can be read (default 500)
  --event-gaps N            cache events in a hundred that are lost (default 10)
  --downtime-millis N       time for which connections are refused after a crash (default 500)
  --ignore-fencing          take orders with an old fencing number
  --seed N                  seed of the gaps in cache events (default 1)

Options of service:
  --capacity N              requests that run at a time (default 8)
  --processing-millis N     time that one request takes (default 5)

Options of platform:
  --writes N                writes a second above which calls are refused; 0 for no limit
                            (default 0)
  --reads N                 reads a second above which calls are refused; 0 for no limit
                            (default 0)
  --vm-lag-millis N         time after which a new VM list can be seen (default 0)

Exit status: 0 after SIGTERM or --help, 1 when the port cannot be used, 2 for a wrong option.
";

/// What the command line asks for.
#[derive(Debug, Clone)]
pub enum StandinCommand {
    /// Print the help text.
    Help,
    /// Run an engine.
    Engine(EngineSettings),
    /// Run a plain service.
    Service(ServiceSettings),
    /// Run the platform.
    Platform(StandinSettings),
}

/// Parses the arguments after the program's name. Fails with [`ErrorKind::Malformed`] when an
/// option is unknown or its value is not allowed.
pub fn parse_args(arguments: Vec<OsString>) -> Result<StandinCommand, Report<ErrorKind>> {
    let mut arguments = Arguments::from_vec(arguments);
    if arguments.contains("--help") {
        return Ok(StandinCommand::Help);
    }
    let kind = arguments.subcommand().change_context(ErrorKind::Malformed)?;
    let command = match kind.as_deref() {
        Some("engine") => StandinCommand::Engine(engine_settings(&mut arguments)?),
        Some("service") => StandinCommand::Service(service_settings(&mut arguments)?),
        Some("platform") => StandinCommand::Platform(platform_settings(&mut arguments)?),
        Some(other) => {
            return Err(malformed(format!("unknown stand-in: {other}")));
        }
        None => return Err(malformed("name a stand-in: engine, service or platform".to_owned())),
    };
    let rest = arguments.finish();
    if let Some(first) = rest.first() {
        return Err(malformed(format!("unknown argument: {}", first.display())));
    }
    Ok(command)
}

/// Reads the options of an engine.
fn engine_settings(arguments: &mut Arguments) -> Result<EngineSettings, Report<ErrorKind>> {
    let standard = EngineSettings::default();
    let mut models = Vec::new();
    while let Some(model) = optional(arguments, "--model")? {
        models.push(model);
    }
    Ok(EngineSettings {
        port: optional(arguments, "--port")?.unwrap_or(standard.port),
        models,
        max_batch_size: optional(arguments, "--places")?.unwrap_or(standard.max_batch_size),
        step_base: micros(arguments, "--step-micros", standard.step_base)?,
        step_per_request: micros(arguments, "--request-micros", standard.step_per_request)?,
        step_slots: optional(arguments, "--slots")?.unwrap_or(standard.step_slots),
        prefill_per_token: micros(arguments, "--prefill-micros", standard.prefill_per_token)?,
        max_cached_prefixes: optional(arguments, "--cache-prefixes")?
            .unwrap_or(standard.max_cached_prefixes),
        load_lag: millis(arguments, "--load-lag-millis", standard.load_lag)?,
        cache_event_lag: millis(arguments, "--event-lag-millis", standard.cache_event_lag)?,
        cache_event_loss_percent: optional(arguments, "--event-gaps")?
            .unwrap_or(standard.cache_event_loss_percent),
        checks_fencing: !arguments.contains("--ignore-fencing"),
        crash_downtime: millis(arguments, "--downtime-millis", standard.crash_downtime)?,
        seed: optional(arguments, "--seed")?.unwrap_or(standard.seed),
    })
}

/// Reads the options of a plain service.
fn service_settings(arguments: &mut Arguments) -> Result<ServiceSettings, Report<ErrorKind>> {
    let standard = ServiceSettings::default();
    Ok(ServiceSettings {
        port: optional(arguments, "--port")?.unwrap_or(standard.port),
        capacity: optional(arguments, "--capacity")?.unwrap_or(standard.capacity),
        processing_time: millis(arguments, "--processing-millis", standard.processing_time)?,
    })
}

/// Reads the options of the platform.
fn platform_settings(arguments: &mut Arguments) -> Result<StandinSettings, Report<ErrorKind>> {
    let standard = StandinSettings::default();
    let port = optional(arguments, "--port")?.unwrap_or(0);
    Ok(StandinSettings {
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, port)),
        writes_per_second: optional(arguments, "--writes")?.unwrap_or(standard.writes_per_second),
        reads_per_second: optional(arguments, "--reads")?.unwrap_or(standard.reads_per_second),
        vm_lag: millis(arguments, "--vm-lag-millis", standard.vm_lag)?,
    })
}

/// Reads an option with a value.
fn optional<T>(
    arguments: &mut Arguments,
    name: &'static str,
) -> Result<Option<T>, Report<ErrorKind>>
where
    T: FromStr,
    T::Err: std::fmt::Display,
{
    arguments.opt_value_from_str(name).change_context(ErrorKind::Malformed)
}

/// Reads an option in microseconds.
fn micros(
    arguments: &mut Arguments,
    name: &'static str,
    standard: Duration,
) -> Result<Duration, Report<ErrorKind>> {
    Ok(optional(arguments, name)?.map_or(standard, Duration::from_micros))
}

/// Reads an option in milliseconds.
fn millis(
    arguments: &mut Arguments,
    name: &'static str,
    standard: Duration,
) -> Result<Duration, Report<ErrorKind>> {
    Ok(optional(arguments, name)?.map_or(standard, Duration::from_millis))
}

/// Returns the error of a wrong command line.
fn malformed(message: String) -> Report<ErrorKind> {
    Report::new(ErrorKind::Malformed).attach(message)
}
