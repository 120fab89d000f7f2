//! Tests of lists, paging, charges, explanations, health and metrics.

mod common;

use {
    common::{Bed, CHEESE, OPERATOR, VANS, entry, job, worker},
    coriandertack_core::{
        code::Code,
        keys::{JobId, LeaseId, TaskId},
        node::Stage,
        record::{Cordon, JobSpec, Outcome, Record, TaskEnd, Usage, UsageSpan},
        state::{AuditEntry, CHARGE_PERIOD_MS, State},
    },
    expect_test::expect,
    serde_json::Value,
    std::{sync::atomic::Ordering, time::Duration},
    viz::Method,
};

async fn submit(harness: &Bed, team: &str, token: &str, name: &str) -> u64 {
    let response = harness.call(Method::POST, "/v1/jobs", token, &job(team, name)).await;
    response.json["job"].as_u64().unwrap()
}

/// Reads a list in pages of two objects and returns the `key` value of each object.
async fn read_pages(harness: &Bed, path: &str, field: &str, key: &str, token: &str) -> Vec<Value> {
    let mut found = Vec::new();
    let mut after = String::new();
    loop {
        let response = harness.get(&format!("{path}limit=2{after}"), token).await;
        assert_eq!(response.code, 2000, "{}", response.text);
        let page = response.json[field].as_array().unwrap();
        assert!(page.len() <= 2);
        found.extend(page.iter().map(|object| object[key].clone()));
        after = match &response.json["next"] {
            Value::Null => return found,
            Value::String(text) => format!("&after={text}"),
            next => format!("&after={next}"),
        };
    }
}

/// Guards against objects that are lost or repeated at a page boundary.
#[tokio::test(start_paused = true)]
async fn pages_contain_each_object_once() {
    let harness = Bed::start().await;
    let mut own = Vec::new();
    let mut all = Vec::new();
    for index in 0..7 {
        let id = submit(&harness, "vans", VANS, &format!("run{index}")).await;
        own.push(Value::from(id));
        all.push(Value::from(id));
        all.push(Value::from(submit(&harness, "cheese", CHEESE, "settle").await));
    }
    assert_eq!(read_pages(&harness, "/v1/jobs?", "jobs", "job", OPERATOR).await, all);
    assert_eq!(read_pages(&harness, "/v1/jobs?", "jobs", "job", VANS).await, own);
    assert_eq!(read_pages(&harness, "/v1/jobs?team=vans&", "jobs", "job", OPERATOR).await, own);
    assert_eq!(read_pages(&harness, "/v1/jobs?name=run3&", "jobs", "job", VANS).await, own[3..4]);
    let workers = read_pages(&harness, "/v1/workers?", "workers", "name", OPERATOR).await;
    assert_eq!(workers, ["w1", "w2", "w3"]);
    assert_eq!(
        read_pages(&harness, "/v1/workers?zone=x&", "workers", "name", OPERATOR).await.len(),
        0
    );
    assert_eq!(
        read_pages(&harness, "/v1/teams?", "teams", "name", OPERATOR).await,
        ["cheese", "vans"]
    );
    let trail = read_pages(&harness, "/v1/audit?", "entries", "position", OPERATOR).await;
    assert_eq!(trail.len(), harness.node.with(|shared| shared.state.audit.len()));
    for limit in ["0", "501", "x"] {
        let response = harness.get(&format!("/v1/jobs?limit={limit}"), VANS).await;
        assert!([4020, 4000].contains(&response.code), "{limit}");
    }
}

/// Guards against thousands of job submissions displacing configuration changes from the audit trail, and
/// against a trail that is out of order or differs after a snapshot.
#[tokio::test(start_paused = true)]
async fn jobs_do_not_displace_configuration_changes_from_audit_trail() {
    let harness = Bed::start().await;
    let spec: JobSpec = serde_json::from_str(&job("vans", "plan")).unwrap();
    let cordon = |cordoned| Record::Cordon(Cordon { worker: "w1".into(), cordoned });
    for cordoned in [true, false, true] {
        harness.append("operator:ana", cordon(cordoned)).await.unwrap();
        let jobs = vec![entry(Record::Accept(spec.clone())); 2_500];
        harness.node.submit(jobs).await.unwrap();
    }
    let (entries, same) = harness.node.with(|shared| {
        let image = shared.state.image();
        let restored = State::from_image(image, tokio::time::Instant::now());
        let entries: Vec<AuditEntry> = shared.state.audit.iter().cloned().collect();
        (entries, restored.audit == shared.state.audit)
    });
    assert!(same);
    assert!(entries.is_sorted_by_key(AuditEntry::position));
    let count =
        |start: &str| entries.iter().filter(|entry| entry.action.starts_with(start)).count();
    assert_eq!((count("cordon worker w1"), count("submit vans/plan")), (3, 2_000));
}

