//! End-to-end path of a record: submitted, appended, read and applied by all nodes.

mod common;

use {
    coriandertack_core::{code::Code, keys::Version, node::Stage, state::ApplyEffect},
    coriandertack_log::{leave, tail::TailEnd},
    tokio::time::Instant,
};

/// Guards against a submitter that is answered before its own node has applied the record.
#[tokio::test]
async fn a_record_is_applied_by_all_nodes() {
    let service = common::service().await;
    let one = common::joined(&service, "one", 1).await;
    let two = common::joined(&service, "two", 2).await;
    let result = one.node.submit_one("operator", common::setting("lanes", 0, "1")).await;
    assert_eq!(result, Ok(ApplyEffect::Version(Version(1))));
    assert!(one.node.with(|shared| shared.state.settings.contains_key("lanes")));
    common::until_state(&two.node, |state| state.settings.contains_key("lanes")).await;
    assert_eq!(two.node.with(|shared| shared.state.sessions.len()), 2);
}

/// Guards against two concurrent changes of one version that are both reported as successful.
#[tokio::test]
async fn one_of_two_concurrent_changes_succeeds() {
    let service = common::service().await;
    let one = common::joined(&service, "one", 1).await;
    let two = common::joined(&service, "two", 2).await;
    let (first, second) = tokio::join!(
        one.node.submit_one("operator", common::team("vans", 0, 1_000)),
        two.node.submit_one("operator", common::team("vans", 0, 2_000)),
    );
    let mut results = [first, second];
    results.sort_by_key(Result::is_err);
    assert_eq!(results, [Ok(ApplyEffect::Version(Version(1))), Err(Code::Conflict)]);
    let applied_spec = |running: &common::Running| {
        running.node.with(|shared| shared.state.team("vans").map(|team| team.spec.clone()))
    };
    let winning_spec = applied_spec(&one);
    common::until_state(&two.node, |state| state.team("vans").is_some()).await;
    assert_eq!(applied_spec(&two), winning_spec);
}

/// Guards against a node that continues to act after its own `Leave`.
#[tokio::test]
async fn a_node_stops_after_it_has_left() {
    let service = common::service().await;
    let one = common::joined(&service, "one", 1).await;
    leave(&one.node).await.unwrap();
    assert!(!one.node.is_valid());
    assert_eq!(one.tail.await.unwrap().unwrap(), TailEnd::Session);
    one.commit.await.unwrap();
    assert_eq!(*one.node.stage.borrow(), Stage::Stopped);
    let result = one.node.submit_one("operator", common::setting("lanes", 0, "1")).await;
    assert_eq!(result, Err(Code::Stopping));
}

/// Guards against a node that becomes valid before its replay has reached the tail.
#[tokio::test]
async fn a_node_is_current_only_at_the_tail() {
    let service = common::service().await;
    let one = common::joined(&service, "one", 1).await;
    // About 3 MiB of records, so that the replay reads several pages of 1 MiB.
    let large = "x".repeat(200 << 10);
    for index in 0..16 {
        let record = common::setting(&format!("large-{index}"), 0, &large);
        one.node.submit_one("operator", record).await.unwrap();
    }
    let two = common::start(&service, "two", 2);
    let mut valid = two.node.valid_until.subscribe();
    valid.wait_for(|until| Instant::now() < *until).await.unwrap();
    assert_eq!(two.node.with(|shared| shared.state.settings.len()), 16);
}
