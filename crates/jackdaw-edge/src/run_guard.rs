//! RAII guard of one run at a target.

use std::rc::Rc;

use jackdaw_policy::direct::{LimitStatement, RunId, RunOutcome, TargetId};

use crate::edge_state::EdgeState;
use crate::target_pool::TargetConnection;

/// Guard of a run. Dropping it ends the run as abandoned and closes its connection.
pub struct RunGuard {
    state: Rc<EdgeState>,
    run: Option<RunId>,
    connection: Option<TargetConnection>,
    /// Whether further requests may use the connection.
    is_reusable: bool,
}

impl RunGuard {
    /// Creates the guard of a run that has no connection yet.
    pub fn new(state: &Rc<EdgeState>, run: RunId) -> RunGuard {
        RunGuard { state: Rc::clone(state), run: Some(run), connection: None, is_reusable: true }
    }

    /// Attaches the connection that the run uses until it ends.
    pub fn attach(&mut self, connection: TargetConnection) {
        self.connection = Some(connection);
    }

    /// Returns the attached connection.
    pub fn connection(&mut self) -> Option<&mut TargetConnection> {
        self.connection.as_mut()
    }

    /// Closes the attached connection, on which an answer may still arrive.
    pub fn discard_connection(&mut self) {
        self.connection = None;
    }

    /// Closes the connection when the run ends, because what still arrives on it may be taken for the
    /// answer to the next request.
    pub fn disable_reuse(&mut self) {
        self.is_reusable = false;
    }

    /// Records that the response has begun.
    pub fn mark_begun(&self) {
        if let Some(run) = self.run {
            self.state.router().record_head(run);
        }
    }

    /// Records what the response states about the requests that its target takes; returns whether that
    /// is new.
    pub fn record_limit(&self, statement: LimitStatement) -> bool {
        let now = self.state.now();
        self.run.is_some_and(|run| self.state.router().record_limit(now, run, statement))
    }

    /// Records that bytes of the response arrived.
    pub fn mark_started(&self) {
        if let Some(run) = self.run {
            self.state.router().record_response(self.state.now(), run);
        }
    }

    /// Records that one or more events of the response are complete.
    pub fn mark_events(&self) {
        if let Some(run) = self.run {
            self.state.router().record_events(self.state.now(), run);
            self.state.log_crash_notices();
        }
    }

    /// Ends the run. The connection is reused only if the response was read completely.
    pub fn end(mut self, outcome: RunOutcome) {
        self.finish(outcome);
        let is_read = matches!(
            outcome,
            RunOutcome::Whole | RunOutcome::Failed | RunOutcome::Rejected | RunOutcome::Paused(_)
        );
        if let (true, Some(connection)) = (is_read && self.is_reusable, self.connection.take()) {
            self.state.pool.return_idle(connection);
        }
    }

    fn finish(&mut self, outcome: RunOutcome) {
        let Some(run) = self.run.take() else {
            return;
        };
        let now = self.state.now();
        let is_excluded = self.state.router().end_run(now, run, outcome);
        self.state.log_crash_notices();
        if is_excluded {
            let target = self.connection.as_ref().map_or(0, |connection| connection.target().0);
            let entry = self.state.router().targets.find(TargetId(target)).cloned();
            let name = entry.map_or_else(String::new, |entry| entry.name);
            log::info!(target_name = name, target_id = target, end:? = outcome; "target temporarily excluded");
        }
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.finish(RunOutcome::Abandoned);
    }
}
