//! A soak test with seeded random faults, which may overlap, tasks that crash their workers and workers that change
//! their size. At the end, all other accepted jobs must complete, no task may have run twice or have been started too
//! often after crashes, and no start may have exceeded the capacity of its worker.
//!
//! `SOAK_SEEDS=50 cargo test -p coriandertackd --test platform soak` runs that many seeds; `SOAK_FIRST` is the first
//! one. Seeds that once failed stay in [`REGRESSION_SEEDS`] and are always run.
//!
//! About half of the other seeds have teams. One of them changes its key again and again: a VM that has refused a key must
//! never accept it again, no VM may accept a key that was never configured, and at the end each VM refuses all former
//! keys and shows a team's jobs to no other team. In half of these seeds, the configuration is large and VMs read it over
//! slow links, on which responses are cut off.

use std::{collections::HashSet, time::Duration};

use {
    coriandertack_standins::platform::{pace::Pace, store, worker},
    nix::sys::signal::Signal,
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    tokio::time::sleep,
};

use crate::cluster::Cluster;

/// Seeds that failed once, each with its cause.
///
/// - 44: the check counted an end as acknowledged although the lease of the unresponsive worker had expired before any
///   leader acknowledged it; such a task may run again.
/// - 18: the test did not restart a process that received SIGTERM and ended only after it was checked.
/// - 60037: all processes had received SIGTERM, and still served when the test checked that they do; no VM was left.
const REGRESSION_SEEDS: [u64; 3] = [18, 44, 60037];

/// Number of faults injected for each seed.
const FAULT_COUNT: usize = 8;

/// Maximum number of processes that are paused at the same time.
const MAX_PAUSED: usize = 2;

