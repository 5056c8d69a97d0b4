//! What a small in-memory fleet is made of.

use std::time::Duration;

use jackdaw_base::WorkUnits;
use jackdaw_policy::{AgentPolicy, GapTerms, RouterPolicy, SharePolicy};

/// Tokens that a place generates in a second.
pub(crate) const PLACE_RATE: u64 = 40;
/// Most tokens of a request.
pub(crate) const COST_MAX: u64 = 4_000;
/// Mean tokens of a request.
const COST_MEAN: u64 = 356;

/// How a customer's hints relate to the cost.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum HintError {
    Rough,
    Tenfold,
    Low,
}

/// A customer that always has `depth` requests waiting at each of its routers.
#[derive(Debug, Clone)]
pub(crate) struct CustomerLoad {
    pub(crate) share: u32,
    pub(crate) routers: Vec<usize>,
    pub(crate) depth: u32,
    pub(crate) hint: HintError,
}

#[derive(Debug, Clone, Copy)]
pub(crate) enum FleetFault {
    RestartAgent(usize),
    RestartRouter(usize),
    CutRouters,
    JoinRouters,
    /// Routers and agents fall into two halves.
    SplitFleet,
    MendFleet,
    SetShare(usize, u32),
    PauseCustomer(usize),
    ResumeCustomer(usize),
}

#[derive(Debug, Clone)]
pub(crate) struct FleetPlan {
    pub(crate) seed: u64,
    pub(crate) routers: usize,
    pub(crate) agents: usize,
    pub(crate) subset: usize,
    pub(crate) seconds: u64,
    pub(crate) customers: Vec<CustomerLoad>,
    /// Faults and the second of each.
    pub(crate) faults: Vec<(u64, FleetFault)>,
    /// Control messages lost, and as many doubled and as many overtaken, in thousandths.
    pub(crate) loss: u32,
    pub(crate) agent_policy: AgentPolicy,
    pub(crate) router_policy: RouterPolicy,
}

impl FleetPlan {
    /// Plans a fleet with customers of equal shares, each on every router.
    pub(crate) fn even(seed: u64, policy: SharePolicy, routers: usize, agents: usize) -> FleetPlan {
        let routers_all = (0..routers).collect();
        let load =
            CustomerLoad { share: 1, routers: routers_all, depth: 8, hint: HintError::Rough };
        FleetPlan {
            seed,
            routers,
            agents,
            subset: agents.min(24),
            seconds: 120,
            customers: vec![load; 16],
            faults: Vec::new(),
            loss: 0,
            agent_policy: AgentPolicy { share_policy: policy, ..AgentPolicy::default() },
            router_policy: RouterPolicy::default(),
        }
    }

    /// Spreads customers unevenly: the first ones sit on one router, the last on all.
    pub(crate) fn uneven(mut self) -> FleetPlan {
        let count = self.customers.len();
        for (index, load) in self.customers.iter_mut().enumerate() {
            let width = 1 + index * (self.routers - 1) / (count - 1);
            load.routers = (0..width).map(|step| (index * 3 + step) % self.routers).collect();
            load.depth = (160 / width as u32).max(8);
        }
        self
    }

    /// Shapes the load or the faults by name.
    pub(crate) fn shape(mut self, name: &str) -> FleetPlan {
        let seconds = self.seconds;
        match name {
            "flood" => self.customers[0].depth *= 100,
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
                self.faults.push((seconds / 4, FleetFault::CutRouters));
                self.faults.push((seconds / 2, FleetFault::JoinRouters));
                return self.uneven();
            }
            "split" => {
                for (index, load) in self.customers.iter_mut().enumerate() {
                    // Some customers are on both sides, some on one.
                    load.routers.retain(|router| index % 4 == 0 || router % 2 == 0);
                }
                self.faults.push((seconds / 4, FleetFault::SplitFleet));
                self.faults.push((seconds / 2, FleetFault::MendFleet));
            }
            "restarts" => {
                self.loss = 10;
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

    /// Returns the terms of the bound on the gap.
    pub(crate) fn terms(&self) -> GapTerms {
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
            hop_delay: Duration::from_millis(if self.loss > 0 { 75 } else { 2 }),
            consecutive_losses: u32::from(self.loss > 0) * 2,
            share_min: shares().min().unwrap_or(1),
            share_max: shares().max().unwrap_or(1),
            share_sum: shares().sum(),
        }
    }
}
