//! Parameters of a router's decisions.

use std::time::Duration;

use jackdaw_base::VmId;

use crate::direct::direct_router::ColdTolerance;
use crate::direct::home_rule::DomainRegions;

/// Configured parameters of a router's decisions.
#[derive(Debug, Clone, PartialEq)]
pub struct DirectPolicy {
    /// Failure domain of the router.
    pub domain: String,
    /// VM of the router.
    pub vm: VmId,
    /// Whether there are other routers even if none was heard yet.
    pub expects_others: bool,
    /// Regions of the failure domains.
    pub regions: DomainRegions,
    /// How many more requests than their stated rate cold targets take.
    pub cold_tolerance: ColdTolerance,
    /// Whether the operator may take failure domains out of use; requests are then refused until it is
    /// known which ones are.
    pub has_evacuations: bool,
    /// Whether no router of the deployment has run before, so that there are no streams to come back to.
    pub is_first_start: bool,
    /// Sliding window over which customers' shares are computed.
    pub share_window: Duration,
    /// Sliding window of the fleet-wide retry budget.
    pub retry_window: Duration,
    /// Retries granted to the fleet per request.
    pub retry_ratio: f64,
    /// Retries granted to the fleet per window in addition to those per request.
    pub retry_allowance: f64,
}
