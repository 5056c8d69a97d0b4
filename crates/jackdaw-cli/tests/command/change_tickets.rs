//! `ticket` and `status` with a platform.

use std::fs;

use jackdaw_standin::{AnswerFault, PlatformFaults, PlatformStandin, StandinSettings};

use crate::program::{RunResult, example, run};

/// A platform stand-in to which tickets are sent.
struct PlatformFixture {
    platform: PlatformStandin,
    url: String,
}

impl PlatformFixture {
    fn bind() -> PlatformFixture {
        let platform = PlatformStandin::bind(StandinSettings::default()).expect("bound");
        let url = format!("http://{}", platform.address());
        PlatformFixture { platform, url }
    }

    /// Runs `jackdaw ticket` with a file or ticket number.
    fn ticket(&self, action: &str, argument: &str) -> RunResult {
        run(&["ticket", action, argument, "--platform", &self.url])
    }
}

/// Guards against a repeated ticket that is applied again or reported as an error.
#[test]
fn ticket_is_applied_once() {
    let fixture = PlatformFixture::bind();
    let (first, second) =
        (example("tickets/cooperativa-1.json"), example("tickets/cooperativa-2.json"));
    assert_eq!(fixture.ticket("status", "1").status, 3);
    assert_eq!(fixture.ticket("check", &first).status, 0);
    assert_eq!(fixture.ticket("status", "1").status, 3, "a check changes nothing");
    let applied = fixture.ticket("apply", &first);
    assert_eq!(applied.status, 0, "{applied:?}");
    assert_eq!(applied.output, "ticket 1 is accepted and in force\n");
    assert!(fixture.ticket("status", "1").output.contains("ticket 1: "));
    let again = fixture.ticket("apply", &first);
    assert_eq!(again.output, "ticket 1 was accepted before and is in force\n");
    assert_eq!(fixture.ticket("apply", &second).status, 0);

    let status = run(&["status", "--platform", &fixture.url]);
    assert_eq!(status.status, 0, "{status:?}");
    for line in [
        "customer Sindicato Norte: share 6, queue limit 200, keys 1, ticket 2",
        "service asistente: models ledger-1, places 8 a target, ticket 1",
        "service cobranza: prefix /cobranza, places 4 a target, ticket 1",
    ] {
        assert!(status.output.lines().any(|found| found == line), "{line}: {}", status.output);
    }
}

/// Guards against a stale or conflicting ticket that changes the configuration.
#[test]
fn rejected_ticket_changes_nothing() {
    let fixture = PlatformFixture::bind();
    let directory = tempfile::tempdir().expect("directory");
    let file = directory.path().join("1.json").display().to_string();
    let first = example("tickets/cooperativa-1.json");
    assert_eq!(fixture.ticket("apply", &example("tickets/cooperativa-2.json")).status, 0);
    let stale = fixture.ticket("apply", &first);
    assert_eq!(stale.status, 3, "{stale:?}");
    assert!(stale.errors.contains("already carries ticket 2"), "{stale:?}");
    assert_eq!(fixture.ticket("check", &first).status, 3);

    let text = fs::read_to_string(example("tickets/cooperativa-2.json")).expect("readable");
    fs::write(&file, text.replace("\"share\": 6", "\"share\": 7")).expect("written");
    let conflict = fixture.ticket("apply", &file);
    assert_eq!(conflict.status, 3, "{conflict:?}");
    assert!(conflict.errors.contains("was accepted with other content"), "{conflict:?}");
    let status = run(&["status", "--platform", &fixture.url]);
    assert!(status.output.contains("Sindicato Norte: share 6"), "{status:?}");
}

/// Guards against an outage that is reported as success or rejection: the ticket may have been
/// accepted.
#[test]
fn outage_leaves_ticket_status_unknown() {
    let fixture = PlatformFixture::bind();
    let faults = PlatformFaults { down: Some(AnswerFault::Closed), ..PlatformFaults::default() };
    fixture.platform.set_faults(faults);
    let first = example("tickets/cooperativa-1.json");
    let unknown = fixture.ticket("apply", &first);
    assert_eq!(unknown.status, 4, "{unknown:?}");
    assert!(unknown.errors.contains("may have been accepted: apply it again"), "{unknown:?}");
    assert_eq!(fixture.ticket("status", "1").status, 1);
    fixture.platform.set_faults(PlatformFaults::default());
    assert_eq!(fixture.ticket("apply", &first).status, 0);
}

/// Guards against a write that takes effect but is reported as failed because its response is
/// lost.
#[test]
fn lost_response_is_resolved() {
    let fixture = PlatformFixture::bind();
    let faults = PlatformFaults { lost_answers: 1, ..PlatformFaults::default() };
    fixture.platform.set_faults(faults);
    let applied = fixture.ticket("apply", &example("tickets/mehta-1.json"));
    assert_eq!(applied.status, 0, "{applied:?}");
    assert_eq!(fixture.ticket("status", "1").status, 0);
}
