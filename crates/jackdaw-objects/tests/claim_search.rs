//! Random search over the faults of the platform while several writers claim keys.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use error_stack::Report;
use jackdaw_base::{ErrorKind, ProcessIncarnation};
use jackdaw_objects::{
    CallCounts, ClaimLayout, ClaimSettings, ClaimWriter, ObjectListing, ObjectStore, ObjectVersion,
    StoredObject, VmListing, WriteCondition,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use uuid::Uuid;

/// Number of runs, each with its own seed.
const RUNS: u64 = 30;
/// Number of writers per run.
const WRITERS: usize = 3;
/// Number of keys per run.
const KEYS: usize = 12;
/// Number of claims per run.
const CLAIMS: usize = 40;

/// In-memory object store that injects random faults.
#[derive(Clone)]
struct FaultyStore {
    inner: Rc<RefCell<StoreState>>,
}

struct StoreState {
    revision: u64,
    objects: HashMap<String, StoredObject>,
    rng: ChaCha8Rng,
    faulty: bool,
}

/// Fault injected into a call.
enum CallFault {
    None,
    /// The call takes no effect and gets no response.
    Dropped,
    /// The call takes effect but its response is lost.
    ResponseLost,
    /// The call gets no response and takes effect only later.
    Delayed,
}

impl FaultyStore {
    fn new(seed: u64) -> FaultyStore {
        let inner = StoreState {
            revision: 0,
            objects: HashMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            faulty: true,
        };
        FaultyStore { inner: Rc::new(RefCell::new(inner)) }
    }

    fn draw_fault(&self) -> CallFault {
        let mut inner = self.inner.borrow_mut();
        if !inner.faulty {
            return CallFault::None;
        }
        match inner.rng.random_range(0..10) {
            0 => CallFault::Dropped,
            1 => CallFault::ResponseLost,
            2 => CallFault::Delayed,
            _ => CallFault::None,
        }
    }

    /// Yields to other tasks a random number of times, at most `max_yields`.
    async fn yield_randomly(&self, max_yields: u32) {
        let yields = self.inner.borrow_mut().rng.random_range(0..=max_yields);
        for _ in 0..yields {
            tokio::task::yield_now().await;
        }
    }

    fn apply(
        &self,
        key: &str,
        condition: WriteCondition,
        value: Bytes,
    ) -> Result<ObjectVersion, Report<ErrorKind>> {
        let mut inner = self.inner.borrow_mut();
        if StoredObject::condition(inner.objects.get(key)) != condition {
            return Err(Report::new(ErrorKind::VersionConflict));
        }
        inner.revision += 1;
        let version = ObjectVersion(inner.revision);
        inner.objects.insert(key.to_owned(), StoredObject { version, value });
        Ok(version)
    }
}

fn no_response<T>() -> Result<T, Report<ErrorKind>> {
    Err(Report::new(ErrorKind::PlatformUnavailable))
}

impl ObjectStore for FaultyStore {
    async fn read(&self, key: &str) -> Result<Option<StoredObject>, Report<ErrorKind>> {
        self.yield_randomly(4).await;
        let object = self.inner.borrow().objects.get(key).cloned();
        self.yield_randomly(4).await;
        match self.draw_fault() {
            CallFault::None => Ok(object),
            CallFault::Dropped | CallFault::ResponseLost | CallFault::Delayed => no_response(),
        }
    }

    async fn write(
        &self,
        key: &str,
        condition: WriteCondition,
        value: Bytes,
    ) -> Result<ObjectVersion, Report<ErrorKind>> {
        self.yield_randomly(4).await;
        match self.draw_fault() {
            CallFault::None => {
                let result = self.apply(key, condition, value);
                self.yield_randomly(4).await;
                result
            }
            CallFault::Dropped => no_response(),
            CallFault::ResponseLost => {
                let _ = self.apply(key, condition, value);
                no_response()
            }
            CallFault::Delayed => {
                let (store, key) = (self.clone(), key.to_owned());
                actix_rt::spawn(async move {
                    store.yield_randomly(200).await;
                    let _ = store.apply(&key, condition, value);
                });
                no_response()
            }
        }
    }

    async fn list(&self, _prefix: &str) -> Result<ObjectListing, Report<ErrorKind>> {
        no_response()
    }

    async fn watch(
        &self,
        _prefix: &str,
        _after: ObjectVersion,
        _wait: Duration,
    ) -> Result<ObjectListing, Report<ErrorKind>> {
        no_response()
    }

    async fn watch_vms(
        &self,
        _after: u64,
        _wait: Duration,
    ) -> Result<VmListing, Report<ErrorKind>> {
        no_response()
    }

    fn counts(&self) -> CallCounts {
        CallCounts::default()
    }
}

fn settings() -> ClaimSettings {
    ClaimSettings {
        layout: ClaimLayout { slots: 2, bucket_millis: 60_000, ring: 20 },
        write_interval: Duration::ZERO,
        ..ClaimSettings::default()
    }
}

/// Claims random keys and checks that none is granted twice, and afterwards without faults, that
/// the keys that were granted to nobody can be claimed.
async fn run(seed: u64) {
    let store = FaultyStore::new(seed);
    let mut rng = ChaCha8Rng::seed_from_u64(seed + 1_000_000);
    let writers: Vec<_> = (0..WRITERS as u64)
        .map(|id| ClaimWriter::spawn(store.clone(), ProcessIncarnation(id), settings()))
        .collect();
    let keys: Vec<String> = (0..KEYS).map(|_| Uuid::now_v7().to_string()).collect();
    let grants: Rc<RefCell<HashMap<String, u32>>> = Rc::default();
    let mut tasks = Vec::new();
    for _ in 0..CLAIMS {
        let key = keys[rng.random_range(0..KEYS)].clone();
        let writer = writers[rng.random_range(0..WRITERS)].clone();
        let (grants, store) = (Rc::clone(&grants), store.clone());
        let timeout = Duration::from_micros(rng.random_range(10..20_000));
        tasks.push(actix_rt::spawn(async move {
            store.yield_randomly(60).await;
            if let Ok(Ok(())) = actix_rt::time::timeout(timeout, writer.claim(&key)).await {
                *grants.borrow_mut().entry(key).or_default() += 1;
            }
        }));
    }
    for task in tasks {
        task.await.unwrap();
    }
    for (key, count) in grants.borrow().iter() {
        assert_eq!(*count, 1, "seed {seed}: {key} was granted {count} times");
    }
    store.inner.borrow_mut().faulty = false;
    for key in &keys {
        if grants.borrow().contains_key(key) {
            let again = writers[0].claim(key).await.unwrap_err();
            assert_eq!(*again.current_context(), ErrorKind::AlreadyClaimed, "seed {seed}");
        } else {
            claim_until_granted(&writers[0], key, seed).await;
        }
    }
}

/// Repeats a claim until it is granted.
async fn claim_until_granted(writer: &ClaimWriter<FaultyStore>, key: &str, seed: u64) {
    for _ in 0..3000 {
        if writer.claim(key).await.is_ok() {
            return;
        }
        actix_rt::time::sleep(Duration::from_millis(1)).await;
    }
    panic!("seed {seed}: {key} stays claimed although it was granted to nobody");
}

#[actix_rt::test]
async fn random_faults() {
    let first = std::env::var("JACKDAW_SEED").map_or(1, |seed| seed.parse().unwrap());
    println!("seeds {first} to {}", first + RUNS - 1);
    for seed in first..first + RUNS {
        run(seed).await;
    }
}
