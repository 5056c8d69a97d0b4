//! Which targets are out of use with their failure domains, and which are cold.

use crate::direct::target_id::TargetId;
use crate::direct::targets::cold_targets::{ColdSource, ColdTargets};
use crate::direct::targets::evacuation_table::{EvacuationEffect, EvacuationTable};
use crate::direct::targets::target_table::TargetTable;

impl TargetTable {
    /// Returns the failure domains that are out of use.
    pub fn evacuations(&self) -> &EvacuationTable {
        &self.evacuations
    }

    /// Updates the failure domains that are out of use. Targets of domains that return are in doubt.
    pub fn update_evacuations(
        &mut self,
        update: impl FnOnce(&mut EvacuationTable) -> EvacuationEffect,
    ) -> EvacuationEffect {
        let effect = update(&mut self.evacuations);
        if effect != EvacuationEffect::default() {
            self.index.take();
        }
        for (domain, time) in &effect.returned {
            let returned = self.targets.values().map(|known| &known.entry);
            for entry in returned.filter(|entry| entry.domain == *domain) {
                self.cold.doubt(*time, entry.id(), ColdSource::Returned);
            }
        }
        effect
    }

    /// Returns which targets are cold.
    pub fn cold(&self) -> &ColdTargets {
        &self.cold
    }

    /// Returns whether a target's failure domain is out of use.
    pub fn is_evacuated(&self, target: TargetId) -> bool {
        !self.evacuations.is_empty()
            && self.find(target).is_some_and(|entry| self.evacuations.contains(&entry.domain))
    }

    /// Returns whether a service has targets that would accept requests if their failure domains were
    /// in use.
    pub fn has_evacuated(&self, service: &str) -> bool {
        !self.evacuations.is_empty()
            && self.ready_entries(service).any(|entry| self.evacuations.contains(&entry.domain))
    }
}
