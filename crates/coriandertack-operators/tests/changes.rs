//! Tests of changes: versions, dry runs, the audit trail, live settings and an unresponsive log.

mod common;

use std::sync::Arc;

use {
    common::{Bed, OPERATOR, VANS, job, worker},
    coriandertack_core::{
        code::Code,
        keys::JobId,
        node::Stage,
        record::{Cordon, Kind, Record, SettingChange, TeamChange, TeamSpec},
        resources::Resources,
        state::ApplyEffect,
    },
    coriandertack_operators::{preview, settings_schema},
    tokio::time::{Duration, advance, sleep},
    viz::{Body, Method, Request},
};

const WEIGHT_PATH: &str = "/v1/settings/placement.packing_weight";

/// Guards against concurrent changes to the same version that both report success.
#[tokio::test(start_paused = true)]
async fn concurrent_changes_to_one_version_conflict() {
    let harness = Bed::start().await;
    let path = format!("{WEIGHT_PATH}?expect=0");
    let (one, two) = tokio::join!(
        harness.call(Method::PUT, &path, OPERATOR, r#"{"value":"0.1"}"#),
        harness.call(Method::PUT, &path, OPERATOR, r#"{"value":"0.2"}"#),
    );
    let mut codes = [one.code, two.code];
    codes.sort_unstable();
    assert_eq!(codes, [2000, 4009]);
    let (won, lost) = if one.code == 2000 { (one, two) } else { (two, one) };
    assert_eq!((won.json["version"].as_u64(), lost.json["version"].as_u64()), (Some(1), Some(1)));
    assert_eq!(lost.status, 409);
}

/// Guards against overwriting a version that the client has not read.
#[tokio::test(start_paused = true)]
async fn change_requires_expected_version() {
    let harness = Bed::start().await;
    assert_eq!(
        harness.call(Method::PUT, WEIGHT_PATH, OPERATOR, r#"{"value":"0.1"}"#).await.code,
        4000
    );
    for (header, code) in [("\"0\"", 2000), ("0", 4009), ("1", 2000), ("two", 4000)] {
        let request = Request::builder()
            .method(Method::PUT)
            .uri(WEIGHT_PATH)
            .header("authorization", format!("Bearer {OPERATOR}"))
            .header("if-match", header)
            .body(Body::Full(r#"{"value":"0.1"}"#.into()))
            .unwrap();
        assert_eq!(harness.send(request).await.code, code, "{header}");
    }
}

/// Guards against an `ETag` that is not accepted as `If-Match`.
#[tokio::test(start_paused = true)]
async fn etag_is_accepted_as_if_match() {
    let harness = Bed::start().await;
    let mut tag = harness.get(WEIGHT_PATH, OPERATOR).await.tag.unwrap();
    for _ in 0..3 {
        let request = Request::builder()
            .method(Method::PUT)
            .uri(WEIGHT_PATH)
            .header("authorization", format!("Bearer {OPERATOR}"))
            .header("if-match", &tag)
            .body(Body::Full(r#"{"value":"0.1"}"#.into()))
            .unwrap();
        let changed = harness.send(request).await;
        assert_eq!(changed.code, 2000, "{}", changed.text);
        tag = harness.get(WEIGHT_PATH, OPERATOR).await.tag.unwrap();
        assert_eq!(changed.tag.as_ref(), Some(&tag));
    }
    assert_eq!(harness.get("/v1/teams/vans", OPERATOR).await.tag.as_deref(), Some("\"1\""));
}

/// Guards against versions that restart after a removal, which would let a stale change succeed.
#[tokio::test(start_paused = true)]
async fn versions_continue_after_removal() {
    let harness = Bed::start().await;
    let set = r#"{"value":"0.1"}"#;
    assert_eq!(
        harness.call(Method::DELETE, &format!("{WEIGHT_PATH}?expect=0"), OPERATOR, "").await.code,
        4004
    );
    harness.call(Method::PUT, &format!("{WEIGHT_PATH}?expect=0"), OPERATOR, set).await;
    let removed =
        harness.call(Method::DELETE, &format!("{WEIGHT_PATH}?expect=1"), OPERATOR, "").await;
    assert_eq!((removed.code, removed.json["version"].as_u64()), (2000, Some(2)));
    assert_eq!(
        harness.call(Method::PUT, &format!("{WEIGHT_PATH}?expect=0"), OPERATOR, set).await.code,
        4009
    );
    let shown = harness.get(WEIGHT_PATH, OPERATOR).await;
    assert!(shown.json["setting"]["value"].is_null());
    assert_eq!(shown.json["setting"]["version"], 2);
}

/// Guards against the removal of a team that has unfinished jobs.
#[tokio::test(start_paused = true)]
async fn team_with_live_jobs_cannot_be_deleted() {
    let harness = Bed::start().await;
    harness.call(Method::POST, "/v1/jobs", VANS, &job("vans", "confirm")).await;
    for path in ["/v1/teams/vans?expect=1&dry_run=true", "/v1/teams/vans?expect=1"] {
        let response = harness.call(Method::DELETE, path, OPERATOR, "").await;
        assert_eq!(response.code, 4009, "{path}");
        assert_eq!(
            response.json["reason"],
            "team `vans` has unfinished jobs; cancel them or wait until they end"
        );
    }
    assert_eq!(
        harness.call(Method::DELETE, "/v1/teams/cheese?expect=1", OPERATOR, "").await.code,
        2000
    );
}

/// Guards against a dry run that changes the state or writes to the audit trail.
#[tokio::test(start_paused = true)]
async fn dry_run_changes_nothing() {
    let harness = Bed::start().await;
    let submitted = harness.call(Method::POST, "/v1/jobs", VANS, &job("vans", "confirm")).await;
    let id = submitted.json["job"].as_u64().unwrap();
    let before = harness.node.with(|shared| shared.state.image());
    let quota = r#"{"quota":{"millicores":1,"memory_mib":1}}"#;
    let cases = [
        (Method::PUT, "/v1/teams/vans?expect=1".into(), quota.to_owned(), 2000),
        (Method::PUT, "/v1/teams/vans?expect=7".into(), quota.to_owned(), 4009),
        (Method::DELETE, "/v1/teams/cheese?expect=1".into(), String::new(), 2000),
        (Method::PUT, format!("{WEIGHT_PATH}?expect=0"), r#"{"value":"0.1"}"#.into(), 2000),
        (Method::PUT, format!("{WEIGHT_PATH}?expect=0"), r#"{"value":"30"}"#.into(), 4020),
        (Method::POST, "/v1/jobs?x=1".into(), job("vans", "confirm"), 4000),
        (Method::POST, "/v1/jobs?".into(), job("vans", "confirm"), 2000),
        (Method::POST, format!("/v1/jobs/{id}/cancel?"), String::new(), 2000),
        (Method::POST, "/v1/workers/w1/cordon?".into(), String::new(), 2000),
        (Method::POST, "/v1/workers/w1/uncordon?".into(), String::new(), 2004),
        (Method::POST, "/v1/workers/w9/cordon?".into(), String::new(), 4004),
    ];
    for (method, path, body, code) in cases {
        let response = harness.call(method, &format!("{path}&dry_run=true"), OPERATOR, &body).await;
        assert_eq!(response.code, code, "{path}: {}", response.text);
        assert_eq!(response.json["dry_run"].as_bool(), (code < 3000).then_some(true), "{path}");
    }
    // Wait long enough for a refusal to be written; a dry run must not cause one.
    sleep(Duration::from_secs(5)).await;
    assert_eq!(harness.node.with(|shared| shared.state.image()), before);
}

/// Guards against a dry run whose result differs from that of applying the change.
#[tokio::test(start_paused = true)]
async fn preview_agrees_with_apply() {
    let spec =
        |name: &str| Some(TeamSpec { quota: Resources::new(1, 1, 0), tokens: vec![name.into()] });
    let mut records = Vec::new();
    for name in ["vans", "cheese", "new"] {
        for expect in 0..4 {
            for spec in [None, spec(name)] {
                let change = TeamChange { name: name.into(), expect: expect.into(), spec };
                records.push(Record::Team(change));
            }
        }
    }
    for expect in 0..4 {
        for value in [None, Some("0.5".to_owned())] {
            let name = "placement.packing_weight".into();
            records.push(Record::Setting(SettingChange { name, expect: expect.into(), value }));
        }
    }
    for name in ["w1", "w9"] {
        for cordoned in [true, false, true] {
            records.push(Record::Cordon(Cordon { worker: name.into(), cordoned }));
        }
    }
    let harness = Bed::start().await;
    let submitted = harness.call(Method::POST, "/v1/jobs", VANS, &job("vans", "confirm")).await;
    let id = JobId(submitted.json["job"].as_u64().unwrap());
    records.extend([Record::Cancel(id), Record::Cancel(id), Record::Cancel(JobId(1))]);
    let mut outcomes = [0, 0];
    // Apply the records twice, so that each also runs on the states that the others leave behind.
    for record in records.iter().chain(&records) {
        let expected = harness.node.with(|shared| preview::apply_result(&shared.state, record));
        let result = harness.append("ana", record.clone()).await;
        assert_eq!(result, expected, "{record:?}");
        outcomes[usize::from(result.is_ok())] += 1;
    }
    assert!(outcomes.iter().all(|&count| count > 10), "{outcomes:?}");
}

/// Guards against refused changes that are not audited or are audited twice, and against audited reads.
#[tokio::test(start_paused = true)]
async fn refused_changes_are_audited_once() {
    let harness = Bed::start().await;
    let calls = [
        (Method::PUT, "/v1/settings/placement.weight?expect=0", OPERATOR, r#"{"value":"1"}"#),
        (Method::PUT, "/v1/teams/vans?expect=1", VANS, "{}"),
        (Method::DELETE, "/v1/teams/vans?expect=1", "wrong", ""),
        (Method::PUT, "/v1/settings/log.level?expect=9", OPERATOR, r#"{"value":"\"debug\""}"#),
        (Method::GET, "/v1/teams/unknown", OPERATOR, ""),
        (Method::POST, "/v1/jobs/1/cancel", OPERATOR, ""),
    ];
    for (method, path, token, body) in calls {
        assert!(harness.call(method, path, token, body).await.status >= 400, "{path}");
    }
    sleep(Duration::from_secs(5)).await;
    let trail = harness.get("/v1/audit?refused=true", OPERATOR).await;
    let entries = trail.json["entries"].as_array().unwrap();
    let lines: Vec<String> = entries
        .iter()
        .map(|entry| format!("{} {} {}", entry["actor"], entry["action"], entry["result"]))
        .collect();
    expect_test::expect![[r#"
        "operator:ana" "set setting log.level" 4009
        "operator:ana" "putSetting /v1/settings/placement.weight" 4020
        "team:vans" "putTeam /v1/teams/vans" 4003
        "anonymous" "deleteTeam /v1/teams/vans" 4001
        "operator:ana" "cancelJob /v1/jobs/1/cancel" 4004
    "#]]
    .assert_eq(&(lines.join("\n") + "\n"));
}

/// Guards against a flood of invalid requests that uses up log appends or displaces audit entries.
#[tokio::test(start_paused = true)]
async fn refused_changes_are_rate_limited_in_the_audit_trail() {
    let harness = Bed::start().await;
    let start = harness.node.with(|shared| (shared.state.offset, shared.state.audit.len()));
    for _ in 0..100 {
        for _ in 0..100 {
            harness.call(Method::DELETE, "/v1/teams/vans?expect=1", "wrong", "").await;
            harness
                .call(Method::PUT, "/v1/settings/nothing?expect=0", OPERATOR, r#"{"value":"1"}"#)
                .await;
        }
        advance(Duration::from_secs(1)).await;
        tokio::task::yield_now().await;
    }
    let end = harness.node.with(|shared| (shared.state.offset, shared.state.audit.len()));
    let (appends, entries) = (end.0.0 - start.0.0, end.1 - start.1);
    // For each of the two actors: a burst of 10, and one more in 100 s at 1 per minute.
    assert_eq!(entries, 2 * (10 + 1));
    assert!(appends <= entries as u64);
    let metrics = harness.get("/metrics", "").await;
    assert!(metrics.text.contains("refusals_not_audited_total"), "{}", metrics.text);
}

/// Guards against a VM that accepts changes while it is not serving, not valid or without a session.
#[tokio::test(start_paused = true)]
async fn changes_are_refused_unless_serving_and_valid() {
    let mut harness = Bed::start().await;
    let path = "/v1/jobs";
    let body = job("vans", "confirm");
    for (stage, code) in [(Stage::Starting, 5029), (Stage::Draining, 5034), (Stage::Stopped, 5034)]
    {
        harness.node.stage.send_replace(stage);
        assert_eq!(harness.call(Method::POST, path, VANS, &body).await.code, code, "{stage}");
        // A VM that has not read the log must not report existing objects as missing.
        let read = if stage == Stage::Draining { 2000 } else { code };
        assert_eq!(harness.get(path, VANS).await.code, read, "{stage}");
        assert_eq!(harness.get(path, "wrong").await.code, if read == 2000 { 4001 } else { code });
    }
    harness.node.stage.send_replace(Stage::Serving);
    harness.is_valid = false;
    advance(Duration::from_secs(4)).await;
    assert_eq!(harness.call(Method::POST, path, VANS, &body).await.code, 5030);
    assert_eq!(harness.get(path, VANS).await.code, 2000);
    harness.is_valid = true;
    harness.append("system", Record::Leave).await.unwrap();
    assert_eq!(harness.call(Method::POST, path, VANS, &body).await.code, 5035);
    assert_eq!(harness.node.with(|shared| shared.state.jobs.ids.len()), 0);
}

/// Guards against reporting "not run" for a change that is applied later.
#[tokio::test(start_paused = true)]
async fn change_times_out_with_unknown_outcome() {
    let harness = Bed::start().await;
    harness.log_running.send_replace(false);
    let response = harness.call(Method::POST, "/v1/jobs", VANS, &job("vans", "confirm")).await;
    assert_eq!((response.status, response.code), (504, 5002));
    harness.log_running.send_replace(true);
    let mut applied = harness.node.applied_offset.subscribe();
    applied.mark_unchanged();
    while harness.node.with(|shared| shared.state.jobs.ids.is_empty()) {
        applied.changed().await.unwrap();
    }
}

/// Guards against a duplicate job from a retried submission, and against one key used for two jobs.
#[tokio::test(start_paused = true)]
async fn idempotency_key_prevents_duplicate_jobs() {
    let harness = Bed::start().await;
    let submit = |name: &'static str| {
        Request::builder()
            .method(Method::POST)
            .uri("/v1/jobs")
            .header("authorization", format!("Bearer {VANS}"))
            .header("idempotency-key", "k1")
            .body(Body::Full(job("vans", name).into()))
            .unwrap()
    };
    let (one, two) = (harness.send(submit("a")).await, harness.send(submit("a")).await);
    assert_eq!((one.code, two.code), (2001, 2001));
    assert_eq!(one.json["job"], two.json["job"]);
    assert_eq!(harness.send(submit("b")).await.code, 4222);
}

/// Guards against a job that bypasses the configured admission check or submit function.
#[tokio::test(start_paused = true)]
async fn submission_uses_admit_and_submit_functions() {
    let admit = |_: &coriandertack_core::state::State,
                 spec: &coriandertack_core::record::JobSpec| {
        if spec.kind == Kind::Gang { Err(Code::Impossible) } else { Ok(()) }
    };
    let harness = Bed::start_with(|api| {
        api.with_admit(Box::new(admit)).with_submit(Box::new(|node, actor, spec| {
            Box::pin(async move {
                assert_eq!(actor, "team:vans");
                match node.submit_one("home", Record::Accept(spec)).await? {
                    ApplyEffect::Job(job) => Ok(job),
                    _ => Err(Code::Internal),
                }
            })
        }))
    })
    .await;
    let gang = job("vans", "plan").replace("batch", "gang");
    assert_eq!(harness.call(Method::POST, "/v1/jobs", VANS, &gang).await.code, 4220);
    assert_eq!(harness.call(Method::POST, "/v1/jobs", VANS, &job("vans", "plan")).await.code, 2001);
    let trail = harness.get("/v1/audit?action=submit+vans/plan", OPERATOR).await;
    let actors: Vec<&serde_json::Value> =
        trail.json["entries"].as_array().unwrap().iter().map(|entry| &entry["actor"]).collect();
    assert_eq!(actors, ["home"]);
}

/// Guards against a cordon that a later update from the VM list removes.
#[tokio::test(start_paused = true)]
async fn cordon_survives_vm_list_update() {
    let harness = Bed::start().await;
    assert_eq!(harness.call(Method::POST, "/v1/workers/w1/cordon", OPERATOR, "").await.code, 2000);
    assert_eq!(harness.call(Method::POST, "/v1/workers/w1/cordon", OPERATOR, "").await.code, 2004);
    harness.append("system", Record::Workers(vec![worker(1)])).await.unwrap();
    assert_eq!(harness.get("/v1/workers/w1", OPERATOR).await.json["worker"]["cordoned"], true);
    assert_eq!(
        harness.call(Method::POST, "/v1/workers/w1/uncordon", OPERATOR, "").await.code,
        2000
    );
    assert_eq!(harness.get("/v1/workers/w1", OPERATOR).await.json["worker"]["cordoned"], false);
}

/// Guards against a setting that does not take effect, and against reapplying settings for unrelated records.
#[tokio::test(start_paused = true)]
async fn live_settings_take_effect_when_applied() {
    let harness = Bed::start().await;
    let (seen, mut shown) = tokio::sync::mpsc::unbounded_channel();
    let follow = settings_schema::follow(Arc::clone(&harness.node), move |_, live| {
        seen.send((live.packing, live.burst)).unwrap();
    });
    let task = tokio::spawn(follow);
    assert_eq!(shown.recv().await, Some((None, 200.0)));
    harness
        .call(Method::PUT, &format!("{WEIGHT_PATH}?expect=0"), OPERATOR, r#"{"value":"0.5"}"#)
        .await;
    assert_eq!(shown.recv().await, Some((Some(0.5), 200.0)));
    harness.call(Method::POST, "/v1/jobs", VANS, &job("vans", "confirm")).await;
    let burst = "/v1/settings/api.burst?expect=0";
    harness.call(Method::PUT, burst, OPERATOR, r#"{"value":"3"}"#).await;
    assert_eq!(shown.recv().await, Some((Some(0.5), 3.0)));
    harness.call(Method::DELETE, &format!("{WEIGHT_PATH}?expect=1"), OPERATOR, "").await;
    assert_eq!(shown.recv().await, Some((None, 3.0)));
    assert!(shown.try_recv().is_err());
    task.abort();
}

/// Guards against accepting invalid, out-of-range or multi-line TOML values.
#[test]
fn live_setting_values_are_validated() {
    let check = |name, value| settings_schema::check(name, value).is_ok();
    let good = [
        ("api.burst", "1"),
        ("api.rate_per_s", "0.5"),
        ("api.rate_per_s", "20"),
        ("log.level", "\"debug\""),
        ("log.level", "'warn'"),
        ("route.short_share", "0"),
    ];
    let bad = [
        ("api.burst", "0"),
        ("api.burst", "1.5"),
        ("api.burst", "\"1\""),
        ("api.rate_per_s", "nan"),
        ("api.rate_per_s", "inf"),
        ("api.rate_per_s", ""),
        ("log.level", "debug"),
        ("log.level", "\"loud\""),
        ("log.level", "\"info\"\n\"api.burst\" = 1"),
        ("route.short_share", "[0.5]"),
        ("route.short_share", "0.5\nother = 1"),
        ("route.short", "0.5"),
    ];
    assert_eq!(good.iter().find(|(name, value)| !check(name, value)), None);
    assert_eq!(bad.iter().find(|(name, value)| check(name, value)), None);
    for schema in settings_schema::ALL.iter().filter(|schema| !schema.default.is_empty()) {
        assert!(check(schema.name, schema.default), "{}", schema.name);
    }
}
