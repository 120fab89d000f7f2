//! The leader's task that lists machines: when workers have joined, to learn which machines host them, and while workers
//! do not answer, to learn which of them have ended.

use std::{mem, sync::Arc, time::Duration};

use {
    coriandertack_jobs::{
        boot_time::BootTime,
        hosts::{HostReader, Hosts},
    },
    coriandertack_platform::machines::Machines,
    tokio::time::{sleep, timeout},
};

use super::{clock, leadership::Leadership};

/// Initial and maximum pause between two listings while a worker with runs does not answer, in milliseconds. A worker
/// that crashed is listed as such at once; one that is cut off does not answer for seconds.
const POLL_MS: (u64, u64) = (100, 800);

/// Interval at which the task looks for workers that have joined, in milliseconds.
const CHECK_MS: u64 = 1_000;

/// Maximum pause between two listings while the same workers are not shown, in milliseconds. A machine is listed with its
/// worker from before the worker's first entry on, unless the listing lags, or the entry is not of a worker.
const MAX_PLACE_MS: u64 = 16_000;

/// Lists the machines whenever workers have joined, and whenever a worker with runs stops answering, for as long as the
/// future is polled.
pub async fn run(leadership: Arc<Leadership>) {
    let settings = &leadership.shared.settings;
    let Some(address) = settings.platform.machines else { return };
    let mut machines = Machines::new(address, settings.vm.name.clone());
    let mut reader = HostReader::default();
    let mut pause = POLL_MS.0;
    let mut unavailable = false;
    let (mut missing, mut next_place, mut place_pause) = (0, clock::now(), CHECK_MS);
    loop {
        let now = clock::now();
        let silent = leadership.scheduler().has_silent_runs();
        let unplaced = leadership.scheduler().unplaced_workers(|worker| reader.has_shown(worker));
        if !silent {
            pause = POLL_MS.0;
            if unplaced == 0 || (unplaced == missing && now < next_place) {
                let check = Duration::from_millis(CHECK_MS);
                let _woken = timeout(check, leadership.hosts_wake.notified()).await;
                continue;
            }
        }
        match machines.list().await {
            Ok(listing) => {
                if mem::replace(&mut unavailable, false) {
                    log::info!("event=dependency_regained dependency=hosts");
                }
                let hosts = reader.read(&listing.machines, listing.unreadable == 0, now);
                remove_unhosted(&leadership, &hosts, now);
                let unplaced =
                    leadership.scheduler().unplaced_workers(|worker| reader.has_shown(worker));
                place_pause = match unplaced == missing {
                    true => (place_pause * 2).min(MAX_PLACE_MS),
                    false => CHECK_MS,
                };
                (missing, next_place) = (unplaced, now.plus_ms(place_pause));
            }
            Err(error) => {
                (missing, next_place) = (unplaced, now.plus_ms(place_pause));
                if !mem::replace(&mut unavailable, true) {
                    log::warn!("event=dependency_lost dependency=hosts error=\"{error:#}\"");
                }
            }
        }
        sleep(Duration::from_millis(pause)).await;
        pause = (pause * 2).min(POLL_MS.1);
    }
}

fn remove_unhosted(leadership: &Leadership, hosts: &Hosts, requested_at: BootTime) {
    let now = clock::now();
    let removed =
        leadership.scheduler().remove_unhosted_workers(hosts, requested_at, now, clock::wall());
    if removed {
        leadership.shared.wake.notify_one();
    }
}
