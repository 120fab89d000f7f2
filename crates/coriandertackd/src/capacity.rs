//! The owner's event loop, which processes reports of the workers that this VM owns.
//!
//! One loop per process receives the reports of all worker control tasks. It adopts running tasks, frees capacity,
//! notifies the homes and charges usage.

use std::{sync::Arc, time::Duration};

use {
    coriandertack_core::{
        class_profiles::AttemptEnd,
        home::{NoticeAction, TaskState},
        keys::{LeaseId, VmKey, WorkerKey},
        message::{Notice, PeerRequest, TaskEvent, WorkerCommand},
        node::{Node, SharedState, Stage},
        owner,
        record::{Record, TaskEnd},
    },
    coriandertack_workers::update::WorkerUpdate,
    tokio::{
        sync::mpsc,
        time::{Instant, MissedTickBehavior, interval},
    },
};

use crate::dispatch;

/// Interval at which notices are sent to homes, and so the longest time that an end waits to be batched with others.
const NOTICE_INTERVAL: Duration = Duration::from_millis(20);

/// Processes reports of workers until the node has stopped.
pub async fn run(
    node: Arc<Node>,
    mut updates: mpsc::Receiver<(WorkerKey, WorkerUpdate)>,
    charge_interval: Duration,
) {
    let mut notice_ticks = interval(NOTICE_INTERVAL);
    notice_ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut charge_ticks = interval(charge_interval);
    charge_ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut unreachable = slotmap::SecondaryMap::new();
    while *node.stage.borrow() != Stage::Stopped {
        tokio::select! {
            received = updates.recv() => {
                let Some((worker, update)) = received else { return };
                handle_update(&node, worker, update, &mut unreachable);
            }
            _ = notice_ticks.tick() => {
                expire_leases(&node, &mut unreachable);
                send_due_notices(&node);
            }
            _ = charge_ticks.tick() => {
                tokio::spawn(charge_usage(Arc::clone(&node)));
            }
        }
    }
}

type Unreachable = slotmap::SecondaryMap<WorkerKey, Instant>;

fn handle_update(
    node: &Node,
    worker: WorkerKey,
    update: WorkerUpdate,
    unreachable: &mut Unreachable,
) {
    let now = Instant::now();
    let freed = node.with(|shared| match update {
        WorkerUpdate::Listed { running, .. } => {
            unreachable.remove(worker);
            owner::on_worker_list(shared, worker, &running);
            true
        }
        WorkerUpdate::Event(event) => owner::on_worker_event(shared, worker, event, now),
        WorkerUpdate::Unreachable { lease_end } => {
            shared.pool.set_unreachable(worker);
            unreachable.insert(worker, lease_end);
            false
        }
    });
    if freed {
        retry_queued_work(node, now);
    }
}

/// Makes queued work retry placement at once, because capacity has become free.
fn retry_queued_work(node: &Node, now: Instant) {
    node.with(|shared| shared.team_queues.retry_now(now));
    node.work_available.notify_one();
}

/// Ends the tasks of workers that have been unreachable until their last lease expired, and expires held capacity.
fn expire_leases(node: &Node, unreachable: &mut Unreachable) {
    let now = Instant::now();
    let expired: Vec<WorkerKey> =
        unreachable.iter().filter(|(_, end)| **end <= now).map(|(worker, _)| worker).collect();
    for worker in expired {
        unreachable.remove(worker);
        node.with(|shared| owner::expire_worker(shared, worker, now));
        retry_queued_work(node, now);
    }
    node.with(|shared| owner::expire_holds(shared, now));
}

/// Delivers due notices to the homes of their tasks.
fn send_due_notices(node: &Arc<Node>) {
    let now = Instant::now();
    let due = node.with(|shared| owner::due_notices(shared, now));
    let own_key = node.own_key();
    for (home, notices) in due {
        if own_key == Some(home) {
            handle_notices(node, home, notices);
        } else {
            tokio::spawn(send_notices(Arc::clone(node), home, notices));
        }
    }
}

