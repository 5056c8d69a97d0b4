//! Budget of retries, so that a fault of many targets makes no storm of attempts.
//!
//! Each first attempt earns a part of a retry, as in Finagle's retry budgets.

/// Thousandths of a retry in a whole one.
const RETRY_COST: u64 = 1000;

/// Budget of retries.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    deposit_per_request: u64,
    capacity: u64,
    balance: u64,
}

impl RetryBudget {
    /// Creates a full budget: each request earns `percent` of a retry, and at most `reserve`
    /// retries are saved up.
    pub fn new(percent: u32, reserve: u32) -> RetryBudget {
        let capacity = u64::from(reserve) * RETRY_COST;
        RetryBudget {
            deposit_per_request: u64::from(percent) * RETRY_COST / 100,
            capacity,
            balance: capacity,
        }
    }

    /// Notes a first attempt.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + self.deposit_per_request).min(self.capacity);
    }

    /// Takes one retry; returns whether the budget allows it.
    pub fn try_withdraw(&mut self) -> bool {
        if self.balance < RETRY_COST {
            return false;
        }
        self.balance -= RETRY_COST;
        true
    }

    /// Returns the whole retries that are left.
    pub fn available(&self) -> u64 {
        self.balance / RETRY_COST
    }
}