/// Guards against a job's `standing` not following the ends of its tasks.
#[tokio::test(start_paused = true)]
async fn job_standing_follows_task_ends() {
    let harness = Bed::start().await;
    let id = submit(&harness, "vans", VANS, "plan").await;
    let path = format!("/v1/jobs/{id}");
    assert_eq!(harness.get(&path, VANS).await.json["job"]["standing"], "active");
    let end = |index, outcome| {
        let task = TaskId { job: JobId(id), index };
        Record::Ended(vec![TaskEnd { task, outcome, worker: "w1".into() }])
    };
    harness.append("system", end(0, Outcome::Succeeded)).await.unwrap();
    harness.call(Method::POST, &format!("{path}/cancel"), VANS, "").await;
    assert_eq!(harness.get(&path, VANS).await.json["job"]["standing"], "cancelling");
    harness.append("system", end(1, Outcome::Cancelled)).await.unwrap();
    let shown = harness.get(&path, VANS).await.json["job"].take();
    assert_eq!((&shown["standing"], &shown["succeeded"]), (&"ended".into(), &1.into()));
    assert_eq!(read_pages(&harness, "/v1/jobs?standing=ended&", "jobs", "job", VANS).await, [id]);
    assert_eq!(
        read_pages(&harness, "/v1/jobs?standing=active&", "jobs", "job", VANS).await.len(),
        0
    );
}

