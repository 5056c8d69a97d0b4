//! Parameters of an agent's scheduling decisions.

use std::time::Duration;

use jackdaw_base::{WorkUnits, plain_data};

use super::place_limit::LatencyGoal;
use crate::event::SharePolicy;

/// Number of report intervals after which an idle customer's counter is stale.
const STALE_REPORT_INTERVALS: u32 = 8;

plain_data! {
    /// Parameters of an agent's scheduling decisions.
    #[serde(default)]
    pub struct AgentPolicy {
        /// Policy that selects the next waiting offer to grant.
        pub share_policy: SharePolicy,
        /// Maximum number of requests that the target may run concurrently.
        pub places: u32,
        /// Maximum charge reserved for a request when it is granted.
        pub reservation_max: WorkUnits,
        /// Minimum time between two batches of service reports.
        pub report_interval: Duration,
        /// Time after which a waiting customer is reported again although nothing changed.
        pub heartbeat_interval: Duration,
        /// Time after which a grant expires if its run has not started.
        pub grant_timeout: Duration,
        /// Minimum time between two announcements of free places; the interval doubles with each
        /// announcement until an offer arrives or a router joins.
        pub room_interval: Duration,
        /// Maximum time between two announcements of free places.
        pub room_interval_max: Duration,
        /// Time after which the account of an idle customer is evicted.
        pub customer_memory: Duration,
        /// Latency goal that drives the adaptive limit on places.
        pub latency_goal: LatencyGoal,
    }
}

impl Default for AgentPolicy {
    fn default() -> AgentPolicy {
        AgentPolicy {
            share_policy: SharePolicy::Fleet,
            places: 8,
            reservation_max: WorkUnits(400),
            report_interval: Duration::from_millis(250),
            heartbeat_interval: Duration::from_secs(5),
            grant_timeout: Duration::from_secs(2),
            room_interval: Duration::from_millis(20),
            room_interval_max: Duration::from_secs(1),
            customer_memory: Duration::from_secs(60),
            latency_goal: LatencyGoal {
                first_token: Duration::from_millis(560),
                next_token: Duration::from_millis(79),
                window: Duration::from_millis(500),
            },
        }
    }
}

impl AgentPolicy {
    /// Returns the time after which the counter of an idle customer is stale.
    pub fn stale_after(&self) -> Duration {
        self.report_interval * STALE_REPORT_INTERVALS
    }
}
