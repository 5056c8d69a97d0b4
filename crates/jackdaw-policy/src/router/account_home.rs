//! Account homes: routers that hold the fleet-wide service totals of a subset of the customers.
//!
//! Reports are cumulative, so the next report corrects for one that was lost, duplicated or
//! delayed. A home that starts empty resumes from the totals that agents have received earlier.
//! The total of a customer that was idle is raised to the lowest virtual time among the agents
//! where it waits, so that idle time does not accumulate credit.

use std::collections::BTreeMap;
use std::time::Duration;

use jackdaw_base::{
    CustomerId, FleetTotal, MonotonicTime, NormalisedService, ProcessIncarnation, ServiceReport,
    VmId, plain_data,
};

plain_data! {
    copy
    /// Time limits of account homes.
    #[serde(default)]
    pub struct HomeSpans {
        /// Time without waiting requests at any agent after which a customer counts as idle.
        pub idle_after: Duration,
        /// Time without reports from an agent after which no customer counts as waiting there.
        pub silent_after: Duration,
        /// Time during which reports are gathered for a customer that returns from idle, or for an
        /// account that is rebuilt, before its total is fixed.
        pub gather: Duration,
        /// Time without service after which the total of a waiting customer is lowered to the
        /// lowest virtual time among the agents where it waits, regardless of past service.
        pub starve_after: Duration,
        /// Time without reports after which the entry of an agent, or a whole account, is deleted.
        pub forget_after: Duration,
    }
}

impl Default for HomeSpans {
    fn default() -> HomeSpans {
        HomeSpans {
            idle_after: Duration::from_secs(4),
            silent_after: Duration::from_secs(20),
            gather: Duration::from_secs(1),
            starve_after: Duration::from_secs(120),
            forget_after: Duration::from_secs(600),
        }
    }
}

/// Last report of an agent about one customer.
#[derive(Debug, Clone)]
struct AgentEntry {
    vm: VmId,
    /// Router that forwarded the report, or `None` if the agent is linked to this router.
    via: Option<VmId>,
    given: NormalisedService,
    waiting: bool,
    virtual_time: NormalisedService,
    last_report: MonotonicTime,
    sent_total: Option<FleetTotal>,
}

/// Fleet-wide account of one customer.
#[derive(Debug, Clone)]
struct HomeAccount {
    total: NormalisedService,
    /// Lowest virtual time reported since the customer returned from idle, until it is applied.
    floor: Option<NormalisedService>,
    gather_until: MonotonicTime,
    rebuild_until: MonotonicTime,
    last_waiting: MonotonicTime,
    /// Last time at which the customer received service or had no waiting requests.
    last_served: MonotonicTime,
    last_report: MonotonicTime,
    entries: BTreeMap<ProcessIncarnation, AgentEntry>,
}

/// Totals for one agent, with the router that forwards them.
#[derive(Debug, Clone, PartialEq)]
pub struct TotalsBatch {
    /// Agent that receives the totals.
    pub agent: VmId,
    /// Router that forwards them, or `None` if the agent is linked to this router.
    pub via: Option<VmId>,
    /// Totals, one per customer.
    pub totals: Vec<FleetTotal>,
}

/// Accounts for which a router is the account home.
#[derive(Debug, Clone)]
pub struct AccountHome {
    spans: HomeSpans,
    accounts: BTreeMap<CustomerId, HomeAccount>,
}

impl AccountHome {
    /// Creates a home without accounts.
    pub fn new(spans: HomeSpans) -> AccountHome {
        AccountHome { spans, accounts: BTreeMap::new() }
    }

    /// Returns the number of accounts.
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Returns whether there are no accounts.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// Returns the current total of each customer.
    pub fn totals(&self) -> Vec<(CustomerId, NormalisedService)> {
        let accounts = self.accounts.iter();
        accounts.map(|(customer, account)| (*customer, account.current_total())).collect()
    }

    /// Records a report that router `via` forwarded, or that came directly from the agent.
    pub fn record_report(&mut self, now: MonotonicTime, via: Option<VmId>, report: &ServiceReport) {
        let spans = self.spans;
        let account =
            self.accounts.entry(report.customer).or_insert_with(|| HomeAccount::new(now, &spans));
        account.record_report(now, &spans, via, report);
    }

    /// Returns totals for agents that have reported since the last call and changed totals for
    /// agents where the customer waits, one batch per agent, and marks them as sent.
    pub fn collect_batches(&mut self, now: MonotonicTime) -> Vec<TotalsBatch> {
        let spans = self.spans;
        let mut batches: BTreeMap<(VmId, Option<VmId>), Vec<FleetTotal>> = BTreeMap::new();
        for (customer, account) in &mut self.accounts {
            account.apply_floor(now);
            account.prune(now, &spans);
            account.reset_starved(now, &spans);
            let total = account.current_total();
            for entry in account.entries.values_mut() {
                // An agent needs a total even if the customer does not wait there, so that a later
                // home can resume from it.
                if !entry.waiting && entry.sent_total.is_some() {
                    continue;
                }
                let fleet_total = FleetTotal { customer: *customer, total, own: entry.given };
                if entry.sent_total == Some(fleet_total) {
                    continue;
                }
                entry.sent_total = Some(fleet_total);
                batches.entry((entry.vm, entry.via)).or_default().push(fleet_total);
            }
        }
        self.accounts.retain(|_, account| now.since(account.last_report) < spans.forget_after);
        let batches = batches.into_iter();
        batches.map(|((agent, via), totals)| TotalsBatch { agent, via, totals }).collect()
    }

