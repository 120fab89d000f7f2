//! The leader's task for maintenance waves: it lists the machines, empties workers, orders upkeep and reports.

use std::{sync::Arc, time::Duration};

use {
    coriandertack_jobs::maintenance::{MaintenanceOutcome, MaintenancePlanner, Occupancy},
    coriandertack_platform::{
        machines::Machines,
        operator,
        store::{Fence, Store, Topic},
    },
    tokio::time::sleep,
};

use super::{
    clock,
    lead::Leading,
    shared::{Counters, Shared},
};

/// Pause between two listings while a wave is open, in milliseconds. Each listing is priced, and a machine is down for
/// some 2 s.
const LOOK_MS: u64 = 500;

/// Pause after a failed call, in milliseconds.
const RETRY_MS: u64 = 200;

/// Serves the waves that operators ask for, for as long as the future is polled.
pub async fn run(leading: Arc<Leading>) {
    let shared = &leading.shared;
    let Some(address) = shared.settings.platform.machines else { return };
    // A former leader's orders for a machine must not be followed by ours within the lease of its turn.
    sleep(Duration::from_millis(shared.settings.bounds.lease_ms)).await;
    let mut store = Store::new(shared.settings.platform.store);
    let mut machines = Machines::new(address, shared.settings.vm.name.clone());
    let mut planner = MaintenancePlanner::default();
    let mut waves = shared.waves.subscribe();
    let mut number = 0;
    let mut resumed = false;
    let mut lost = false;
    loop {
        for wave in waves.borrow_and_update().values() {
            planner.add_wave(wave.clone());
        }
        if planner.is_idle() {
            if waves.changed().await.is_err() {
                return;
            }
            continue;
        }
        if !resumed {
            resumed = resume(shared, &mut store, &mut planner).await;
            if !resumed {
                sleep(Duration::from_millis(RETRY_MS)).await;
            }
            continue;
        }
        look(&mut machines, &mut planner, &mut lost).await;
        if !order(&leading, &mut machines, &mut planner).await {
            return;
        }
        report(&leading, &mut store, &mut planner, &mut number).await;
        sleep(Duration::from_millis(LOOK_MS)).await;
    }
}

/// Reads what a former leader reported. Returns false if the store is unavailable.
async fn resume(shared: &Shared, store: &mut Store, planner: &mut MaintenancePlanner) -> bool {
    Counters::count(&shared.counters.reads);
    let newest = match store.newest(Topic::Reports).await {
        Ok(newest) => newest,
        Err(error) => {
            log::info!("event=waves_wait error=\"{error}\"");
            return false;
        }
    };
    for record in &newest.records {
        match operator::read_report(record) {
            Ok(Some(report)) => planner.resume(report),
            Ok(None) => {}
            Err(error) => {
                log::warn!("event=report_unreadable key={} error=\"{error:#}\"", record.key);
            }
        }
    }
    true
}

async fn look(machines: &mut Machines, planner: &mut MaintenancePlanner, lost: &mut bool) {
    let asked = clock::now();
    match machines.list().await {
        Ok(listing) => {
            if std::mem::replace(lost, false) {
                log::info!("event=dependency_regained dependency=machines");
            }
            planner.update_machines(&listing, asked);
        }
        Err(error) => {
            if !std::mem::replace(lost, true) {
                log::warn!("event=dependency_lost dependency=machines error=\"{error:#}\"");
            }
        }
    }
}

/// Empties the workers whose machines are due and orders the upkeep of those that may go down. Returns false if
/// another VM leads.
async fn order(
    leading: &Leading,
    machines: &mut Machines,
    planner: &mut MaintenancePlanner,
) -> bool {
    for due in planner.due_machines(clock::now()) {
        let occupancy = match &due.worker {
            Some(worker) => leading.scheduler().evacuate(worker, clock::now()),
            None => Occupancy::Empty,
        };
        leading.shared.wake.notify_one();
        let ready = match occupancy {
            Occupancy::Empty => true,
            Occupancy::Batch => due.forced || due.sent,
            Occupancy::Serving => due.sent,
        };
        if !ready || clock::now() >= leading.may_start_until() {
            continue;
        }
        planner.record_order(&due);
        let outcome = machines.upkeep(&due.machine, due.wave, leading.epoch).await;
        log::info!(
            "event=upkeep_ordered wave={} machine={} worker={} occupancy={occupancy:?} outcome={outcome}",
            due.wave,
            due.machine,
            due.worker.as_deref().unwrap_or("none"),
        );
        planner.record_outcome(&due, outcome, clock::now());
        match (outcome, &due.worker) {
            (MaintenanceOutcome::Fenced, _) => {
                leading.depose("machines");
                return false;
            }
            (MaintenanceOutcome::Refused, Some(worker)) => {
                leading.scheduler().reopen_worker(worker)
            }
            _ => {}
        }
    }
    true
}

/// Stores the reports that have changed.
async fn report(
    leading: &Leading,
    store: &mut Store,
    planner: &mut MaintenancePlanner,
    number: &mut u64,
) {
    for report in planner.changed_reports() {
        let record = match operator::report(&report) {
            Ok(record) => record,
            Err(error) => {
                log::error!("event=report_not_written wave={} error=\"{error:#}\"", report.wave);
                continue;
            }
        };
        Counters::count(&leading.shared.counters.appends);
        let fence = Some(Fence { epoch: leading.epoch, number: *number });
        match store.append(Topic::Reports, &[record], fence, None).await {
            Ok(_) => {
                *number += 1;
                planner.mark_reported(report);
            }
            // The same number is sent again in the next turn, and is answered as it was the first time.
            Err(error) => {
                Counters::count(&leading.shared.counters.store_errors);
                log::info!("event=report_waits wave={} error=\"{error}\"", report.wave);
                return;
            }
        }
    }
}
