//! Leader election: how a VM detects that the leadership is vacant, and how it takes it.

use std::{sync::Arc, time::Duration};

use {
    coriandertack_jobs::{boot_time::BootTime, replica::Leader},
    coriandertack_log::jobs,
    coriandertack_platform::store::{AppendError, Fence, Record, Store, Topic},
    tokio::time::sleep,
};

use super::{
    clock,
    shared::{Counters, ReadPosition, Shared},
};

/// Time without a new progress record after which a VM campaigns, in milliseconds. With a slow store, the leader writes
/// a record every 500 ms.
const SILENCE_MS: u64 = 800;

/// The same time for a VM whose link to the leader has closed, in milliseconds. It is shorter because a killed process
/// closes its connections at once.
const UNLINKED_SILENCE_MS: u64 = 350;

/// Extra delay of VMs that would soon hand over to a larger one, in milliseconds. In this time the larger VMs read the
/// progress topic twice.
const SMALL_VM_DELAY_MS: u64 = 600;

/// Extra delay for each rank, in milliseconds. It staggers the candidates, so that one append usually suffices.
const RANK_DELAY_MS: u64 = 60;

/// Pause after an append without a response, in milliseconds.
const RETRY_MS: u64 = 50;

/// Upper bound of the random number of a candidate's first append. Two candidates collide with probability 2^-40.
const FIRST_NUMBER_BOUND: u64 = 1 << 40;

/// Returns the number of a candidate's first append.
///
/// The store answers a repeated number with its first response. Two candidates for the same epoch must therefore start
/// from different numbers, or both would believe that they were elected.
#[must_use]
pub fn first_number() -> u64 {
    rand::random_range(0..FIRST_NUMBER_BOUND)
}

/// Waits until the leadership appears vacant. Returns the next epoch and the end offset of the progress topic.
pub async fn wait_for_vacancy(shared: &Shared) -> (u64, u64) {
    let mut progress = shared.progress.subscribe();
    let mut config = shared.config.subscribe();
    loop {
        let position = *progress.borrow_and_update();
        let stopping = *shared.stopping.borrow();
        if position.loaded && shared.intake.borrow().loaded && !stopping {
            let (leader, delay_ms) = {
                let replica = shared.replica();
                let own = &*shared.settings.vm.name;
                let small = replica.preferred_leader(own, replica.links.keys()).is_some();
                let delay_ms = RANK_DELAY_MS * replica.leadership_rank(own) as u64
                    + if small { SMALL_VM_DELAY_MS } else { 0 };
                (replica.leader.clone(), delay_ms)
            };
            let configured = config.borrow_and_update().revision > 0;
            if configured
                && position.finished_at
                    >= candidacy_time(shared, leader.as_ref(), &position, delay_ms)
            {
                return (leader.map_or(0, |leader| leader.epoch) + 1, position.next);
            }
        }
        tokio::select! {
            _ = progress.changed() => {}
            _ = config.changed() => {}
        }
    }
}

/// Returns when this VM may campaign, which is `delay_ms` after the first VM may.
///
/// All VMs lose their link to the leader at the same moment, often when the last record is already old. The delay
/// therefore also counts from the loss of the link; otherwise all VMs would campaign at once.
fn candidacy_time(
    shared: &Shared,
    leader: Option<&Leader>,
    position: &ReadPosition,
    delay_ms: u64,
) -> BootTime {
    let released = leader.is_none_or(|leader| leader.vm.is_empty());
    let own = leader.is_some_and(|leader| *leader.vm == *shared.settings.vm.name);
    // After a restart, the record of this VM's former process must not delay the election.
    if released || own {
        return position.changed_at.plus_ms(delay_ms);
    }
    let Some(unlinked) = shared.unlinked_since() else {
        return position.changed_at.plus_ms(SILENCE_MS + delay_ms);
    };
    // A VM that has just started has no link yet, which does not mean that the leader has failed.
    let silence = match position.finished_at.ms_since(shared.started) > UNLINKED_SILENCE_MS {
        true => UNLINKED_SILENCE_MS,
        false => SILENCE_MS / 2,
    };
    position.changed_at.plus_ms(silence + delay_ms).max(unlinked.plus_ms(delay_ms))
}

/// Appends a leader record at the end of the progress topic, where the store accepts only one candidate's.
///
/// Returns the record's offset and when the append began, or `None` if another VM was faster or the store refused.
pub async fn campaign(
    shared: &Shared,
    store: &mut Store,
    epoch: u64,
    number: u64,
    end: u64,
) -> Option<(u64, BootTime)> {
    let vm = Arc::from(&*shared.settings.vm.name);
    let (key, value) = jobs::leader(&Leader { epoch, vm });
    let records = [Record { key, value }];
    let fence = Some(Fence { epoch, number });
    loop {
        let began = clock::now();
        Counters::count(&shared.counters.appends);
        match store.append(Topic::Progress, &records, fence, Some(end)).await {
            Ok(appended) => return Some((appended.first, began)),
            Err(AppendError::Unknown) => {}
            Err(error) => {
                log::info!("event=campaign_lost epoch={epoch} error=\"{error}\"");
                return None;
            }
        }
        // The store answers a repeated append with its first response, so retrying reveals the outcome.
        Counters::count(&shared.counters.store_errors);
        sleep(Duration::from_millis(RETRY_MS)).await;
    }
}
