//! Parameters of an agent's decisions.

use std::time::Duration;

use jackdaw_base::{WorkUnits, plain_data};

use super::place_limit::LatencyGoal;
use crate::event::SharePolicy;

/// Report intervals after which an idle customer's counter is no longer trusted.
const STALE_REPORTS: u32 = 8;

plain_data! {
    /// Parameters of an agent's decisions.
    #[serde(default)]
    pub struct AgentPolicy {
        /// The rule by which waiting offers are chosen.
        pub share_policy: SharePolicy,
        /// The most requests that the target may run at a time.
        pub places: u32,
        /// The most that is reserved for a request before it has done the work.
        pub reservation_max: WorkUnits,
        /// The time between two reports of service.
        pub report_interval: Duration,
        /// The time after which a waiting customer is reported again without a change.
        pub heartbeat_interval: Duration,
        /// The time after which a grant that did not become a run is void.
        pub grant_timeout: Duration,
        /// The shortest time between two announcements of room.
        pub room_interval: Duration,
        /// The longest time between two announcements of room.
        pub room_interval_max: Duration,
        /// The time after which an idle customer is forgotten.
        pub customer_memory: Duration,
        /// The latency that the target is kept within.
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
    /// Returns the time after which an idle customer's counter is no longer trusted.
    pub fn stale_after(&self) -> Duration {
        self.report_interval * STALE_REPORTS
    }
}
