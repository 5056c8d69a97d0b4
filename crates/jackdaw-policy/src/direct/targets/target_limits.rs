//! Limits that targets in need state for the requests that they take from all routers together.
//!
//! Routers report to each other what a response stated about a target, how many requests they sent it
//! within the window, and how many they would have sent without the limit. A request is admitted
//! while the requests that are known leave room in the window. What others send at the same moment is
//! not known until their next report. The demand tells how many requests to expect in that time, and
//! each router admits its own with the probability that keeps the expected sum within the room.

use std::collections::VecDeque;
use std::time::Duration;

use jackdaw_base::{MonotonicTime, ProcessIncarnation, plain_data};
use rustc_hash::FxHashMap;

use crate::direct::customers::customer_ledger::ShareTier;
use crate::direct::fleet::report_plan::uses_relays;
use crate::direct::request_rate::RequestRate;
use crate::direct::target_id::TargetId;

/// Window within which requests to a limited target are counted. The shorter it is, the more evenly
/// they arrive, and the more the delay of reports matters.
const WINDOW: Duration = Duration::from_secs(2);

/// Lowest rate in requests a second. A target that states a lower one still gets a request now and
/// then, as only a response shows that the limit has ended.
const LOWEST_RATE: f64 = 0.2;

/// Time for which requests are counted: the window of the lowest rate holds one request.
const COUNTED_SPAN: Duration = Duration::from_secs(5);

/// Span of one count; requests expire together with the others of their span.
const COUNT_SPAN: Duration = Duration::from_millis(100);

/// Time for which a router reports what a response stated to it.
const STATEMENT_REPORT_TIME: Duration = Duration::from_secs(2);

/// Time until other routers' requests are known, in a fleet whose routers report directly.
const DIRECT_REPORT_DELAY: Duration = Duration::from_millis(250);

/// As [`DIRECT_REPORT_DELAY`], in a fleet with relays.
const RELAYED_REPORT_DELAY: Duration = Duration::from_millis(800);

/// Demand that is assumed of the other routers if less is known, as a multiple of the limit: a burst
/// reaches all routers before any of them can report it.
const ASSUMED_DEMAND: f64 = 3.0;

/// Part of what a limited target takes that is left for customers within their shares.
const EXCESS_RESERVE: f64 = 0.4;

/// As [`EXCESS_RESERVE`], for customers above one of their two shares.
const SURPLUS_RESERVE: f64 = 0.2;

plain_data! {
    copy
    /// What a response of a target states about the requests that it takes.
    pub enum LimitStatement {
        /// The target states no limit.
        Unlimited,
        /// The target takes requests at this rate from all routers together.
        Limited(RequestRate),
    }
}

plain_data! {
    copy
    /// One router's use of a limited target, as it reports it.
    pub struct LimitUsage {
        /// The limited target.
        pub target: TargetId,
        /// What the latest response to this router stated; `None` if that was long ago.
        pub statement: Option<ReceivedStatement>,
        /// Requests sent within the window.
        pub sent: u32,
        /// Requests sent or withheld within the window.
        pub wanted: u32,
        /// Those of `wanted` that were sent or are of customers not above both their shares.
        pub entitled: u32,
    }
}

plain_data! {
    copy
    /// A statement, and how long ago it was received.
    pub struct ReceivedStatement {
        /// What the response stated.
        pub statement: LimitStatement,
        /// Time since then, in milliseconds.
        pub age_ms: u32,
    }
}

/// Change of a target's limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitChange {
    /// The target.
    pub target: TargetId,
    /// Its limit from now on.
    pub statement: LimitStatement,
}

impl RequestRate {
    /// Returns the rate that is applied, in requests a second.
    fn applied(self) -> f64 {
        self.per_second().max(LOWEST_RATE)
    }

    /// Returns the window, which has room for at least one request.
    fn window(self) -> Duration {
        WINDOW.max(self.mean_interval())
    }

    fn mean_interval(self) -> Duration {
        Duration::from_secs_f64(1.0 / self.applied())
    }
}

impl ReceivedStatement {
    /// Returns the statement as of a later time.
    pub fn aged(self, elapsed: Duration) -> ReceivedStatement {
        let age_ms = self.age_ms.saturating_add(elapsed.as_millis() as u32);
        ReceivedStatement { age_ms, ..self }
    }
}

/// What a router knows about one target.
#[derive(Debug, Clone)]
struct LimitRecord {
    statement: LimitStatement,
    /// When the statement was received, by this router or by the one that reported it.
    stated: MonotonicTime,
    /// When a response to this router last made a statement.
    own_stated: Option<MonotonicTime>,
    counts: VecDeque<RequestCount>,
}

