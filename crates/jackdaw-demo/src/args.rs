//! Options of the demo.

use std::ffi::OsString;
use std::time::Duration;

use error_stack::{Report, ResultExt};
use jackdaw_base::{ErrorKind, plain_data};
use jackdaw_policy::SharePolicy;
use pico_args::Arguments;

/// The help text.
pub const HELP_TEXT: &str = "\
Runs a whole fleet in this process under load and reports what the targets really did.

Usage: jackdaw demo [options]

Options:
  --seconds N               time under load, 1 to 3600 (default 10)
  --seed N                  seed of the load (default 1)
  --routers N               routers, 1 to 64 (default 3)
  --targets N               model engines, 1 to 256; a plain-service target is added for
                            every four of them (default 6)
  --customers N             customers, 3 to 256 (default 8)
  --policy NAME             fleet, local or first-come (default fleet)
  --json                    print the report as one JSON object and nothing else
  --help                    print this text

Exit status: 0 when every answer was right, 1 when the fleet could not run, 2 for a wrong
option, 3 when anything was lost, crossed, truncated or doubled, or ran though it was
answered \"not run\".
";

/// The exit status when the fleet could not run.
const EXIT_FAILED: u8 = 1;

/// The exit status for a wrong command line.
const EXIT_USAGE: u8 = 2;

/// The exit status when an answer was wrong.
const EXIT_INCORRECT: u8 = 3;

plain_data! {
    /// What the demo runs.
    pub struct DemoSettings {
        /// The time under load.
        pub load_time: Duration,
        /// The seed of the load.
        pub seed: u64,
        /// The number of routers.
        pub routers: usize,
        /// The number of model engines.
        pub targets: usize,
        /// The number of customers.
        pub customers: usize,
        /// The rule by which agents choose among offers.
        pub policy: SharePolicy,
        /// Whether the report is printed as JSON.
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

/// What the command line asks for.
#[derive(Debug, Clone, PartialEq)]
pub enum DemoCommand {
    /// Print the help text.
    Help,
    /// Run the demo.
    Run(DemoSettings),
}

/// Parses the arguments after `demo`. Fails with [`ErrorKind::Malformed`] when an option is
/// unknown or its value is not allowed.
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
        return Err(malformed(format!("unknown argument: {}", first.display())));
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

/// Reads a number within a range.
fn parse_number(
    arguments: &mut Arguments,
    name: &'static str,
    range: std::ops::RangeInclusive<u64>,
) -> Result<Option<u64>, Report<ErrorKind>> {
    let value: Option<u64> =
        arguments.opt_value_from_str(name).change_context(ErrorKind::Malformed)?;
    if value.is_some_and(|value| !range.contains(&value)) {
        let (low, high) = (range.start(), range.end());
        return Err(malformed(format!("{name} takes a number from {low} to {high}")));
    }
    Ok(value)
}

/// Reads a count within a range.
fn parse_count(
    arguments: &mut Arguments,
    name: &'static str,
    range: std::ops::RangeInclusive<u64>,
    default: usize,
) -> Result<usize, Report<ErrorKind>> {
    Ok(parse_number(arguments, name, range)?.map_or(default, |value| value as usize))
}

/// Reads the policy.
fn parse_policy(arguments: &mut Arguments) -> Result<Option<SharePolicy>, Report<ErrorKind>> {
    let name: Option<String> =
        arguments.opt_value_from_str("--policy").change_context(ErrorKind::Malformed)?;
    match name.as_deref() {
        None => Ok(None),
        Some("fleet") => Ok(Some(SharePolicy::Fleet)),
        Some("local") => Ok(Some(SharePolicy::Local)),
        Some("first-come") => Ok(Some(SharePolicy::FirstCome)),
        Some(other) => {
            Err(malformed(format!("--policy takes fleet, local or first-come, not {other}")))
        }
    }
}

/// Returns the error of a wrong command line.
fn malformed(message: String) -> Report<ErrorKind> {
    Report::new(ErrorKind::Malformed).attach(message)
}
