//! Help texts and invalid command lines.

use crate::program::run;

#[test]
fn every_command_has_help() {
    for command in [
        &[][..],
        &["check"],
        &["ticket"],
        &["ticket", "apply"],
        &["status"],
        &["dump"],
        &["keys"],
        &["keys", "issue"],
        &["id"],
        &["replay"],
        &["demo"],
    ] {
        let result = run(&[command, &["--help"]].concat());
        assert_eq!(result.status, 0, "{command:?}");
        assert!(result.output.contains("Usage: jackdaw"), "{command:?}: {}", result.output);
        assert!(result.output.contains("Exit status"), "{command:?}: {}", result.output);
        assert_eq!(result.errors, "", "{command:?}");
    }
    assert!(run(&["--version"]).output.starts_with("jackdaw "));
}

#[test]
fn unknown_arguments_are_rejected() {
    for arguments in [
        &["--colour"][..],
        &["paint"],
        &["check", "--strict", "router.ini"],
        &["check", "router.ini", "agent.ini"],
        &["ticket", "burn", "1.json"],
        &["ticket", "status", "1", "--platform", "http://127.0.0.1:1", "--force"],
        &["status", "--platform", "http://127.0.0.1:1", "--json"],
        &["dump", "--process", "127.0.0.1:1", "--key-file", "key", "now"],
        &["keys", "secret", "--days", "5"],
        &["id", "--long"],
        &["replay", "--fast"],
        &["demo", "--colour"],
    ] {
        let result = run(arguments);
        assert_eq!(result.status, 2, "{arguments:?}: {result:?}");
        assert_eq!(result.output, "", "{arguments:?}");
        assert!(result.errors.contains("unknown"), "{arguments:?}: {}", result.errors);
    }
}

#[test]
fn missing_and_invalid_values_are_explained() {
    for (arguments, reason) in [
        (&[][..], "missing command"),
        (&["check"], "missing FILE argument"),
        (&["ticket"], "missing operation: expected ticket check"),
        (&["ticket", "apply", "1.json"], "--platform is missing"),
        (&["ticket", "apply", "1.json", "--platform", "10.0.0.1"], "http://IP-NUMBER:PORT"),
        (&["ticket", "status", "x", "--platform", "http://127.0.0.1:1"], "not a ticket number"),
        (&["status"], "specify either --platform or --process"),
        (&["status", "--process", "localhost"], "IP-NUMBER:PORT"),
        (&["dump", "--process", "127.0.0.1:1"], "--key-file is missing"),
        (&["keys"], "missing operation: expected keys authority"),
        (&["keys", "authority", "--directory", "x", "--days", "0"], "from 1 to 36500"),
        (&["keys", "issue", "--directory", "x", "--vm", "a", "--role", "king"], "router, agent"),
    ] {
        let result = run(arguments);
        assert_eq!(result.status, 2, "{arguments:?}: {result:?}");
        assert!(result.errors.contains(reason), "{arguments:?}: {}", result.errors);
    }
}

#[test]
fn id_prints_identifier_of_name() {
    let id = jackdaw_base::CustomerId::from_name("Sindicato Norte");
    let result = run(&["id", "Sindicato Norte"]);
    assert_eq!((result.status, result.output), (0, format!("{id} {}\n", id.0)));
}
