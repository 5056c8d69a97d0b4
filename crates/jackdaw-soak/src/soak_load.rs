//! Callers that send requests over persistent connections.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use jackdaw_platform_standins::{
    CallerConnection, DEFAULT_API_KEY, build_request_with_key, set_resumption,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinHandle;

use crate::call_history::{CallHistory, CallKind, CallOutcome, HeldEvents, SentCall};
use crate::fault_proxy::FaultProxy;

/// Time after which a caller gives up; longer than the four-second deadline of its requests.
const CALLER_TIMEOUT: Duration = Duration::from_millis(4500);

/// Mean pause of a caller between two requests in milliseconds.
const MEAN_PAUSE_MS: u64 = 30;

/// Probability that a caller reconnects to a random router before a request.
const RECONNECT_PROBABILITY: f64 = 0.05;

/// Running callers.
pub struct SoakLoad {
    is_stopping: Rc<Cell<bool>>,
    tasks: Vec<JoinHandle<()>>,
}

/// Context shared by all callers.
pub struct LoadContext {
    /// Proxies in front of the routers.
    pub routers: Vec<FaultProxy>,
    /// History to which completed requests are appended.
    pub history: Rc<RefCell<CallHistory>>,
    /// Start of the load.
    pub origin: Instant,
}

impl SoakLoad {
    /// Starts callers, each with a random generator derived from the seed.
    pub fn spawn(context: &Rc<LoadContext>, seed: u64, callers: usize) -> SoakLoad {
        let is_stopping = Rc::new(Cell::new(false));
        let tasks = (0..callers).map(|number| {
            let rng = ChaCha8Rng::seed_from_u64(seed ^ ((number as u64 + 1) << 32));
            let (context, is_stopping) = (Rc::clone(context), Rc::clone(&is_stopping));
            tokio::task::spawn_local(run_caller(context, is_stopping, rng, number))
        });
        SoakLoad { tasks: tasks.collect(), is_stopping }
    }

    /// Stops the callers after their current requests.
    ///
    /// # Panics
    ///
    /// Panics if a caller panicked.
    pub async fn close(self) {
        self.is_stopping.set(true);
        for task in self.tasks {
            task.await.expect("caller does not panic");
        }
    }
}

async fn run_caller(
    context: Rc<LoadContext>,
    is_stopping: Rc<Cell<bool>>,
    mut rng: ChaCha8Rng,
    caller: usize,
) {
    let mut connection = None;
    let mut number = 0;
    // What the caller has of a stream that broke off, with which it goes on at once.
    let mut returning: Option<HeldEvents> = None;
    while !is_stopping.get() {
        tokio::time::sleep(Duration::from_millis(rng.random_range(0..2 * MEAN_PAUSE_MS))).await;
        let router = rng.random_range(0..context.routers.len());
        if connection.is_none() || rng.random_bool(RECONNECT_PROBABILITY) {
            let address = context.routers[router].address;
            let opened =
                tokio::time::timeout(CALLER_TIMEOUT, CallerConnection::open(address)).await;
            connection = opened.ok().flatten();
        }
        let Some(open) = connection.as_mut() else {
            continue;
        };
        number += 1;
        let kind = CallKind::ALL[rng.random_range(0..CallKind::ALL.len())];
        let held = returning.take();
        let kind = if held.is_some() { CallKind::Resumed } else { kind };
        let call = send_call(&context, open, kind, &format!("c{caller}-{number}"), held).await;
        returning = call.held_events();
        let is_usable = matches!(&call.outcome, CallOutcome::Answered(answer)
            if answer.body.is_some() && !answer.headers.contains_key("connection"));
        if !is_usable {
            connection = None;
        }
        context.history.borrow_mut().add(call);
    }
}

async fn send_call(
    context: &LoadContext,
    connection: &mut CallerConnection,
    kind: CallKind,
    id: &str,
    held: Option<HeldEvents>,
) -> SentCall {
    let body = format!("body of {id}");
    let sent_at = context.origin.elapsed();
    let mut request = build_request_with_key(DEFAULT_API_KEY, kind.path(), id, &body);
    if let Some(held) = &held {
        set_resumption(&mut request, &held.first_attempt, held.last);
    }
    let outcome = match tokio::time::timeout(CALLER_TIMEOUT, connection.send(request)).await {
        Ok(Some(answer)) => CallOutcome::Answered(answer),
        Ok(None) => CallOutcome::Broken,
        Err(_) => CallOutcome::Abandoned,
    };
    let (id, ended_at) = (id.to_owned(), context.origin.elapsed());
    SentCall { id, kind, body, held, sent_at, ended_at, outcome }
}
