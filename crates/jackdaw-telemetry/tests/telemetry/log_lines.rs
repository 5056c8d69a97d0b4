//! Format and filtering of log lines.

use jackdaw_telemetry::{LogOutput, LogSettings, log_dispatch};
use log::{Level, LevelFilter, Record};
use serde_json::Value;
use time::OffsetDateTime;
use time::format_description::well_known::Rfc3339;

fn log_records(records: &[Record<'_>]) -> Vec<Value> {
    let directory = tempfile::tempdir().expect("directory");
    let path = directory.path().join("log");
    let output = LogOutput::File(path.clone());
    let settings = LogSettings { level: LevelFilter::Info, output };
    let (_, logger) = log_dispatch(&settings, "ba-a-router-1").expect("file").into_log();
    for record in records {
        logger.log(record);
    }
    logger.flush();
    let text = std::fs::read_to_string(&path).expect("readable");
    text.lines().map(|line| serde_json::from_str(line).expect("JSON")).collect()
}

#[test]
fn line_has_all_fields() {
    let fields: &[(&str, u64)] = &[("sequence", 7), ("level", 9)];
    let record = Record::builder()
        .level(Level::Warn)
        .target("jackdaw_link")
        .args(format_args!("a \"quoted\"\nmessage"))
        .key_values(&fields)
        .build();
    let lines = log_records(&[record]);
    assert_eq!(lines.len(), 1);
    assert_eq!(lines[0]["level"], "warn");
    assert_eq!(lines[0]["process"], "ba-a-router-1");
    assert_eq!(lines[0]["target"], "jackdaw_link");
    assert_eq!(lines[0]["message"], "a \"quoted\"\nmessage");
    assert_eq!(lines[0]["sequence"], 7);
    let time = lines[0]["time"].as_str().expect("text");
    assert!(OffsetDateTime::parse(time, &Rfc3339).is_ok());
}

#[test]
fn levels_below_the_limit_are_omitted() {
    let record = Record::builder().level(Level::Debug).args(format_args!("detail")).build();
    assert!(log_records(&[record]).is_empty());
}
