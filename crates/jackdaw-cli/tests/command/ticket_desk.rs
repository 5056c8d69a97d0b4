//! `ticket` and `status` at the platform.

use std::fs;

use jackdaw_standin::{AnswerFault, PlatformFaults, PlatformStandin, StandinSettings};

use crate::program::{RunResult, example, run};

struct Desk {
    platform: PlatformStandin,
    url: String,
}

impl Desk {
    fn bind() -> Desk {
        let platform = PlatformStandin::bind(StandinSettings::default()).expect("bound");
        let url = format!("http://{}", platform.address());
        Desk { platform, url }
    }

    fn ticket(&self, action: &str, what: &str) -> RunResult {
        run(&["ticket", action, what, "--platform", &self.url])
    }
}

#[test]
fn ticket_is_applied_once() {
    let desk = Desk::bind();
    let (first, second) =
        (example("tickets/cooperativa-1.json"), example("tickets/cooperativa-2.json"));
    assert_eq!(desk.ticket("status", "1").status, 3);
    assert_eq!(desk.ticket("check", &first).status, 0);
    assert_eq!(desk.ticket("status", "1").status, 3, "a check changes nothing");
    let applied = desk.ticket("apply", &first);
    assert_eq!(applied.status, 0, "{applied:?}");
    assert_eq!(applied.output, "ticket 1 is accepted and in force\n");
    assert!(desk.ticket("status", "1").output.contains("ticket 1: "));
    let again = desk.ticket("apply", &first);
    assert_eq!(again.output, "ticket 1 was accepted before and is in force\n");
    assert_eq!(desk.ticket("apply", &second).status, 0);

    let status = run(&["status", "--platform", &desk.url]);
    assert_eq!(status.status, 0, "{status:?}");
    for line in [
        "customer Sindicato Norte: share 6, queue limit 200, keys 1, ticket 2",
        "service asistente: models ledger-1, places 8 a target, ticket 1",
        "service cobranza: prefix /cobranza, places 4 a target, ticket 1",
    ] {
        assert!(status.output.lines().any(|found| found == line), "{line}: {}", status.output);
    }
}

#[test]
fn refused_ticket_changes_nothing() {
    let desk = Desk::bind();
    let directory = tempfile::tempdir().expect("directory");
    let file = directory.path().join("1.json").display().to_string();
    let first = example("tickets/cooperativa-1.json");
    assert_eq!(desk.ticket("apply", &example("tickets/cooperativa-2.json")).status, 0);
    let stale = desk.ticket("apply", &first);
    assert_eq!(stale.status, 3, "{stale:?}");
    assert!(stale.errors.contains("already carries ticket 2"), "{stale:?}");
    assert_eq!(desk.ticket("check", &first).status, 3);

    let text = fs::read_to_string(example("tickets/cooperativa-2.json")).expect("readable");
    fs::write(&file, text.replace("\"share\": 6", "\"share\": 7")).expect("written");
    let conflict = desk.ticket("apply", &file);
    assert_eq!(conflict.status, 3, "{conflict:?}");
    assert!(conflict.errors.contains("was accepted with other content"), "{conflict:?}");
    let status = run(&["status", "--platform", &desk.url]);
    assert!(status.output.contains("Sindicato Norte: share 6"), "{status:?}");
}

#[test]
fn silent_platform_leaves_it_unknown() {
    let desk = Desk::bind();
    let faults = PlatformFaults { down: Some(AnswerFault::Closed), ..PlatformFaults::default() };
    desk.platform.set_faults(faults);
    let first = example("tickets/cooperativa-1.json");
    let unknown = desk.ticket("apply", &first);
    assert_eq!(unknown.status, 4, "{unknown:?}");
    assert!(unknown.errors.contains("may have been accepted: apply it again"), "{unknown:?}");
    assert_eq!(desk.ticket("status", "1").status, 1);
    desk.platform.set_faults(PlatformFaults::default());
    assert_eq!(desk.ticket("apply", &first).status, 0);
}

/// The write takes effect, but its answer is lost.
#[test]
fn lost_answer_is_resolved() {
    let desk = Desk::bind();
    let faults = PlatformFaults { lost_answers: 1, ..PlatformFaults::default() };
    desk.platform.set_faults(faults);
    let applied = desk.ticket("apply", &example("tickets/mehta-1.json"));
    assert_eq!(applied.status, 0, "{applied:?}");
    assert_eq!(desk.ticket("status", "1").status, 0);
}
