//! Size, load, faults and policies of a simulated fleet.

use std::time::Duration;

use jackdaw_base::WorkUnits;
use jackdaw_policy::{AgentPolicy, GapTerms, RouterPolicy, SharePolicy};

/// Tokens per second that a place generates.
pub(crate) const PLACE_RATE: u64 = 40;
/// Maximum number of tokens of a request.
pub(crate) const COST_MAX: u64 = 4_000;
/// Mean number of tokens of a request.
const COST_MEAN: u64 = 356;

/// Error of a customer's cost hints.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum HintError {
    /// Between half and twice the cost.
    Rough,
    /// Ten times the cost or a tenth of it, at random.
    Tenfold,
    /// Always one token.
    Low,
}

/// Load of a customer that keeps `queue_depth` requests waiting at each of its routers.
#[derive(Debug, Clone)]
pub(crate) struct CustomerLoad {
    pub(crate) share: u32,
    pub(crate) routers: Vec<usize>,
    pub(crate) queue_depth: u32,
    pub(crate) hint: HintError,
}

/// Fault or change of load; indices refer to the plan.
#[derive(Debug, Clone, Copy)]
pub(crate) enum FleetFault {
    RestartAgent(usize),
    RestartRouter(usize),
    /// Partitions the links between routers into two halves; links to agents stay.
    PartitionRouters,
    /// Restores the links between routers.
    HealRouters,
    /// Partitions routers and agents into two halves.
    PartitionFleet,
    /// Restores all links.
    HealFleet,
    SetShare(usize, u32),
    PauseCustomer(usize),
    ResumeCustomer(usize),
}

/// Plan of a simulation run.
#[derive(Debug, Clone)]
pub(crate) struct FleetPlan {
    pub(crate) seed: u64,
    pub(crate) routers: usize,
    pub(crate) agents: usize,
    pub(crate) agents_per_router: usize,
    pub(crate) seconds: u64,
    pub(crate) customers: Vec<CustomerLoad>,
    /// Faults with the second at which each occurs.
    pub(crate) faults: Vec<(u64, FleetFault)>,
    /// Control messages lost, in thousandths; as many are duplicated and as many delayed.
    pub(crate) loss_permille: u32,
    pub(crate) agent_policy: AgentPolicy,
    pub(crate) router_policy: RouterPolicy,
}

impl FleetPlan {
    /// Creates a plan in which all customers have equal shares and load every router.
    pub(crate) fn even(seed: u64, policy: SharePolicy, routers: usize, agents: usize) -> FleetPlan {
        let all_routers = (0..routers).collect();
        let load =
            CustomerLoad { share: 1, routers: all_routers, queue_depth: 8, hint: HintError::Rough };
        FleetPlan {
            seed,
            routers,
            agents,
            agents_per_router: agents.min(24),
            seconds: 120,
            customers: vec![load; 16],
            faults: Vec::new(),
            loss_permille: 0,
            agent_policy: AgentPolicy { share_policy: policy, ..AgentPolicy::default() },
            router_policy: RouterPolicy::default(),
        }
    }

    /// Distributes customers unevenly over routers, from one router for the first to all routers
    /// for the last.
    pub(crate) fn uneven(mut self) -> FleetPlan {
        let count = self.customers.len();
        for (index, load) in self.customers.iter_mut().enumerate() {
            let router_count = 1 + index * (self.routers - 1) / (count - 1);
            load.routers =
                (0..router_count).map(|step| (index * 3 + step) % self.routers).collect();
            load.queue_depth = (160 / router_count as u32).max(8);
        }
        self
    }

    /// Applies the load or fault pattern of the given name; an unknown name changes nothing.
    pub(crate) fn with_load(mut self, name: &str) -> FleetPlan {
        let seconds = self.seconds;
        match name {
            "flood" => self.customers[0].queue_depth *= 100,
            "uneven" => return self.uneven(),
            "hints" => {
                self.customers.iter_mut().for_each(|load| load.hint = HintError::Tenfold);
                self.customers[0].hint = HintError::Low;
            }
            "shares" => {
                for (index, load) in self.customers.iter_mut().enumerate() {
                    load.share = 1 + index as u32 % 4;
                }
                self.faults.push((seconds / 3, FleetFault::SetShare(0, 4)));
            }
            "returns" => {
                self.faults.push((seconds / 10, FleetFault::PauseCustomer(0)));
                self.faults.push((seconds * 4 / 5, FleetFault::ResumeCustomer(0)));
            }
            "cut" => {
                self.faults.push((seconds / 4, FleetFault::PartitionRouters));
                self.faults.push((seconds / 2, FleetFault::HealRouters));
                return self.uneven();
            }
            "split" => {
                for (index, load) in self.customers.iter_mut().enumerate() {
                    // Some customers load both sides of the partition, others only one.
                    load.routers.retain(|router| index % 4 == 0 || router % 2 == 0);
                }
                self.faults.push((seconds / 4, FleetFault::PartitionFleet));
                self.faults.push((seconds / 2, FleetFault::HealFleet));
            }
            "restarts" => {
                self.loss_permille = 10;
                for second in (10..seconds).step_by(10) {
                    let index = second as usize / 10;
                    self.faults.push((second, FleetFault::RestartAgent(index % self.agents)));
                    self.faults.push((second + 5, FleetFault::RestartRouter(index % self.routers)));
                }
                return self.uneven();
            }
            _ => {}
        }
        self
    }

    /// Returns the terms of the bound on the service gap.
    pub(crate) fn gap_terms(&self) -> GapTerms {
        let shares = || self.customers.iter().map(|load| load.share);
        GapTerms {
            agents: self.agents as u32,
            places: self.agent_policy.places,
            place_rate: WorkUnits(PLACE_RATE),
            reservation_max: self.agent_policy.reservation_max,
            cost_max: WorkUnits(COST_MAX),
            cost_mean: WorkUnits(COST_MEAN),
            report_interval: self.agent_policy.report_interval,
            totals_interval: self.router_policy.totals_interval,
            hop_delay: Duration::from_millis(if self.loss_permille > 0 { 75 } else { 2 }),
            consecutive_losses: u32::from(self.loss_permille > 0) * 2,
            share_min: shares().min().unwrap_or(1),
            share_max: shares().max().unwrap_or(1),
            share_sum: shares().sum(),
        }
    }
}
