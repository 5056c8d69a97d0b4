//! Claims of recordings, kept by the platform.

use error_stack::Report;
use jackdaw_base::ErrorKind;

/// Claims idempotency keys before a target sees a recording.
pub struct ClaimDesk;

impl ClaimDesk {
    /// Claims a key; fails where it cannot be kept or has been claimed before.
    pub async fn claim(&self, _key: &str) -> Result<(), Report<ErrorKind>> {
        Err(Report::new(ErrorKind::ClaimUnavailable))
    }
}
