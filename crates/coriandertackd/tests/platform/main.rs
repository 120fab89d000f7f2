//! Entry VMs on the platform as processes, against stand-ins of its store, workers and advice.
//!
//! Faults come from outside: signals to the processes, and stand-ins that refuse, stay silent or answer late. What callers
//! and workers saw is checked at the end: every accepted job is completed, and no task ran twice.

mod cluster;
mod soak;

use std::time::Duration;

use {
    coriandertack_standins::platform::{machines, store, worker},
    nix::sys::signal::Signal,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::{Instant, sleep, timeout},
    },
};

use self::cluster::{CONNECTIONS, Cluster};

/// Guards against a path that is broken anywhere between a caller and a worker.
#[tokio::test]
async fn jobs_are_accepted_run_and_shown_at_every_vm() {
    let mut cluster = Cluster::start(3, 4).await;
    let jobs = cluster.submit(12).await;
    cluster.completed(&jobs).await;
    for job in &jobs {
        for vm in 0..3 {
            assert_eq!(cluster.state(vm, job).await.as_deref(), Some("completed"), "at VM {vm}");
        }
    }
    cluster.audit();
}

/// Guards against work that is lost or runs twice when the leader is killed.
#[tokio::test]
async fn the_death_of_the_leader_loses_nothing() {
    let mut cluster = Cluster::start(3, 4).await;
    let mut jobs = cluster.submit(10).await;
    cluster.kill_leader().await;
    jobs.extend(cluster.submit(10).await);
    cluster.completed(&jobs).await;
    cluster.audit();
}

/// Guards against a successor that has read a job's progress and not its submission: it took the runs for strangers and
/// started the tasks again with the same attempts.
#[tokio::test]
async fn a_submission_that_is_read_late_keeps_its_progress() {
    let mut cluster = Cluster::start(3, 4).await;
    let leader = cluster.leader().await;
    // The first record makes the others pause their reads of the intake, so that they have not read the second.
    let first = cluster.put_in_intake();
    sleep(Duration::from_millis(30)).await;
    let second = cluster.put_in_intake();
    let started = second.clone();
    cluster.until("the second job runs", async |cluster| cluster.has_run(&started)).await;
    cluster.signal(leader, Signal::SIGKILL);
    cluster.completed(&[first, second]).await;
    cluster.audit();
}

/// Guards against work that is lost or runs twice when all processes are killed at once.
#[tokio::test]
async fn the_death_of_all_loses_nothing() {
    let mut cluster = Cluster::start(3, 4).await;
    let jobs = cluster.submit(10).await;
    cluster.signal_all(Signal::SIGKILL);
    cluster.restart_all().await;
    cluster.completed(&jobs).await;
    cluster.audit();
}

/// Guards against a VM behind a thin link that never serves after a restart, because a page of records takes longer than
/// any other answer: on ancfcc-sales-grown, VMs with 10 Mbit/s stayed without records after all were killed.
#[tokio::test]
async fn a_vm_behind_a_thin_link_loads_its_records() {
    let mut cluster = Cluster::start(3, 4).await;
    let jobs = cluster.submit(6).await;
    cluster.signal_all(Signal::SIGKILL);
    cluster.store.fail(store::Faults { page_ms: 900, ..Default::default() });
    cluster.restart_all().await;
    cluster.completed(&jobs).await;
    cluster.audit();
}

/// Guards against a leader that wakes from a pause and sends orders although another one leads.
#[tokio::test]
async fn a_leader_that_was_paused_does_no_harm() {
    let mut cluster = Cluster::start(3, 4).await;
    let jobs = cluster.submit(8).await;
    let leader = cluster.leader().await;
    cluster.signal(leader, Signal::SIGSTOP);
    sleep(Duration::from_millis(2_500)).await;
    let more = cluster.submit_at((leader + 1) % 3, 8).await;
    cluster.signal(leader, Signal::SIGCONT);
    cluster.completed(&jobs).await;
    cluster.completed(&more).await;
    cluster.audit();
}

/// Guards against refusals that are untrue, and against jobs that are lost while the store is down.
#[tokio::test]
async fn an_outage_of_the_store_is_survived() {
    let mut cluster = Cluster::start(3, 4).await;
    let jobs = cluster.submit(8).await;
    cluster.store.fail(store::Faults { down: true, ..Default::default() });
    sleep(Duration::from_millis(1_500)).await;
    let refused = cluster.refused(4).await;
    cluster.store.fail(store::Faults::default());
    cluster.completed(&jobs).await;
    cluster.audit();
    cluster.never_ran(&refused);
}