    /// Deletes the accounts of customers for which `is_kept` returns false.
    pub fn retain(&mut self, mut is_kept: impl FnMut(CustomerId) -> bool) {
        self.accounts.retain(|customer, _| is_kept(*customer));
    }
}

impl HomeAccount {
    fn new(now: MonotonicTime, spans: &HomeSpans) -> HomeAccount {
        HomeAccount {
            total: NormalisedService::default(),
            floor: None,
            gather_until: now,
            rebuild_until: now.after(spans.gather),
            last_waiting: MonotonicTime::default(),
            last_served: now,
            last_report: now,
            entries: BTreeMap::new(),
        }
    }

    fn record_report(
        &mut self,
        now: MonotonicTime,
        spans: &HomeSpans,
        via: Option<VmId>,
        report: &ServiceReport,
    ) {
        self.last_report = now;
        self.apply_floor(now);
        let given = self.entries.get(&report.agent).map(|entry| entry.given);
        if given.is_none_or(|given| report.given > given) {
            self.last_served = now;
        }
        match self.entries.get(&report.agent) {
            Some(entry) => {
                self.total = (self.total + report.given).saturating_sub(entry.given);
            }
            // An agent without a known total adds its own service. The service of any other agent
            // is already part of the total that it knows.
            None if report.known_total == NormalisedService::default() => {
                self.total += report.given;
            }
            None if now <= self.rebuild_until => {
                self.total = self.total.max(report.known_total);
                // The agents have already denied the customer credit for idle time, so its total
                // is not raised again.
                if self.last_waiting == MonotonicTime::default() {
                    self.last_waiting = now;
                }
            }
            None => {}
        }
        if report.waiting {
            self.record_waiting(now, spans, report.virtual_time);
        } else if self.entries.get(&report.agent).is_some_and(|entry| entry.waiting) {
            self.last_waiting = now;
        }
        // Clearing `sent_total` sends the total again even if it is unchanged, because the
        // previous one may have been lost.
        let entry = AgentEntry {
            vm: report.vm,
            via,
            given: report.given,
            waiting: report.waiting,
            virtual_time: report.virtual_time,
            last_report: now,
            sent_total: None,
        };
        self.entries.insert(report.agent, entry);
    }

    /// Records that the customer waits at an agent whose virtual time is `virtual_time`.
    fn record_waiting(
        &mut self,
        now: MonotonicTime,
        spans: &HomeSpans,
        virtual_time: NormalisedService,
    ) {
        let is_new = self.last_waiting == MonotonicTime::default();
        let is_waiting = self
            .entries
            .values()
            .any(|entry| entry.waiting && now.since(entry.last_report) <= spans.silent_after);
        let is_late = !is_waiting && now.since(self.last_waiting) > spans.idle_after;
        let was_idle = is_new || is_late;
        if was_idle {
            self.gather_until = now.after(spans.gather);
            self.floor = None;
        }
        self.last_waiting = now;
        // Zero means that the agent has no virtual time yet.
        if now <= self.gather_until && virtual_time != NormalisedService::default() {
            self.floor = Some(self.floor.map_or(virtual_time, |floor| floor.min(virtual_time)));
        }
    }

    /// Marks the customer as not waiting at agents that have stopped reporting, and later deletes
    /// their entries.
    fn prune(&mut self, now: MonotonicTime, spans: &HomeSpans) {
        for entry in self.entries.values_mut() {
            if entry.waiting && now.since(entry.last_report) > spans.silent_after {
                entry.waiting = false;
                self.last_waiting = entry.last_report;
            }
        }
        self.entries.retain(|_, entry| now.since(entry.last_report) < spans.forget_after);
    }

    /// Lowers the total of a starved customer so that it is scheduled first again. Its total may be
    /// far ahead because it was alone on a part of the fleet that other customers could not reach.
    fn reset_starved(&mut self, now: MonotonicTime, spans: &HomeSpans) {
        let waiting = self.entries.values().filter(|entry| entry.waiting);
        let virtual_times = waiting.clone().map(|entry| entry.virtual_time);
        let lowest = virtual_times.filter(|time| *time != NormalisedService::default()).min();
        if waiting.count() == 0 {
            self.last_served = now;
        }
        if now.since(self.last_served) < spans.starve_after {
            return;
        }
        self.last_served = now;
        if let Some(lowest) = lowest {
            self.total = self.total.min(lowest);
        }
    }

    /// Raises the total to the floor once the gathering time has passed.
    fn apply_floor(&mut self, now: MonotonicTime) {
        if now > self.gather_until
            && let Some(floor) = self.floor.take()
        {
            self.total = self.total.max(floor);
        }
    }

    fn current_total(&self) -> NormalisedService {
        self.floor.map_or(self.total, |floor| self.total.max(floor))
    }
}
