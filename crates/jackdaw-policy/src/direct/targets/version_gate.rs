//! Targets that are not used yet, since the store does not name their software versions as ones that may have
//! streams.

use std::collections::BTreeMap;

use crate::direct::targets::target_table::{TargetChange, TargetEntry};

/// Targets that are withheld, by name.
#[derive(Debug, Default)]
pub struct VersionGate {
    withheld: BTreeMap<String, TargetEntry>,
}

impl VersionGate {
    /// Returns a change that is to be applied at once; `None` if its target is withheld. Any change replaces
    /// what was withheld of its target.
    pub fn admit(
        &mut self,
        change: TargetChange,
        is_usable: impl Fn(&TargetEntry) -> bool,
    ) -> Option<TargetChange> {
        match change {
            TargetChange::Present(entry) if !is_usable(&entry) => {
                self.withheld.insert(entry.name.clone(), entry);
                None
            }
            TargetChange::Present(entry) => {
                self.withheld.remove(&entry.name);
                Some(TargetChange::Present(entry))
            }
            TargetChange::Removed { name, revision } => {
                self.withheld.remove(&name);
                Some(TargetChange::Removed { name, revision })
            }
        }
    }

    /// Takes the targets that may be used now.
    pub fn release(&mut self, is_usable: impl Fn(&TargetEntry) -> bool) -> Vec<TargetEntry> {
        let usable = self.withheld.values().filter(|entry| is_usable(entry));
        let names: Vec<String> = usable.map(|entry| entry.name.clone()).collect();
        names.iter().filter_map(|name| self.withheld.remove(name)).collect()
    }

    /// Drops all that is withheld, before a complete list is applied.
    pub fn clear(&mut self) {
        self.withheld.clear();
    }

    /// Returns whether nothing is withheld.
    pub fn is_empty(&self) -> bool {
        self.withheld.is_empty()
    }

    /// Returns the targets that are withheld.
    pub fn entries(&self) -> impl Iterator<Item = &TargetEntry> {
        self.withheld.values()
    }
}
