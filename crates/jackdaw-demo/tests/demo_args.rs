//! Parsing of the command-line options and planning of the customers.

use std::ffi::OsString;
use std::time::Duration;

use jackdaw_demo::args::{DemoCommand, parse_args};
use jackdaw_demo::population::{CustomerRole, plan_customers};
use jackdaw_demo::{DemoSettings, execute};
use jackdaw_policy::SharePolicy;

/// Splits a command line at whitespace.
fn split(line: &str) -> Vec<OsString> {
    line.split_whitespace().map(OsString::from).collect()
}

#[test]
fn all_options() {
    let line = "--seconds 3 --seed 9 --routers 2 --targets 5 --customers 4 --policy local --json";
    let expected = DemoSettings {
        load_time: Duration::from_secs(3),
        seed: 9,
        routers: 2,
        targets: 5,
        customers: 4,
        policy: SharePolicy::Local,
        json: true,
    };
    assert_eq!(parse_args(split(line)).unwrap(), DemoCommand::Run(expected));
    assert_eq!(parse_args(split("")).unwrap(), DemoCommand::Run(DemoSettings::default()));
    assert_eq!(parse_args(split("--help")).unwrap(), DemoCommand::Help);
}

#[test]
fn wrong_options() {
    let lines =
        ["--sed 1", "--seconds 0", "--seconds x", "--policy other", "--customers 2", "extra"];
    for line in lines {
        assert!(parse_args(split(line)).is_err(), "{line}");
        assert_eq!(execute(split(line)), 2, "{line}");
    }
}

#[test]
fn planned_customers() {
    let settings = DemoSettings { customers: 9, routers: 4, ..DemoSettings::default() };
    let plans = plan_customers(&settings, 48);
    assert_eq!(plans, plan_customers(&settings, 48), "seed {}", settings.seed);
    assert_eq!(plans[0].role, CustomerRole::Flooding);
    assert_eq!(plans[8].role, CustomerRole::Interactive);
    let single = plans.iter().filter(|plan| plan.routers.len() == 1).count();
    assert!(single >= 4, "too few customers use a single router: {single}");
    assert!(plans[1..8].iter().all(|plan| plan.concurrency > 6));
}
