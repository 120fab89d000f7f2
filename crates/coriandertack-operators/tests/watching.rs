//! Following changes: resume, waiting, and positions that are too old.

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

/// Returns the changes of an answer as lines.
fn lines(answer: &Value) -> Vec<String> {
    let line = |change: &Value| {
        let subject = &change["subject"];
        format!(
            "{} {} {} by {}",
            subject["type"], subject["name"], change["event"], change["actor"]
        )
    };
    answer["changes"].as_array().unwrap().iter().map(line).collect()
}

/// Applies batches of another VM without a pause, in which no task of the API can run.
fn apply(bed: &Bed, batches: usize, entries: usize) {
    let mut offset = bed.node.with(|shared| shared.state.offset);
    let mut version = bed
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
        let seq = bed.node.with(|shared| {
            shared.in_flight.seq += 1;
            shared.in_flight.seq
        });
        bed.node.apply(offset, &Batch { author: Incarnation(1), seq, entries: changes });
    }
}

/// Reads everything after `from` page by page, up to the position `to`.
async fn read_all(bed: &Bed, mut from: u64, to: u64) -> Vec<u64> {
    let mut offsets = Vec::new();
    while from < to {
        let got = bed.get(&format!("/v1/watch?from={from}&wait_ms=1000"), OPERATOR).await;
        assert_eq!(got.code, 2000, "{}", got.text);
        let changes = got.json["changes"].as_array().unwrap();
        offsets.extend(changes.iter().map(|change| change["offset"].as_u64().unwrap()));
        from = got.json["position"].as_u64().unwrap();
    }
    offsets
}

/// Guards against a change that a reader misses, or sees twice, at the border of two answers.
#[tokio::test(start_paused = true)]
async fn a_resume_loses_and_repeats_no_change() {
    let bed = Bed::start().await;
    let from = bed.get("/v1/settings", OPERATOR).await.json["position"].as_u64().unwrap();
    apply(&bed, 300, 7);
    let offsets = read_all(&bed, from, from + 300).await;
    let expected = (from + 1..=from + 300).flat_map(|offset| std::iter::repeat_n(offset, 7));
    assert!(offsets.into_iter().eq(expected));
}