/// Guards against two leaders and double records when answers of the store are lost.
#[tokio::test]
async fn lost_answers_of_the_store_change_nothing() {
    let mut cluster = Cluster::start(3, 4).await;
    cluster.store.fail(store::Faults { lost_every: 4, ..Default::default() });
    let jobs = cluster.submit(8).await;
    cluster.store.fail(store::Faults::default());
    cluster.store.forget_history();
    cluster.completed(&jobs).await;
    cluster.audit();
}

/// Guards against a second run of a task whose start was carried out late.
#[tokio::test]
async fn a_late_start_is_barred() {
    let mut cluster = Cluster::start(3, 4).await;
    cluster.workers[0].fail(worker::Faults { late_ms: 1_500, ..Default::default() });
    let jobs = cluster.submit(12).await;
    sleep(Duration::from_millis(1_000)).await;
    cluster.workers[0].fail(worker::Faults::default());
    cluster.completed(&jobs).await;
    cluster.audit();
}

/// Guards against a planned stop that loses answers, or that leaves the others without a leader.
#[tokio::test]
async fn a_planned_stop_hands_over() {
    let mut cluster = Cluster::start(3, 4).await;
    let leader = cluster.leader().await;
    cluster.signal(leader, Signal::SIGTERM);
    let jobs = cluster.submit_at((leader + 1) % 3, 10).await;
    cluster.completed(&jobs).await;
    assert!(cluster.ended_well(leader).await, "the process ends by itself");
    cluster.audit();
}

/// Guards against a configuration that reverts, and a route that is not served after it was added.
#[tokio::test]
async fn a_configuration_is_in_force_and_stays() {
    let mut cluster = Cluster::start(3, 2).await;
    cluster.configure(5, true);
    cluster
        .until("the new route is served", async |cluster| {
            cluster.pending(0, "/extra/").await == Some(200)
        })
        .await;
    cluster.configure(4, false);
    sleep(Duration::from_millis(500)).await;
    assert_eq!(cluster.pending(0, "/extra/").await, Some(200));
}

