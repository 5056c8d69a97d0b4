//! A caller whose request crashes every target that begins to answer it.

use std::cell::Cell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

use jackdaw_platform_standins::{
    CallerConnection, DEFAULT_API_KEY, ReceivedRequest, build_request_with_key,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinHandle;

use crate::fault_proxy::FaultProxy;

/// Prompt part that only the deadly request has.
pub(crate) const DEADLY_PART: &str = "dead";

/// Prefix of the identifiers of its attempts, which are not part of the history.
pub(crate) const DEADLY_PREFIX: &str = "deadly-";

/// Longest pause between two attempts in milliseconds.
const LONGEST_PAUSE_MS: u64 = 600;

/// Time after which the caller gives an attempt up.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(2);

/// Number of crashes after which further attempts are counted, the time from which on, and how many of
/// them may reach targets.
const COUNTED_CRASHES: usize = 3;
const COUNT_DELAY: Duration = Duration::from_secs(3);
const ATTEMPT_LIMIT: usize = 3;

/// Caller that repeats the deadly request at random routers.
pub(crate) struct DeadlyCaller {
    is_stopping: Rc<Cell<bool>>,
    task: JoinHandle<()>,
}

/// An arrival of the deadly request at a target.
#[derive(Debug, Clone)]
pub struct DeadlyArrival {
    /// Identifier of the attempt.
    pub id: String,
    /// When it arrived; the target crashed at once.
    pub time: Instant,
}

impl DeadlyCaller {
    /// Starts the caller in every other run.
    pub(crate) fn spawn(routers: &[FaultProxy], seed: u64) -> Option<DeadlyCaller> {
        if !seed.is_multiple_of(2) {
            return None;
        }
        let is_stopping = Rc::new(Cell::new(false));
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let run = run_caller(routers.to_vec(), Rc::clone(&is_stopping), rng);
        Some(DeadlyCaller { is_stopping, task: tokio::task::spawn_local(run) })
    }

    /// Stops the caller after its current attempt.
    ///
    /// # Panics
    ///
    /// Panics if the caller panicked.
    pub(crate) async fn close(self) {
        self.is_stopping.set(true);
        self.task.await.expect("caller does not panic");
    }
}

async fn run_caller(routers: Vec<FaultProxy>, is_stopping: Rc<Cell<bool>>, mut rng: ChaCha8Rng) {
    for number in 0.. {
        if is_stopping.get() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(rng.random_range(0..LONGEST_PAUSE_MS))).await;
        let router = &routers[rng.random_range(0..routers.len())];
        let id = format!("{DEADLY_PREFIX}{number}");
        let mut request =
            build_request_with_key(DEFAULT_API_KEY, "/stream/x", &id, "the same question");
        let headers = request.headers_mut();
        let parts = format!("{DEADLY_PART}:20");
        headers.insert("prompt-prefix", parts.parse().expect("valid header value"));
        headers.insert("token-count", "20,10".parse().expect("valid header value"));
        let attempt = async {
            let mut connection = CallerConnection::open(router.address).await?;
            connection.send(request).await
        };
        // Whatever the answer is, the caller tries again.
        let _ = tokio::time::timeout(ATTEMPT_TIMEOUT, attempt).await;
    }
}

/// Returns whether a target ran a request of the deadly caller.
pub(crate) fn is_deadly_run(run: &ReceivedRequest) -> bool {
    run.id().starts_with(DEADLY_PREFIX)
}

/// Returns a violation if too many attempts reached targets long after several had crashed.
pub fn find_violation(arrivals: &[DeadlyArrival]) -> Option<String> {
    let mut sorted: Vec<&DeadlyArrival> = arrivals.iter().collect();
    sorted.sort_by_key(|arrival| arrival.time);
    let counted_from = sorted.get(COUNTED_CRASHES - 1)?.time + COUNT_DELAY;
    let late = sorted.iter().filter(|arrival| arrival.time > counted_from);
    let late: BTreeSet<&str> = late.map(|arrival| arrival.id.as_str()).collect();
    (late.len() > ATTEMPT_LIMIT).then(|| {
        format!("a request that had crashed {COUNTED_CRASHES} targets was sent on: {late:?}")
    })
}
