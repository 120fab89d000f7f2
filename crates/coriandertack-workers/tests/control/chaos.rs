//! Random faults against the control task of a worker, in virtual time. A failed assertion names
//! the seed.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    ops::Range,
    time::Duration,
};

use {
    coriandertack_core::{
        keys::LeaseId,
        message::{EndCause, WorkerCommand, WorkerEvent},
    },
    coriandertack_standins::audit::RecordedRun,
    coriandertack_workers::update::WorkerUpdate,
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    tokio::{
        runtime::Builder,
        time::{Instant, sleep},
    },
};

use crate::setup::{Fixture, TimedUpdate, lease};

/// Seeds 36 and 37 have revealed faults.
const SEEDS: Range<u64> = 0..40;

const STEPS: u64 = 80;

/// Guards against starts that are reported as refused but run, ends that are never reported, leases
/// that run twice, and leases that outlive the bound reported for an unreachable worker.
#[test]
fn reported_ends_match_the_runs() {
    let mut seen: HashMap<EndCause, usize> = HashMap::new();
    for seed in SEEDS {
        // Dropping the runtime of a seed ends its tasks before the next seed starts.
        let mut builder = Builder::new_current_thread();
        let runtime = builder.enable_all().start_paused(true).build().unwrap();
        for cause in runtime.block_on(run(seed)) {
            *seen.entry(cause).or_default() += 1;
        }
    }
    // Without each of these outcomes the faults did not take effect, and the test would prove
    // nothing.
    for cause in [EndCause::Refused, EndCause::LeaseExpired, EndCause::Stopped] {
        assert!(seen.contains_key(&cause), "no lease ended as {cause}");
    }
}

async fn run(seed: u64) -> Vec<EndCause> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut fixture = Fixture::start().await;
    let (commands, updates) = fixture.start_collecting();
    let mut leases = Vec::new();
    for step in 0..STEPS {
        match rng.random_range(0..16) {
            0..8 => {
                let lease = lease(step, 0);
                let command = format!("run_ms={}", rng.random_range(10..20_000));
                commands.send(fixture.start_command(lease, &command)).unwrap();
                leases.push(lease);
            }
            8 | 9 if !leases.is_empty() => {
                let lease = leases[rng.random_range(0..leases.len())];
                commands.send(WorkerCommand::Stop(lease)).unwrap();
            }
            10 => fixture.worker.pause(true),
            11 => fixture.worker.drop_responses(rng.random_range(1..3)),
            12 => fixture.worker.delay_commands(Duration::from_millis(rng.random_range(0..4_000))),
            13 => {
                fixture.worker.crash().await;
                sleep(Duration::from_millis(rng.random_range(0..3_000))).await;
                fixture.worker.restart().await.unwrap();
            }
            14 => fixture.stop_log_reads(),
            _ => {
                fixture.stop_log_reads();
                fixture.resume_log_reads();
                fixture.worker.pause(false);
            }
        }
        let pause = if rng.random_bool(0.1) { 40_000 } else { 1_500 };
        sleep(Duration::from_millis(rng.random_range(0..pause))).await;
    }
    fixture.stop_log_reads();
    fixture.resume_log_reads();
    fixture.worker.pause(false);
    sleep(Duration::from_secs(120)).await;
    let runs = fixture.worker.audit().runs;
    let updates = std::mem::take(&mut *updates.lock().unwrap());
    check_bounds(seed, &updates, &runs);
    check_ends(seed, &leases, &updates, &runs)
}

/// Checks that each lease has a reported end that matches what the worker did. Returns the causes.
fn check_ends(
    seed: u64,
    leases: &[LeaseId],
    updates: &[TimedUpdate],
    runs: &[RecordedRun],
) -> Vec<EndCause> {
    let mut ends: BTreeMap<LeaseId, BTreeSet<String>> = BTreeMap::new();
    let mut causes = Vec::new();
    for update in updates {
        if let WorkerUpdate::Event(WorkerEvent::Ended { lease, cause, .. }) = update.update {
            ends.entry(lease).or_default().insert(cause.to_string());
            causes.push(cause);
        }
    }
    for lease in leases {
        let name = lease.to_string();
        let run_count = runs.iter().filter(|run| run.lease == name).count();
        let Some(ends) = ends.get(lease) else {
            panic!("seed {seed}: no end was reported for {lease}, which ran {run_count} times");
        };
        assert!(run_count <= 1, "seed {seed}: {lease} ran {run_count} times");
        let refused = ends.contains("refused");
        assert!(
            !(refused && run_count > 0),
            "seed {seed}: {lease} ran but was reported as refused"
        );
        let has_run = ends
            .iter()
            .any(|cause| !["refused", "stopped", "lease_expired"].contains(&cause.as_str()));
        assert!(
            !(has_run && run_count == 0),
            "seed {seed}: {lease} ended as {ends:?} but never ran"
        );
    }
    causes
}

/// Checks the bound that is reported for an unreachable worker: no run that started before the
/// bound went on after it, unless the worker was reached again by then.
fn check_bounds(seed: u64, updates: &[TimedUpdate], runs: &[RecordedRun]) {
    for (at, update) in updates.iter().enumerate() {
        let WorkerUpdate::Unreachable { lease_end } = update.update else {
            continue;
        };
        let is_list = |later: &&TimedUpdate| matches!(later.update, WorkerUpdate::Listed { .. });
        let reached_at = updates[at..].iter().find(is_list).map(|later| later.at);
        if reached_at.is_some_and(|reached_at| reached_at <= lease_end) {
            continue;
        }
        let outlives = |run: &&RecordedRun| {
            let end = run.end.unwrap_or_else(Instant::now);
            run.start <= lease_end && end > lease_end
        };
        let late = runs.iter().find(outlives);
        assert!(late.is_none(), "seed {seed}: {late:?} ran beyond {lease_end:?}");
    }
}
