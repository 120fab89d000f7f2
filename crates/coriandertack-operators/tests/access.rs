//! Who is refused, and with which code.

mod common;

use {
    common::{Bed, CHEESE, OPERATOR, VANS, job},
    coriandertack_operators::{call::MAX_BODY_BYTES, routes::ENDPOINTS},
    tokio::time::{Duration, advance},
    viz::{Body, Method, Request},
};

/// Guards against a request that is served without a valid token.
#[tokio::test(start_paused = true)]
async fn every_route_refuses_a_request_without_a_valid_token() {
    let bed = Bed::start().await;
    let headers = [
        None,
        Some("Bearer wrong".to_owned()),
        Some("Bearer ".to_owned()),
        Some(format!("Basic {OPERATOR}")),
        Some(format!("bearer{OPERATOR}")),
        Some(format!("Bearer {}", "x".repeat(10_000))),
    ];
    for endpoint in ENDPOINTS {
        for header in &headers {
            let mut request = Request::builder()
                .method(endpoint.method.clone())
                .uri(endpoint.path.replace(['{', '}'], ""));
            if let Some(header) = header {
                request = request.header("authorization", header);
            }
            let got = bed.send(request.body(Body::empty()).unwrap()).await;
            assert_eq!((got.status, got.code), (401, 4001), "{} {header:?}", endpoint.operation);
        }
    }
}

/// Guards against a team that uses a route meant for operators.
#[tokio::test(start_paused = true)]
async fn every_operator_route_refuses_a_team() {
    let bed = Bed::start().await;
    let before = bed.node.with(|shared| shared.state.teams.len());
    for endpoint in ENDPOINTS.iter().filter(|endpoint| endpoint.operator_only) {
        let path = endpoint.path.replace(['{', '}'], "");
        let got = bed.call(endpoint.method.clone(), &path, VANS, "{}").await;
        assert_eq!((got.status, got.code), (403, 4003), "{}", endpoint.operation);
    }
    assert_eq!(bed.node.with(|shared| shared.state.teams.len()), before);
}

/// Guards against a team that sees or touches the work of another, or learns that it exists.
#[tokio::test(start_paused = true)]
async fn another_teams_work_looks_as_if_it_did_not_exist() {
    let bed = Bed::start().await;
    let submitted = bed.call(Method::POST, "/v1/jobs", VANS, &job("vans", "confirm")).await;
    assert_eq!(submitted.code, 2001);
    let id = submitted.json["job"].as_u64().unwrap();
    let missing = id + 1;
    for id in [id, missing] {
        let paths = [
            (Method::GET, format!("/v1/jobs/{id}")),
            (Method::POST, format!("/v1/jobs/{id}/cancel")),
            (Method::POST, format!("/v1/jobs/{id}/cancel?dry_run=true")),
            (Method::GET, format!("/v1/explain/{id}")),
        ];
        for (method, path) in paths {
            let got = bed.call(method, &path, CHEESE, "").await;
            assert_eq!((got.status, got.code), (404, 4004), "{path}");
            assert_eq!(got.json["reason"], "no such object", "{path}");
        }
    }
    let foreign = bed.call(Method::POST, "/v1/jobs", CHEESE, &job("vans", "confirm")).await;
    assert_eq!(foreign.code, 4004);
    assert_eq!(bed.get("/v1/teams/vans", CHEESE).await.code, 4004);
    let lists = [
        ("/v1/jobs", "jobs"),
        ("/v1/jobs?team=vans", "jobs"),
        ("/v1/charges?team=vans", "charges"),
        ("/v1/watch?from=oldest", "changes"),
    ];
    for (path, field) in lists {
        let text = bed.get(path, CHEESE).await.json[field].to_string();
        assert!(!text.contains("vans"), "{path}: {text}");
    }
    let teams = bed.get("/v1/teams", CHEESE).await;
    assert_eq!(teams.json["teams"].as_array().unwrap().len(), 1);
    assert!(!bed.node.with(|shared| shared.state.jobs.get(id.into()).unwrap().cancelled));
}

/// Guards against digests of tokens that are shown to a team.
#[tokio::test(start_paused = true)]
async fn only_operators_see_the_digests_of_tokens() {
    let bed = Bed::start().await;
    let own = bed.get("/v1/teams/vans", VANS).await;
    assert_eq!(own.json["team"]["tokens"], serde_json::json!([]));
    let full = bed.get("/v1/teams/vans", OPERATOR).await;
    assert_eq!(full.json["team"]["tokens"].as_array().unwrap().len(), 1);
}

/// Guards against a token that still works after it was taken away.
#[tokio::test(start_paused = true)]
async fn a_token_taken_away_is_refused_at_once() {
    let bed = Bed::start().await;
    assert_eq!(bed.get("/v1/jobs", VANS).await.code, 2000);
    let body = r#"{"quota":{"millicores":1000,"memory_mib":1024}}"#;
    let changed = bed.call(Method::PUT, "/v1/teams/vans?expect=1", OPERATOR, body).await;
    assert_eq!(changed.code, 2000);
    assert_eq!(bed.get("/v1/jobs", VANS).await.code, 4001);
}