async fn send_notices(node: Arc<Node>, home: VmKey, notices: Vec<Notice>) {
    let until = Instant::now() + Duration::from_secs(1);
    // The result is ignored: ends are sent again until acknowledged, and recovery lists cover a lost start.
    let _ = node.request(home, PeerRequest::Notices(notices), until).await;
}

/// Handles notices from the owner `vm` on behalf of the home.
pub fn handle_notices(node: &Arc<Node>, vm: VmKey, notices: Vec<Notice>) {
    let now = Instant::now();
    let mut ends: Vec<TaskEnd> = Vec::new();
    let mut ended: Vec<LeaseId> = Vec::new();
    let mut acknowledged: Vec<LeaseId> = Vec::new();
    let mut stops: Vec<LeaseId> = Vec::new();
    node.with(|shared| {
        for notice in &notices {
            record_attempt_end(shared, notice);
            let is_end = matches!(notice.event, TaskEvent::Ended { .. });
            match shared.team_queues.handle_notice(vm, notice, now) {
                NoticeAction::End(end) => {
                    ends.push(end);
                    ended.push(notice.lease);
                }
                NoticeAction::Acknowledge => acknowledged.push(notice.lease),
                NoticeAction::Stop => stops.push(notice.lease),
                NoticeAction::Ignore if is_end && has_ended(shared, notice.lease) => {
                    acknowledged.push(notice.lease);
                }
                NoticeAction::Ignore => {}
            }
        }
    });
    if !ends.is_empty() {
        tokio::spawn(dispatch::log_ends(Arc::clone(node), ends, Some((vm, ended))));
    }
    if !acknowledged.is_empty() {
        let node = Arc::clone(node);
        tokio::spawn(async move { dispatch::acknowledge(&node, vm, acknowledged).await });
    }
    if !stops.is_empty() {
        tokio::spawn(dispatch::stop_tasks(Arc::clone(node), vm, stops));
    }
    node.work_available.notify_one();
}

/// Adds the end of an attempt to the profile of its class, the first time that it is reported.
fn record_attempt_end(shared: &mut SharedState, notice: &Notice) {
    let TaskEvent::Ended { cause, run_ms, peak } = notice.event else { return };
    let Some(task) = shared.team_queues.task(notice.lease.task) else { return };
    if task.spec.lease != notice.lease || task.state == TaskState::Ending {
        return;
    }
    let class = Arc::clone(&task.spec.class);
    let end = AttemptEnd { cause, run_ms, peak, grant: task.spec.need };
    shared.profiles.record_end(&class, &end);
}

/// Returns whether the log already holds the end of a lease's task, or no longer knows its job.
fn has_ended(shared: &SharedState, lease: LeaseId) -> bool {
    shared.state.jobs.get(lease.task.job).is_none_or(|job| job.ends.contains_key(&lease.task.index))
}

/// Appends usage to the log, and acknowledges to the workers what has been charged.
pub async fn charge_usage(node: Arc<Node>) {
    let spans = node.with(|shared| {
        let ledger = &shared.state.ledger;
        shared.owner_state.usage.chargeable_spans(|lease| ledger.watermark(lease))
    });
    if !spans.is_empty() {
        let result = node.submit_one("system", Record::Usage(spans)).await;
        if let Err(code) = result {
            log::warn!("event=usage_not_charged code={}", code.number());
        }
    }
    node.with(|shared| {
        let ledger = &shared.state.ledger;
        for (lease, to) in shared.owner_state.usage.drop_charged(|lease| ledger.watermark(lease)) {
            // The acknowledgement goes to all workers owned here. If the worker has moved, its new owner sees the
            // same watermark and acknowledges the usage.
            for queue in shared.worker_queues.values() {
                let _ = queue.send(WorkerCommand::AckUsage { lease, to });
            }
        }
    });
}