fn env_number(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Guards against combinations of faults that lose an accepted job or run a task twice.
#[tokio::test]
async fn soak_of_random_faults() {
    let first = env_number("SOAK_FIRST", 1);
    let seeds = (first..first + env_number("SOAK_SEEDS", 1)).chain(REGRESSION_SEEDS);
    for seed in seeds {
        println!("soak seed {seed}");
        run_seed(seed).await;
    }
}

/// Number of routes of a large configuration of 0.5 MB, and speed of the slow links in bytes a second.
const LARGE_ROUTES: usize = 2_000;
const SLOW_BYTES_S: usize = 500_000;

/// Key of the team that submits the jobs, which never changes, and one that no team has.
const STEADY_KEY: &str = "soak-key-steady";
const UNKNOWN_KEY: &str = "soak-key-unknown";

/// Teams of a seed, one of which changes its key.
#[derive(Default)]
struct KeyChanges {
    /// All keys of that team; the last one is in force.
    keys: Vec<String>,
    /// Each VM and key that it has refused after the key was removed.
    refused: HashSet<(usize, usize)>,
    /// Jobs that were submitted with a key that no team has.
    never_run: Vec<String>,
}

impl KeyChanges {
    /// Replaces the key of the team.
    fn publish(&mut self, cluster: &mut Cluster) {
        let key = format!("soak-key-{}", self.keys.len());
        let revision = 3 + self.keys.len() as u64;
        let teams = [("steady", vec![STEADY_KEY]), ("changing", vec![key.as_str()])];
        cluster.publish_teams(revision, &teams);
        self.keys.push(key);
    }

    /// Tries a removed key and one that was never configured at a VM.
    async fn check(&mut self, cluster: &mut Cluster, vm: usize, removed: usize) {
        let status = cluster.request_as(Some(&self.keys[removed]), vm, "GET", "/plans/").await;
        match status {
            Some(401) => drop(self.refused.insert((vm, removed))),
            Some(200) => {
                let refused = self.refused.contains(&(vm, removed));
                assert!(!refused, "VM {vm} accepts key {removed} again");
            }
            _ => {}
        }
        let job = cluster.unused_job();
        let path = format!("/plans/{job}");
        let status = cluster.request_as(Some(UNKNOWN_KEY), vm, "POST", &path).await;
        assert!(matches!(status, None | Some(401 | 503)), "{status:?} for an unknown key");
        self.never_run.push(job);
    }

    /// Checks, without faults, that each VM refuses all former keys, and that the team sees no job of the other one.
    async fn finish(&self, cluster: &mut Cluster, job: &str) {
        let path = format!("/plans/{job}");
        let (last, removed) = self.keys.split_last().unwrap();
        for vm in 0..cluster.vms.len() {
            cluster
                .wait_until("the last key is accepted", async |cluster| {
                    cluster.request_as(Some(last), vm, "GET", "/plans/").await == Some(200)
                })
                .await;
            for key in removed {
                let status = cluster.request_as(Some(key), vm, "GET", "/plans/").await;
                assert_eq!(status, Some(401), "{key} at VM {vm}");
            }
            // A VM that has not read of the job would keep a cancellation of it.
            cluster
                .wait_until("the job is known", async |cluster| {
                    cluster.state(vm, job).await.is_some()
                })
                .await;
            for method in ["GET", "DELETE"] {
                let status = cluster.settled_as(Some(last), vm, method, &path).await;
                assert_eq!(status, 410, "{method} of a job of another team at VM {vm}");
            }
        }
        cluster.check_never_ran(&self.never_run);
    }
}

async fn run_seed(seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut cluster = Cluster::start(3, 4).await;
    let mut team_rng = ChaCha8Rng::seed_from_u64(seed.rotate_left(32));
    let mut link_rng = ChaCha8Rng::seed_from_u64(seed.rotate_left(16));
    let mut changes = None;
    if !REGRESSION_SEEDS.contains(&seed) && team_rng.random_bool(0.5) {
        println!("soak seed {seed} has teams");
        if link_rng.random_bool(0.5) {
            println!("soak seed {seed} has a large configuration and slow links");
            cluster.unused_routes = LARGE_ROUTES;
            set_pace(&cluster, 0);
        }
        let changes = changes.insert(KeyChanges::default());
        changes.publish(&mut cluster);
        cluster.key = Some(STEADY_KEY.to_owned());
        for vm in 0..3 {
            cluster
                .wait_until("keys are checked", async |cluster| {
                    cluster.request_as(None, vm, "GET", "/plans/").await == Some(401)
                })
                .await;
        }
    }
    let mut jobs = cluster.submit(4).await;
    let mut paused: Vec<usize> = Vec::new();
    // A generator of its own leaves the faults above unchanged for the seeds that are kept.
    let mut crash_rng = ChaCha8Rng::seed_from_u64(!seed);
    for _ in 0..FAULT_COUNT {
        cluster.replace_crashed().await;
        match crash_rng.random_range(0..6) {
            0 => {
                let _accepted = cluster.submit_crashing(0, crash_rng.random_range(0..300)).await;
            }
            1 => {
                let at = crash_rng.random_range(0..cluster.workers.len());
                cluster.resize_worker(at, crash_rng.random_range(1..=4) * 1_000);
            }
            _ => {}
        }
        let vm = rng.random_range(0..3);
        match rng.random_range(0..9) {
            0 => cluster.kill(vm),
            1 => cluster.signal(vm, Signal::SIGTERM),
            2 if paused.len() < MAX_PAUSED && cluster.is_running(vm) => {
                cluster.signal(vm, Signal::SIGSTOP);
                paused.push(vm);
            }
            3 => cluster.signal(vm, Signal::SIGHUP),
            4 => {
                let faults = [
                    store::Faults { down: true, ..Default::default() },
                    store::Faults { silent: true, ..Default::default() },
                    store::Faults { lost_every: 3, ..Default::default() },
                    store::Faults { delay_ms: 240, ..Default::default() },
                ];
                cluster.store.fail(faults[rng.random_range(0..faults.len())]);
            }
            5 => cluster.store.forget_history(),
            6 => {
                let faults = [
                    worker::Faults { silent: true, ..Default::default() },
                    worker::Faults { late_ms: 900, ..Default::default() },
                    worker::Faults { failing: true, ..Default::default() },
                ];
                let at = rng.random_range(0..cluster.workers.len());
                cluster.workers[at].fail(faults[rng.random_range(0..2)]);
            }
            7 => clear_faults(&mut cluster, &mut paused).await,
            _ => cluster.start_stopped(),
        }
        sleep(Duration::from_millis(rng.random_range(50..900))).await;
        if let Some(changes) = &mut changes {
            if cluster.unused_routes > 0 && link_rng.random_bool(0.3) {
                set_pace(&cluster, link_rng.random_range(1..500_000));
            }
            if team_rng.random_bool(0.5) {
                changes.publish(&mut cluster);
            }
            if changes.keys.len() > 1 {
                let removed = team_rng.random_range(0..changes.keys.len() - 1);
                changes.check(&mut cluster, team_rng.random_range(0..3), removed).await;
            }
        }
        jobs.extend(cluster.try_submit(2).await);
    }
    clear_faults(&mut cluster, &mut paused).await;
    cluster.start_all().await;
    jobs.extend(cluster.submit(2).await);
    cluster.wait_completed(&jobs).await;
    if let Some(changes) = changes {
        changes.finish(&mut cluster, &jobs[0]).await;
    }
    cluster.check_runs();
}

/// Slows the links of all VMs to the store down, and cuts off the next response on each that is larger than `cut_after`
/// bytes.
fn set_pace(cluster: &Cluster, cut_after: usize) {
    for gateway in &cluster.gateways {
        gateway.set_pace(Pace { bytes_per_s: SLOW_BYTES_S, cut_after });
    }
}

/// Removes all faults, resumes paused processes and starts those that do not run.
async fn clear_faults(cluster: &mut Cluster, paused: &mut Vec<usize>) {
    cluster.store.fail(store::Faults::default());
    for index in 0..cluster.workers.len() {
        cluster.workers[index].fail(worker::Faults::default());
        cluster.resize_worker(index, 4_000);
    }
    for vm in paused.drain(..) {
        cluster.signal(vm, Signal::SIGCONT);
    }
    cluster.start_stopped();
}
