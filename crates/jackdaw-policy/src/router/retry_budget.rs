//! Retry budget that prevents a retry storm when many targets fail at once.
//!
//! Each first attempt deposits a fraction of a retry, as in Finagle's retry budgets.

/// Cost of one retry, in thousandths of a retry.
const RETRY_COST: u64 = 1000;

/// Token bucket of retries that first attempts fill, counted in thousandths of a retry.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    deposit_per_request: u64,
    capacity: u64,
    balance: u64,
}

impl RetryBudget {
    /// Creates a full budget. Each request deposits `percent` of a retry, up to a capacity of
    /// `reserve` retries.
    pub fn new(percent: u32, reserve: u32) -> RetryBudget {
        let capacity = u64::from(reserve) * RETRY_COST;
        RetryBudget {
            deposit_per_request: u64::from(percent) * RETRY_COST / 100,
            capacity,
            balance: capacity,
        }
    }

    /// Adds the deposit of a first attempt.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + self.deposit_per_request).min(self.capacity);
    }

    /// Withdraws one retry if the balance suffices; returns whether it did.
    pub fn try_withdraw(&mut self) -> bool {
        if self.balance < RETRY_COST {
            return false;
        }
        self.balance -= RETRY_COST;
        true
    }

    /// Returns the number of whole retries in the balance.
    pub fn available(&self) -> u64 {
        self.balance / RETRY_COST
    }
}