/// Guards against an unreadable entry that keeps others from use, and malformed jobs that do harm.
#[tokio::test]
async fn bad_input_harms_nothing_else() {
    let mut cluster = Cluster::start(3, 2).await;
    cluster.store.put("keyed.servers", "i-bad", b"\xff\x00 no entry");
    cluster.store.put("keyed.servers", "i-odd", br#"{"backend":7,"state":"asleep"}"#);
    assert_eq!(cluster.post(0, "zzzz", "{}").await, Some(400));
    assert_eq!(cluster.post(0, "00000000000000aa", "no JSON").await, Some(400));
    assert_eq!(cluster.post(0, "00000000000000ab", r#"{"steps":[]}"#).await, Some(400));
    let jobs = cluster.submit(6).await;
    cluster.completed(&jobs).await;
    cluster.audit();
}

/// Guards against a small VM that keeps the lead once larger ones can take it: on ancfcc-sales-grown scale-2 one of 0.12 cores
/// led for 12 s, and most jobs of that time were late or failed.
#[tokio::test]
async fn a_small_leader_hands_over_to_a_larger_vm() {
    let mut cluster = Cluster::start(0, 4).await;
    cluster.add_vm(0, 0.12);
    cluster.restart_all().await;
    let mut jobs = cluster.submit(6).await;
    cluster.add_vm(1, 0.5);
    cluster.restart_all().await;
    cluster.until("the larger VM leads", async |cluster| cluster.leader().await == 1).await;
    jobs.extend(cluster.submit(6).await);
    cluster.completed(&jobs).await;
    cluster.audit();
}

/// Serves the upkeep of a wave over all machines until it is reported as completed.
async fn serve_wave(cluster: &mut Cluster, machines: usize, cap: usize) {
    let names: Vec<String> = (0..machines).map(|number| format!("\"m-{number}\"")).collect();
    let wave =
        format!(r#"{{"wave":3,"machines":[{}],"duration-s":30,"cap":{cap}}}"#, names.join(","));
    cluster.store.put("keyed.op", "wave/3", wave.as_bytes());
    let mut jobs = cluster.submit(6).await;
    cluster
        .until("the wave is completed", async |cluster| {
            cluster.serve_upkeep().await;
            let report = cluster.store.value("keyed.status", "wave/3").unwrap_or_default();
            String::from_utf8_lossy(&report).contains("completed")
        })
        .await;
    let (had, most) = cluster.machines.upkept(3);
    assert_eq!(
        had, machines,
        "every machine had its upkeep before the wave was reported as completed"
    );
    assert!(most <= cap, "{most} machines were down at once");
    jobs.extend(cluster.submit(6).await);
    cluster.completed(&jobs).await;
    cluster.audit();
}

/// Guards against a wave that is not served, that takes more machines down than it may, or that ends work in vain.
#[tokio::test]
async fn a_wave_of_maintenance_is_served_within_its_cap() {
    let mut cluster = Cluster::start(2, 4).await;
    serve_wave(&mut cluster, 4, 1).await;
}

/// Guards against a machine that is counted as served, or ordered down twice, when the answer to its order is lost.
#[tokio::test]
async fn a_wave_survives_lost_answers() {
    let mut cluster = Cluster::start(2, 4).await;
    cluster.machines.fail(machines::Faults { lost_every: 2, ..Default::default() });
    serve_wave(&mut cluster, 3, 2).await;
}

/// Waits until the peer closes a connection, for at most `limit`.
async fn closes(stream: &mut TcpStream, limit: Duration) -> bool {
    let mut bytes = [0; 64];
    let read = async {
        loop {
            match stream.read(&mut bytes).await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
    };
    timeout(limit, read).await.is_ok()
}

/// Guards against connections that hold a VM's descriptors with heads that never end, also when bytes go on coming: 1,500 of
/// them were open after 40 s.
#[tokio::test]
async fn unfinished_heads_are_closed() {
    let cluster = Cluster::start(1, 1).await;
    let mut silent = cluster.connect(0).await;
    silent.write_all(b"POST /plans/").await.unwrap();
    let mut slow = cluster.connect(0).await;
    let began = Instant::now();
    let trickle = async {
        while slow.write_all(b"x").await.is_ok() && began.elapsed() < Duration::from_secs(20) {
            sleep(Duration::from_millis(200)).await;
        }
    };
    // The configuration says 3 s; the wait is looked at within as long again.
    let limit = Duration::from_secs(7);
    let (closed, ()) = tokio::join!(closes(&mut silent, limit), trickle);
    assert!(closed, "the silent connection is closed");
    assert!(began.elapsed() < limit, "the slow connection is closed");
}

/// Guards against new callers who find no connection because idle ones hold them all.
#[tokio::test]
async fn the_oldest_idle_connection_makes_room() {
    let cluster = Cluster::start(1, 1).await;
    let mut idle = Vec::new();
    for _ in 0..CONNECTIONS {
        idle.push(cluster.connect(0).await);
        sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(cluster.pending(0, "/plans/").await, Some(200));
    assert!(closes(&mut idle[0], Duration::from_secs(2)).await, "the oldest one is closed");
    let last = idle.last_mut().unwrap();
    assert!(!closes(last, Duration::from_millis(300)).await, "the newest one stays");
}

/// Guards against metrics that are missing when someone looks for a cause.
#[tokio::test]
async fn the_leader_counts_what_it_decided() {
    let mut cluster = Cluster::start(1, 2).await;
    cluster.workers[0].fail(worker::Faults { failing: true, ..Default::default() });
    let jobs = cluster.submit(6).await;
    cluster.completed(&jobs).await;
    let text = cluster.metrics(0).await.expect("the metrics are served");
    let value = |name: &str| {
        let line =
            text.lines().find(|line| line.starts_with(name)).unwrap_or_else(|| panic!("{name}"));
        line.rsplit(' ').next().unwrap().parse::<f64>().unwrap()
    };
    assert!(value("coriandertack_tasks_bound_total") >= 18.0, "three tasks a job");
    assert!(value("coriandertack_runs_ended_total{cause=\"done\"}") >= 15.0);
    assert!(value("coriandertack_runs_ended_total{cause=\"failed\"}") >= 1.0);
    for name in [
        "coriandertack_starts_refused_total{reason=\"ticket\"}",
        "coriandertack_advice_calls_total",
        "coriandertack_log_lines_lost_total",
        "coriandertack_handovers_total",
        "coriandertack_decision_seconds_count",
        "coriandertack_advice_seconds_count",
        "coriandertack_takeover_seconds_count",
    ] {
        value(name);
    }
}