/// Guards against charges without their team, kind or period in JSON or CSV.
#[tokio::test(start_paused = true)]
async fn charges_match_in_json_and_csv() {
    let harness = Bed::start().await;
    for (team, token) in [("vans", VANS), ("cheese", CHEESE)] {
        let job = JobId(submit(&harness, team, token, "plan").await);
        let lease = LeaseId { task: TaskId { job, index: 0 }, attempt: 1 };
        for interval in 0..2 {
            let usage = Usage { core_ms: 1_500, mib_s: 512, acc_ms: 0 };
            let end_ms = CHARGE_PERIOD_MS * 490_000 + u64::from(interval) * CHARGE_PERIOD_MS + 5;
            let span = UsageSpan { lease, from: interval, to: interval + 1, usage, end_ms };
            harness.append("system", Record::Usage(vec![span])).await.unwrap();
        }
    }
    let table = harness.get("/v1/charges?format=csv", OPERATOR).await;
    expect![[r#"
        period,start_ms,team,kind,core_ms,mib_s,acc_ms
        2025-11-24T16:00:00Z,1764000000000,cheese,batch,1500,512,0
        2025-11-24T16:00:00Z,1764000000000,vans,batch,1500,512,0
        2025-11-24T17:00:00Z,1764003600000,cheese,batch,1500,512,0
        2025-11-24T17:00:00Z,1764003600000,vans,batch,1500,512,0
    "#]]
    .assert_eq(&table.text);
    let own = harness.get("/v1/charges", VANS).await;
    let lines = own.json["charges"].as_array().unwrap();
    assert_eq!(lines.len(), 2);
    assert!(lines.iter().all(|line| line["team"] == "vans" && line["core_ms"] == 1_500));
    let later = harness.get("/v1/charges?from_ms=1764000000001&team=vans", OPERATOR).await;
    assert_eq!(later.json["charges"].as_array().unwrap().len(), 1);
    let none = harness.get("/v1/charges?format=csv&kind=gang", OPERATOR).await;
    assert_eq!(none.text, "period,start_ms,team,kind,core_ms,mib_s,acc_ms\n");
    assert_eq!(harness.get("/v1/charges?format=xml", OPERATOR).await.code, 4000);
    assert_eq!(read_pages(&harness, "/v1/charges?", "charges", "team", OPERATOR).await.len(), 4);
}

/// Guards against an explanation without the reasons why a job waits.
#[tokio::test(start_paused = true)]
async fn explain_lists_reasons_for_waiting_job() {
    let harness = Bed::start_with(|api| {
        api.with_admit(Box::new(|state, spec| {
            let is_large = |key| spec.need.fits(state.workers[key].info.capacity);
            let fits = state.workers.keys().any(is_large);
            if fits || state.workers.is_empty() { Ok(()) } else { Err(Code::Impossible) }
        }))
    })
    .await;
    let id = submit(&harness, "vans", VANS, "plan").await;
    harness.call(Method::POST, "/v1/workers/w1/cordon", OPERATOR, "").await;
    let mut small = worker(2);
    small.capacity.millicores = 100;
    harness.append("system", Record::Workers(vec![small])).await.unwrap();
    let own_key = harness.node.own_key().unwrap();
    let now = tokio::time::Instant::now();
    harness.node.with(|shared| shared.team_queues.sync(&shared.state, own_key, now));
    let response = harness.get(&format!("/v1/explain/{id}"), VANS).await;
    let shown = serde_json::json!({
        "home": response.json["home"], "steps": response.json["steps"], "reasons": response.json["reasons"],
    });
    expect![[r#"
        {
          "home": {
            "here": true,
            "http": "127.0.0.1:7002",
            "vm": "split-1"
          },
          "reasons": [
            "2 of 3 workers accept new tasks, 1 of which are large enough",
            "queued tasks wait for free worker capacity or free team quota"
          ],
          "steps": [
            {
              "step": "queued",
              "tasks": 2
            }
          ]
        }"#]]
    .assert_eq(&serde_json::to_string_pretty(&shown).unwrap());
}

/// Guards against a VM that reports ready, so that the load balancer sends it work it cannot accept.
#[tokio::test(start_paused = true)]
async fn only_valid_serving_vm_is_ready() {
    let mut harness = Bed::start().await;
    let mut seen = Vec::new();
    for stage in [Stage::Starting, Stage::Serving, Stage::Draining, Stage::Stopped] {
        harness.node.stage.send_replace(stage);
        let response = harness.get("/readyz", "").await;
        seen.push((stage, response.status, response.code));
        assert_eq!(harness.get("/healthz", "").await.status, 200);
    }
    let expected = [
        (Stage::Starting, 503, 5029),
        (Stage::Serving, 200, 2000),
        (Stage::Draining, 503, 5034),
        (Stage::Stopped, 503, 5034),
    ];
    assert_eq!(seen, expected);
    harness.node.stage.send_replace(Stage::Serving);
    harness.is_valid = false;
    tokio::time::advance(Duration::from_secs(4)).await;
    let response = harness.get("/readyz", "").await;
    assert_eq!((response.status, response.code), (503, 5030));
    assert_eq!(response.json["reason"], "the tail of the log has not been read for 3 s");
    harness.is_valid = true;
    harness.append("system", Record::Leave).await.unwrap();
    assert_eq!(harness.get("/readyz", "").await.code, 5035);
}

/// Guards against a metric that is recorded but not exported.
#[tokio::test(start_paused = true)]
async fn all_metrics_are_exported() {
    let harness = Bed::start().await;
    submit(&harness, "vans", VANS, "plan").await;
    let own_key = harness.node.own_key().unwrap();
    let now = tokio::time::Instant::now();
    harness.node.with(|shared| shared.team_queues.sync(&shared.state, own_key, now));
    harness.get("/v1/jobs", "wrong").await;
    harness.node.with(|shared| {
        shared.stats.wait_times.record(Duration::from_millis(3));
        shared.stats.decision_times.record(Duration::from_micros(30));
        shared.stats.append_times.record(Duration::from_millis(5));
        shared.stats.placed_tasks += 2;
        shared.stats.record_call(Code::Overloaded);
    });
    harness.node.frame_bytes.store(120, Ordering::Relaxed);
    let text = harness.get("/metrics", "").await.text;
    let wanted =
        |line: &&str| !line.starts_with('#') && !line.contains("_bucket") && !line.ends_with(" 0");
    let lines: Vec<&str> = text.lines().filter(wanted).collect();
    expect![[r#"
        coriandertack_calls_total{code="5031"} 1
        coriandertack_decision_seconds_sum 0.00003
        coriandertack_decision_seconds_count 1
        coriandertack_grants_total 2
        coriandertack_link_bytes 120
        coriandertack_log_append_seconds_sum 0.005
        coriandertack_log_append_seconds_count 1
        coriandertack_log_offset 5
        coriandertack_members{type="job"} 1
        coriandertack_members{type="team"} 2
        coriandertack_members{type="vm"} 1
        coriandertack_members{type="worker"} 3
        coriandertack_ready 1
        coriandertack_requests_total{code="2001"} 1
        coriandertack_requests_total{code="4001"} 1
        coriandertack_tasks{step="queued"} 2
        coriandertack_waiting_seconds_sum 0.003
        coriandertack_waiting_seconds_count 1
    "#]]
    .assert_eq(&(lines.join("\n") + "\n"));
}
