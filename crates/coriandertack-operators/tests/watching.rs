//! Tests of watching changes: resuming, waiting and expired positions.

mod common;

use {
    common::{Bed, OPERATOR, VANS, entry, job},
    coriandertack_core::{
        keys::{Incarnation, Offset, TaskId},
        node::Stage,
        record::{Batch, Cordon, Outcome, Record, SettingChange, TaskEnd},
    },
    serde_json::Value,
    tokio::time::{Duration, Instant},
    viz::Method,
};

/// Formats the changes of a response as one line each.
fn change_lines(response: &Value) -> Vec<String> {
    let line = |change: &Value| {
        let subject = &change["subject"];
        format!(
            "{} {} {} by {}",
            subject["type"], subject["name"], change["event"], change["actor"]
        )
    };
    response["changes"].as_array().unwrap().iter().map(line).collect()
}

/// Applies batches without yielding, so that no task of the API runs in between.
fn apply_batches(harness: &Bed, batches: usize, entries: usize) {
    let mut offset = harness.node.with(|shared| shared.state.offset);
    let mut version = harness
        .node
        .with(|shared| shared.state.settings.get("x").map_or(0, |setting| setting.version.0));
    for _ in 0..batches {
        offset = offset.next();
        let mut changes = Vec::new();
        for _ in 0..entries {
            let change =
                SettingChange { name: "x".into(), expect: version.into(), value: Some("1".into()) };
            changes.push(entry(Record::Setting(change)));
            version += 1;
        }
        let seq = harness.node.with(|shared| {
            shared.in_flight.seq += 1;
            shared.in_flight.seq
        });
        harness.node.apply(offset, &Batch { author: Incarnation(1), seq, entries: changes });
    }
}

/// Reads the changes after `from` page by page up to position `to`, and returns their offsets.
async fn read_pages(harness: &Bed, mut from: u64, to: u64) -> Vec<u64> {
    let mut offsets = Vec::new();
    while from < to {
        let response = harness.get(&format!("/v1/watch?from={from}&wait_ms=1000"), OPERATOR).await;
        assert_eq!(response.code, 2000, "{}", response.text);
        let changes = response.json["changes"].as_array().unwrap();
        offsets.extend(changes.iter().map(|change| change["offset"].as_u64().unwrap()));
        from = response.json["position"].as_u64().unwrap();
    }
    offsets
}

/// Guards against changes that are lost or repeated between two responses.
#[tokio::test(start_paused = true)]
async fn resume_neither_loses_nor_repeats_changes() {
    let harness = Bed::start().await;
    let from = harness.get("/v1/settings", OPERATOR).await.json["position"].as_u64().unwrap();
    apply_batches(&harness, 300, 7);
    let offsets = read_pages(&harness, from, from + 300).await;
    let expected = (from + 1..=from + 300).flat_map(|offset| std::iter::repeat_n(offset, 7));
    assert!(offsets.into_iter().eq(expected));
}

