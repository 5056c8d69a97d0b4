//! Checks that the process at the other end of a connection is the target that its entry describes.
//!
//! A target may start again under its name and address with another software version before this router
//! learns of it, above all if the router cannot reach the store. A stream must not be bound to the
//! version of the earlier process, nor go on at the later one.

use jackdaw_policy::direct::{RequestKind, TargetEntry, VersionRule};

use crate::request_context::RequestContext;
use crate::run_guard::RunGuard;
use crate::target_pool::ReportError;
use crate::target_send::TransferError;

impl RequestContext {
    /// Makes sure that a request whose stream may go on elsewhere, or goes on here, is sent to the
    /// process that `entry` describes. Each connection is checked once.
    ///
    /// # Errors
    ///
    /// [`TransferError::Replaced`] if another process has the target's place, and
    /// [`TransferError::Unconfirmed`] if it does not say who it is.
    pub(crate) async fn confirm_target(
        &self,
        guard: &mut RunGuard,
        entry: &TargetEntry,
    ) -> Result<(), TransferError> {
        if !self.needs_confirmation() {
            return Ok(());
        }
        let Some(connection) = guard.connection() else {
            return Err(TransferError::NotSent);
        };
        if connection.is_confirmed() {
            return Ok(());
        }
        self.inner.state.metrics.identity_checks.inc();
        match connection.read_start_time(entry.address).await {
            Ok(started) if started == entry.started_unix_ms => {
                connection.confirm();
                Ok(())
            }
            Ok(started) => {
                self.log_other_process(entry, started);
                Err(TransferError::Replaced)
            }
            Err(error) => Err(TransferError::Unconfirmed(error)),
        }
    }

    fn needs_confirmation(&self) -> bool {
        let is_resumable =
            matches!(self.inner.request.route.kind, RequestKind::Stream { resumable: true });
        is_resumable || self.inner.version_rule.get() != VersionRule::Any
    }

    fn log_other_process(&self, entry: &TargetEntry, started: u64) {
        log::info!(
            request:% = self.inner.request.head.id,
            target_name = entry.name,
            target_id = entry.id().0,
            started_unix_ms = started,
            registered_unix_ms = entry.started_unix_ms,
            revision:% = entry.revision;
            "target has started again since its entry"
        );
    }

    /// Logs that a target did not say which process it is.
    pub(crate) fn log_unconfirmed(&self, entry: &TargetEntry, error: ReportError) {
        log::info!(
            request:% = self.inner.request.head.id,
            target_name = entry.name,
            target_id = entry.id().0,
            error:? = error;
            "target did not confirm its identity"
        );
    }
}
