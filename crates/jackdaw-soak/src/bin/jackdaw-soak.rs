//! Command-line program that runs the soak test for a range of seeds.

use std::process::ExitCode;
use std::time::Duration;

use jackdaw_soak::{SoakSize, run_soak};
use tokio::task::LocalSet;

const HELP: &str = "\
jackdaw-soak: injects random faults into edge router processes

    jackdaw-soak [--first SEED] [--count N] [--seconds S] [--routers N] [--targets N]
                 [--callers N] [--keep DIRECTORY]

Runs the jackdaw-edge program beside it: build that with the same profile first. Violated
guarantees are printed for each seed; --keep copies settings and logs to DIRECTORY/SEED.
";

/// Exit status if a guarantee was violated.
const EXIT_VIOLATION: u8 = 1;

/// Exit status for an invalid command line.
const EXIT_USAGE: u8 = 2;

struct SoakCommand {
    first: u64,
    count: u64,
    size: SoakSize,
    keep: Option<String>,
}

fn main() -> ExitCode {
    let mut args = pico_args::Arguments::from_env();
    if args.contains(["-h", "--help"]) {
        print!("{HELP}");
        return ExitCode::SUCCESS;
    }
    let command = match read_command(args) {
        Ok(command) => command,
        Err(error) => {
            eprintln!("{error}\n\n{HELP}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    let mut failed_seeds = 0;
    for seed in command.first..command.first + command.count {
        failed_seeds += u64::from(!run_seed(seed, &command));
    }
    println!("{failed_seeds} of {} seeds violated a guarantee", command.count);
    if failed_seeds > 0 { ExitCode::from(EXIT_VIOLATION) } else { ExitCode::SUCCESS }
}

fn read_command(mut args: pico_args::Arguments) -> Result<SoakCommand, pico_args::Error> {
    let seconds = args.opt_value_from_str("--seconds")?.unwrap_or(8);
    let command = SoakCommand {
        first: args.opt_value_from_str("--first")?.unwrap_or(1),
        count: args.opt_value_from_str("--count")?.unwrap_or(1),
        size: SoakSize {
            routers: args.opt_value_from_str("--routers")?.unwrap_or(4),
            targets: args.opt_value_from_str("--targets")?.unwrap_or(4),
            callers: args.opt_value_from_str("--callers")?.unwrap_or(12),
            fault_window: Duration::from_secs(seconds),
        },
        keep: args.opt_value_from_str("--keep")?,
    };
    let size = &command.size;
    if size.routers.min(size.targets).min(size.callers) == 0 {
        let cause = "--routers, --targets and --callers must be at least 1".to_owned();
        return Err(pico_args::Error::ArgumentParsingFailed { cause });
    }
    match args.finish().as_slice() {
        [] => Ok(command),
        [first, ..] => Err(pico_args::Error::ArgumentParsingFailed {
            cause: format!("unknown argument {}", first.display()),
        }),
    }
}

/// Runs a seed, prints its report and returns whether all guarantees held.
fn run_seed(seed: u64, command: &SoakCommand) -> bool {
    let directory = tempfile::tempdir().expect("temporary directory can be created");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let run = run_soak(seed, &command.size, directory.path());
    let report = LocalSet::new().block_on(&runtime.expect("runtime can be built"), run);
    println!(
        "seed {seed}: {} requests {:?}, all routers recovered after {:.1} s, {} violations",
        report.calls,
        report.outcomes,
        report.recovery.as_secs_f64(),
        report.violations.len()
    );
    for violation in &report.violations {
        println!("    {violation}");
    }
    if let Some(keep) = &command.keep {
        let destination = std::path::Path::new(keep).join(seed.to_string());
        if let Err(error) = copy_logs(directory.path(), &destination) {
            eprintln!("cannot copy the logs of seed {seed}: {error}");
        }
    }
    report.violations.is_empty()
}

fn copy_logs(from: &std::path::Path, to: &std::path::Path) -> std::io::Result<()> {
    std::fs::create_dir_all(to)?;
    for entry in std::fs::read_dir(from)? {
        let entry = entry?;
        std::fs::copy(entry.path(), to.join(entry.file_name()))?;
    }
    Ok(())
}
