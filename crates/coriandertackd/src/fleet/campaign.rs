//! How a VM finds that nobody leads, and how it takes the lead.

use std::{sync::Arc, time::Duration};

use {
    coriandertack_jobs::{boot_time::BootTime, replica::Leader},
    coriandertack_log::jobs,
    coriandertack_platform::store::{AppendError, Fence, Record, Store, Topic},
    tokio::time::sleep,
};

use super::{
    clock,
    shared::{Counters, Reached, Shared},
};

/// Silence of the progress stream after which a VM tries to lead, in milliseconds. A slow store brings a record every
/// 500 ms.
const SILENCE_MS: u64 = 800;

/// Silence after which a VM tries to lead whose link to the leader has ended, in milliseconds. A killed process closes
/// its connections at once.
const UNLINKED_SILENCE_MS: u64 = 350;

/// Time by which VMs that are too small to lead for long wait longer, in milliseconds: two looks of the larger ones at the
/// progress.
const SMALL_MS: u64 = 600;

/// Time by which VMs of the next rank wait longer, in milliseconds, so that one append suffices.
const RANK_MS: u64 = 60;

/// Pause after an append without an answer, in milliseconds.
const RETRY_MS: u64 = 50;

/// Bound of the random first numbers of a leader's appends. Two candidates share one by chance once in 2^40 times.
const FIRST_NUMBERS: u64 = 1 << 40;

/// Returns the number of a candidate's first append.
///
/// The store answers a repeated number as it did first. Two candidates with the same epoch must therefore start from
/// different numbers, or both would believe that they lead.
#[must_use]
pub fn first_number() -> u64 {
    rand::random_range(0..FIRST_NUMBERS)
}

/// Waits until nobody seems to lead. Returns the next epoch and the end of the progress stream.
pub async fn vacancy(shared: &Shared) -> (u64, u64) {
    let mut progress = shared.progress.subscribe();
    let mut config = shared.config.subscribe();
    loop {
        let reached = *progress.borrow_and_update();
        let stopping = *shared.stopping.borrow();
        if reached.loaded && shared.intake.borrow().loaded && !stopping {
            let (leader, wait) = {
                let replica = shared.replica();
                let own = &*shared.settings.vm.name;
                let small = replica.preferred_leader(own, replica.links.keys()).is_some();
                let wait = RANK_MS * replica.leadership_rank(own) as u64
                    + if small { SMALL_MS } else { 0 };
                (replica.leader.clone(), wait)
            };
            let configured = config.borrow_and_update().revision > 0;
            if configured && reached.quiet >= vacant_at(shared, leader.as_ref(), &reached, wait) {
                return (leader.map_or(0, |leader| leader.epoch) + 1, reached.next);
            }
        }
        tokio::select! {
            _ = progress.changed() => {}
            _ = config.changed() => {}
        }
    }
}

/// Returns when this VM may try to lead, which is `wait_ms` after the first VM may.
///
/// All VMs lose the link to the leader at the same moment, often when the silence has lasted long already. The wait counts
/// from there as well, or all would try at once.
fn vacant_at(
    shared: &Shared,
    leader: Option<&Leader>,
    reached: &Reached,
    wait_ms: u64,
) -> BootTime {
    let released = leader.is_none_or(|leader| leader.vm.is_empty());
    let own = leader.is_some_and(|leader| *leader.vm == *shared.settings.vm.name);
    // A record of this VM's own former process binds nobody.
    if released || own {
        return reached.moved.plus_ms(wait_ms);
    }
    let Some(unlinked) = shared.unlinked_since() else {
        return reached.moved.plus_ms(SILENCE_MS + wait_ms);
    };
    // A VM that has just started has no link yet, which says little of the leader.
    let silence = match reached.quiet.ms_since(shared.started) > UNLINKED_SILENCE_MS {
        true => UNLINKED_SILENCE_MS,
        false => SILENCE_MS / 2,
    };
    reached.moved.plus_ms(silence + wait_ms).max(unlinked.plus_ms(wait_ms))
}

/// Tries to append the record of a new leader. Returns its offset and when the append began.
pub async fn run(
    shared: &Shared,
    store: &mut Store,
    epoch: u64,
    number: u64,
    at: u64,
) -> Option<(u64, BootTime)> {
    let vm = Arc::from(&*shared.settings.vm.name);
    let (key, value) = jobs::led(&Leader { epoch, vm });
    let records = [Record { key, value }];
    let fence = Some(Fence { epoch, number });
    loop {
        let began = clock::now();
        Counters::count(&shared.counters.appends);
        match store.append(Topic::Progress, &records, fence, Some(at)).await {
            Ok(appended) => return Some((appended.first, began)),
            Err(AppendError::Unknown) => {}
            Err(error) => {
                log::info!("event=campaign_lost epoch={epoch} error=\"{error}\"");
                return None;
            }
        }
        // A repeated append gets its first answer, so its outcome becomes known.
        Counters::count(&shared.counters.store_errors);
        sleep(Duration::from_millis(RETRY_MS)).await;
    }
}