/// Guards against changes that are reported wrongly, and against void ones that are reported.
#[tokio::test(start_paused = true)]
async fn each_kind_of_change_is_reported_once() {
    let bed = Bed::start().await;
    let from = bed.get("/v1/settings", OPERATOR).await.json["position"].as_u64().unwrap();
    let put = |version: u64| format!("/v1/settings/placement.packing_weight?expect={version}");
    bed.call(Method::PUT, &put(0), OPERATOR, r#"{"value":"0.1"}"#).await;
    bed.call(Method::PUT, &put(0), OPERATOR, r#"{"value":"0.2"}"#).await;
    bed.call(Method::DELETE, &put(1), OPERATOR, "").await;
    bed.call(Method::DELETE, "/v1/teams/cheese?expect=1", OPERATOR, "").await;
    let submitted = bed.call(Method::POST, "/v1/jobs", VANS, &job("vans", "confirm")).await;
    let id = submitted.json["job"].as_u64().unwrap();
    bed.call(Method::POST, &format!("/v1/jobs/{id}/cancel"), VANS, "").await;
    bed.call(Method::POST, &format!("/v1/jobs/{id}/cancel"), VANS, "").await;
    let end = |index| TaskEnd {
        task: TaskId { job: id.into(), index },
        outcome: Outcome::Cancelled,
        worker: String::new(),
    };
    bed.append("system", Record::Ended(vec![end(0), end(1)])).await.unwrap();
    bed.append("system", Record::Ended(vec![end(0)])).await.unwrap();
    let cordon = Cordon { worker: "w2".into(), cordoned: true };
    bed.append("operator:bo", Record::Cordon(cordon)).await.unwrap();
    bed.append("system", Record::WorkersGone(vec!["w3".into()])).await.unwrap();
    tokio::task::yield_now().await;
    let all = bed.get(&format!("/v1/watch?from={from}"), OPERATOR).await;
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
    .assert_eq(&(lines(&all.json).join("\n") + "\n"));
    let own = bed.get(&format!("/v1/watch?from={from}"), VANS).await;
    assert_eq!(lines(&own.json).len(), 3, "a team sees only its own work: {}", own.text);
    assert_eq!(own.json["position"], all.json["position"]);
}

/// Guards against a reader that goes on with a gap that it does not know of.
#[tokio::test(start_paused = true)]
async fn a_position_that_is_no_longer_kept_is_refused() {
    let bed = Bed::start().await;
    let from = bed.get("/v1/settings", OPERATOR).await.json["position"].as_u64().unwrap();
    for _ in 0..6 {
        apply(&bed, 1, 4_096);
        // The ring takes the step in before the next one.
        let wait = format!("/v1/watch?from={}&wait_ms=1000", offset(&bed) - 1);
        assert_eq!(bed.get(&wait, OPERATOR).await.code, 2000);
    }
    let got = bed.get(&format!("/v1/watch?from={from}"), OPERATOR).await;
    assert_eq!((got.status, got.code), (410, 4010));
    let oldest = bed.get("/v1/watch?from=oldest", OPERATOR).await;
    assert_eq!(oldest.json["changes"].as_array().unwrap().len(), 4_096);
    assert!(oldest.json["position"].as_u64().unwrap() > from + 1);
}

fn offset(bed: &Bed) -> u64 {
    bed.node.with(|shared| shared.state.offset.0)
}

/// Guards against a gap when the changes come faster than they are taken in.
#[tokio::test(start_paused = true)]
async fn a_reader_is_told_of_changes_that_came_too_fast() {
    let bed = Bed::start().await;
    let from = offset(&bed);
    apply(&bed, 3_000, 1);
    let wait = format!("/v1/watch?from={}&wait_ms=1000", offset(&bed) - 1);
    assert_eq!(bed.get(&wait, OPERATOR).await.code, 2000);
    assert_eq!(bed.get(&format!("/v1/watch?from={from}"), OPERATOR).await.code, 4010);
    assert_eq!(bed.get("/v1/watch?from=oldest", OPERATOR).await.code, 2000);
}

/// Guards against a gap after the load of a snapshot, whose changes were never applied one by one.
#[tokio::test(start_paused = true)]
async fn a_reader_is_told_of_changes_that_a_snapshot_hid() {
    let bed = Bed::start().await;
    let from = offset(&bed);
    bed.node.with(|shared| shared.state.offset = Offset(from + 500));
    apply(&bed, 1, 1);
    let wait = format!("/v1/watch?from={}&wait_ms=1000", offset(&bed) - 1);
    assert_eq!(lines(&bed.get(&wait, OPERATOR).await.json).len(), 1);
    assert_eq!(bed.get(&format!("/v1/watch?from={from}"), OPERATOR).await.code, 4010);
}

/// Guards against a wait that a change does not end, and one that never ends.
#[tokio::test(start_paused = true)]
async fn a_wait_ends_with_a_change_or_with_its_time() {
    let bed = Bed::start().await;
    let start = Instant::now();
    let idle = bed.get("/v1/watch?from=now&wait_ms=20000", OPERATOR).await;
    assert_eq!((idle.code, lines(&idle.json).len()), (2000, 0));
    assert_eq!(start.elapsed(), Duration::from_secs(20));
    let (got, _) = tokio::join!(
        bed.get("/v1/watch?from=now&wait_ms=20000", OPERATOR),
        bed.call(Method::POST, "/v1/workers/w1/cordon", OPERATOR, ""),
    );
    assert_eq!(lines(&got.json).len(), 1);
    assert_eq!(start.elapsed(), Duration::from_secs(20));
    let too_long = bed.get("/v1/watch?from=now&wait_ms=9999999", OPERATOR).await;
    assert_eq!((too_long.code, start.elapsed()), (2000, Duration::from_secs(50)));
}

/// Guards against a planned stop that waits for those who wait for changes.
#[tokio::test(start_paused = true)]
async fn a_planned_stop_ends_the_waits() {
    let bed = Bed::start().await;
    let start = Instant::now();
    let (got, _) = tokio::join!(bed.get("/v1/watch?from=now&wait_ms=20000", OPERATOR), async {
        bed.node.stage.send_replace(Stage::Draining)
    });
    assert_eq!((got.code, start.elapsed()), (5034, Duration::ZERO));
    assert_eq!(bed.get("/v1/watch?from=now&wait_ms=20000", OPERATOR).await.code, 5034);
    assert_eq!(bed.get("/v1/watch?from=now", OPERATOR).await.code, 2000);
}

/// Guards against idle connections without a bound.
#[tokio::test(start_paused = true)]
async fn the_number_of_requests_that_wait_is_bounded() {
    let bed = Bed::start().await;
    let set = |expect| {
        let change = SettingChange { name: "api.burst".into(), expect, value: Some("1000".into()) };
        Record::Setting(change)
    };
    bed.append("system", set(0.into())).await.unwrap();
    let path = "/v1/watch?from=now&wait_ms=30000";
    let mut waits: Vec<_> = (0..257).map(|_| Box::pin(bed.get(path, OPERATOR))).collect();
    let last = waits.pop().unwrap();
    let held = futures::future::join_all(waits);
    let (held, refused) = tokio::join!(held, last);
    assert!(held.iter().all(|got| got.code == 2000));
    assert_eq!(refused.code, 4029);
    assert_eq!(bed.get("/v1/watch?from=now", OPERATOR).await.code, 2000);
}
