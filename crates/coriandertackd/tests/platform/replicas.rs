//! Takeovers by VMs that have not read all records of former leaders.

use std::time::Duration;

use {nix::sys::signal::Signal, serde_json::json, tokio::time::sleep};

use crate::cluster::Cluster;

/// Restarts all VMs after `change` was applied to the progress record of a job whose tasks have run, and checks that
/// these do not run again and that other jobs are completed.
async fn restart_with_unreadable_record(change: impl Fn(&Cluster, &str)) {
    let mut cluster = Cluster::start(3, 4).await;
    let mut jobs = cluster.submit(6).await;
    let hidden = jobs.remove(0);
    cluster.wait_until("the job runs", async |cluster| cluster.has_started(&hidden)).await;
    sleep(Duration::from_millis(200)).await;
    cluster.signal_all(Signal::SIGKILL);
    change(&cluster, &format!("s/{hidden}"));
    cluster.start_all().await;
    jobs.extend(cluster.submit(3).await);
    cluster.wait_completed(&jobs).await;
    cluster.check_runs();
    assert!(cluster.log_contains(&format!("s/{hidden}")), "the record is not named");
    assert_eq!(cluster.state(0, &hidden).await.as_deref(), Some("running"));
}

/// Guards against tasks that run again because the record that they have run cannot be decoded.
#[tokio::test]
async fn tasks_of_a_job_with_an_unreadable_record_do_not_run_again() {
    let corrupt = |cluster: &Cluster, key: &str| cluster.store.put("keyed.progress", key, b"\xff");
    restart_with_unreadable_record(corrupt).await;
}

/// Guards against tasks that run again because the item of their record in a page cannot be decoded.
#[tokio::test]
async fn tasks_of_a_job_with_an_unreadable_item_do_not_run_again() {
    let replace = |cluster: &Cluster, key: &str| {
        cluster.store.replace_item(key, json!({ "key": key, "value": "?", "offset": 1 }));
    };
    restart_with_unreadable_record(replace).await;
}

/// Guards against an item without a value that counts as a deleted record.
#[tokio::test]
async fn tasks_of_a_job_with_an_item_without_a_value_do_not_run_again() {
    let replace = |cluster: &Cluster, key: &str| {
        cluster.store.replace_item(key, json!({ "key": key, "offset": 1 }));
    };
    restart_with_unreadable_record(replace).await;
}
