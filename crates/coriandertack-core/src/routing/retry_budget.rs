//! Budget of retries.
//!
//! Retries are held to a tenth of requests, so that a failing service gets at most 10% more load
//! than its callers offer.

/// Part of a retry that each request pays for.
const DEPOSIT: f64 = 0.1;

/// Most retries that can be saved up for a burst of failures.
const MAX_RETRIES: f64 = 20.0;

/// Retries that a new bucket holds, so that the first requests after a start survive a bad instance.
const INITIAL: f64 = 5.0;

/// Token bucket that requests fill and retries drain.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    tokens: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { tokens: INITIAL }
    }
}

impl RetryBudget {
    /// Notes a request.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + DEPOSIT).min(MAX_RETRIES);
    }

    /// Takes a retry from the budget. Returns whether there was one.
    pub fn withdraw(&mut self) -> bool {
        // Ten deposits of 0.1 add up to slightly less than 1 in binary.
        if self.tokens < 1.0 - 1e-9 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
