//! Release of the leadership, because the VM stops or in favour of a larger VM.

use std::sync::{Arc, atomic::Ordering};

use {
    coriandertack_jobs::{boot_time::BootTime, replica::Leader},
    coriandertack_log::jobs,
    coriandertack_platform::store::{Fence, Record, Store, Topic},
};

use super::{clock, leadership::Leadership};

/// Interval between two checks for a larger VM, in milliseconds.
pub const CHECK_INTERVAL_MS: u64 = 500;

/// Minimum time that a VM leads before it hands over to a larger one, in milliseconds. It doubles with each handover,
/// in case the larger VMs are unable to lead.
const MIN_TERM_MS: u64 = 2_000;

/// Upper bound of that minimum time, in milliseconds.
const MAX_TERM_MS: u64 = 60_000;

/// Minimum age of the link to the larger VM, in milliseconds: long enough for missing heartbeats to be noticed.
const MIN_LINK_AGE_MS: u64 = 1_500;

/// Returns whether a VM with far more CPU can lead instead of this one. A leader with too little CPU delays the
/// decisions for all callers.
pub fn is_due(leadership: &Leadership) -> bool {
    let shared = &leadership.shared;
    if leadership.scheduler().has_spent_tokens() {
        log::warn!("event=tokens_spent epoch={}", leadership.epoch);
        return true;
    }
    let now = clock::now();
    let handovers = shared.counters.handovers.load(Ordering::Relaxed);
    let term = MIN_TERM_MS.saturating_mul(1 << handovers.min(8)).min(MAX_TERM_MS);
    if now.ms_since(leadership.began) < term {
        return false;
    }
    let linked = leadership.links().opened_before(BootTime(now.0.saturating_sub(MIN_LINK_AGE_MS)));
    let replica = shared.replica();
    let Some(larger) = replica.preferred_leader(&shared.settings.vm.name, &linked) else {
        return false;
    };
    log::info!("event=lead_handed_over epoch={} larger={larger}", leadership.epoch);
    shared.counters.handovers.fetch_add(1, Ordering::Relaxed);
    true
}

/// Releases the leadership, so that another VM can take it without waiting for a timeout.
pub async fn release(leadership: &Leadership, store: &mut Store, number: u64) {
    let (key, value) = jobs::leader(&Leader { epoch: leadership.epoch, vm: Arc::default() });
    let fence = Some(Fence { epoch: leadership.epoch, number: number + 1 });
    let result = store.append(Topic::Progress, &[Record { key, value }], fence, None).await;
    match result {
        Ok(appended) => log::info!(
            "event=leadership_released epoch={} offset={}",
            leadership.epoch,
            appended.first
        ),
        Err(error) => {
            log::warn!("event=release_failed epoch={} error=\"{error}\"", leadership.epoch);
        }
    }
}
