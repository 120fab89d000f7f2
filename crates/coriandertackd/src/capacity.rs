//! The owner's task: news of the workers owned here, and what follows from them.
//!
//! One loop for the process takes the news of all workers' tasks. It adopts what runs, frees capacity,
//! reports to the homes and charges usage.

use std::{sync::Arc, time::Duration};

use {
    coriandertack_core::{
        home::{Step, Verdict},
        keys::{LeaseId, VmKey, WorkerKey},
        learn::Observation,
        message::{News, Notice, PeerRequest, WorkerCommand},
        node::{Inner, Node, Stage},
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
    let freed = node.with(|inner| match news {
        WorkerNews::Listed { running, .. } => {
            unreachable.remove(worker);
            owner::on_list(inner, worker, &running);
            true
        }
        WorkerNews::Event(event) => owner::on_event(inner, worker, event, now),
        WorkerNews::Unreachable { lease_end } => {
            inner.cell.set_unreachable(worker);
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
    node.with(|inner| inner.homes.retry_now(now));
    node.work.notify_one();
}

/// Ends what ran on workers that could not be reached for so long that every lease is over.
fn expire(node: &Node, unreachable: &mut Unreachable) {
    let now = Instant::now();
    let over: Vec<WorkerKey> =
        unreachable.iter().filter(|(_, end)| **end <= now).map(|(worker, _)| worker).collect();
    for worker in over {
        unreachable.remove(worker);
        node.with(|inner| owner::expire_worker(inner, worker, now));
        free(node, now);
    }
    node.with(|inner| owner::expire_holds(inner, now));
}

/// Sends due notices to their homes.
fn report_all(node: &Arc<Node>) {
    let now = Instant::now();
    let due = node.with(|inner| owner::due_notices(inner, now));
    let me = node.me();
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
    let _ = node.ask(home, PeerRequest::Notices(notices), until).await;
}

/// Handles notices as the home, from the owner `vm`.
pub fn on_notices(node: &Arc<Node>, vm: VmKey, notices: Vec<Notice>) {
    let now = Instant::now();
    let mut ends: Vec<TaskEnd> = Vec::new();
    let mut ended: Vec<LeaseId> = Vec::new();
    let mut acknowledged: Vec<LeaseId> = Vec::new();
    let mut stops: Vec<LeaseId> = Vec::new();
    node.with(|inner| {
        for notice in &notices {
            learn(inner, notice);
            let over = matches!(notice.news, News::Ended { .. });
            match inner.homes.notice(vm, notice, now) {
                Verdict::End(end) => {
                    ends.push(end);
                    ended.push(notice.lease);
                }
                Verdict::Acknowledge => acknowledged.push(notice.lease),
                Verdict::Stop => stops.push(notice.lease),
                Verdict::Keep if over && has_ended(inner, notice.lease) => {
                    acknowledged.push(notice.lease);
                }
                Verdict::Keep => {}
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
    node.work.notify_one();
}

/// Learns from the end of an attempt, when it is reported for the first time.
fn learn(inner: &mut Inner, notice: &Notice) {
    let News::Ended { cause, run_ms, peak } = notice.news else { return };
    let Some(task) = inner.homes.task(notice.lease.task) else { return };
    if task.ask.lease != notice.lease || task.step == Step::Ending {
        return;
    }
    let class = Arc::clone(&task.ask.class);
    let end = Observation { cause, run_ms, peak, grant: task.ask.need };
    inner.learner.observe(&class, &end);
}

/// Tells whether the log already has the end of a lease's task.
fn has_ended(inner: &Inner, lease: LeaseId) -> bool {
    inner.state.jobs.get(lease.task.job).is_none_or(|job| job.ends.contains_key(&lease.task.index))
}

/// Brings usage to the log, and lets the workers forget what is charged.
pub async fn charge_usage(node: Arc<Node>) {
    let spans = node.with(|inner| {
        let ledger = &inner.state.ledger;
        inner.owner.usage.spans(|lease| ledger.mark(lease))
    });
    if !spans.is_empty() {
        let verdict = node.submit_one("system", Record::Usage(spans)).await;
        if let Err(code) = verdict {
            log::warn!("event=usage_not_charged code={}", code.number());
        }
    }
    node.with(|inner| {
        let ledger = &inner.state.ledger;
        for (lease, to) in inner.owner.usage.settle(|lease| ledger.mark(lease)) {
            // A former owner's worker is acknowledged by its new owner, who sees the same watermark.
            for post in inner.posts.values() {
                let _ = post.send(WorkerCommand::AckUsage { lease, to });
            }
        }
    });
}
