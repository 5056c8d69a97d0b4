//! The routers that divide among themselves what none of them may use alone.
//!
//! Unlike the routers that report now, the roster changes slowly: a router that falls silent stays in
//! it, since it may only be cut off and go on using its part. Members are identified by VM, so a
//! router that restarts keeps its place.

use std::time::Duration;

use jackdaw_base::{MonotonicTime, VmId};
use rustc_hash::FxHashMap;

use crate::rendezvous::rendezvous_weight;

/// Time for which a silent router stays a member.
const MEMBER_MEMORY: Duration = Duration::from_secs(60);

/// Silence after which a member does not count as heard.
const HEARD_SPAN: Duration = Duration::from_secs(5);

/// Time after its start in which a router learns the other members and they learn of it. A router
/// reports to all others in under a second, also through relays.
const SETTLE_TIME: Duration = Duration::from_millis(2500);

/// Members of the fleet as one router knows them.
#[derive(Debug, Clone)]
pub struct FleetRoster {
    own: VmId,
    /// Whether there are other routers even if none was heard yet.
    expects_others: bool,
    /// When each other member was last heard.
    members: FxHashMap<VmId, MonotonicTime>,
    /// Changes whenever a member joins or leaves.
    generation: u64,
    started: Option<MonotonicTime>,
}

impl FleetRoster {
    /// Creates the roster of the router on the VM `own`.
    pub fn new(own: VmId, expects_others: bool) -> FleetRoster {
        FleetRoster {
            own,
            expects_others,
            members: FxHashMap::default(),
            generation: 0,
            started: None,
        }
    }

    /// Records a report of another router.
    pub fn record(&mut self, now: MonotonicTime, member: VmId) {
        if member != self.own && self.members.insert(member, now).is_none() {
            self.generation += 1;
        }
    }

    /// Drops members that have been silent for long. A router that hears less than half of them is cut
    /// off, and drops none: it could take the parts of the others.
    pub fn expire(&mut self, now: MonotonicTime) {
        self.started.get_or_insert(now);
        let heard = self.members.values().filter(|heard| now.since(**heard) < HEARD_SPAN).count();
        if heard * 2 < self.members.len() {
            return;
        }
        let before = self.members.len();
        self.members.retain(|_, heard| now.since(*heard) < MEMBER_MEMORY);
        if self.members.len() != before {
            self.generation += 1;
        }
    }

    /// Returns whether this router knows the fleet well enough to use a part of it.
    pub fn is_settled(&self, now: MonotonicTime) -> bool {
        let is_known = !self.members.is_empty() || !self.expects_others;
        is_known && self.started.is_some_and(|started| now.since(started) >= SETTLE_TIME)
    }

    /// Returns the number of members, including this router.
    pub fn len(&self) -> usize {
        self.members.len() + 1
    }

    /// Returns whether this router is the only member.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Returns a number that differs whenever the members do.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns this router's place among the `count` members that rendezvous hashing selects for `key`,
    /// counted from zero; `None` if it is not one of them. Routers that know the same members agree.
    pub fn place(&self, key: u64, count: usize) -> Option<usize> {
        let own = rendezvous_weight(key, self.own);
        let before = self.members.keys().filter(|member| rendezvous_weight(key, **member) > own);
        let place = before.take(count).count();
        (place < count).then_some(place)
    }
}
