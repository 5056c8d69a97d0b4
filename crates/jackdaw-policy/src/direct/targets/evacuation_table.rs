//! Failure domains that the operator has taken out of use.
//!
//! The store holds an entry for each. Routers learn the set from the store or from each other's
//! reports; the latest revision wins. Where a restored store lacks entries, their domains stay out of
//! use for as long as the operator needs to write them again.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use jackdaw_base::{MonotonicTime, plain_data};

use crate::direct::store_revision::StoreRevision;

/// Time for which domains stay out of use whose entries a restored store lacks.
const RESTORE_GRACE: Duration = Duration::from_secs(4);

/// Time for which a router reports that a domain is in use again. Its targets are cold for a shorter
/// time.
const RETURN_REPORT_TIME: Duration = Duration::from_secs(30);

/// Largest difference between two routers' times of the same return: a return that was learned of by
/// a watch and by relayed reports.
const RETURN_TOLERANCE: Duration = Duration::from_secs(5);

plain_data! {
    /// The evacuated domains at a revision, as routers report them.
    #[derive(Default)]
    pub struct EvacuationState {
        /// Revision of the store that the set reflects.
        pub revision: StoreRevision,
        /// Domains out of use.
        pub domains: Vec<String>,
        /// Domains that returned recently, with the time since then in milliseconds.
        pub returned: Vec<(String, u32)>,
    }
}

plain_data! {
    /// Change of one domain in the store.
    pub struct EvacuationChange {
        /// Name of the domain.
        pub domain: String,
        /// Whether it is out of use.
        pub is_evacuated: bool,
    }
}

/// What an update changed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EvacuationEffect {
    /// Domains that are out of use from now on.
    pub evacuated: Vec<String>,
    /// Domains that are in use again, and since when.
    pub returned: Vec<(String, MonotonicTime)>,
}

/// Domains out of use as one router knows them.
#[derive(Debug, Clone, Default)]
pub struct EvacuationTable {
    /// Revision of the latest update; `None` until the first one.
    revision: Option<StoreRevision>,
    domains: BTreeSet<String>,
    /// Domains whose entries a restored store lacks, and until when they stay out of use.
    lapsing: BTreeMap<String, MonotonicTime>,
    /// When domains returned.
    returned: BTreeMap<String, MonotonicTime>,
}

impl EvacuationTable {
    /// Returns whether the set is known.
    pub fn is_known(&self) -> bool {
        self.revision.is_some()
    }

    /// Returns whether a domain is out of use.
    pub fn contains(&self, domain: &str) -> bool {
        self.domains.contains(domain) || self.lapsing.contains_key(domain)
    }

    /// Returns the number of domains out of use.
    pub fn len(&self) -> usize {
        self.domains.union(&self.lapsing.keys().cloned().collect()).count()
    }

    /// Returns whether all domains are in use.
    pub fn is_empty(&self) -> bool {
        self.domains.is_empty() && self.lapsing.is_empty()
    }

    /// Returns the set for this router's reports; `None` while it is not known.
    pub fn state(&self, now: MonotonicTime) -> Option<EvacuationState> {
        let returned = self.returned.iter();
        let returned = returned.map(|(domain, time)| (domain.clone(), now.since(*time)));
        let returned = returned.filter(|(_, age)| *age < RETURN_REPORT_TIME);
        Some(EvacuationState {
            revision: self.revision?,
            domains: self.domains.iter().cloned().collect(),
            returned: returned.map(|(domain, age)| (domain, age.as_millis() as u32)).collect(),
        })
    }

    /// Applies a complete list of the store's entries at a revision.
    pub fn replace(
        &mut self,
        now: MonotonicTime,
        revision: StoreRevision,
        domains: impl IntoIterator<Item = String>,
    ) -> EvacuationEffect {
        if self.revision.is_some_and(|known| known >= revision) {
            return EvacuationEffect::default();
        }
        let before = self.out_of_use();
        let domains: BTreeSet<String> = domains.into_iter().collect();
        if self.revision.is_some_and(|known| known.era() < revision.era()) {
            for domain in self.domains.difference(&domains) {
                self.lapsing.insert(domain.clone(), now.after(RESTORE_GRACE));
            }
        }
        self.revision = Some(revision);
        self.domains = domains;
        self.settle(now, &before)
    }

    /// Applies changes that a watch reported up to a revision.
    pub fn apply(
        &mut self,
        now: MonotonicTime,
        revision: StoreRevision,
        changes: &[EvacuationChange],
    ) -> EvacuationEffect {
        if self.revision.is_some_and(|known| known >= revision) {
            return EvacuationEffect::default();
        }
        let before = self.out_of_use();
        for change in changes {
            match change.is_evacuated {
                true => self.domains.insert(change.domain.clone()),
                false => self.domains.remove(&change.domain),
            };
        }
        self.revision = Some(revision);
        self.settle(now, &before)
    }

    /// Merges the set that another router reported.
    pub fn merge(&mut self, now: MonotonicTime, state: &EvacuationState) -> EvacuationEffect {
        let was_known = self.is_known();
        let mut effect = self.replace(now, state.revision, state.domains.iter().cloned());
        for (domain, age_ms) in &state.returned {
            let time = MonotonicTime(now.0.saturating_sub(u64::from(*age_ms) * 1000));
            let known = self.returned.get(domain);
            let is_new = known.is_none_or(|known| time.since(*known) > RETURN_TOLERANCE);
            // A router that has just started did not see the return itself.
            if is_new && !self.contains(domain) && !was_known {
                self.returned.insert(domain.clone(), time);
                effect.returned.push((domain.clone(), time));
            }
        }
        effect
    }

    /// Ends the time in which entries that a restored store lacks may be written again.
    pub fn expire(&mut self, now: MonotonicTime) -> EvacuationEffect {
        self.returned.retain(|_, time| now.since(*time) < RETURN_REPORT_TIME);
        if self.lapsing.values().all(|end| now < *end) {
            return EvacuationEffect::default();
        }
        let before = self.out_of_use();
        self.lapsing.retain(|_, end| now < *end);
        self.settle(now, &before)
    }

    fn out_of_use(&self) -> BTreeSet<String> {
        self.domains.iter().chain(self.lapsing.keys()).cloned().collect()
    }

    /// Determines the effect of an update, given the domains out of use before it.
    fn settle(&mut self, now: MonotonicTime, before: &BTreeSet<String>) -> EvacuationEffect {
        let after = self.out_of_use();
        let returned: Vec<_> =
            before.difference(&after).map(|domain| (domain.clone(), now)).collect();
        self.returned.extend(returned.iter().cloned());
        for domain in &after {
            self.returned.remove(domain);
        }
        EvacuationEffect { evacuated: after.difference(before).cloned().collect(), returned }
    }
}
