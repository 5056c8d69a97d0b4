//! Metrics of an agent.

use std::sync::Arc;

use jackdaw_base::WorkUnits;
use jackdaw_link::RunReply;
use jackdaw_telemetry::{CounterFamily, MetricRegistry};

/// The metrics that runs and decisions feed.
#[derive(Clone)]
pub struct AgentMetrics {
    /// Where they are registered.
    registry: Arc<MetricRegistry>,
    /// The runs that have ended, by how.
    runs: CounterFamily,
    /// The work charged.
    units: CounterFamily,
    /// The grants given to routers.
    grants: CounterFamily,
    /// The invariants found broken.
    violations: CounterFamily,
}

impl AgentMetrics {
    /// Registers the metrics.
    pub fn new() -> AgentMetrics {
        let registry = Arc::new(MetricRegistry::new());
        let violations = registry.counter("agent_violations", "Invariants found broken");
        // Shown from the start, so that its absence tells of a process that is not there.
        violations.add(&[], 0);
        AgentMetrics {
            runs: registry.counter("agent_runs", "Runs that have ended, by how"),
            units: registry.counter("agent_work_units", "Work charged to customers"),
            grants: registry.counter("agent_grants", "Grants given to routers"),
            violations,
            registry,
        }
    }

    /// Returns where the metrics are registered.
    pub fn registry(&self) -> Arc<MetricRegistry> {
        self.registry.clone()
    }

    /// Counts the end of a run; `None` where its router went away.
    pub fn count_run_end(&self, reply: Option<&RunReply>) {
        let end = match reply {
            Some(RunReply::End { .. }) => "whole",
            Some(RunReply::Refused { kind, .. }) => kind.slug(),
            Some(RunReply::Broken { .. }) => "broken",
            Some(RunReply::Head { .. } | RunReply::Chunk { .. }) | None => "abandoned",
        };
        self.runs.add(&[("end", end)], 1);
    }

    /// Counts the work of a run.
    pub fn count_units(&self, units: WorkUnits) {
        self.units.add(&[], units.0);
    }

    /// Counts a grant.
    pub fn count_grant(&self) {
        self.grants.add(&[], 1);
    }

    /// Counts a broken invariant.
    pub fn count_violation(&self) {
        self.violations.add(&[], 1);
    }
}

impl Default for AgentMetrics {
    fn default() -> AgentMetrics {
        AgentMetrics::new()
    }
}
