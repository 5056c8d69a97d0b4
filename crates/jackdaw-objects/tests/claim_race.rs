//! A key is granted at most once, whatever faults the platform shows while claims are written.

use std::time::{Duration, SystemTime};

use error_stack::Report;
use futures_util::future::Either;
use jackdaw_base::{ErrorKind, ProcessIncarnation, RequestOutcome};
use jackdaw_objects::{ClaimLayout, ClaimSettings, ClaimWriter, PlatformClient, PlatformSettings};
use jackdaw_standin::{AnswerFault, PlatformFaults, PlatformStandin, StandinSettings};
use uuid::{NoContext, Timestamp, Uuid};

/// Maximum number of claims until a key must be granted.
const MAX_CLAIM_TRIES: u32 = 1000;

type ClaimResult = Result<(), Report<ErrorKind>>;

fn bind() -> PlatformStandin {
    PlatformStandin::bind(StandinSettings::default()).unwrap()
}

fn open_client(standin: &PlatformStandin) -> PlatformClient {
    let mut settings = PlatformSettings::new(standin.address());
    settings.governor.attempt_timeout = Duration::from_millis(100);
    settings.governor.max_open_time = Duration::from_millis(50);
    settings.call_timeout = Duration::from_millis(300);
    settings.governor.burst = 10_000;
    PlatformClient::open(settings)
}

fn spawn_with(standin: &PlatformStandin, settings: ClaimSettings) -> ClaimWriter<PlatformClient> {
    ClaimWriter::spawn(open_client(standin), ProcessIncarnation::random(), settings)
}

fn spawn_writer(standin: &PlatformStandin) -> ClaimWriter<PlatformClient> {
    spawn_with(standin, ClaimSettings::default())
}

/// Returns the milliseconds since the Unix epoch.
fn now_millis() -> u64 {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap().as_millis() as u64
}

/// Creates a key with a timestamp in milliseconds since the Unix epoch.
fn key_at(millis: u64) -> String {
    let nanos = (millis % 1000) as u32 * 1_000_000;
    Uuid::new_v7(Timestamp::from_unix(NoContext, millis / 1000, nanos)).to_string()
}

/// Creates a key with the current time.
fn key_now() -> String {
    key_at(now_millis())
}

fn kind(result: &ClaimResult) -> Option<ErrorKind> {
    result.as_ref().err().map(|report| *report.current_context())
}

/// Waits until the stand-in holds back this number of writes.
async fn wait_for_held(standin: &PlatformStandin, count: usize) {
    while standin.held_writes() < count {
        actix_rt::time::sleep(Duration::from_millis(1)).await;
    }
}

/// Repeats a claim until it is granted.
async fn claim_until_granted(writer: &ClaimWriter<PlatformClient>, key: &str) {
    for _ in 0..MAX_CLAIM_TRIES {
        if writer.claim(key).await.is_ok() {
            return;
        }
        actix_rt::time::sleep(Duration::from_millis(2)).await;
    }
    panic!("the key is not granted within {MAX_CLAIM_TRIES} tries");
}

#[actix_rt::test]
async fn two_writers() {
    let standin = bind();
    let (left, right) = (spawn_writer(&standin), spawn_writer(&standin));
    for _ in 0..20 {
        let key = key_now();
        let (first, second, third) =
            futures_util::join!(left.claim(&key), right.claim(&key), left.claim(&key));
        let kinds = [kind(&first), kind(&second), kind(&third)];
        let granted = kinds.iter().filter(|kind| kind.is_none()).count();
        let refused = kinds.iter().filter(|kind| **kind == Some(ErrorKind::AlreadyClaimed)).count();
        assert_eq!((granted, refused), (1, 2), "{kinds:?}");
    }
    standin.close().await;
}

#[actix_rt::test]
async fn ambiguous_answers() {
    for fault in [AnswerFault::Gateway, AnswerFault::Closed, AnswerFault::Silent] {
        let standin = bind();
        let (left, right) = (spawn_writer(&standin), spawn_writer(&standin));
        left.claim(&key_now()).await.unwrap();
        standin.set_faults(PlatformFaults {
            lost_answers: 1,
            lost_as: Some(fault),
            ..PlatformFaults::default()
        });
        let key = key_now();
        assert_eq!(kind(&left.claim(&key).await), None, "{fault:?}");
        assert_eq!(kind(&right.claim(&key).await), Some(ErrorKind::AlreadyClaimed));
        assert_eq!(kind(&left.claim(&key).await), Some(ErrorKind::AlreadyClaimed));
        standin.close().await;
    }
}

