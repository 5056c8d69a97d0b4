//! Conditional writes, watches and lost responses of the client against the platform stand-in.

use std::time::Duration;

use bytes::Bytes;
use jackdaw_base::ErrorKind;
use jackdaw_objects::{
    ObjectStore, ObjectVersion, PlatformClient, PlatformSettings, WriteCondition,
};
use jackdaw_standin::{AnswerFault, PlatformFaults, PlatformStandin, StandinSettings};

/// How long a watch waits for a change.
const WATCH_WAIT: Duration = Duration::from_secs(20);

fn open_pair() -> (PlatformStandin, PlatformClient) {
    let standin = PlatformStandin::bind(StandinSettings::default()).unwrap();
    let mut settings = PlatformSettings::new(standin.address());
    settings.governor.attempt_timeout = Duration::from_millis(200);
    (standin, PlatformClient::open(settings))
}

#[actix_rt::test]
async fn conditional_writes() {
    let (standin, client) = open_pair();
    let first = client.write("a/b", WriteCondition::Absent, Bytes::from("1")).await.unwrap();
    let again = client.write("a/b", WriteCondition::Absent, Bytes::from("2")).await;
    assert_eq!(*again.unwrap_err().current_context(), ErrorKind::VersionConflict);
    let condition = WriteCondition::Version(first);
    let second = client.write("a/b", condition, Bytes::from("2")).await.unwrap();
    let stale = client.write("a/b", condition, Bytes::from("3")).await;
    assert_eq!(*stale.unwrap_err().current_context(), ErrorKind::VersionConflict);
    let object = client.read("a/b").await.unwrap().unwrap();
    assert_eq!((object.version, object.value), (second, Bytes::from("2")));
    assert_eq!(client.read("a/c").await.unwrap(), None);
    let large = client.write("a/c", WriteCondition::Absent, vec![0; 1_000_001].into()).await;
    assert_eq!(*large.unwrap_err().current_context(), ErrorKind::TooLarge);
    let largest = client.write("a/c", WriteCondition::Absent, vec![0; 1_000_000].into()).await;
    assert!(largest.is_ok());
    standin.close().await;
}

#[actix_rt::test]
async fn watch_wakes() {
    let (standin, client) = open_pair();
    let watcher = client.clone();
    let watch =
        actix_rt::spawn(async move { watcher.watch("a/", ObjectVersion(0), WATCH_WAIT).await });
    while standin.counts().watches == 0 {
        actix_rt::time::sleep(Duration::from_millis(1)).await;
    }
    client.write("b/x", WriteCondition::Absent, Bytes::new()).await.unwrap();
    let version = client.write("a/x", WriteCondition::Absent, Bytes::new()).await.unwrap();
    let listing = watch.await.unwrap().unwrap();
    assert_eq!(listing.revision, version);
    assert_eq!(listing.changes.len(), 1);
    assert_eq!(listing.changes[0].key, "a/x");
    standin.close().await;
}

#[actix_rt::test]
async fn lost_answers() {
    for fault in [AnswerFault::Gateway, AnswerFault::Closed, AnswerFault::Silent] {
        let (standin, client) = open_pair();
        standin.set_faults(PlatformFaults {
            lost_answers: 1,
            lost_as: Some(fault),
            ..PlatformFaults::default()
        });
        let version = client.write("a", WriteCondition::Absent, Bytes::from("1")).await.unwrap();
        let object = client.read("a").await.unwrap().unwrap();
        assert_eq!((object.version, object.value), (version, Bytes::from("1")), "{fault:?}");
        assert_eq!(standin.counts().effective_writes, 1);
        standin.close().await;
    }
}
