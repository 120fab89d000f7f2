//! The owner's task: news of the workers owned here, and what follows from them.
//!
//! One loop for the process takes the news of all workers' tasks. It adopts what runs, frees capacity,
//! reports to the homes and charges usage.

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
    coriandertack_workers::news::WorkerNews,
    tokio::{
        sync::mpsc,
        time::{Instant, MissedTickBehavior, interval},
    },
};

use crate::dispatch;

/// Time between rounds of reports: how long an end may wait to be reported with others.
const REPORT_EVERY: Duration = Duration::from_millis(20);

/// Takes the workers' news for as long as the process serves.
pub async fn run(
    node: Arc<Node>,
    mut news: mpsc::Receiver<(WorkerKey, WorkerNews)>,
    charge_every: Duration,
) {
    let mut report = interval(REPORT_EVERY);
    report.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut charge = interval(charge_every);
    charge.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut unreachable = slotmap::SecondaryMap::new();
    while *node.stage.borrow() != Stage::Stopped {
        tokio::select! {
            arrived = news.recv() => {
                let Some((worker, news)) = arrived else { return };
                on_news(&node, worker, news, &mut unreachable);
            }
            _ = report.tick() => {
                expire(&node, &mut unreachable);
                report_all(&node);
            }
            _ = charge.tick() => {
                tokio::spawn(charge_usage(Arc::clone(&node)));
            }
        }
    }
}

type Unreachable = slotmap::SecondaryMap<WorkerKey, Instant>;

fn on_news(node: &Node, worker: WorkerKey, news: WorkerNews, unreachable: &mut Unreachable) {
    let now = Instant::now();
    let freed = node.with(|shared| match news {
        WorkerNews::Listed { running, .. } => {
            unreachable.remove(worker);
            owner::on_worker_list(shared, worker, &running);
            true
        }
        WorkerNews::Event(event) => owner::on_worker_event(shared, worker, event, now),
        WorkerNews::Unreachable { lease_end } => {
            shared.pool.set_unreachable(worker);
            unreachable.insert(worker, lease_end);
            false
        }
    });
    if freed {
        free(node, now);
    }
}

/// Lets waiting work be offered again, since capacity has become free.
fn free(node: &Node, now: Instant) {
    node.with(|shared| shared.team_queues.retry_now(now));
    node.work_available.notify_one();
}

/// Ends what ran on workers that could not be reached for so long that every lease is over.
fn expire(node: &Node, unreachable: &mut Unreachable) {
    let now = Instant::now();
    let over: Vec<WorkerKey> =
        unreachable.iter().filter(|(_, end)| **end <= now).map(|(worker, _)| worker).collect();
    for worker in over {
        unreachable.remove(worker);
        node.with(|shared| owner::expire_worker(shared, worker, now));
        free(node, now);
    }
    node.with(|shared| owner::expire_holds(shared, now));
}

/// Sends due notices to their homes.
fn report_all(node: &Arc<Node>) {
    let now = Instant::now();
    let due = node.with(|shared| owner::due_notices(shared, now));
    let me = node.own_key();
    for (home, notices) in due {
        if me == Some(home) {
            on_notices(node, home, notices);
        } else {
            tokio::spawn(send_notices(Arc::clone(node), home, notices));
        }
    }
}

async fn send_notices(node: Arc<Node>, home: VmKey, notices: Vec<Notice>) {
    let until = Instant::now() + Duration::from_secs(1);
    // Ends are reported again until acknowledged; a lost start is covered by the lists of recovery.
    let _ = node.request(home, PeerRequest::Notices(notices), until).await;
}

/// Handles notices as the home, from the owner `vm`.
pub fn on_notices(node: &Arc<Node>, vm: VmKey, notices: Vec<Notice>) {
    let now = Instant::now();
    let mut ends: Vec<TaskEnd> = Vec::new();
    let mut ended: Vec<LeaseId> = Vec::new();
    let mut acknowledged: Vec<LeaseId> = Vec::new();
    let mut stops: Vec<LeaseId> = Vec::new();
    node.with(|shared| {
        for notice in &notices {
            learn(shared, notice);
            let over = matches!(notice.event, TaskEvent::Ended { .. });
            match shared.team_queues.handle_notice(vm, notice, now) {
                NoticeAction::End(end) => {
                    ends.push(end);
                    ended.push(notice.lease);
                }
                NoticeAction::Acknowledge => acknowledged.push(notice.lease),
                NoticeAction::Stop => stops.push(notice.lease),
                NoticeAction::Ignore if over && has_ended(shared, notice.lease) => {
                    acknowledged.push(notice.lease);
                }
                NoticeAction::Ignore => {}
            }
        }
    });
    if !ends.is_empty() {
        tokio::spawn(dispatch::end_tasks(Arc::clone(node), ends, Some((vm, ended))));
    }
    if !acknowledged.is_empty() {
        let node = Arc::clone(node);
        tokio::spawn(async move { dispatch::acknowledge(&node, vm, acknowledged).await });
    }
    if !stops.is_empty() {
        tokio::spawn(dispatch::stop(Arc::clone(node), vm, stops));
    }
    node.work_available.notify_one();
}

/// Learns from the end of an attempt, when it is reported for the first time.
fn learn(shared: &mut SharedState, notice: &Notice) {
    let TaskEvent::Ended { cause, run_ms, peak } = notice.event else { return };
    let Some(task) = shared.team_queues.task(notice.lease.task) else { return };
    if task.spec.lease != notice.lease || task.state == TaskState::Ending {
        return;
    }
    let class = Arc::clone(&task.spec.class);
    let end = AttemptEnd { cause, run_ms, peak, grant: task.spec.need };
    shared.profiles.record_end(&class, &end);
}

/// Tells whether the log already has the end of a lease's task.
fn has_ended(shared: &SharedState, lease: LeaseId) -> bool {
    shared.state.jobs.get(lease.task.job).is_none_or(|job| job.ends.contains_key(&lease.task.index))
}

/// Brings usage to the log, and lets the workers forget what is charged.
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
            // A former owner's worker is acknowledged by its new owner, who sees the same watermark.
            for post in shared.worker_queues.values() {
                let _ = post.send(WorkerCommand::AckUsage { lease, to });
            }
        }
    });
}
