//! The leader's task for maintenance waves: it lists machines, evacuates workers, orders maintenance and reports
//! progress.

use std::{sync::Arc, time::Duration};

use {
    coriandertack_jobs::maintenance::{
        MaintenanceOutcome, MaintenancePlanner, Occupancy, WaveReport,
    },
    coriandertack_platform::{
        machines::Machines,
        operator,
        store::{Fence, Store, Topic},
    },
    tokio::time::sleep,
};

use super::{
    clock,
    leadership::Leadership,
    shared::{Counters, Shared},
};

/// Pause between two listings of machines while a wave is open, in milliseconds. Each listing is charged for, and a
/// machine is down for about 2 s.
const POLL_MS: u64 = 500;

/// Pause after a failed call, in milliseconds.
const RETRY_MS: u64 = 200;

/// Carries out the waves that operators publish, for as long as the future is polled.
pub async fn run(leadership: Arc<Leadership>) {
    let shared = &leadership.shared;
    let Some(address) = shared.settings.platform.machines else { return };
    // A command for a machine must not follow one of a former leader within the lease that the former one holds.
    sleep(Duration::from_millis(shared.settings.bounds.lease_ms)).await;
    let mut report_log = ReportLog {
        store: Store::new(shared.settings.platform.store),
        number: 0,
        unconfirmed: None,
    };
    let mut machines = Machines::new(address, shared.settings.vm.name.clone());
    let mut planner = MaintenancePlanner::default();
    let mut waves = shared.waves.subscribe();
    let mut resumed = false;
    let mut unavailable = false;
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
            resumed = resume(shared, &mut report_log.store, &mut planner).await;
            if !resumed {
                sleep(Duration::from_millis(RETRY_MS)).await;
            }
            continue;
        }
        update_machines(&leadership, &mut machines, &mut planner, &mut unavailable).await;
        if !order_maintenance(&leadership, &mut machines, &mut planner).await {
            return;
        }
        store_reports(&leadership, &mut report_log, &mut planner).await;
        sleep(Duration::from_millis(POLL_MS)).await;
    }
}

/// Restores the progress of waves from the reports of former leaders. Returns false if the store is unavailable.
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
        match operator::decode_report(record) {
            Ok(Some(report)) => planner.resume(report),
            Ok(None) => {}
            Err(error) => {
                log::warn!("event=report_unreadable key={} error=\"{error:#}\"", record.key);
            }
        }
    }
    true
}

/// Lists the machines and passes their states to the planner.
async fn update_machines(
    leadership: &Leadership,
    machines: &mut Machines,
    planner: &mut MaintenancePlanner,
    unavailable: &mut bool,
) {
    let requested_at = clock::now();
    match machines.list().await {
        Ok(listing) => {
            if std::mem::replace(unavailable, false) {
                log::info!("event=dependency_regained dependency=machines");
            }
            let scheduler = leadership.scheduler();
            let is_known = |worker: &str| scheduler.has_worker(worker);
            planner.update_machines(
                &listing.machines,
                listing.unreadable == 0,
                requested_at,
                is_known,
            );
        }
        Err(error) => {
            if !std::mem::replace(unavailable, true) {
                log::warn!("event=dependency_lost dependency=machines error=\"{error:#}\"");
            }
        }
    }
}

/// Evacuates the workers of machines that are due, and orders maintenance of the machines that may go down. Returns
/// false if another VM has become leader.
async fn order_maintenance(
    leadership: &Leadership,
    machines: &mut Machines,
    planner: &mut MaintenancePlanner,
) -> bool {
    for due in planner.due_machines(clock::now()) {
        let occupancy = match &due.worker {
            Some(worker) => leadership.scheduler().evacuate(worker, clock::now()),
            None => Occupancy::Unknown,
        };
        leadership.shared.wake.notify_one();
        if !due.may_order(occupancy) || clock::now() >= leadership.start_deadline() {
            continue;
        }
        planner.record_order(&due);
        let outcome = machines.start_maintenance(&due.machine, due.wave, leadership.epoch).await;
        log::info!(
            "event=upkeep_ordered wave={} machine={} worker={} occupancy={occupancy:?} outcome={outcome}",
            due.wave,
            due.machine,
            due.worker.as_deref().unwrap_or("none"),
        );
        planner.record_outcome(&due, outcome, clock::now());
        match (outcome, &due.worker) {
            (MaintenanceOutcome::Fenced, _) => {
                leadership.depose("machines");
                return false;
            }
            (MaintenanceOutcome::Refused, Some(worker)) => {
                leadership.scheduler().reopen_worker(worker)
            }
            _ => {}
        }
    }
    true
}

/// The report topic, as the leader appends to it.
struct ReportLog {
    store: Store,
    /// Number of the next append.
    number: u64,
    /// Report that was sent under this number and may have been appended, or may be appended later. The store answers a
    /// repeated number without an append, so the number stands for this report until the store has confirmed it.
    unconfirmed: Option<WaveReport>,
}

/// Appends the reports that have changed to the report topic.
async fn store_reports(
    leadership: &Leadership,
    report_log: &mut ReportLog,
    planner: &mut MaintenancePlanner,
) {
    let mut reports = planner.changed_reports();
    if let Some(unconfirmed) = report_log.unconfirmed.take() {
        reports.retain(|report| *report != unconfirmed);
        reports.insert(0, unconfirmed);
    }
    for report in reports {
        let record = match operator::encode_report(&report) {
            Ok(record) => record,
            Err(error) => {
                log::error!("event=report_not_written wave={} error=\"{error:#}\"", report.wave);
                continue;
            }
        };
        Counters::count(&leadership.shared.counters.appends);
        let fence = Some(Fence { epoch: leadership.epoch, number: report_log.number });
        match report_log.store.append(Topic::Reports, &[record], fence, None).await {
            Ok(_) => {
                report_log.number += 1;
                planner.mark_reported(report);
            }
            Err(error) => {
                Counters::count(&leadership.shared.counters.store_errors);
                log::info!("event=report_waits wave={} error=\"{error}\"", report.wave);
                report_log.unconfirmed = Some(report);
                return;
            }
        }
    }
}
