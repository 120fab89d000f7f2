//! The path of a record: submitted, appended, read and applied by all nodes.

mod common;

use {
    coriandertack_core::{code::Code, keys::Version, node::Stage, state::ApplyEffect},
    coriandertack_log::{leave, tail::Ended},
    tokio::time::Instant,
};

/// Guards against a submitter that learns its outcome before its own node has applied the record.
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

/// Guards against two operators who both believe that their change of one version won.
#[tokio::test]
async fn one_of_two_racing_changes_wins() {
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
    let seen = |running: &common::Running| {
        running.node.with(|shared| shared.state.team("vans").map(|team| team.spec.clone()))
    };
    let winner = seen(&one);
    common::until_state(&two.node, |state| state.team("vans").is_some()).await;
    assert_eq!(seen(&two), winner);
}

/// Guards against a node that acts on after its own `Leave`.
#[tokio::test]
async fn a_node_stops_after_it_has_left() {
    let service = common::service().await;
    let one = common::joined(&service, "one", 1).await;
    leave(&one.node).await.unwrap();
    assert!(!one.node.is_valid());
    assert_eq!(one.tail.await.unwrap().unwrap(), Ended::Session);
    one.commit.await.unwrap();
    assert_eq!(*one.node.stage.borrow(), Stage::Stopped);
    let result = one.node.submit_one("operator", common::setting("lanes", 0, "1")).await;
    assert_eq!(result, Err(Code::Stopping));
}

/// Guards against a node that acts on a state whose replay has not reached the tail.
#[tokio::test]
async fn a_node_is_current_only_at_the_tail() {
    let service = common::service().await;
    let one = common::joined(&service, "one", 1).await;
    // The replay needs several pages of 1 MiB.
    let large = "x".repeat(200 << 10);
    for at in 0..16 {
        let record = common::setting(&format!("large-{at}"), 0, &large);
        one.node.submit_one("operator", record).await.unwrap();
    }
    let two = common::start(&service, "two", 2);
    let mut valid = two.node.valid_until.subscribe();
    valid.wait_for(|until| Instant::now() < *until).await.unwrap();
    assert_eq!(two.node.with(|shared| shared.state.settings.len()), 16);
}