#[actix_rt::test]
async fn platform_down() {
    let standin = bind();
    let writer = spawn_writer(&standin);
    writer.claim(&key_now()).await.unwrap();
    for fault in [AnswerFault::Gateway, AnswerFault::Closed, AnswerFault::Silent] {
        standin.set_faults(PlatformFaults { down: Some(fault), ..PlatformFaults::default() });
        let key = key_now();
        let refused = kind(&writer.claim(&key).await);
        assert_eq!(refused, Some(ErrorKind::ClaimUnavailable), "{fault:?}");
        assert_eq!(refused.unwrap().outcome(), RequestOutcome::NotRun);
        standin.set_faults(PlatformFaults::default());
        claim_until_granted(&writer, &key).await;
        assert_eq!(kind(&writer.claim(&key).await), Some(ErrorKind::AlreadyClaimed));
    }
    standin.close().await;
}

/// The write of a claim takes effect but its response is lost in an outage, so the claim fails. It
/// must be released afterwards, so that any process can run the recording that was reported as
/// not run.
#[actix_rt::test]
async fn claim_released_after_outage() {
    let standin = bind();
    let (left, right) = (spawn_writer(&standin), spawn_writer(&standin));
    left.claim(&key_now()).await.unwrap();
    right.claim(&key_now()).await.unwrap();
    let key = key_now();
    standin.set_faults(PlatformFaults {
        lost_answers: 1,
        lost_as: Some(AnswerFault::Silent),
        ..PlatformFaults::default()
    });
    let before = standin.counts().effective_writes;
    let outage = async {
        while standin.counts().effective_writes == before {
            actix_rt::time::sleep(Duration::from_micros(100)).await;
        }
        let down = Some(AnswerFault::Gateway);
        standin.set_faults(PlatformFaults { down, ..PlatformFaults::default() });
    };
    let (result, ()) = futures_util::join!(left.claim(&key), outage);
    assert_eq!(kind(&result), Some(ErrorKind::ClaimUnavailable));
    standin.set_faults(PlatformFaults { held_writes: 1, ..PlatformFaults::default() });
    wait_for_held(&standin, 1).await;
    assert_eq!(kind(&right.claim(&key).await), Some(ErrorKind::AlreadyClaimed));
    claim_until_granted(&right, &key).await;
    assert_eq!(kind(&left.claim(&key).await), Some(ErrorKind::AlreadyClaimed));
    standin.close().await;
}

#[actix_rt::test]
async fn slow_platform() {
    let standin = bind();
    standin.set_faults(PlatformFaults { delay_millis: 60, ..PlatformFaults::default() });
    let writer = spawn_writer(&standin);
    writer.claim(&key_now()).await.unwrap();
    let before = standin.counts().writes;
    let keys: Vec<String> = (0..200).map(|_| key_now()).collect();
    let claims = keys.iter().map(|key| writer.claim(key));
    for result in futures_util::future::join_all(claims).await {
        assert_eq!(kind(&result), None);
    }
    let writes = standin.counts().writes - before;
    assert!(writes <= 4, "{writes} writes for 200 claims at once");
    standin.close().await;
}

/// A process is suspended while its write is in flight and another one claims the key meanwhile;
/// the late write must not take effect.
#[actix_rt::test]
async fn suspended_claimer() {
    let standin = bind();
    let (suspended, other) = (spawn_writer(&standin), spawn_writer(&standin));
    let key = key_now();
    other.claim(&key_at(now_millis() - 5000)).await.unwrap();
    suspended.claim(&key_at(now_millis() - 5000)).await.unwrap();
    standin.set_faults(PlatformFaults { held_writes: 1, ..PlatformFaults::default() });
    let rival = async {
        wait_for_held(&standin, 1).await;
        let result = other.claim(&key).await;
        assert_eq!(standin.release_writes(), 0, "the delayed write took effect");
        result
    };
    let (delayed, granted) = futures_util::join!(suspended.claim(&key), rival);
    assert_eq!(kind(&granted), None);
    assert_eq!(kind(&delayed), Some(ErrorKind::AlreadyClaimed));
    standin.close().await;
}

