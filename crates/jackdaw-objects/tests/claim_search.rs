//! Random search over what the platform may do to the claims of several writers.

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

/// The runs, each with a seed of its own.
const RUNS: u64 = 30;
/// The writers of one run.
const WRITERS: usize = 3;
/// The keys of one run.
const KEYS: usize = 12;
/// The claims of one run.
const CLAIMS: usize = 40;

/// Store in memory that fails at random.
#[derive(Clone)]
struct FaultyStore {
    inner: Rc<RefCell<StoreInner>>,
}

struct StoreInner {
    revision: u64,
    objects: HashMap<String, StoredObject>,
    rng: ChaCha8Rng,
    faulty: bool,
}

/// What becomes of a call.
enum CallFate {
    Answered,
    /// It has no effect, and no answer comes.
    Dropped,
    /// It takes effect, and no answer comes.
    AnswerLost,
    /// No answer comes, and it reaches the object only later.
    Late,
}

impl FaultyStore {
    fn new(seed: u64) -> FaultyStore {
        let inner = StoreInner {
            revision: 0,
            objects: HashMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            faulty: true,
        };
        FaultyStore { inner: Rc::new(RefCell::new(inner)) }
    }

    fn draw_fate(&self) -> CallFate {
        let mut inner = self.inner.borrow_mut();
        if !inner.faulty {
            return CallFate::Answered;
        }
        match inner.rng.random_range(0..10) {
            0 => CallFate::Dropped,
            1 => CallFate::AnswerLost,
            2 => CallFate::Late,
            _ => CallFate::Answered,
        }
    }

    /// Lets other tasks run for a random number of turns.
    async fn dawdle(&self, most: u32) {
        let turns = self.inner.borrow_mut().rng.random_range(0..=most);
        for _ in 0..turns {
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

fn no_answer<T>() -> Result<T, Report<ErrorKind>> {
    Err(Report::new(ErrorKind::PlatformUnavailable))
}

impl ObjectStore for FaultyStore {
    async fn read(&self, key: &str) -> Result<Option<StoredObject>, Report<ErrorKind>> {
        self.dawdle(4).await;
        let object = self.inner.borrow().objects.get(key).cloned();
        self.dawdle(4).await;
        match self.draw_fate() {
            CallFate::Answered => Ok(object),
            CallFate::Dropped | CallFate::AnswerLost | CallFate::Late => no_answer(),
        }
    }

    async fn write(
        &self,
        key: &str,
        condition: WriteCondition,
        value: Bytes,
    ) -> Result<ObjectVersion, Report<ErrorKind>> {
        self.dawdle(4).await;
        match self.draw_fate() {
            CallFate::Answered => {
                let result = self.apply(key, condition, value);
                self.dawdle(4).await;
                result
            }
            CallFate::Dropped => no_answer(),
            CallFate::AnswerLost => {
                let _ = self.apply(key, condition, value);
                no_answer()
            }
            CallFate::Late => {
                let (store, key) = (self.clone(), key.to_owned());
                actix_rt::spawn(async move {
                    store.dawdle(200).await;
                    let _ = store.apply(&key, condition, value);
                });
                no_answer()
            }
        }
    }

    async fn list(&self, _prefix: &str) -> Result<ObjectListing, Report<ErrorKind>> {
        no_answer()
    }

    async fn watch(
        &self,
        _prefix: &str,
        _after: ObjectVersion,
        _wait: Duration,
    ) -> Result<ObjectListing, Report<ErrorKind>> {
        no_answer()
    }

    async fn watch_vms(
        &self,
        _after: u64,
        _wait: Duration,
    ) -> Result<VmListing, Report<ErrorKind>> {
        no_answer()
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

/// Claims keys at random and checks that none is granted twice; afterwards, that those of
/// which nobody holds a grant are free again.
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
        let patience = Duration::from_micros(rng.random_range(10..20_000));
        tasks.push(actix_rt::spawn(async move {
            store.dawdle(60).await;
            if let Ok(Ok(())) = actix_rt::time::timeout(patience, writer.claim(&key)).await {
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
            claim_at_last(&writers[0], key, seed).await;
        }
    }
}

/// Claims a key until it is granted.
async fn claim_at_last(writer: &ClaimWriter<FaultyStore>, key: &str, seed: u64) {
    for _ in 0..3000 {
        if writer.claim(key).await.is_ok() {
            return;
        }
        actix_rt::time::sleep(Duration::from_millis(1)).await;
    }
    panic!("seed {seed}: {key} is held though nobody was granted it");
}

#[actix_rt::test]
async fn random_faults() {
    let first = std::env::var("JACKDAW_SEED").map_or(1, |seed| seed.parse().unwrap());
    println!("seeds {first} to {}", first + RUNS - 1);
    for seed in first..first + RUNS {
        run(seed).await;
    }
}