/// Own requests within one span.
#[derive(Debug, Clone, Copy)]
struct RequestCount {
    start: MonotonicTime,
    sent: u32,
    withheld: u32,
    /// Those of `withheld` of customers not above both their shares.
    withheld_entitled: u32,
}

/// Requests within a window; see [`LimitUsage`].
#[derive(Debug, Clone, Copy, Default)]
struct UsageSum {
    sent: u32,
    wanted: u32,
    entitled: u32,
}

/// Limits that targets state, and their use by all routers.
#[derive(Debug, Clone, Default)]
pub struct TargetLimits {
    records: FxHashMap<TargetId, LimitRecord>,
    /// Sums over the other routers.
    others: FxHashMap<TargetId, UsageSum>,
    peers: FxHashMap<ProcessIncarnation, Vec<LimitUsage>>,
}

impl LimitRecord {
    fn new(statement: LimitStatement, stated: MonotonicTime) -> LimitRecord {
        LimitRecord { statement, stated, own_stated: None, counts: VecDeque::new() }
    }

    fn rate(&self) -> Option<RequestRate> {
        match self.statement {
            LimitStatement::Unlimited => None,
            LimitStatement::Limited(rate) => Some(rate),
        }
    }

    /// Returns the count of the current span.
    fn count(&mut self, now: MonotonicTime) -> &mut RequestCount {
        while self.counts.front().is_some_and(|count| now.since(count.start) >= COUNTED_SPAN) {
            self.counts.pop_front();
        }
        let is_open = self.counts.back().is_some_and(|count| now.since(count.start) < COUNT_SPAN);
        if !is_open {
            self.counts.push_back(RequestCount {
                start: now,
                sent: 0,
                withheld: 0,
                withheld_entitled: 0,
            });
        }
        let last = self.counts.len() - 1;
        &mut self.counts[last]
    }

    /// Returns the own requests within a window.
    fn usage(&self, now: MonotonicTime, window: Duration) -> UsageSum {
        let mut usage = UsageSum::default();
        // A count stays until its last request has left the window.
        let counts = self.counts.iter().rev();
        for count in counts.take_while(|count| now.since(count.start) < window + COUNT_SPAN) {
            usage.sent += count.sent;
            usage.wanted += count.sent + count.withheld;
            usage.entitled += count.sent + count.withheld_entitled;
        }
        usage
    }
}

impl TargetLimits {
    /// Records the statement in a response to a request that was sent at `sent`; returns whether it
    /// changes the known limit.
    ///
    /// A response without a limit ends one only if the request was sent after the latest statement
    /// of the limit: responses on different connections may overtake each other.
    pub fn record_statement(
        &mut self,
        now: MonotonicTime,
        target: TargetId,
        statement: LimitStatement,
        sent: MonotonicTime,
    ) -> bool {
        let known = self.records.get_mut(&target);
        let Some(known) = known else {
            if statement == LimitStatement::Unlimited {
                return false;
            }
            let record = LimitRecord { own_stated: Some(now), ..LimitRecord::new(statement, now) };
            self.records.insert(target, record);
            return true;
        };
        let is_change = known.statement != statement;
        if statement == LimitStatement::Unlimited && (sent < known.stated || !is_change) {
            return false;
        }
        known.statement = statement;
        known.stated = now;
        known.own_stated = Some(now);
        is_change
    }

    /// Returns whether a target may get one more request of a customer of `tier`, in a fleet with
    /// `peers` other routers. `draw` is a number between 0 and 1 that differs between requests and
    /// between routers.
    pub fn admits(
        &self,
        now: MonotonicTime,
        target: TargetId,
        tier: ShareTier,
        peers: usize,
        draw: f64,
    ) -> bool {
        let record = self.records.get(&target);
        let Some((record, rate)) = record.and_then(|record| Some((record, record.rate()?))) else {
            return true;
        };
        let others = self.others.get(&target).copied().unwrap_or_default();
        let sent = record.usage(now, rate.window()).sent + others.sent;
        let capacity = rate.applied() * rate.window().as_secs_f64();
        // The reserve is left for customers of the tiers above.
        let (reserve, demand) = match tier {
            ShareTier::Owed => (0.0, others.entitled),
            ShareTier::Surplus => (SURPLUS_RESERVE, others.entitled),
            ShareTier::Excess => (EXCESS_RESERVE, others.wanted),
        };
        let room = capacity * (1.0 - reserve) - f64::from(sent);
        // The tolerance covers rounding where the window holds a whole number of requests.
        if room < 1.0 - 1e-6 {
            return false;
        }
        let delay = if uses_relays(peers) { RELAYED_REPORT_DELAY } else { DIRECT_REPORT_DELAY };
        let known_demand = f64::from(demand) / rate.window().as_secs_f64();
        let assumed_demand = if peers == 0 { 0.0 } else { ASSUMED_DEMAND * rate.applied() };
        let unknown = known_demand.max(assumed_demand) * delay.as_secs_f64();
        draw * (1.0 + unknown) < room
    }

