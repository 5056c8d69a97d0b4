//! `check` of valid and invalid files.

use std::fs;

use crate::program::{example, run};

#[test]
fn example_files_are_valid() {
    for (file, text) in [
        ("router.ini", "settings of a router are allowed"),
        ("agent.ini", "settings of an agent are allowed"),
        ("tickets/cooperativa-1.json", "ticket 1 is allowed"),
        ("tickets/cooperativa-2.json", "ticket 2 is allowed"),
        ("tickets/mehta-1.json", "ticket 1 is allowed"),
    ] {
        let result = run(&["check", &example(file)]);
        assert_eq!(result.status, 0, "{result:?}");
        assert!(result.output.contains(text), "{result:?}");
    }
}

/// Guards against validation that stops at the first error of a settings file.
#[test]
fn all_settings_errors_are_printed() {
    let directory = tempfile::tempdir().expect("directory");
    let path = directory.path().join("router.ini");
    let text = fs::read_to_string(example("router.ini")).expect("readable");
    let text = text.replace("name = ba-a-router-1", "name = ").replace("10.1.0.2:6100", "here");
    fs::write(&path, text + "colour = red\n").expect("written");
    let result = run(&["check", &path.display().to_string()]);
    assert_eq!(result.status, 3, "{result:?}");
    for error in [
        "[process] name: found \"\"; allowed: 1 to 128",
        "[platform] url: found \"http://here\"; allowed: http://IP-NUMBER:PORT",
        "[admin] colour: found an unknown key; allowed: one of key_digest",
    ] {
        assert!(result.errors.contains(error), "{error} is missing in {}", result.errors);
    }
}

/// Guards against validation that stops at the first problem of a ticket.
#[test]
fn all_ticket_problems_are_printed() {
    let directory = tempfile::tempdir().expect("directory");
    let path = directory.path().join("1.json");
    let text = r#"{ "number": 0, "customers": [ { "name": "norte", "share": 0, "colour": 1,
        "keys": ["short"], "queue_limit": 5 } ] }"#;
    fs::write(&path, text).expect("written");
    let result = run(&["check", &path.display().to_string()]);
    assert_eq!(result.status, 3, "{result:?}");
    for field in ["number", "customers[0].share", "customers[0].colour", "customers[0].keys[0]"] {
        let line = format!("jackdaw: {field}: ");
        assert!(result.errors.contains(&line), "{field} is missing in {}", result.errors);
    }
}

#[test]
fn missing_file_is_named_in_error() {
    let result = run(&["check", "no-such-file.ini"]);
    assert_eq!(result.status, 1, "{result:?}");
    assert!(result.errors.contains("no-such-file.ini"), "{result:?}");
}
