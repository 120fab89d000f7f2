//! When a refused caller should return.
//!
//! While the store is away, the pause grows with the outage: an outage that has lasted for some
//! seconds is likely to last as long again, and each earlier return would be refused too. A caller
//! that waits for a limited time has to return several times within it, since any return may be the
//! one that is served. See docs/notes/routing.md.

/// Shortest pause, in seconds. `Retry-After` has no smaller unit.
const MIN_PAUSE_S: u64 = 1;

/// Longest pause, in seconds. A caller that waits longer returns long after service has resumed.
const MAX_PAUSE_S: u64 = 4;

/// Number of returns that fit into the time for which the caller waits.
const RETURNS: u64 = 3;

/// Returns the pause before a refused caller should return, in seconds.
///
/// `outage_ms` is the time since which the reason for the refusal has lasted, and `wait_ms` the time
/// for which the caller still waits, if it has said so.
#[must_use]
pub fn pause_s(outage_ms: u64, wait_ms: Option<u64>) -> u64 {
    let longest = wait_ms.map_or(MAX_PAUSE_S, |wait_ms| wait_ms / RETURNS / 1_000);
    (outage_ms / 1_000).clamp(MIN_PAUSE_S, longest.clamp(MIN_PAUSE_S, MAX_PAUSE_S))
}
