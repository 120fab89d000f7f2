//! Retry budgets.
//!
//! Retries are limited to a tenth of the requests, so that a failing service gets at most 10% more load
//! than its callers send.

/// Tokens that each request adds; a retry costs one.
const TOKENS_PER_REQUEST: f64 = 0.1;

/// Maximum number of tokens, which limits a burst of retries.
const MAX_TOKENS: f64 = 20.0;

/// Tokens of a new bucket, so that the first requests after a start survive a failing instance.
const INITIAL_TOKENS: f64 = 5.0;

/// Token bucket that requests fill and retries drain.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    tokens: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { tokens: INITIAL_TOKENS }
    }
}

impl RetryBudget {
    /// Adds the tokens of one request.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_REQUEST).min(MAX_TOKENS);
    }

    /// Takes the token for a retry and returns whether there was one.
    pub fn withdraw(&mut self) -> bool {
        // Ten deposits of 0.1 add up to slightly less than 1 in binary.
        if self.tokens < 1.0 - 1e-9 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
