//! How a VM gives up the lead: because it stops, or in favour of a larger VM.

use std::sync::{Arc, atomic::Ordering};

use {
    coriandertack_jobs::{boot_time::BootTime, replica::Leader},
    coriandertack_log::jobs,
    coriandertack_platform::store::{Fence, Record, Store, Topic},
};

use super::{clock, lead::Leading};

/// Time between two looks for a larger VM, in milliseconds.
pub const LOOK_MS: u64 = 500;

/// How long a VM leads before it gives up the lead in favour of a larger one, in milliseconds. It doubles each time,
/// in case the larger ones cannot lead.
const FIRST_TERM_MS: u64 = 2_000;

/// Longest such time, in milliseconds.
const LONGEST_TERM_MS: u64 = 60_000;

/// How long the link to the larger VM must have been open, in milliseconds: long enough for its beats to be missed.
const STEADY_MS: u64 = 1_500;

/// Tells whether a VM with far more processors can lead instead of this one. A leader that is too small decides late for
/// all callers.
pub fn is_due(leading: &Leading) -> bool {
    let shared = &leading.shared;
    let now = clock::now();
    let times = shared.counters.handovers.load(Ordering::Relaxed);
    let term = FIRST_TERM_MS.saturating_mul(1 << times.min(8)).min(LONGEST_TERM_MS);
    if now.ms_since(leading.began) < term {
        return false;
    }
    let steady = leading.links().opened_before(BootTime(now.0.saturating_sub(STEADY_MS)));
    let replica = shared.replica();
    let Some(larger) = replica.preferred_leader(&shared.settings.vm.name, &steady) else {
        return false;
    };
    log::info!("event=lead_handed_over epoch={} larger={larger}", leading.epoch);
    shared.counters.handovers.fetch_add(1, Ordering::Relaxed);
    true
}

/// Gives the leadership up, so that another VM takes it at once.
pub async fn release(leading: &Leading, store: &mut Store, number: u64) {
    let (key, value) = jobs::led(&Leader { epoch: leading.epoch, vm: Arc::default() });
    let fence = Some(Fence { epoch: leading.epoch, number: number + 1 });
    let result = store.append(Topic::Progress, &[Record { key, value }], fence, None).await;
    match result {
        Ok(_) => log::info!("event=leadership_released epoch={}", leading.epoch),
        Err(error) => {
            log::warn!("event=release_failed epoch={} error=\"{error}\"", leading.epoch);
        }
    }
}
