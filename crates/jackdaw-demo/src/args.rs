//! Command-line options of the demo.

use std::ffi::OsString;
use std::time::Duration;

use error_stack::{Report, ResultExt};
use jackdaw_base::{ErrorKind, plain_data};
use jackdaw_policy::SharePolicy;
use pico_args::Arguments;

/// The text printed by `--help` and after a usage error.
pub const HELP_TEXT: &str = "\
Runs a complete fleet in this process under load and reports what the targets executed.

Usage: jackdaw demo [options]

Options:
  --seconds N               duration of the load in seconds, 1 to 3600 (default 10)
  --seed N                  seed of the load (default 1)
  --routers N               routers, 1 to 64 (default 3)
  --targets N               model engines, 1 to 256; one plain-service target is added for
                            every four engines or part thereof (default 6)
  --customers N             customers, 3 to 256 (default 8)
  --policy NAME             share policy: fleet, local or first-come (default fleet)
  --json                    print only the report, as one JSON object
  --help                    print this text

Exit status: 0 if every answer was correct, 1 if the fleet failed to start, 2 for an invalid
option, 3 if a request was lost, got the answer to another request or a truncated one, ran
although it was answered \"not run\", or if a recording ran twice or was answered without running.
";

/// The exit status if the fleet failed to start.
const EXIT_FAILED: u8 = 1;

/// The exit status for an invalid command line.
const EXIT_USAGE: u8 = 2;

/// The exit status if an answer was incorrect.
const EXIT_INCORRECT: u8 = 3;

plain_data! {
    /// Settings of one run of the demo.
    pub struct DemoSettings {
        /// The duration of the load, including the warm-up.
        pub load_time: Duration,
        /// The seed of the load.
        pub seed: u64,
        /// The number of routers.
        pub routers: usize,
        /// The number of model engines.
        pub targets: usize,
        /// The number of customers.
        pub customers: usize,
        /// The policy by which agents select among offers.
        pub policy: SharePolicy,
        /// Whether the report is printed as JSON instead of a table.
        pub json: bool,
    }
}

impl Default for DemoSettings {
    fn default() -> DemoSettings {
        DemoSettings {
            load_time: Duration::from_secs(10),
            seed: 1,
            routers: 3,
            targets: 6,
            customers: 8,
            policy: SharePolicy::Fleet,
            json: false,
        }
    }
}

/// The command selected on the command line.
#[derive(Debug, Clone, PartialEq)]
pub enum DemoCommand {
    /// Print the help text.
    Help,
    /// Run the demo.
    Run(DemoSettings),
}

/// Parses the arguments that follow `demo`.
///
/// Fails with [`ErrorKind::Malformed`] if an option is unknown or a value is invalid.
pub fn parse_args(arguments: Vec<OsString>) -> Result<DemoCommand, Report<ErrorKind>> {
    let mut arguments = Arguments::from_vec(arguments);
    if arguments.contains("--help") {
        return Ok(DemoCommand::Help);
    }
    let defaults = DemoSettings::default();
    let seconds = parse_number(&mut arguments, "--seconds", 1..=3600)?;
    let settings = DemoSettings {
        load_time: seconds.map_or(defaults.load_time, Duration::from_secs),
        seed: parse_number(&mut arguments, "--seed", 0..=u64::MAX)?.unwrap_or(defaults.seed),
        routers: parse_count(&mut arguments, "--routers", 1..=64, defaults.routers)?,
        targets: parse_count(&mut arguments, "--targets", 1..=256, defaults.targets)?,
        customers: parse_count(&mut arguments, "--customers", 3..=256, defaults.customers)?,
        policy: parse_policy(&mut arguments)?.unwrap_or(defaults.policy),
        json: arguments.contains("--json"),
    };
    let unknown = arguments.finish();
    if let Some(first) = unknown.first() {
        return Err(malformed(format!("unknown argument `{}`", first.display())));
    }
    Ok(DemoCommand::Run(settings))
}

/// Parses the arguments, runs the demo, prints the report and returns the exit status.
pub fn execute(arguments: Vec<OsString>) -> u8 {
    let settings = match parse_args(arguments) {
        Ok(DemoCommand::Run(settings)) => settings,
        Ok(DemoCommand::Help) => {
            print!("{HELP_TEXT}");
            return 0;
        }
        Err(report) => {
            eprintln!("{report:?}\n\n{HELP_TEXT}");
            return EXIT_USAGE;
        }
    };
    let is_json = settings.json;
    let report = match crate::run(settings) {
        Ok(report) => report,
        Err(report) => {
            eprintln!("{report:?}");
            return EXIT_FAILED;
        }
    };
    if is_json {
        println!("{}", report.to_json());
    } else {
        print!("{}", report.to_table());
    }
    if report.is_correct() { 0 } else { EXIT_INCORRECT }
}

/// Parses the option `name` as a number and checks that it lies within `range`.
fn parse_number(
    arguments: &mut Arguments,
    name: &'static str,
    range: std::ops::RangeInclusive<u64>,
) -> Result<Option<u64>, Report<ErrorKind>> {
    let value: Option<u64> =
        arguments.opt_value_from_str(name).change_context(ErrorKind::Malformed)?;
    if value.is_some_and(|value| !range.contains(&value)) {
        let (low, high) = (range.start(), range.end());
        return Err(malformed(format!("{name} must be a number from {low} to {high}")));
    }
    Ok(value)
}

/// Parses the option `name` as a count within `range`, or returns `default` if it is absent.
fn parse_count(
    arguments: &mut Arguments,
    name: &'static str,
    range: std::ops::RangeInclusive<u64>,
    default: usize,
) -> Result<usize, Report<ErrorKind>> {
    Ok(parse_number(arguments, name, range)?.map_or(default, |value| value as usize))
}

/// Parses the share policy.
fn parse_policy(arguments: &mut Arguments) -> Result<Option<SharePolicy>, Report<ErrorKind>> {
    let name: Option<String> =
        arguments.opt_value_from_str("--policy").change_context(ErrorKind::Malformed)?;
    match name.as_deref() {
        None => Ok(None),
        Some("fleet") => Ok(Some(SharePolicy::Fleet)),
        Some("local") => Ok(Some(SharePolicy::Local)),
        Some("first-come") => Ok(Some(SharePolicy::FirstCome)),
        Some(other) => {
            Err(malformed(format!("unknown policy `{other}`: expected fleet, local or first-come")))
        }
    }
}

/// Returns the error for an invalid command line.
fn malformed(message: String) -> Report<ErrorKind> {
    Report::new(ErrorKind::Malformed).attach(message)
}