/// A claim that is delayed until a later bucket has reused its object is refused.
#[actix_rt::test]
async fn reused_object() {
    let standin = bind();
    let settings = ClaimSettings {
        layout: ClaimLayout { slots: 1, bucket_millis: 1000, ring: 4 },
        ..ClaimSettings::default()
    };
    let suspended = spawn_with(&standin, settings.clone());
    let other = spawn_with(&standin, settings);
    let start = now_millis();
    let key = key_at(start);
    suspended.claim(&key_at(start + 5000)).await.unwrap();
    standin.set_faults(PlatformFaults { held_writes: 1, ..PlatformFaults::default() });
    let rival = async {
        wait_for_held(&standin, 1).await;
        let granted = other.claim(&key).await;
        other.claim(&key_at(start + 4000)).await.unwrap();
        granted
    };
    let (delayed, granted) = futures_util::join!(suspended.claim(&key), rival);
    assert_eq!(kind(&granted), None);
    assert_eq!(kind(&delayed), Some(ErrorKind::KeyExpired));
    assert_eq!(kind(&other.claim(&key).await), Some(ErrorKind::KeyExpired));
    assert_eq!(standin.release_writes(), 0);
    standin.close().await;
}

#[actix_rt::test]
async fn cancelled_claim() {
    let standin = bind();
    let (left, right) = (spawn_writer(&standin), spawn_writer(&standin));
    left.claim(&key_now()).await.unwrap();
    let key = key_now();
    standin.set_faults(PlatformFaults { delay_millis: 30, ..PlatformFaults::default() });
    let before = standin.counts();
    let sent = async {
        while standin.counts().writes == before.writes {
            actix_rt::time::sleep(Duration::from_micros(100)).await;
        }
    };
    let claim = Box::pin(left.claim(&key));
    let first = futures_util::future::select(claim, Box::pin(sent)).await;
    assert!(matches!(first, Either::Right(_)));
    drop(first);
    standin.set_faults(PlatformFaults::default());
    while standin.counts().effective_writes == before.effective_writes {
        actix_rt::time::sleep(Duration::from_micros(100)).await;
    }
    claim_until_granted(&right, &key).await;
    standin.close().await;
}

#[actix_rt::test]
async fn released_claim() {
    let standin = bind();
    let (left, right) = (spawn_writer(&standin), spawn_writer(&standin));
    let key = key_now();
    left.claim(&key).await.unwrap();
    assert_eq!(kind(&right.claim(&key).await), Some(ErrorKind::AlreadyClaimed));
    right.release(&key);
    assert_eq!(kind(&right.claim(&key).await), Some(ErrorKind::AlreadyClaimed));
    left.release(&key);
    claim_until_granted(&right, &key).await;
    left.release(&key);
    assert_eq!(kind(&left.claim(&key).await), Some(ErrorKind::AlreadyClaimed));
    standin.close().await;
}

#[actix_rt::test]
async fn key_rules() {
    let standin = bind();
    let writer = spawn_writer(&standin);
    let day = 86_400_000;
    let cases = [
        ("".to_owned(), ErrorKind::KeyRequired),
        ("recording-1".to_owned(), ErrorKind::KeyRequired),
        (Uuid::new_v4().to_string(), ErrorKind::KeyRequired),
        (key_at(now_millis() - day), ErrorKind::KeyExpired),
        (key_at(now_millis() + day), ErrorKind::KeyExpired),
    ];
    for (key, expected) in cases {
        assert_eq!(kind(&writer.claim(&key).await), Some(expected), "{key}");
    }
    assert_eq!(ErrorKind::KeyExpired.outcome(), RequestOutcome::Unknown);
    assert_eq!(standin.counts().calls(), 0);
    standin.close().await;
}

/// A process with another layout must be refused, since it would claim the same key in another
/// object.
#[actix_rt::test]
async fn other_layout() {
    let standin = bind();
    let writer = spawn_writer(&standin);
    writer.claim(&key_now()).await.unwrap();
    let layout = ClaimLayout { slots: 2, ..ClaimLayout::default() };
    let other = spawn_with(&standin, ClaimSettings { layout, ..ClaimSettings::default() });
    let refused = other.claim(&key_now()).await;
    assert_eq!(kind(&refused), Some(ErrorKind::ClaimUnavailable));
    standin.close().await;
}