/// Guards against a digest that identifies two principals.
#[tokio::test(start_paused = true)]
async fn a_token_of_somebody_else_is_refused() {
    let bed = Bed::start().await;
    let digest =
        |token| coriandertack_operators::access::TokenDigest::of(token).as_hex().to_owned();
    for token in [VANS, OPERATOR] {
        let digest = digest(token);
        let body =
            format!(r#"{{"quota":{{"millicores":1,"memory_mib":1}},"tokens":["{digest}"]}}"#);
        let got = bed.call(Method::PUT, "/v1/teams/cheese?expect=1", OPERATOR, &body).await;
        assert_eq!((got.status, got.code), (422, 4020), "{token}");
    }
}

/// Guards against one team that takes the time of all others.
#[tokio::test(start_paused = true)]
async fn a_team_beyond_its_rate_is_refused_alone_and_for_a_while() {
    let bed = Bed::start().await;
    let mut codes = Vec::new();
    for _ in 0..201 {
        codes.push(bed.get("/v1/jobs", VANS).await.code);
    }
    assert!(codes[..200].iter().all(|&code| code == 2000));
    assert_eq!(codes[200], 4029);
    assert_eq!(bed.get("/v1/jobs", CHEESE).await.code, 2000);
    advance(Duration::from_millis(10)).await;
    assert_eq!(bed.get("/v1/jobs", VANS).await.code, 2000);
    assert_eq!(bed.get("/v1/jobs", VANS).await.code, 4029);
}

/// Guards against input that is larger or slower than the bounds.
#[tokio::test(start_paused = true)]
async fn input_beyond_its_bounds_is_refused() {
    let bed = Bed::start().await;
    let large = "x".repeat(MAX_BODY_BYTES + 1);
    assert_eq!(bed.call(Method::POST, "/v1/jobs", VANS, &large).await.code, 4013);
    let query = format!("/v1/jobs?team={}", "x".repeat(4_000));
    assert_eq!(bed.get(&query, VANS).await.code, 4013);
    let name = format!("/v1/teams/{}", "x".repeat(64));
    assert_eq!(bed.get(&name, VANS).await.code, 4013);
    let chunks = futures::stream::pending::<Result<bytes::Bytes, std::io::Error>>();
    let slow = Request::builder()
        .method(Method::POST)
        .uri("/v1/jobs")
        .header("authorization", format!("Bearer {VANS}"))
        .body(Body::from_stream(chunks))
        .unwrap();
    let got = bed.send(slow).await;
    assert_eq!(
        (got.code, got.json["reason"].as_str()),
        (4000, Some("the request body did not arrive within 5 s"))
    );
}

/// Guards against fields of a job that no bound holds.
#[tokio::test(start_paused = true)]
async fn every_field_of_a_job_has_its_bound() {
    let bed = Bed::start().await;
    let good: serde_json::Value = serde_json::from_str(&job("vans", "confirm")).unwrap();
    let long = |count| serde_json::Value::String("x".repeat(count));
    let cases = [
        ("name", long(64), 4020),
        ("name", "a b".into(), 4020),
        ("name", "".into(), 4020),
        ("kind", "cron".into(), 4000),
        ("tasks", 0.into(), 4020),
        ("tasks", 10_001.into(), 4020),
        ("tasks", (-1).into(), 4000),
        ("need", serde_json::json!({"millicores": 0, "memory_mib": 0}), 4020),
        ("need", serde_json::json!({"millicores": 64_001, "memory_mib": 1}), 4030),
        ("run_ms", 31_536_000_001_u64.into(), 4020),
        ("retries", 101.into(), 4020),
        ("command", long(4_097), 4020),
        ("key", "".into(), 4020),
        ("key", long(129), 4020),
        ("unknown", 1.into(), 4000),
    ];
    for (field, value, code) in cases {
        let mut body = good.clone();
        body[field] = value;
        let got = bed.call(Method::POST, "/v1/jobs", VANS, &body.to_string()).await;
        assert_eq!(got.code, code, "{field}: {}", got.text);
    }
    assert_eq!(bed.node.with(|shared| shared.state.jobs.ids.len()), 0);
}

/// Guards against a misspelt `dry_run` that makes the change.
#[tokio::test(start_paused = true)]
async fn an_unknown_parameter_is_refused() {
    let bed = Bed::start().await;
    let got = bed.call(Method::POST, "/v1/jobs?dryrun=true", VANS, &job("vans", "confirm")).await;
    assert_eq!(got.code, 4000);
    let got = bed.call(Method::POST, "/v1/jobs?dry_run=yes", VANS, &job("vans", "confirm")).await;
    assert_eq!(got.code, 4000);
    assert_eq!(bed.node.with(|shared| shared.state.jobs.ids.len()), 0);
}

/// Guards against routes that answer without a numbered code.
#[tokio::test(start_paused = true)]
async fn an_unknown_route_answers_with_a_code() {
    let bed = Bed::start().await;
    assert_eq!(bed.get("/v1/nothing", OPERATOR).await.code, 4004);
    assert_eq!(bed.call(Method::PATCH, "/v1/teams", OPERATOR, "").await.code, 4004);
}
