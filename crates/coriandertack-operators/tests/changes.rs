//! Changes: versions, dry runs, the audit trail and a log that does not answer.

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

const WEIGHT: &str = "/v1/settings/placement.packing_weight";

/// Guards against two writers who both believe that their change is in force.
#[tokio::test(start_paused = true)]
async fn of_two_changes_to_one_version_exactly_one_is_made() {
    let bed = Bed::start().await;
    let path = format!("{WEIGHT}?expect=0");
    let (one, two) = tokio::join!(
        bed.call(Method::PUT, &path, OPERATOR, r#"{"value":"0.1"}"#),
        bed.call(Method::PUT, &path, OPERATOR, r#"{"value":"0.2"}"#),
    );
    let mut codes = [one.code, two.code];
    codes.sort_unstable();
    assert_eq!(codes, [2000, 4009]);
    let (won, lost) = if one.code == 2000 { (one, two) } else { (two, one) };
    assert_eq!((won.json["version"].as_u64(), lost.json["version"].as_u64()), (Some(1), Some(1)));
    assert_eq!(lost.status, 409);
}

/// Guards against a change that overwrites what its writer has not seen.
#[tokio::test(start_paused = true)]
async fn a_change_must_say_which_version_it_has_seen() {
    let bed = Bed::start().await;
    assert_eq!(bed.call(Method::PUT, WEIGHT, OPERATOR, r#"{"value":"0.1"}"#).await.code, 4000);
    for (header, code) in [("\"0\"", 2000), ("0", 4009), ("1", 2000), ("two", 4000)] {
        let request = Request::builder()
            .method(Method::PUT)
            .uri(WEIGHT)
            .header("authorization", format!("Bearer {OPERATOR}"))
            .header("if-match", header)
            .body(Body::Full(r#"{"value":"0.1"}"#.into()))
            .unwrap();
        assert_eq!(bed.send(request).await.code, code, "{header}");
    }
}

/// Guards against a tag that does not work as `If-Match`.
#[tokio::test(start_paused = true)]
async fn the_tag_of_an_object_is_what_a_change_expects() {
    let bed = Bed::start().await;
    let mut tag = bed.get(WEIGHT, OPERATOR).await.tag.unwrap();
    for _ in 0..3 {
        let request = Request::builder()
            .method(Method::PUT)
            .uri(WEIGHT)
            .header("authorization", format!("Bearer {OPERATOR}"))
            .header("if-match", &tag)
            .body(Body::Full(r#"{"value":"0.1"}"#.into()))
            .unwrap();
        let changed = bed.send(request).await;
        assert_eq!(changed.code, 2000, "{}", changed.text);
        tag = bed.get(WEIGHT, OPERATOR).await.tag.unwrap();
        assert_eq!(changed.tag.as_ref(), Some(&tag));
    }
    assert_eq!(bed.get("/v1/teams/vans", OPERATOR).await.tag.as_deref(), Some("\"1\""));
}

/// Guards against versions that start again after a removal, which would let an old writer win.
#[tokio::test(start_paused = true)]
async fn versions_go_on_after_a_removal() {
    let bed = Bed::start().await;
    let set = r#"{"value":"0.1"}"#;
    assert_eq!(
        bed.call(Method::DELETE, &format!("{WEIGHT}?expect=0"), OPERATOR, "").await.code,
        4004
    );
    bed.call(Method::PUT, &format!("{WEIGHT}?expect=0"), OPERATOR, set).await;
    let removed = bed.call(Method::DELETE, &format!("{WEIGHT}?expect=1"), OPERATOR, "").await;
    assert_eq!((removed.code, removed.json["version"].as_u64()), (2000, Some(2)));
    assert_eq!(
        bed.call(Method::PUT, &format!("{WEIGHT}?expect=0"), OPERATOR, set).await.code,
        4009
    );
    let shown = bed.get(WEIGHT, OPERATOR).await;
    assert!(shown.json["setting"]["value"].is_null());
    assert_eq!(shown.json["setting"]["version"], 2);
}

/// Guards against a team that is removed while its jobs run.
#[tokio::test(start_paused = true)]
async fn a_team_with_live_jobs_stays() {
    let bed = Bed::start().await;
    bed.call(Method::POST, "/v1/jobs", VANS, &job("vans", "confirm")).await;
    for path in ["/v1/teams/vans?expect=1&dry_run=true", "/v1/teams/vans?expect=1"] {
        let got = bed.call(Method::DELETE, path, OPERATOR, "").await;
        assert_eq!(got.code, 4009, "{path}");
        assert_eq!(
            got.json["reason"],
            "team `vans` has unfinished jobs; cancel them or wait until they end"
        );
    }
    assert_eq!(
        bed.call(Method::DELETE, "/v1/teams/cheese?expect=1", OPERATOR, "").await.code,
        2000
    );
}

/// Guards against a dry run that changes something.
#[tokio::test(start_paused = true)]
async fn a_dry_run_answers_without_a_change() {
    let bed = Bed::start().await;
    let submitted = bed.call(Method::POST, "/v1/jobs", VANS, &job("vans", "confirm")).await;
    let id = submitted.json["job"].as_u64().unwrap();
    let before = bed.node.with(|shared| shared.state.image());
    let quota = r#"{"quota":{"millicores":1,"memory_mib":1}}"#;
    let cases = [
        (Method::PUT, "/v1/teams/vans?expect=1".into(), quota.to_owned(), 2000),
        (Method::PUT, "/v1/teams/vans?expect=7".into(), quota.to_owned(), 4009),
        (Method::DELETE, "/v1/teams/cheese?expect=1".into(), String::new(), 2000),
        (Method::PUT, format!("{WEIGHT}?expect=0"), r#"{"value":"0.1"}"#.into(), 2000),
        (Method::PUT, format!("{WEIGHT}?expect=0"), r#"{"value":"30"}"#.into(), 4020),
        (Method::POST, "/v1/jobs?x=1".into(), job("vans", "confirm"), 4000),
        (Method::POST, "/v1/jobs?".into(), job("vans", "confirm"), 2000),
        (Method::POST, format!("/v1/jobs/{id}/cancel?"), String::new(), 2000),
        (Method::POST, "/v1/workers/w1/cordon?".into(), String::new(), 2000),
        (Method::POST, "/v1/workers/w1/uncordon?".into(), String::new(), 2004),
        (Method::POST, "/v1/workers/w9/cordon?".into(), String::new(), 4004),
    ];
    for (method, path, body, code) in cases {
        let got = bed.call(method, &format!("{path}&dry_run=true"), OPERATOR, &body).await;
        assert_eq!(got.code, code, "{path}: {}", got.text);
        assert_eq!(got.json["dry_run"].as_bool(), (code < 3000).then_some(true), "{path}");
    }
    // Time for a refusal to be written, which a dry run must not cause either.
    sleep(Duration::from_secs(5)).await;
    assert_eq!(bed.node.with(|shared| shared.state.image()), before);
}

/// Guards against a dry run that promises what the log then refuses, or the other way round.
#[tokio::test(start_paused = true)]
async fn a_preview_agrees_with_the_log() {
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
    let bed = Bed::start().await;
    let submitted = bed.call(Method::POST, "/v1/jobs", VANS, &job("vans", "confirm")).await;
    let id = JobId(submitted.json["job"].as_u64().unwrap());
    records.extend([Record::Cancel(id), Record::Cancel(id), Record::Cancel(JobId(1))]);
    let mut outcomes = [0, 0];
    // Twice, so that each record meets the states that the others leave behind.
    for record in records.iter().chain(&records) {
        let expected = bed.node.with(|shared| preview::apply_result(&shared.state, record));
        let result = bed.append("ana", record.clone()).await;
        assert_eq!(result, expected, "{record:?}");
        outcomes[usize::from(result.is_ok())] += 1;
    }
    assert!(outcomes.iter().all(|&count| count > 10), "{outcomes:?}");
}

/// Guards against refused changes that leave no trace, and against traces of reads.
#[tokio::test(start_paused = true)]
async fn refused_changes_are_in_the_audit_trail_once() {
    let bed = Bed::start().await;
    let calls = [
        (Method::PUT, "/v1/settings/placement.weight?expect=0", OPERATOR, r#"{"value":"1"}"#),
        (Method::PUT, "/v1/teams/vans?expect=1", VANS, "{}"),
        (Method::DELETE, "/v1/teams/vans?expect=1", "wrong", ""),
        (Method::PUT, "/v1/settings/log.level?expect=9", OPERATOR, r#"{"value":"\"debug\""}"#),
        (Method::GET, "/v1/teams/unknown", OPERATOR, ""),
        (Method::POST, "/v1/jobs/1/cancel", OPERATOR, ""),
    ];
    for (method, path, token, body) in calls {
        assert!(bed.call(method, path, token, body).await.status >= 400, "{path}");
    }
    sleep(Duration::from_secs(5)).await;
    let trail = bed.get("/v1/audit?refused=true", OPERATOR).await;
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

/// Guards against a flood of bad requests that uses up the appends, or pushes entries out of the trail.
#[tokio::test(start_paused = true)]
async fn a_flood_of_refused_changes_writes_few_records() {
    let bed = Bed::start().await;
    let start = bed.node.with(|shared| (shared.state.offset, shared.state.audit.len()));
    for _ in 0..100 {
        for _ in 0..100 {
            bed.call(Method::DELETE, "/v1/teams/vans?expect=1", "wrong", "").await;
            bed.call(Method::PUT, "/v1/settings/nothing?expect=0", OPERATOR, r#"{"value":"1"}"#)
                .await;
        }
        advance(Duration::from_secs(1)).await;
        tokio::task::yield_now().await;
    }
    let end = bed.node.with(|shared| (shared.state.offset, shared.state.audit.len()));
    let (appends, entries) = (end.0.0 - start.0.0, end.1 - start.1);
    // Of each of two actors: a burst of 10 and one each minute.
    assert_eq!(entries, 2 * (10 + 1));
    assert!(appends <= entries as u64);
    let metrics = bed.get("/metrics", "").await;
    assert!(metrics.text.contains("refusals_not_audited_total"), "{}", metrics.text);
}

/// Guards against a change that is accepted when this VM must not act.
#[tokio::test(start_paused = true)]
async fn a_vm_that_must_not_act_refuses_changes() {
    let mut bed = Bed::start().await;
    let path = "/v1/jobs";
    let body = job("vans", "confirm");
    for (stage, code) in [(Stage::Starting, 5029), (Stage::Draining, 5034), (Stage::Stopped, 5034)]
    {
        bed.node.stage.send_replace(stage);
        assert_eq!(bed.call(Method::POST, path, VANS, &body).await.code, code, "{stage}");
        // A VM without a state must not answer that nothing exists.
        let read = if stage == Stage::Draining { 2000 } else { code };
        assert_eq!(bed.get(path, VANS).await.code, read, "{stage}");
        assert_eq!(bed.get(path, "wrong").await.code, if read == 2000 { 4001 } else { code });
    }
    bed.node.stage.send_replace(Stage::Serving);
    bed.is_valid = false;
    advance(Duration::from_secs(4)).await;
    assert_eq!(bed.call(Method::POST, path, VANS, &body).await.code, 5030);
    assert_eq!(bed.get(path, VANS).await.code, 2000);
    bed.is_valid = true;
    bed.append("system", Record::Leave).await.unwrap();
    assert_eq!(bed.call(Method::POST, path, VANS, &body).await.code, 5035);
    assert_eq!(bed.node.with(|shared| shared.state.jobs.ids.len()), 0);
}

/// Guards against a "not run" for a change that is made after all.
#[tokio::test(start_paused = true)]
async fn a_change_without_an_answer_of_the_log_is_unknown() {
    let bed = Bed::start().await;
    bed.log_runs.send_replace(false);
    let got = bed.call(Method::POST, "/v1/jobs", VANS, &job("vans", "confirm")).await;
    assert_eq!((got.status, got.code), (504, 5002));
    bed.log_runs.send_replace(true);
    let mut applied = bed.node.applied_offset.subscribe();
    applied.mark_unchanged();
    while bed.node.with(|shared| shared.state.jobs.ids.is_empty()) {
        applied.changed().await.unwrap();
    }
}

/// Guards against a second job from a submission that is sent again, and against a key for two jobs.
#[tokio::test(start_paused = true)]
async fn a_submission_sent_twice_with_a_key_gives_one_job() {
    let bed = Bed::start().await;
    let submit = |name: &'static str| {
        Request::builder()
            .method(Method::POST)
            .uri("/v1/jobs")
            .header("authorization", format!("Bearer {VANS}"))
            .header("idempotency-key", "k1")
            .body(Body::Full(job("vans", name).into()))
            .unwrap()
    };
    let (one, two) = (bed.send(submit("a")).await, bed.send(submit("a")).await);
    assert_eq!((one.code, two.code), (2001, 2001));
    assert_eq!(one.json["job"], two.json["job"]);
    assert_eq!(bed.send(submit("b")).await.code, 4222);
}

/// Guards against work that the product was told to refuse, and against a job that bypasses its home.
#[tokio::test(start_paused = true)]
async fn a_job_goes_through_the_test_and_the_way_that_were_given() {
    let admit = |_: &coriandertack_core::state::State,
                 spec: &coriandertack_core::record::JobSpec| {
        if spec.kind == Kind::Gang { Err(Code::Impossible) } else { Ok(()) }
    };
    let bed = Bed::start_with(|api| {
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
    assert_eq!(bed.call(Method::POST, "/v1/jobs", VANS, &gang).await.code, 4220);
    assert_eq!(bed.call(Method::POST, "/v1/jobs", VANS, &job("vans", "plan")).await.code, 2001);
    let trail = bed.get("/v1/audit?action=submit+vans/plan", OPERATOR).await;
    let actors: Vec<&serde_json::Value> =
        trail.json["entries"].as_array().unwrap().iter().map(|entry| &entry["actor"]).collect();
    assert_eq!(actors, ["home"]);
}

/// Guards against a cordon that a later look of the VM list undoes.
#[tokio::test(start_paused = true)]
async fn a_cordon_stays_until_it_is_undone() {
    let bed = Bed::start().await;
    assert_eq!(bed.call(Method::POST, "/v1/workers/w1/cordon", OPERATOR, "").await.code, 2000);
    assert_eq!(bed.call(Method::POST, "/v1/workers/w1/cordon", OPERATOR, "").await.code, 2004);
    bed.append("system", Record::Workers(vec![worker(1)])).await.unwrap();
    assert_eq!(bed.get("/v1/workers/w1", OPERATOR).await.json["worker"]["cordoned"], true);
    assert_eq!(bed.call(Method::POST, "/v1/workers/w1/uncordon", OPERATOR, "").await.code, 2000);
    assert_eq!(bed.get("/v1/workers/w1", OPERATOR).await.json["worker"]["cordoned"], false);
}

/// Guards against a setting that is accepted and does not come into force, and against work for each record.
#[tokio::test(start_paused = true)]
async fn a_live_setting_is_in_force_as_soon_as_it_is_applied() {
    let bed = Bed::start().await;
    let (seen, mut shown) = tokio::sync::mpsc::unbounded_channel();
    let follow = settings_schema::follow(Arc::clone(&bed.node), move |_, live| {
        seen.send((live.packing, live.burst)).unwrap();
    });
    let task = tokio::spawn(follow);
    assert_eq!(shown.recv().await, Some((None, 200.0)));
    bed.call(Method::PUT, &format!("{WEIGHT}?expect=0"), OPERATOR, r#"{"value":"0.5"}"#).await;
    assert_eq!(shown.recv().await, Some((Some(0.5), 200.0)));
    bed.call(Method::POST, "/v1/jobs", VANS, &job("vans", "confirm")).await;
    let burst = "/v1/settings/api.burst?expect=0";
    bed.call(Method::PUT, burst, OPERATOR, r#"{"value":"3"}"#).await;
    assert_eq!(shown.recv().await, Some((Some(0.5), 3.0)));
    bed.call(Method::DELETE, &format!("{WEIGHT}?expect=1"), OPERATOR, "").await;
    assert_eq!(shown.recv().await, Some((None, 3.0)));
    assert!(shown.try_recv().is_err());
    task.abort();
}

/// Guards against values that TOML reads in another way than they look.
#[test]
fn values_of_live_settings_are_checked() {
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
