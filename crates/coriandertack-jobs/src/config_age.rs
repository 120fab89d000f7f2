//! Whether requests may be answered by the configuration that a VM has read.
//!
//! A newer version must be in force within a bound after it was published. A VM that knows of one
//! and is still transferring it refuses requests once the bound may have passed. A VM that the
//! store does not answer keeps its version: it cannot know whether there is a newer one, and its
//! callers are served better by an older configuration than by none. See
//! docs/design/configurations.md.
//!
//! ```
//! use coriandertack_jobs::{
//!     boot_time::BootTime,
//!     config_age::{ConfigAge, Verdict},
//! };
//!
//! let mut age = ConfigAge::default();
//! age.record_current(BootTime(1_000), 2_000);
//! age.record_newer(BootTime(1_900));
//! assert_eq!(age.verdict(BootTime(2_500)), Verdict::Use);
//! assert_eq!(age.verdict(BootTime(3_000)), Verdict::Refuse { since: BootTime(1_900) });
//! ```

use crate::boot_time::BootTime;

/// Part of the bound that is left for a request to reach the VM and its answer to leave it, in
/// milliseconds.
const MARGIN_MS: u64 = 200;

/// Age of the last attempt to read a newer version from which a VM waits for the next one, in
/// milliseconds. Without a suspension of the process, an attempt began within the last 2,500 ms,
/// also if the store does not answer.
const MAX_ATTEMPT_AGE_MS: u64 = 2_800;

/// What a VM knows about the age of its configuration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConfigAge {
    /// Until when the version in force may be used although there is a newer one.
    current_until: BootTime,
    /// Until when an attempt to read a newer version counts as recent.
    tried_until: BootTime,
    /// Since when a newer version is known that the store is sending.
    newer_since: Option<BootTime>,
}

/// What to do with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Answer it by the version in force.
    Use,
    /// Wait for the next attempt to read a newer version: the process may have been suspended.
    Wait,
    /// Refuse it: a newer version has been known for some time.
    Refuse {
        /// Since when.
        since: BootTime,
    },
}

impl ConfigAge {
    /// Records that there was no version at `shown` that is newer than the one in force. A newer one
    /// has to be in force `bound_ms` after it was published.
    pub const fn record_current(&mut self, shown: BootTime, bound_ms: u64) {
        self.current_until = shown.plus_ms(bound_ms.saturating_sub(MARGIN_MS));
        self.tried_until = shown.plus_ms(MAX_ATTEMPT_AGE_MS);
        self.newer_since = None;
    }

    /// Records that the store has records that have not been applied.
    pub fn record_newer(&mut self, now: BootTime) {
        self.newer_since.get_or_insert(now);
    }

    /// Records that the store did not respond to a read that began at `began`.
    pub const fn record_silence(&mut self, began: BootTime) {
        self.tried_until = began.plus_ms(MAX_ATTEMPT_AGE_MS);
        self.newer_since = None;
    }

    /// Returns for how long a newer version has been known, in milliseconds.
    #[must_use]
    pub fn behind_ms(&self, now: BootTime) -> u64 {
        self.newer_since.map_or(0, |since| now.ms_since(since))
    }

    /// Decides what to do with a request that arrives now.
    #[must_use]
    pub fn verdict(&self, now: BootTime) -> Verdict {
        match self.newer_since {
            Some(since) if now >= self.current_until => Verdict::Refuse { since },
            _ if now < self.tried_until => Verdict::Use,
            _ => Verdict::Wait,
        }
    }
}
