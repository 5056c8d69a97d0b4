//! Account homes: fleet-wide totals of the customers that a router keeps.
//!
//! Reports are cumulative, so a lost, repeated or late one is made good by the next. A home that
//! starts empty goes on from the totals that agents have heard. A customer that was idle is
//! lifted to the lowest counter that it meets, so that it brings no credit along.

use std::collections::BTreeMap;
use std::time::Duration;

use jackdaw_base::{
    CustomerId, FleetTotal, MonotonicTime, NormalisedService, ProcessIncarnation, ServiceReport,
    VmId, plain_data,
};

plain_data! {
    copy
    /// Time spans of account homes.
    #[serde(default)]
    pub struct HomeSpans {
        /// The time after which a customer that waits at no agent counts as idle.
        pub idle_after: Duration,
        /// The time after which an agent that sends no reports counts as one where nobody waits.
        pub silent_after: Duration,
        /// The time in which a customer that comes back, or an account that is rebuilt, gathers
        /// reports before its total is fixed.
        pub gather: Duration,
        /// The longest time without service for a customer that waits: its total then falls to
        /// the lowest counter that it meets, however much it has received before.
        pub starve_after: Duration,
        /// The time after which an agent that sends no reports is forgotten.
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

/// What an agent has reported of a customer.
#[derive(Debug, Clone)]
struct AgentEntry {
    vm: VmId,
    /// The router that forwarded the last report, or `None` where the agent is linked here.
    via: Option<VmId>,
    given: NormalisedService,
    waiting: bool,
    virtual_time: NormalisedService,
    heard: MonotonicTime,
    sent: Option<FleetTotal>,
}

/// Account of one customer.
#[derive(Debug, Clone)]
struct HomeAccount {
    total: NormalisedService,
    /// The lowest virtual time met since the customer came back.
    floor: Option<NormalisedService>,
    gather_until: MonotonicTime,
    rebuild_until: MonotonicTime,
    last_waiting: MonotonicTime,
    /// The last time at which the customer was served or did not wait.
    served: MonotonicTime,
    heard: MonotonicTime,
    entries: BTreeMap<ProcessIncarnation, AgentEntry>,
}

/// Totals for one agent, and the router that passes them on.
#[derive(Debug, Clone, PartialEq)]
pub struct TotalsBatch {
    /// The agent.
    pub agent: VmId,
    /// The router to pass them to, or `None` where the agent is linked here.
    pub via: Option<VmId>,
    /// The totals.
    pub totals: Vec<FleetTotal>,
}

/// Accounts that a router keeps.
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

    /// Returns whether no account is kept.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// Returns the total of each customer.
    pub fn totals(&self) -> Vec<(CustomerId, NormalisedService)> {
        let accounts = self.accounts.iter();
        accounts.map(|(customer, account)| (*customer, account.present_total())).collect()
    }

    /// Takes in a report that came through `via`, or from the agent itself.
    pub fn record_report(&mut self, now: MonotonicTime, via: Option<VmId>, report: &ServiceReport) {
        let spans = self.spans;
        let account =
            self.accounts.entry(report.customer).or_insert_with(|| HomeAccount::new(now, &spans));
        account.record_report(now, &spans, via, report);
    }

    /// Returns the totals that agents with waiting offers lack, one batch an agent.
    pub fn collect_batches(&mut self, now: MonotonicTime) -> Vec<TotalsBatch> {
        let spans = self.spans;
        let mut batches: BTreeMap<(VmId, Option<VmId>), Vec<FleetTotal>> = BTreeMap::new();
        for (customer, account) in &mut self.accounts {
            account.settle(now);
            account.prune(now, &spans);
            account.relieve(now, &spans);
            let total = account.present_total();
            for entry in account.entries.values_mut() {
                // An agent that has never heard a total needs one for a later home to go on from.
                if !entry.waiting && entry.sent.is_some() {
                    continue;
                }
                let fleet = FleetTotal { customer: *customer, total, own: entry.given };
                if entry.sent == Some(fleet) {
                    continue;
                }
                entry.sent = Some(fleet);
                batches.entry((entry.vm, entry.via)).or_default().push(fleet);
            }
        }
        self.accounts.retain(|_, account| now.since(account.heard) < spans.forget_after);
        let batches = batches.into_iter();
        batches.map(|((agent, via), totals)| TotalsBatch { agent, via, totals }).collect()
    }

    /// Drops the accounts that `keeps` does not name.
    pub fn retain(&mut self, mut keeps: impl FnMut(CustomerId) -> bool) {
        self.accounts.retain(|customer, _| keeps(*customer));
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
            served: now,
            heard: now,
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
        self.heard = now;
        self.settle(now);
        let given = self.entries.get(&report.agent).map(|entry| entry.given);
        if given.is_none_or(|given| report.given > given) {
            self.served = now;
        }
        match self.entries.get(&report.agent) {
            Some(entry) => {
                self.total = (self.total + report.given).saturating_sub(entry.given);
            }
            // An agent that has heard of no total brings its own part; the part of another one
            // is within the total that it knows.
            None if report.known_total == NormalisedService::default() => {
                self.total += report.given;
            }
            None if now <= self.rebuild_until => {
                self.total = self.total.max(report.known_total);
                // The agents have kept the customer from credit; a second lift is not due.
                if self.last_waiting == MonotonicTime::default() {
                    self.last_waiting = now;
                }
            }
            None => {}
        }
        if report.waiting {
            self.meet(now, spans, report.virtual_time);
        } else if self.entries.get(&report.agent).is_some_and(|entry| entry.waiting) {
            self.last_waiting = now;
        }
        // The report is answered even if the total is as before: the last answer may be lost.
        let entry = AgentEntry {
            vm: report.vm,
            via,
            given: report.given,
            waiting: report.waiting,
            virtual_time: report.virtual_time,
            heard: now,
            sent: None,
        };
        self.entries.insert(report.agent, entry);
    }

    /// Notes that the customer waits where others have received `virtual_time`.
    fn meet(&mut self, now: MonotonicTime, spans: &HomeSpans, virtual_time: NormalisedService) {
        let is_new = self.last_waiting == MonotonicTime::default();
        let is_waiting = self
            .entries
            .values()
            .any(|entry| entry.waiting && now.since(entry.heard) <= spans.silent_after);
        let is_late = !is_waiting && now.since(self.last_waiting) > spans.idle_after;
        let was_idle = is_new || is_late;
        if was_idle {
            self.gather_until = now.after(spans.gather);
            self.floor = None;
        }
        self.last_waiting = now;
        // Zero stands for an agent that knows no counter yet.
        if now <= self.gather_until && virtual_time != NormalisedService::default() {
            self.floor = Some(self.floor.map_or(virtual_time, |floor| floor.min(virtual_time)));
        }
    }

    /// Forgets agents that send no reports any more.
    fn prune(&mut self, now: MonotonicTime, spans: &HomeSpans) {
        for entry in self.entries.values_mut() {
            if entry.waiting && now.since(entry.heard) > spans.silent_after {
                entry.waiting = false;
                self.last_waiting = entry.heard;
            }
        }
        self.entries.retain(|_, entry| now.since(entry.heard) < spans.forget_after);
    }

    /// Lets a customer that has starved go first again: it may stand far ahead since it had a
    /// part of the fleet to itself while others could not reach it.
    fn relieve(&mut self, now: MonotonicTime, spans: &HomeSpans) {
        let waiting = self.entries.values().filter(|entry| entry.waiting);
        let met = waiting.clone().map(|entry| entry.virtual_time);
        let lowest = met.filter(|time| *time != NormalisedService::default()).min();
        if waiting.count() == 0 {
            self.served = now;
        }
        if now.since(self.served) < spans.starve_after {
            return;
        }
        self.served = now;
        if let Some(lowest) = lowest {
            self.total = self.total.min(lowest);
        }
    }

    /// Fixes the lift once the customer has met the fleet for long enough.
    fn settle(&mut self, now: MonotonicTime) {
        if now > self.gather_until
            && let Some(floor) = self.floor.take()
        {
            self.total = self.total.max(floor);
        }
    }

    fn present_total(&self) -> NormalisedService {
        self.floor.map_or(self.total, |floor| self.total.max(floor))
    }
}
