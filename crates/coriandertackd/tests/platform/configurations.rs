//! Configurations that are large for the links of some VMs.

use std::time::Duration;

use {
    coriandertack_standins::platform::pace::Pace,
    tokio::time::{Instant, sleep},
};

use crate::cluster::Cluster;

/// Number of routes that make a configuration of 1 MB.
const ROUTES: usize = 4_000;

/// Speeds of a link in bytes a second, over which such a configuration takes 2 s and 20 s.
const SLOW_BYTES_S: usize = 500_000;
const NARROW_BYTES_S: usize = 50_000;

/// Number of reads that may be cut off by a time-out while a configuration is transferred.
const MAX_CUT_READS: usize = 3;

/// Time for which a VM may answer by an older configuration: `config-apply-ms` of the smallest deployments, and 1 s for a
/// busy machine.
const MAX_OLD_ANSWERS: Duration = Duration::from_secs(3);

/// Number of versions that are published at once, and size in bytes that a VM may read for them: two of them, one of which
/// is encoded as text, and a half.
const VERSIONS: u64 = 6;
const MAX_BYTES_READ: f64 = 3.0e6;

/// Starts a cluster of two VMs, the second of which is connected to the store by a link of this speed.
async fn start(bytes_per_s: usize) -> Cluster {
    let mut cluster = Cluster::start(2, 4).await;
    cluster.unused_routes = ROUTES;
    cluster.gateways[1].set_pace(Pace { bytes_per_s, ..Pace::default() });
    cluster
}

/// Returns the number of reads of the configuration that VM 1 gave up after a part of the response.
fn cut_reads(cluster: &Cluster) -> usize {
    let is_cut = |line: &str| line.contains("event=read_cut") && line.contains("topic=Operator");
    cluster.log_lines(is_cut).iter().filter(|(vm, _)| *vm == 1).count()
}

/// Waits until VM 1 serves a route, and fails the test if it gives up too many reads meanwhile.
async fn wait_for_route(cluster: &mut Cluster, prefix: &str) {
    cluster
        .wait_until("the new configuration is in force", async |cluster| {
            let cut = cut_reads(cluster);
            assert!(cut <= MAX_CUT_READS, "{cut} reads of the configuration were cut off");
            cluster.queue_status(1, prefix).await == Some(200)
        })
        .await;
}

/// Guards against a configuration that never comes into force since its transfer takes longer than a time-out.
#[tokio::test]
async fn configuration_that_takes_seconds_to_transfer_comes_into_force() {
    let mut cluster = start(SLOW_BYTES_S).await;
    cluster.publish_config(3, true);
    wait_for_route(&mut cluster, "/extra/").await;
}

/// Guards against a VM that answers by an older configuration for as long as the transfer of a newer one takes.
#[tokio::test]
async fn vm_that_knows_of_a_newer_configuration_stops_answering_by_an_older_one() {
    let mut cluster = start(0).await;
    cluster.publish_config(3, true);
    wait_for_route(&mut cluster, "/extra/").await;
    cluster.gateways[1].set_pace(Pace { bytes_per_s: NARROW_BYTES_S, ..Pace::default() });
    cluster.publish_config(4, false);
    let published = Instant::now();
    loop {
        let sent = Instant::now();
        match cluster.queue_status(1, "/extra/").await {
            Some(200) => {
                assert!(sent - published < MAX_OLD_ANSWERS, "the removed route is still served");
            }
            status => {
                assert_eq!(status, Some(503), "the VM does not know yet that the route is removed");
                break;
            }
        }
        sleep(Duration::from_millis(50)).await;
    }
    cluster
        .wait_until("the refusals are logged", async |cluster| {
            cluster.log_contains("event=config_outdated revision=3")
        })
        .await;
    // The rest of the transfer is fast.
    cluster.gateways[1].set_pace(Pace::default());
    cluster
        .wait_until("the route is removed", async |cluster| {
            cluster.queue_status(1, "/extra/").await == Some(404)
        })
        .await;
}

/// Guards against a VM that transfers each of several versions in full, although only the last one matters.
#[tokio::test]
async fn superseded_configurations_are_not_transferred() {
    let mut cluster = start(SLOW_BYTES_S).await;
    let before = bytes_read(&cluster).await;
    for revision in 3..3 + VERSIONS {
        cluster.publish_config(revision, revision == 2 + VERSIONS);
    }
    wait_for_route(&mut cluster, "/extra/").await;
    let read = bytes_read(&cluster).await - before;
    assert!(read < MAX_BYTES_READ, "{read} bytes were read");
}

/// Returns how many bytes VM 1 has read from the store.
async fn bytes_read(cluster: &Cluster) -> f64 {
    let metrics = cluster.metrics(1).await.unwrap();
    let line = metrics
        .lines()
        .find(|line| line.starts_with("coriandertack_store_bytes_read_total"))
        .unwrap();
    line.rsplit(' ').next().unwrap().parse().unwrap()
}
