//! Planned stops of the leader in series, while jobs are submitted all the time and the store is slow, loses responses,
//! carries out appends late or answers reads late.
//!
//! `STOP_SEEDS=50 cargo test -p coriandertackd --test platform series_of_planned_stops` plays that many seeds;
//! `STOP_FIRST` is the first one, and `STOP_COUNT` the number of planned stops for each.

use std::{
    env,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use {
    coriandertack_standins::platform::store::Faults,
    nix::sys::signal::Signal,
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    tokio::time::{Instant, sleep},
};

use crate::cluster::Cluster;

/// Interval between two submissions. The tasks then need two thirds of the workers' capacity.
const SUBMIT_INTERVAL: Duration = Duration::from_millis(90);

/// Run times of the tasks, in milliseconds: ends fall before, into and after each change of leader.
const RUN_MS: [u64; 3] = [90, 600, 1_900];

/// Number of planned stops for each seed, unless `STOP_COUNT` says otherwise.
const STOP_COUNT: u64 = 3;

/// Time after which the next stop follows although no other VM has become leader.
const SUCCESSION_TIMEOUT: Duration = Duration::from_secs(6);

fn env_number(name: &str, default: u64) -> u64 {
    env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Returns what the store meets around a planned stop.
fn store_faults(rng: &mut ChaCha8Rng) -> Faults {
    let mut faults = Faults::default();
    match rng.random_range(0..6) {
        0 => {}
        1 => faults.delay_ms = rng.random_range(20..240),
        2 => faults.lost_every = rng.random_range(2..5),
        3 => {
            faults.late_every = rng.random_range(2..5);
            faults.late_ms = rng.random_range(50..3_000);
        }
        4 => faults.read_ms = rng.random_range(50..600),
        _ => {
            faults.delay_ms = rng.random_range(0..100);
            faults.lost_every = rng.random_range(3..6);
            faults.late_every = rng.random_range(3..6);
            faults.late_ms = rng.random_range(50..3_000);
            faults.read_ms = rng.random_range(0..300);
        }
    }
    faults
}

/// Guards against a task that is started again after its end was acknowledged, because the record of the end is not
/// what the next leader reads, and against jobs that are lost.
#[tokio::test]
async fn series_of_planned_stops() {
    let first = env_number("STOP_FIRST", 1);
    for seed in first..first + env_number("STOP_SEEDS", 1) {
        run_seed(seed, env_number("STOP_COUNT", STOP_COUNT)).await;
    }
}

async fn run_seed(seed: u64, stops: u64) {
    println!("planned stops, seed {seed}");
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut cluster = Cluster::start(3, 4).await;
    let stop = Arc::new(AtomicBool::new(false));
    let submitting = cluster.start_submitting(SUBMIT_INTERVAL, RUN_MS, stop.clone());
    let mut jobs = Vec::new();
    sleep(Duration::from_millis(600)).await;
    for _ in 0..stops {
        let faults = store_faults(&mut rng);
        cluster.store.fail(faults);
        sleep(Duration::from_millis(rng.random_range(0..400))).await;
        let leader = cluster.leader().await;
        // The other VMs may read these submissions after the leader has started their tasks.
        jobs.extend((0..rng.random_range(0..3)).map(|_| cluster.put_in_intake()));
        sleep(Duration::from_millis(rng.random_range(0..300))).await;
        cluster.signal(leader, Signal::SIGTERM);
        let signalled = Instant::now();
        let mut successor = leader;
        while successor == leader && signalled.elapsed() < SUCCESSION_TIMEOUT {
            cluster.start_stopped();
            sleep(Duration::from_millis(20)).await;
            successor = cluster.leader().await;
        }
        println!(
            "  VM {leader} stops, VM {successor} leads after {} ms, {faults:?}",
            signalled.elapsed().as_millis()
        );
        sleep(Duration::from_millis(rng.random_range(0..1_200))).await;
        if rng.random_bool(0.3) {
            cluster.store.forget_history();
        }
    }
    cluster.store.fail(Faults::default());
    cluster.start_all().await;
    stop.store(true, Ordering::Relaxed);
    jobs.extend(submitting.await.unwrap());
    cluster.wait_completed(&jobs).await;
    cluster.check_runs();
    let (runs, done) = cluster.run_counts();
    println!("  {} jobs, {runs} runs, {done} ends acknowledged as done", jobs.len());
}
