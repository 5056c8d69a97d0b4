//! Prometheus metrics of an agent.

use std::sync::Arc;

use jackdaw_base::WorkUnits;
use jackdaw_link::RunReply;
use jackdaw_telemetry::{CounterFamily, MetricRegistry};

/// Handles to the registered metrics.
#[derive(Clone)]
pub struct AgentMetrics {
    /// Registry of the metrics.
    registry: Arc<MetricRegistry>,
    /// Ended runs by outcome.
    runs: CounterFamily,
    /// Work charged to customers.
    units: CounterFamily,
    /// Grants sent to routers.
    grants: CounterFamily,
    /// Invariant violations.
    violations: CounterFamily,
}

impl AgentMetrics {
    /// Registers the metrics in a new registry.
    pub fn new() -> AgentMetrics {
        let registry = Arc::new(MetricRegistry::new());
        let violations = registry.counter("agent_violations", "Invariants found broken");
        // Exported from startup, so that a missing series means that the process does not run.
        violations.add(&[], 0);
        AgentMetrics {
            runs: registry.counter("agent_runs", "Runs that have ended, by how"),
            units: registry.counter("agent_work_units", "Work charged to customers"),
            grants: registry.counter("agent_grants", "Grants given to routers"),
            violations,
            registry,
        }
    }

    /// Returns the registry of the metrics.
    pub fn registry(&self) -> Arc<MetricRegistry> {
        self.registry.clone()
    }

    /// Counts an ended run by its final reply; `None` means that the link to its router was lost or
    /// the router cancelled the run.
    pub fn count_run_end(&self, reply: Option<&RunReply>) {
        let end = match reply {
            Some(RunReply::End { .. }) => "whole",
            Some(RunReply::Refused { kind, .. }) => kind.slug(),
            Some(RunReply::Broken { .. }) => "broken",
            Some(RunReply::Head { .. } | RunReply::Chunk { .. }) | None => "abandoned",
        };
        self.runs.add(&[("end", end)], 1);
    }

    /// Adds the cost of a run to the work charged.
    pub fn count_units(&self, units: WorkUnits) {
        self.units.add(&[], units.0);
    }

    /// Counts a grant sent to a router.
    pub fn count_grant(&self) {
        self.grants.add(&[], 1);
    }

    /// Counts an invariant violation.
    pub fn count_violation(&self) {
        self.violations.add(&[], 1);
    }
}

impl Default for AgentMetrics {
    fn default() -> AgentMetrics {
        AgentMetrics::new()
    }
}
