//! `check` on good and bad files.

use std::fs;

use crate::program::{example, run};

#[test]
fn examples_are_allowed() {
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

#[test]
fn all_faults_are_shown() {
    let directory = tempfile::tempdir().expect("directory");
    let path = directory.path().join("router.ini");
    let text = fs::read_to_string(example("router.ini")).expect("readable");
    let text = text.replace("name = ba-a-router-1", "name = ").replace("10.1.0.2:6100", "here");
    fs::write(&path, text + "colour = red\n").expect("written");
    let result = run(&["check", &path.display().to_string()]);
    assert_eq!(result.status, 3, "{result:?}");
    for fault in [
        "[process] name: found \"\"; allowed: 1 to 128",
        "[platform] url: found \"http://here\"; allowed: http://IP-NUMBER:PORT",
        "[admin] colour: found an unknown key; allowed: one of key_digest",
    ] {
        assert!(result.errors.contains(fault), "{fault} is missing in {}", result.errors);
    }
}

#[test]
fn all_ticket_problems_are_shown() {
    let directory = tempfile::tempdir().expect("directory");
    let path = directory.path().join("1.json");
    let text = r#"{ "number": 0, "customers": [ { "name": "norte", "share": 0, "colour": 1,
        "keys": ["short"], "queue_limit": 5 } ] }"#;
    fs::write(&path, text).expect("written");
    let result = run(&["check", &path.display().to_string()]);
    assert_eq!(result.status, 3, "{result:?}");
    for place in ["number", "customers[0].share", "customers[0].colour", "customers[0].keys[0]"] {
        let line = format!("jackdaw: {place}: ");
        assert!(result.errors.contains(&line), "{place} is missing in {}", result.errors);
    }
}

#[test]
fn missing_file_is_named() {
    let result = run(&["check", "no-such-file.ini"]);
    assert_eq!(result.status, 1, "{result:?}");
    assert!(result.errors.contains("no-such-file.ini"), "{result:?}");
}
