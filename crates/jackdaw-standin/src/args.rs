//! Command-line parsing of the `jackdaw-standin` program.

use std::ffi::OsString;
use std::net::{Ipv4Addr, SocketAddr};
use std::str::FromStr;
use std::time::Duration;

use error_stack::{Report, ResultExt};
use jackdaw_base::ErrorKind;
use pico_args::Arguments;

use crate::{EngineSettings, ServiceSettings, StandinSettings};

/// The text printed by `--help` and after a usage error.
pub const HELP_TEXT: &str = "\
Runs one stand-in on a loopback port and prints its address as one JSON line.

Usage: jackdaw-standin <engine|service|platform> [options]

Common options:
  --port N                  port to listen on; 0 picks a free one (default 0)
  --help                    print this text

Options of engine:
  --model NAME              model to serve; may be repeated (default: every model)
  --places N                maximum batch size (default 8)
  --step-micros N           base duration of a decode step (default 10000)
  --request-micros N        time that each running request adds to a step (default 100)
  --slots N                 parts of a step over which its tokens are spread (default 1)
  --prefill-micros N        prefill time per uncached prompt token (default 50)
  --cache-prefixes N        prefixes that the cache holds (default 64)
  --load-lag-millis N       age of the reported load (default 500)
  --event-lag-millis N      delay before a cache event is reported (default 500)
  --event-gaps N            percentage of cache events that are lost (default 10)
  --downtime-millis N       time for which connections are refused after a crash (default 500)
  --ignore-fencing          accept orders with an outdated fencing number
  --seed N                  seed for the choice of lost cache events (default 1)

Options of service:
  --capacity N              requests processed concurrently (default 8)
  --processing-millis N     processing time of a request (default 5)

Options of platform:
  --writes N                write rate limit per second; 0 for no limit (default 0)
  --reads N                 read rate limit per second; 0 for no limit (default 0)
  --vm-lag-millis N         delay before a new VM list becomes visible (default 0)

Exit status: 0 after SIGTERM or --help, 1 if the port cannot be used, 2 for an invalid option.
";

/// The command selected on the command line.
#[derive(Debug, Clone)]
pub enum StandinCommand {
    /// Print the help text.
    Help,
    /// Run a model engine.
    Engine(EngineSettings),
    /// Run a plain service.
    Service(ServiceSettings),
    /// Run the platform.
    Platform(StandinSettings),
}

/// Parses the arguments that follow the program name.
///
/// Fails with [`ErrorKind::Malformed`] if a stand-in or option is unknown or a value is invalid.
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
            return Err(malformed(format!(
                "unknown stand-in `{other}`: expected engine, service or platform"
            )));
        }
        None => {
            return Err(malformed(
                "missing stand-in name: expected engine, service or platform".to_owned(),
            ));
        }
    };
    let rest = arguments.finish();
    if let Some(first) = rest.first() {
        return Err(malformed(format!("unknown argument: {}", first.display())));
    }
    Ok(command)
}

/// Parses the options of an engine.
fn engine_settings(arguments: &mut Arguments) -> Result<EngineSettings, Report<ErrorKind>> {
    let defaults = EngineSettings::default();
    let mut models = Vec::new();
    while let Some(model) = optional(arguments, "--model")? {
        models.push(model);
    }
    Ok(EngineSettings {
        port: optional(arguments, "--port")?.unwrap_or(defaults.port),
        models,
        max_batch_size: optional(arguments, "--places")?.unwrap_or(defaults.max_batch_size),
        step_base: micros(arguments, "--step-micros", defaults.step_base)?,
        step_per_request: micros(arguments, "--request-micros", defaults.step_per_request)?,
        step_slots: optional(arguments, "--slots")?.unwrap_or(defaults.step_slots),
        prefill_per_token: micros(arguments, "--prefill-micros", defaults.prefill_per_token)?,
        max_cached_prefixes: optional(arguments, "--cache-prefixes")?
            .unwrap_or(defaults.max_cached_prefixes),
        load_lag: millis(arguments, "--load-lag-millis", defaults.load_lag)?,
        cache_event_lag: millis(arguments, "--event-lag-millis", defaults.cache_event_lag)?,
        cache_event_loss_percent: optional(arguments, "--event-gaps")?
            .unwrap_or(defaults.cache_event_loss_percent),
        checks_fencing: !arguments.contains("--ignore-fencing"),
        crash_downtime: millis(arguments, "--downtime-millis", defaults.crash_downtime)?,
        seed: optional(arguments, "--seed")?.unwrap_or(defaults.seed),
    })
}

/// Parses the options of a plain service.
fn service_settings(arguments: &mut Arguments) -> Result<ServiceSettings, Report<ErrorKind>> {
    let defaults = ServiceSettings::default();
    Ok(ServiceSettings {
        port: optional(arguments, "--port")?.unwrap_or(defaults.port),
        capacity: optional(arguments, "--capacity")?.unwrap_or(defaults.capacity),
        processing_time: millis(arguments, "--processing-millis", defaults.processing_time)?,
    })
}

/// Parses the options of the platform.
fn platform_settings(arguments: &mut Arguments) -> Result<StandinSettings, Report<ErrorKind>> {
    let defaults = StandinSettings::default();
    let port = optional(arguments, "--port")?.unwrap_or(0);
    Ok(StandinSettings {
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, port)),
        writes_per_second: optional(arguments, "--writes")?.unwrap_or(defaults.writes_per_second),
        reads_per_second: optional(arguments, "--reads")?.unwrap_or(defaults.reads_per_second),
        vm_lag: millis(arguments, "--vm-lag-millis", defaults.vm_lag)?,
    })
}

/// Parses an option that takes a value; `None` if it is absent.
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

/// Parses a duration in microseconds; `default` if the option is absent.
fn micros(
    arguments: &mut Arguments,
    name: &'static str,
    default: Duration,
) -> Result<Duration, Report<ErrorKind>> {
    Ok(optional(arguments, name)?.map_or(default, Duration::from_micros))
}

/// Parses a duration in milliseconds; `default` if the option is absent.
fn millis(
    arguments: &mut Arguments,
    name: &'static str,
    default: Duration,
) -> Result<Duration, Report<ErrorKind>> {
    Ok(optional(arguments, name)?.map_or(default, Duration::from_millis))
}

/// Builds the error for an invalid command line.
fn malformed(message: String) -> Report<ErrorKind> {
    Report::new(ErrorKind::Malformed).attach(message)
}
