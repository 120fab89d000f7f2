//! The faults of docs/design.md, section 1.2, and their injection.

use std::time::Duration;

use {
    coriandertack_core::{
        keys::Version,
        record::{Kind, Record, SettingChange},
    },
    tokio::time::sleep,
};

use crate::{
    scenario::{self, Outcomes},
    world::{VMS, World},
};

/// A fault. `MATRIX_CELL` selects faults by the names of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    Nothing,
    VmCrash,
    VmCrashTwice,
    AllVmsCrash,
    ShortPause,
    LongPause,
    LogDown,
    /// Not part of the matrix, because an hour of virtual time takes some seconds per cell.
    LogDownForAnHour,
    LogCut,
    LogSlow,
    LostAnswers,
    WorkerCrash,
    WorkerSilent,
    BadWorker,
    LinkCut,
    WrongSizes,
    ImpossibleJob,
    CancellationWave,
    RacingOperators,
}

impl Fault {
    pub const ALL: &[Self] = &[
        Self::Nothing,
        Self::VmCrash,
        Self::VmCrashTwice,
        Self::AllVmsCrash,
        Self::ShortPause,
        Self::LongPause,
        Self::LogDown,
        Self::LogCut,
        Self::LogSlow,
        Self::LostAnswers,
        Self::WorkerCrash,
        Self::WorkerSilent,
        Self::BadWorker,
        Self::LinkCut,
        Self::WrongSizes,
        Self::ImpossibleJob,
        Self::CancellationWave,
        Self::RacingOperators,
    ];

    /// Injects the fault at the VM `target` or at its peers, and repairs it after a while.
    pub async fn inject(self, world: &World, target: usize, outcomes: &Outcomes) {
        match self {
            Self::Nothing => {}
            Self::VmCrash => crash(world, target, Duration::from_secs(5)).await,
            Self::VmCrashTwice => {
                crash(world, target, Duration::from_secs(2)).await;
                sleep(Duration::from_millis(1_500)).await;
                crash(world, target, Duration::from_secs(5)).await;
            }
            Self::AllVmsCrash => {
                (0..VMS).for_each(|index| world.crash_vm(index));
                sleep(Duration::from_secs(3)).await;
                (0..VMS).for_each(|index| world.start_vm(index));
            }
            Self::ShortPause => pause(world, target, Duration::from_millis(2_500)).await,
            Self::LongPause => pause(world, target, Duration::from_secs(12)).await,
            Self::LogDown => {
                world.log.set_down(true);
                sleep(Duration::from_secs(20)).await;
                world.log.set_down(false);
            }
            Self::LogDownForAnHour => log_down_for_an_hour(world, outcomes).await,
            Self::LogCut => {
                world.switches(target).log_unreachable.send_replace(true);
                sleep(Duration::from_secs(20)).await;
                world.switches(target).log_unreachable.send_replace(false);
            }
            Self::LogSlow => {
                world.log.set_latency(Duration::from_secs(1));
                sleep(Duration::from_secs(20)).await;
                world.log.set_latency(Duration::ZERO);
            }
            Self::LostAnswers => world.log.drop_responses(6),
            Self::WorkerCrash => {
                let worker = busiest_worker(world);
                world.workers[worker].crash();
                sleep(Duration::from_secs(45)).await;
                world.workers[worker].set_down(false);
            }
            Self::WorkerSilent => {
                let worker = busiest_worker(world);
                world.workers[worker].set_down(true);
                sleep(Duration::from_secs(12)).await;
                world.workers[worker].set_down(false);
            }
            Self::BadWorker => {
                world.workers[busiest_worker(world)].set_bad(true);
                sleep(Duration::from_secs(30)).await;
                world.workers.iter().for_each(|worker| worker.set_bad(false));
            }
            Self::LinkCut => {
                let other = (target + 1) % VMS;
                world.broken_links.lock().expect("no panic while locked").push((target, other));
                sleep(Duration::from_secs(25)).await;
                world.broken_links.lock().expect("no panic while locked").clear();
            }
            Self::WrongSizes => {
                let command = "run_ms=1000 use_mib=300";
                scenario::submit(world, target, outcomes, "wrong", Kind::Batch, 4, command).await;
            }
            Self::ImpossibleJob => {
                scenario::submit_impossible(world, target, outcomes).await;
            }
            Self::CancellationWave => cancellation_wave(world, target, outcomes).await,
            Self::RacingOperators => racing_operators(world).await,
        }
    }
}

/// Takes the log down for an hour, and records whether the services that ran at its start were interrupted.
async fn log_down_for_an_hour(world: &World, outcomes: &Outcomes) {
    let running = || {
        let runs = world.workers.iter().flat_map(|worker| worker.runs());
        runs.filter(|run| run.end.is_none()).map(|run| run.lease).collect::<Vec<_>>()
    };
    world.log.set_down(true);
    // Tasks with a limited run time have ended by then, so that only services remain.
    sleep(Duration::from_secs(60)).await;
    let before = running();
    sleep(Duration::from_secs(3_600)).await;
    let after = running();
    world.log.set_down(false);
    let mut results = outcomes.results.lock().expect("no panic while locked");
    results.interrupted = before.is_empty() || before != after;
}

async fn crash(world: &World, target: usize, down: Duration) {
    world.crash_vm(target);
    sleep(down).await;
    world.start_vm(target);
}

async fn pause(world: &World, target: usize, length: Duration) {
    let switches = world.switches(target);
    switches.paused.send_replace(true);
    sleep(length).await;
    switches.paused.send_replace(false);
}

fn busiest_worker(world: &World) -> usize {
    let runs = |index: &usize| {
        let running = world.workers[*index].runs().into_iter().filter(|run| run.end.is_none());
        running.count()
    };
    (0..world.workers.len()).max_by_key(runs).unwrap_or(0)
}

/// Submits 30 jobs and cancels all of them at once.
async fn cancellation_wave(world: &World, target: usize, outcomes: &Outcomes) {
    let mut jobs = Vec::new();
    for _ in 0..30 {
        let command = "run_ms=60000";
        let job = scenario::submit(world, target, outcomes, "wave", Kind::Batch, 2, command).await;
        jobs.extend(job);
    }
    let Some(node) = world.any_serving(target) else { return };
    let cancels = jobs.into_iter().map(|job| node.submit_one("operator", Record::Cancel(job)));
    futures::future::join_all(cancels).await;
}

/// Changes one setting at every VM concurrently, expecting the version that each VM has read last.
async fn racing_operators(world: &World) {
    let changes = (0..VMS).filter_map(|index| world.node(index).map(|node| (index, node)));
    let changes_in_progress = changes.map(|(index, node)| async move {
        let seen = node.with(|shared| {
            shared.state.settings.get("api.burst").map_or(Version(0), |setting| setting.version)
        });
        let change = SettingChange {
            name: "api.burst".into(),
            expect: seen,
            value: Some((index + 1).to_string()),
        };
        node.submit_one("operator", Record::Setting(change)).await
    });
    futures::future::join_all(changes_in_progress).await;
}
