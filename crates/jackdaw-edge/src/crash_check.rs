//! Checks whether a target whose connection broke has crashed, by connecting to it.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::FutureExt;
use futures_util::future::{LocalBoxFuture, Shared};
use jackdaw_policy::direct::TargetId;
use tokio::time::timeout;

use crate::edge_state::EdgeState;

/// Timeout of a check. A crashed process refuses connections at once; one that does not answer is
/// not known to have crashed.
const CHECK_TIMEOUT: Duration = Duration::from_millis(250);

/// Time for which a check also answers for other connections to the same target.
const CHECK_VALIDITY: Duration = Duration::from_millis(100);

/// Time for which a process that ends may still accept connections after it has closed others: its sockets
/// are closed one after the other, in any order.
const SETTLE_TIME: Duration = Duration::from_millis(30);

/// Maximum number of connections that a check opens.
const CHECK_ATTEMPTS: usize = 2;

/// Checks in progress and recent ones, by target.
#[derive(Default)]
pub struct CrashChecks {
    checks: RefCell<HashMap<TargetId, CrashCheck>>,
}

struct CrashCheck {
    started: Instant,
    done: CheckFuture,
}

/// The process that an answer came from, as its entry described it when the request was placed. The entry may
/// be gone when the answer ends.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TargetProcess {
    pub(crate) target: TargetId,
    pub(crate) address: SocketAddr,
}

/// A check, which returns whether the target refused the connection.
pub(crate) type CheckFuture = Shared<LocalBoxFuture<'static, bool>>;

impl CrashChecks {
    /// Drops checks that are no longer valid.
    pub fn expire(&self) {
        self.checks.borrow_mut().retain(|_, check| check.started.elapsed() < CHECK_TIMEOUT);
    }
}

/// Checks a target after a connection to it broke, and records a crash if it refuses connections.
/// The check goes on if the returned future is dropped.
pub(crate) fn check_crash(state: &Rc<EdgeState>, process: TargetProcess) -> CheckFuture {
    find_check(state, process, Duration::ZERO, |check| {
        let is_running = check.done.peek().is_none();
        is_running || check.started.elapsed() < CHECK_VALIDITY
    })
}

/// As [`check_crash`], for a target whose connection ended at `ended`. The result of an earlier check does
/// not count.
pub(crate) fn check_end(
    state: &Rc<EdgeState>,
    process: TargetProcess,
    ended: Instant,
) -> CheckFuture {
    find_check(state, process, SETTLE_TIME, |check| check.started >= ended)
}

/// Returns the last check of a target if it is usable, otherwise a new one.
fn find_check(
    state: &Rc<EdgeState>,
    process: TargetProcess,
    settle_time: Duration,
    is_usable: impl Fn(&CrashCheck) -> bool,
) -> CheckFuture {
    let mut checks = state.crash_checks.checks.borrow_mut();
    if let Some(check) = checks.get(&process.target).filter(|check| is_usable(check)) {
        return check.done.clone();
    }
    let done = run_check(Rc::clone(state), process, settle_time).boxed_local().shared();
    tokio::task::spawn_local(done.clone());
    checks.insert(process.target, CrashCheck { started: Instant::now(), done: done.clone() });
    done
}

/// Connects to a target; returns whether it refuses connections. `settle_time` is that for which a new
/// connection has to last.
async fn run_check(state: Rc<EdgeState>, process: TargetProcess, settle_time: Duration) -> bool {
    let TargetProcess { target, address } = process;
    for _ in 0..CHECK_ATTEMPTS {
        state.metrics.connections.inc();
        match timeout(CHECK_TIMEOUT, state.pool.connect(target, address)).await {
            Ok(Ok(connection)) => {
                if !settle_time.is_zero() {
                    tokio::time::sleep(settle_time).await;
                }
                if !connection.is_closed() {
                    state.pool.return_idle(connection);
                    return false;
                }
                // Either the target ends, or it has too many connections. The next one tells.
            }
            Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
                let now = state.now();
                let is_registered = state.router().targets.contains(target);
                // A target that has left may end.
                if is_registered {
                    state.router().record_unreachable(now, target);
                    state.log_crash_notices();
                }
                return true;
            }
            Ok(Err(error)) => {
                log::info!(target_id = target.0, error:% = error; "crash check without a result");
                return false;
            }
            Err(_) => {
                log::info!(target_id = target.0, error = "timeout"; "crash check without a result");
                return false;
            }
        }
    }
    log::info!(target_id = target.0, error = "closed at once"; "crash check without a result");
    false
}
