//! All problems of a ticket are reported at once, each with its path.

use jackdaw_base::{DocumentBody, ServiceKind, TicketNumber};
use jackdaw_objects::{ChangeTicket, TicketProblem, digest_key};

const GOOD: &str = r#"{
  "number": 7,
  "customers": [
    {"name": "Sindicato Norte", "share": 4, "keys": ["norte-key-0123456789"], "queue_limit": 50},
    {"name": "sur", "removed": true}
  ],
  "services": [
    {"name": "asistente", "kind": "engine", "models": ["ledger-1"], "place_limit": 8,
     "checks_fencing": true},
    {"name": "cobranza", "kind": "plain", "path_prefix": "/cobranza", "place_limit": 4,
     "checks_fencing": false}
  ]
}"#;

const BAD: &str = r#"{
  "number": 0,
  "note": "hello",
  "customers": [
    {"name": "norte", "share": 0, "keys": ["short", "blake3:12"], "queue_limit": 0, "colour": 1},
    {"name": "norte", "share": "big", "keys": [], "queue_limit": 5},
    {"name": "a/b", "removed": true, "share": 3},
    17
  ],
  "services": [
    {"name": "asistente", "kind": "engine", "models": [], "place_limit": 0,
     "checks_fencing": true, "path_prefix": "/x"},
    {"name": "other", "kind": "fast"},
    {"name": "cobranza", "kind": "plain", "path_prefix": "cobranza/", "place_limit": 4}
  ]
}"#;

fn paths(problems: &[TicketProblem]) -> Vec<&str> {
    problems.iter().map(|problem| problem.path.as_str()).collect()
}

#[test]
fn good_ticket() {
    let ticket = ChangeTicket::parse(GOOD).unwrap();
    assert_eq!(ticket.number, TicketNumber(7));
    let Some(DocumentBody::Customer(customer)) = &ticket.entries[0].body else {
        panic!("not a customer: {:?}", ticket.entries[0]);
    };
    assert_eq!(customer.keys, [digest_key("norte-key-0123456789")]);
    assert_eq!(ticket.entries[1].body, None);
    let Some(DocumentBody::Service(service)) = &ticket.entries[3].body else {
        panic!("not a service: {:?}", ticket.entries[3]);
    };
    assert_eq!((service.kind, service.path_prefix.as_str()), (ServiceKind::Plain, "/cobranza"));
    assert!(!serde_json::to_string(&ticket).unwrap().contains("norte-key"));
}

#[test]
fn all_problems() {
    let problems = ChangeTicket::parse(BAD).unwrap_err();
    let paths = paths(&problems);
    let expected = [
        "note",
        "customers[0].keys[0]",
        "customers[0].keys[1]",
        "customers[0].colour",
        "customers[1].share",
        "customers[2].share",
        "customers[3]",
        "services[0].path_prefix",
        "services[1].kind",
        "services[2].checks_fencing",
        "number",
        "customers[0].share",
        "customers[0].queue_limit",
        "customers[1]",
        "customers[1].keys",
        "customers[2].name",
        "services[0].place_limit",
        "services[0].models",
    ];
    for path in expected {
        assert!(paths.contains(&path), "{path} is missing in {problems:#?}");
    }
}

#[test]
fn broken_json() {
    let problems = ChangeTicket::parse("{\"number\": 7,").unwrap_err();
    assert_eq!(paths(&problems), ["ticket"]);
    assert!(problems[0].reason.contains("line 1"), "{}", problems[0]);
    let problems = ChangeTicket::parse("[]").unwrap_err();
    assert!(paths(&problems).contains(&"ticket"));
    let problems = ChangeTicket::parse(r#"{"number": 1, "number": 2}"#).unwrap_err();
    assert!(problems[0].reason.contains("`number`"), "{}", problems[0]);
}
