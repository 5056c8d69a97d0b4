//! Budget of retries, so that a fault of many targets makes no storm of attempts.
//!
//! Each first attempt earns a part of a retry, as in Finagle's retry budgets.

/// Thousandths of a retry in a whole one.
const WHOLE_RETRY: u64 = 1000;

/// Budget of retries.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    earned_per_request: u64,
    most: u64,
    balance: u64,
}

impl RetryBudget {
    /// Creates a full budget: each request earns `percent` of a retry, and at most `reserve`
    /// retries are saved up.
    pub fn new(percent: u32, reserve: u32) -> RetryBudget {
        let most = u64::from(reserve) * WHOLE_RETRY;
        RetryBudget {
            earned_per_request: u64::from(percent) * WHOLE_RETRY / 100,
            most,
            balance: most,
        }
    }

    /// Notes a first attempt.
    pub fn earn(&mut self) {
        self.balance = (self.balance + self.earned_per_request).min(self.most);
    }

    /// Takes one retry; returns whether the budget allows it.
    pub fn spend(&mut self) -> bool {
        if self.balance < WHOLE_RETRY {
            return false;
        }
        self.balance -= WHOLE_RETRY;
        true
    }

    /// Returns the whole retries that are left.
    pub fn left(&self) -> u64 {
        self.balance / WHOLE_RETRY
    }
}
