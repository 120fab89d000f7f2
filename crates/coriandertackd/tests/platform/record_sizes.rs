//! Records that are larger than the store accepts.

use {
    coriandertack_jobs::replica::ReplicaRecord,
    coriandertack_log::jobs,
    futures::future::join_all,
    serde_json::json,
    tokio::time::{Duration, Instant},
};

use crate::cluster::{Cluster, PlatformLimits};

/// Size of a request body, in bytes, whose record exceeds the limit of the store, and the limit of bodies.
const LABEL_BYTES: usize = 300_000;
const MAX_BODY_BYTES: usize = 1_000_000;

/// Number of submissions that arrive at once. Their records exceed the limit of an append in the test of batches.
const BURST: usize = 20;

/// Time within which a submission that can never be stored has to be refused. A submission that waits for the leader is
/// answered after 1,300 ms.
const MAX_REFUSAL: Duration = Duration::from_millis(500);

/// Returns the body of a job whose step has a label of this size.
fn labelled(bytes: usize) -> String {
    let step = json!({ "count": 1, "cpu": 500, "mem-mb": 64, "est-runtime-ms": 700, "constraints": "x".repeat(bytes) });
    json!({ "task-spec": "plan", "steps": [step] }).to_string()
}

/// Returns how often any VM became leader.
fn takeovers(cluster: &Cluster) -> usize {
    cluster.log_lines(|line| line.contains("event=leadership_taken")).len()
}

/// Guards against a submission that the store refuses for its size: the leader repeated the append for ever, and recorded
/// nothing else.
#[tokio::test]
async fn submission_larger_than_a_record_is_refused_and_changes_nothing() {
    let mut cluster = Cluster::start(3, 4).await;
    cluster.body_bytes = MAX_BODY_BYTES;
    cluster.publish_config(3, true);
    for vm in 0..3 {
        cluster
            .wait_until("the configuration is in force", async |cluster| {
                cluster.queue_status(vm, "/extra/").await == Some(200)
            })
            .await;
    }
    let accepted = cluster.submit(3).await;
    let mut refused = Vec::new();
    for vm in 0..3 {
        let job = cluster.unused_job();
        let sent = Instant::now();
        let answer = cluster.answer(vm, &job, &labelled(LABEL_BYTES)).await;
        let (status, body) = answer.expect("the VM has not answered");
        assert_eq!(status, 413, "{body}");
        assert!(body.contains("4013") && body.contains("262144"), "{body}");
        assert!(sent.elapsed() < MAX_REFUSAL, "refused after {:?}", sent.elapsed());
        assert_eq!(cluster.state(vm, &job).await, None);
        refused.push(job);
    }
    let later = cluster.submit(6).await;
    cluster.wait_completed(&accepted).await;
    cluster.wait_completed(&later).await;
    assert_eq!(cluster.store.refused_sizes(), 0, "an append was refused for its size");
    assert_eq!(takeovers(&cluster), 1);
    cluster.check_never_ran(&refused);
    cluster.check_runs();
}

/// Guards against a batch that the store refuses as a whole although it accepts each of its records.
#[tokio::test]
async fn batches_larger_than_an_append_are_split() {
    let limits = PlatformLimits { record: 1_000, call: 1_010 };
    let mut cluster = Cluster::start_limited(2, 4, limits).await;
    let jobs: Vec<_> = (0..BURST).map(|_| cluster.unused_job()).collect();
    let body = Cluster::job_body(1);
    let answers = join_all(jobs.iter().map(|job| cluster.post(0, job, &body))).await;
    assert_eq!(answers, [Some(200); BURST]);
    cluster.wait_completed(&jobs).await;
    assert_eq!(cluster.store.refused_sizes(), 0, "an append was refused for its size");
    assert_eq!(takeovers(&cluster), 1);
    cluster.check_runs();
}

/// Guards against a leader that records nothing any more since the progress of one job does not fit into a record.
#[tokio::test]
async fn job_whose_progress_does_not_fit_into_a_record_does_not_block_others() {
    let limits = PlatformLimits { record: 600, call: 4_000 };
    let mut cluster = Cluster::start_limited(2, 4, limits).await;
    let wide = cluster.unused_job();
    let step = json!({ "count": 60, "cpu": 100, "mem-mb": 64, "est-runtime-ms": 700 });
    let body = json!({ "task-spec": "plan", "steps": [step] }).to_string();
    assert_eq!(cluster.post(0, &wide, &body).await, Some(200));
    cluster
        .wait_until("the record is too large", async |cluster| {
            cluster.log_contains(&format!("event=record_too_large key=s/{wide}"))
        })
        .await;
    let jobs = cluster.submit(10).await;
    cluster.wait_completed(&jobs).await;
    assert_eq!(cluster.store.refused_sizes(), 0, "an append was refused for its size");
    assert_eq!(takeovers(&cluster), 1);
    let key = format!("s/{wide}");
    let recorded = cluster.store.value("keyed.progress", &key).unwrap_or_default();
    let tasks = match jobs::decode(&key, &recorded) {
        ReplicaRecord::Progressed(_, progress) => progress.tasks.len(),
        _ => 0,
    };
    let started = cluster.recorded_runs().keys().filter(|task| task.starts_with(&wide)).count();
    assert!(started <= tasks, "{started} tasks started, {tasks} are recorded");
    assert_eq!(cluster.cancel(1, &wide).await, Some(200));
    cluster
        .wait_until("the job is cancelled", async |cluster| {
            cluster.state(0, &wide).await.as_deref() == Some("cancelled")
        })
        .await;
    cluster.check_runs();
}
