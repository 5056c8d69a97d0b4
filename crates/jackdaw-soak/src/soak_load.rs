//! Callers that use their connections until these end.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use jackdaw_platform_standins::{CallerConnection, DEFAULT_API_KEY, build_request_with_key};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinHandle;

use crate::fault_proxy::FaultProxy;
use crate::promise_book::{CallEnd, CallKind, PromiseBook, SentCall};

/// Time after which a caller gives up; its requests state a deadline of four seconds.
const PATIENCE: Duration = Duration::from_millis(4500);

/// Mean pause of a caller between two requests, in milliseconds.
const PAUSE_MS: u64 = 30;

/// Part of the requests after which a caller opens another connection.
const MOVE_PART: f64 = 0.05;

/// Callers at work.
pub struct SoakLoad {
    is_over: Rc<Cell<bool>>,
    tasks: Vec<JoinHandle<()>>,
}

/// What all callers share.
pub struct LoadSetting {
    /// The ways to the routers.
    pub routers: Vec<FaultProxy>,
    /// The requests that have ended.
    pub book: Rc<RefCell<PromiseBook>>,
    /// The start of the load.
    pub origin: Instant,
}

impl SoakLoad {
    /// Starts callers.
    pub fn spawn(setting: &Rc<LoadSetting>, seed: u64, callers: usize) -> SoakLoad {
        let is_over = Rc::new(Cell::new(false));
        let tasks = (0..callers).map(|number| {
            let random = ChaCha8Rng::seed_from_u64(seed ^ ((number as u64 + 1) << 32));
            let (setting, is_over) = (Rc::clone(setting), Rc::clone(&is_over));
            tokio::task::spawn_local(run_caller(setting, is_over, random, number))
        });
        SoakLoad { tasks: tasks.collect(), is_over }
    }

    /// Lets callers end their last requests.
    ///
    /// # Panics
    ///
    /// Panics where a caller did.
    pub async fn close(self) {
        self.is_over.set(true);
        for task in self.tasks {
            task.await.expect("a caller failed");
        }
    }
}

async fn run_caller(
    setting: Rc<LoadSetting>,
    is_over: Rc<Cell<bool>>,
    mut random: ChaCha8Rng,
    caller: usize,
) {
    let mut connection = None;
    let mut number = 0;
    while !is_over.get() {
        tokio::time::sleep(Duration::from_millis(random.random_range(0..2 * PAUSE_MS))).await;
        let router = random.random_range(0..setting.routers.len());
        if connection.is_none() || random.random_bool(MOVE_PART) {
            let address = setting.routers[router].address;
            let opened = tokio::time::timeout(PATIENCE, CallerConnection::open(address)).await;
            connection = opened.ok().flatten();
        }
        let Some(open) = connection.as_mut() else {
            continue;
        };
        number += 1;
        let kind = CallKind::ALL[random.random_range(0..CallKind::ALL.len())];
        let call = send_call(&setting, open, kind, &format!("c{caller}-{number}")).await;
        let is_usable = matches!(&call.end, CallEnd::Answered(answer)
            if answer.body.is_some() && !answer.headers.contains_key("connection"));
        if !is_usable {
            connection = None;
        }
        setting.book.borrow_mut().add(call);
    }
}

async fn send_call(
    setting: &LoadSetting,
    connection: &mut CallerConnection,
    kind: CallKind,
    id: &str,
) -> SentCall {
    let body = format!("body of {id}");
    let sent = setting.origin.elapsed();
    let request = build_request_with_key(DEFAULT_API_KEY, kind.path(), id, &body);
    let end = match tokio::time::timeout(PATIENCE, connection.send(request)).await {
        Ok(Some(answer)) => CallEnd::Answered(answer),
        Ok(None) => CallEnd::Broken,
        Err(_) => CallEnd::Abandoned,
    };
    SentCall { id: id.to_owned(), kind, body, sent, ended: setting.origin.elapsed(), end }
}
