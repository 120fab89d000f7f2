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

/// Initial and maximum pause between two listings while workers are not shown, in milliseconds. A machine is listed with
/// its worker from before the worker's first entry on, unless the listing lags, or the entry is not of a worker.
const PLACE_MS: (u64, u64) = (1_000, 16_000);

/// Maximum wait for a worker to join or to stop answering, in milliseconds.
const IDLE_MS: u64 = 60_000;

/// When to list the machines again for workers that no listing has shown.
#[derive(Debug)]
struct PlacementPoll {
    /// Number of these workers after the last listing.
    missing: usize,
    poll_at: BootTime,
    pause_ms: u64,
}

impl PlacementPoll {
    /// Records a listing that was requested at `now` and after which `missing` workers are not shown.
    fn record(&mut self, missing: usize, now: BootTime) {
        self.pause_ms = match missing == self.missing {
            true => (self.pause_ms * 2).min(PLACE_MS.1),
            false => PLACE_MS.0,
        };
        self.missing = missing;
        self.poll_at = now.plus_ms(self.pause_ms);
    }

    /// Returns true if a listing is due at `now`, with `missing` workers that are not shown.
    fn is_due(&self, missing: usize, now: BootTime) -> bool {
        missing > 0 && (missing != self.missing || now >= self.poll_at)
    }
}

/// Lists the machines whenever workers have joined, and whenever a worker with runs stops answering, for as long as the
/// future is polled.
pub async fn run(leadership: Arc<Leadership>) {
    let settings = &leadership.shared.settings;
    let Some(address) = settings.platform.machines else { return };
    let mut machines = Machines::new(address, settings.vm.name.clone());
    let mut reader = HostReader::default();
    let mut pause = POLL_MS.0;
    let mut unavailable = false;
    let mut placement = PlacementPoll { missing: 0, poll_at: clock::now(), pause_ms: PLACE_MS.0 };
    loop {
        let missing = leadership.scheduler().unplaced_workers(|worker| reader.has_shown(worker));
        // Read before the request, since the rows may be as old as that.
        let requested_at = clock::now();
        if !leadership.scheduler().has_silent_runs() {
            pause = POLL_MS.0;
            if !placement.is_due(missing, requested_at) {
                let wait_ms = placement.poll_at.ms_since(requested_at).max(PLACE_MS.0);
                let wait = Duration::from_millis(if missing > 0 { wait_ms } else { IDLE_MS });
                let _woken = timeout(wait, leadership.hosts_wake.notified()).await;
                continue;
            }
        }
        match machines.list().await {
            Ok(listing) => {
                if mem::replace(&mut unavailable, false) {
                    log::info!("event=dependency_regained dependency=hosts");
                }
                let complete = listing.unreadable == 0;
                let hosts = reader.read(&listing.machines, complete, requested_at);
                remove_unhosted(&leadership, &hosts, requested_at);
                let missing =
                    leadership.scheduler().unplaced_workers(|worker| reader.has_shown(worker));
                placement.record(missing, requested_at);
            }
            Err(error) => {
                placement.record(missing, requested_at);
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