    /// Returns the mean time between two requests that a limited target takes.
    pub fn mean_interval(&self, target: TargetId) -> Option<Duration> {
        Some(self.records.get(&target)?.rate()?.mean_interval())
    }

    /// Records that a request is sent to a target.
    pub fn record_send(&mut self, now: MonotonicTime, target: TargetId) {
        if let Some(record) = self.records.get_mut(&target) {
            record.count(now).sent += 1;
        }
    }

    /// Records that a request of a customer of `tier` was not sent to a target because of its limit.
    pub fn record_withheld(&mut self, now: MonotonicTime, target: TargetId, tier: ShareTier) {
        if let Some(record) = self.records.get_mut(&target) {
            let count = record.count(now);
            count.withheld += 1;
            count.withheld_entitled += u32::from(tier != ShareTier::Excess);
        }
    }

    /// Returns this router's usage of limited targets for its report.
    pub fn own_usage(&self, now: MonotonicTime) -> Vec<LimitUsage> {
        let usages = self.records.iter().filter_map(|(target, record)| {
            let window = record.rate().map_or(WINDOW, RequestRate::window);
            let UsageSum { sent, wanted, entitled } = record.usage(now, window);
            let own_stated =
                record.own_stated.filter(|time| now.since(*time) < STATEMENT_REPORT_TIME);
            let statement = own_stated.map(|time| ReceivedStatement {
                statement: record.statement,
                age_ms: now.since(time).as_millis() as u32,
            });
            let usage = LimitUsage { target: *target, statement, sent, wanted, entitled };
            (statement.is_some() || wanted > 0).then_some(usage)
        });
        usages.collect()
    }

    /// Replaces the usage of another router by that of its latest report; returns the targets whose
    /// limit this changes.
    pub fn apply_report(
        &mut self,
        now: MonotonicTime,
        incarnation: ProcessIncarnation,
        usages: &[LimitUsage],
    ) -> Vec<LimitChange> {
        self.remove_peer(incarnation);
        for usage in usages {
            let others = self.others.entry(usage.target).or_default();
            others.sent += usage.sent;
            others.wanted += usage.wanted;
            others.entitled += usage.entitled;
        }
        if !usages.is_empty() {
            self.peers.insert(incarnation, usages.to_vec());
        }
        let statements = usages.iter().filter_map(|usage| Some((usage.target, usage.statement?)));
        statements.filter_map(|(target, received)| self.merge(now, target, received)).collect()
    }

    /// Drops the usage of a router that no longer reports.
    pub fn remove_peer(&mut self, incarnation: ProcessIncarnation) {
        for usage in self.peers.remove(&incarnation).unwrap_or_default() {
            let Some(others) = self.others.get_mut(&usage.target) else {
                continue;
            };
            others.sent = others.sent.saturating_sub(usage.sent);
            others.wanted = others.wanted.saturating_sub(usage.wanted);
            others.entitled = others.entitled.saturating_sub(usage.entitled);
            if others.wanted == 0 {
                self.others.remove(&usage.target);
            }
        }
    }

    /// Returns the number of targets that have a limit now.
    pub fn limited_count(&self) -> usize {
        self.records.values().filter(|record| record.rate().is_some()).count()
    }

    /// Returns whether nothing is known of any target: none has a limit or had one lately.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Drops what is known about targets for which `is_known` returns false, and limits that ended
    /// long enough ago for all routers to know.
    pub fn retain(&mut self, now: MonotonicTime, is_known: impl Fn(TargetId) -> bool) {
        self.records.retain(|target, record| {
            let is_needed = record.rate().is_some() || now.since(record.stated) < COUNTED_SPAN;
            is_known(*target) && is_needed
        });
    }

    /// Merges a statement that another router received, if it is the latest one.
    fn merge(
        &mut self,
        now: MonotonicTime,
        target: TargetId,
        received: ReceivedStatement,
    ) -> Option<LimitChange> {
        let ReceivedStatement { statement, age_ms } = received;
        let stated = MonotonicTime(now.0.saturating_sub(u64::from(age_ms) * 1000));
        let change = LimitChange { target, statement };
        let Some(known) = self.records.get_mut(&target) else {
            let is_limited = statement != LimitStatement::Unlimited;
            return is_limited.then(|| {
                self.records.insert(target, LimitRecord::new(statement, stated));
                change
            });
        };
        if stated <= known.stated {
            return None;
        }
        known.stated = stated;
        let is_change = known.statement != statement;
        known.statement = statement;
        // The own response is outdated and must not be reported as if it said the same.
        known.own_stated = known.own_stated.filter(|_| !is_change);
        is_change.then_some(change)
    }
}