/// Guards against changes that are reported incorrectly, and against rejected changes being reported.
#[tokio::test(start_paused = true)]
async fn each_change_is_reported_once() {
    let harness = Bed::start().await;
    let from = harness.get("/v1/settings", OPERATOR).await.json["position"].as_u64().unwrap();
    let put = |version: u64| format!("/v1/settings/placement.packing_weight?expect={version}");
    harness.call(Method::PUT, &put(0), OPERATOR, r#"{"value":"0.1"}"#).await;
    harness.call(Method::PUT, &put(0), OPERATOR, r#"{"value":"0.2"}"#).await;
    harness.call(Method::DELETE, &put(1), OPERATOR, "").await;
    harness.call(Method::DELETE, "/v1/teams/cheese?expect=1", OPERATOR, "").await;
    let submitted = harness.call(Method::POST, "/v1/jobs", VANS, &job("vans", "confirm")).await;
    let id = submitted.json["job"].as_u64().unwrap();
    harness.call(Method::POST, &format!("/v1/jobs/{id}/cancel"), VANS, "").await;
    harness.call(Method::POST, &format!("/v1/jobs/{id}/cancel"), VANS, "").await;
    let end = |index| TaskEnd {
        task: TaskId { job: id.into(), index },
        outcome: Outcome::Cancelled,
        worker: String::new(),
    };
    harness.append("system", Record::Ended(vec![end(0), end(1)])).await.unwrap();
    harness.append("system", Record::Ended(vec![end(0)])).await.unwrap();
    let cordon = Cordon { worker: "w2".into(), cordoned: true };
    harness.append("operator:bo", Record::Cordon(cordon)).await.unwrap();
    harness.append("system", Record::WorkersGone(vec!["w3".into()])).await.unwrap();
    tokio::task::yield_now().await;
    let all = harness.get(&format!("/v1/watch?from={from}"), OPERATOR).await;
    expect_test::expect![[r#"
        "setting" "placement.packing_weight" "set" by "operator:ana"
        "setting" "placement.packing_weight" "removed" by "operator:ana"
        "team" "cheese" "removed" by "operator:ana"
        "job" 36864 "accepted" by "team:vans"
        "job" 36864 "cancelled" by "team:vans"
        "job" 36864 "ended" by "system"
        "worker" "w2" "set" by "operator:bo"
        "worker" "w3" "removed" by "system"
    "#]]
    .assert_eq(&(change_lines(&all.json).join("\n") + "\n"));
    let own = harness.get(&format!("/v1/watch?from={from}"), VANS).await;
    assert_eq!(
        change_lines(&own.json).len(),
        3,
        "a team must see only its own changes: {}",
        own.text
    );
    assert_eq!(own.json["position"], all.json["position"]);
}

/// Guards against a client that resumes with an undetected gap after its position has expired.
#[tokio::test(start_paused = true)]
async fn expired_position_is_refused() {
    let harness = Bed::start().await;
    let from = harness.get("/v1/settings", OPERATOR).await.json["position"].as_u64().unwrap();
    for _ in 0..6 {
        apply_batches(&harness, 1, 4_096);
        // Wait until the buffer has received the batch.
        let wait = format!("/v1/watch?from={}&wait_ms=1000", applied_offset(&harness) - 1);
        assert_eq!(harness.get(&wait, OPERATOR).await.code, 2000);
    }
    let response = harness.get(&format!("/v1/watch?from={from}"), OPERATOR).await;
    assert_eq!((response.status, response.code), (410, 4010));
    let oldest = harness.get("/v1/watch?from=oldest", OPERATOR).await;
    assert_eq!(oldest.json["changes"].as_array().unwrap().len(), 4_096);
    assert!(oldest.json["position"].as_u64().unwrap() > from + 1);
}

fn applied_offset(harness: &Bed) -> u64 {
    harness.node.with(|shared| shared.state.offset.0)
}

/// Guards against an undetected gap when changes arrive faster than the buffer receives them.
#[tokio::test(start_paused = true)]
async fn lagging_buffer_refuses_older_positions() {
    let harness = Bed::start().await;
    let from = applied_offset(&harness);
    apply_batches(&harness, 3_000, 1);
    let wait = format!("/v1/watch?from={}&wait_ms=1000", applied_offset(&harness) - 1);
    assert_eq!(harness.get(&wait, OPERATOR).await.code, 2000);
    assert_eq!(harness.get(&format!("/v1/watch?from={from}"), OPERATOR).await.code, 4010);
    assert_eq!(harness.get("/v1/watch?from=oldest", OPERATOR).await.code, 2000);
}

/// Guards against an undetected gap after a snapshot is loaded, whose changes were not applied one by one.
#[tokio::test(start_paused = true)]
async fn snapshot_load_refuses_older_positions() {
    let harness = Bed::start().await;
    let from = applied_offset(&harness);
    harness.node.with(|shared| shared.state.offset = Offset(from + 500));
    apply_batches(&harness, 1, 1);
    let wait = format!("/v1/watch?from={}&wait_ms=1000", applied_offset(&harness) - 1);
    assert_eq!(change_lines(&harness.get(&wait, OPERATOR).await.json).len(), 1);
    assert_eq!(harness.get(&format!("/v1/watch?from={from}"), OPERATOR).await.code, 4010);
}

/// Guards against a wait that does not end with a change or at its time limit.
#[tokio::test(start_paused = true)]
async fn wait_ends_with_change_or_timeout() {
    let harness = Bed::start().await;
    let start = Instant::now();
    let idle = harness.get("/v1/watch?from=now&wait_ms=20000", OPERATOR).await;
    assert_eq!((idle.code, change_lines(&idle.json).len()), (2000, 0));
    assert_eq!(start.elapsed(), Duration::from_secs(20));
    let (response, _) = tokio::join!(
        harness.get("/v1/watch?from=now&wait_ms=20000", OPERATOR),
        harness.call(Method::POST, "/v1/workers/w1/cordon", OPERATOR, ""),
    );
    assert_eq!(change_lines(&response.json).len(), 1);
    assert_eq!(start.elapsed(), Duration::from_secs(20));
    let too_long = harness.get("/v1/watch?from=now&wait_ms=9999999", OPERATOR).await;
    assert_eq!((too_long.code, start.elapsed()), (2000, Duration::from_secs(50)));
}

/// Guards against waiting requests that delay a planned stop.
#[tokio::test(start_paused = true)]
async fn planned_stop_ends_waits() {
    let harness = Bed::start().await;
    let start = Instant::now();
    let (response, _) =
        tokio::join!(harness.get("/v1/watch?from=now&wait_ms=20000", OPERATOR), async {
            harness.node.stage.send_replace(Stage::Draining)
        });
    assert_eq!((response.code, start.elapsed()), (5034, Duration::ZERO));
    assert_eq!(harness.get("/v1/watch?from=now&wait_ms=20000", OPERATOR).await.code, 5034);
    assert_eq!(harness.get("/v1/watch?from=now", OPERATOR).await.code, 2000);
}

/// Guards against an unbounded number of waiting requests.
#[tokio::test(start_paused = true)]
async fn concurrent_watch_requests_are_bounded() {
    let harness = Bed::start().await;
    let set = |expect| {
        let change = SettingChange { name: "api.burst".into(), expect, value: Some("1000".into()) };
        Record::Setting(change)
    };
    harness.append("system", set(0.into())).await.unwrap();
    let path = "/v1/watch?from=now&wait_ms=30000";
    let mut waits: Vec<_> = (0..257).map(|_| Box::pin(harness.get(path, OPERATOR))).collect();
    let last = waits.pop().unwrap();
    let held = futures::future::join_all(waits);
    let (held, refused) = tokio::join!(held, last);
    assert!(held.iter().all(|response| response.code == 2000));
    assert_eq!(refused.code, 4029);
    assert_eq!(harness.get("/v1/watch?from=now", OPERATOR).await.code, 2000);
}
