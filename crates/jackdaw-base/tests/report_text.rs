//! Formatting of error reports.

use error_stack::{Report, ResultExt};
use jackdaw_base::{ErrorKind, describe_report, report_parts};

#[test]
fn attachments_follow_their_error() {
    let inner: Result<(), _> = Err(Report::new(ErrorKind::LocalResource).attach("file a"));
    let report = inner
        .attach("file b")
        .change_context(ErrorKind::SettingsInvalid)
        .attach("line 1")
        .attach("line 2")
        .expect_err("a failure");
    let parts = ["settings-invalid", "line 1", "line 2", "local-resource", "file a", "file b"];
    assert_eq!(report_parts(&report), parts);
    assert_eq!(describe_report(&report), parts.join(": "));
}
