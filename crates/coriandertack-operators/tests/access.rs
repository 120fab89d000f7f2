//! Tests of authentication, authorization, rate limits and input validation.

mod common;

use {
    common::{Bed, CHEESE, OPERATOR, VANS, job},
    coriandertack_operators::{call::MAX_BODY_BYTES, routes::ENDPOINTS},
    tokio::time::{Duration, advance},
    viz::{Body, Method, Request},
};

/// Guards against a route that serves requests without a valid token.
#[tokio::test(start_paused = true)]
async fn every_route_requires_a_valid_token() {
    let harness = Bed::start().await;
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
            let response = harness.send(request.body(Body::empty()).unwrap()).await;
            assert_eq!(
                (response.status, response.code),
                (401, 4001),
                "{} {header:?}",
                endpoint.operation
            );
        }
    }
}

/// Guards against a team token being accepted on a route for operators.
#[tokio::test(start_paused = true)]
async fn operator_routes_refuse_team_tokens() {
    let harness = Bed::start().await;
    let before = harness.node.with(|shared| shared.state.teams.len());
    for endpoint in ENDPOINTS.iter().filter(|endpoint| endpoint.operator_only) {
        let path = endpoint.path.replace(['{', '}'], "");
        let response = harness.call(endpoint.method.clone(), &path, VANS, "{}").await;
        assert_eq!((response.status, response.code), (403, 4003), "{}", endpoint.operation);
    }
    assert_eq!(harness.node.with(|shared| shared.state.teams.len()), before);
}

/// Guards against a team reading or changing another team's objects, or detecting that they exist.
#[tokio::test(start_paused = true)]
async fn objects_of_other_teams_appear_missing() {
    let harness = Bed::start().await;
    let submitted = harness.call(Method::POST, "/v1/jobs", VANS, &job("vans", "confirm")).await;
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
            let response = harness.call(method, &path, CHEESE, "").await;
            assert_eq!((response.status, response.code), (404, 4004), "{path}");
            assert_eq!(response.json["reason"], "no such object", "{path}");
        }
    }
    let foreign = harness.call(Method::POST, "/v1/jobs", CHEESE, &job("vans", "confirm")).await;
    assert_eq!(foreign.code, 4004);
    assert_eq!(harness.get("/v1/teams/vans", CHEESE).await.code, 4004);
    let lists = [
        ("/v1/jobs", "jobs"),
        ("/v1/jobs?team=vans", "jobs"),
        ("/v1/charges?team=vans", "charges"),
        ("/v1/watch?from=oldest", "changes"),
    ];
    for (path, field) in lists {
        let text = harness.get(path, CHEESE).await.json[field].to_string();
        assert!(!text.contains("vans"), "{path}: {text}");
    }
    let teams = harness.get("/v1/teams", CHEESE).await;
    assert_eq!(teams.json["teams"].as_array().unwrap().len(), 1);
    assert!(!harness.node.with(|shared| shared.state.jobs.get(id.into()).unwrap().cancelled));
}

/// Guards against token digests being disclosed to a team.
#[tokio::test(start_paused = true)]
async fn only_operators_see_token_digests() {
    let harness = Bed::start().await;
    let own = harness.get("/v1/teams/vans", VANS).await;
    assert_eq!(own.json["team"]["tokens"], serde_json::json!([]));
    let full = harness.get("/v1/teams/vans", OPERATOR).await;
    assert_eq!(full.json["team"]["tokens"].as_array().unwrap().len(), 1);
}

/// Guards against a token that is still accepted after its removal from the team.
#[tokio::test(start_paused = true)]
async fn removed_token_is_refused_immediately() {
    let harness = Bed::start().await;
    assert_eq!(harness.get("/v1/jobs", VANS).await.code, 2000);
    let body = r#"{"quota":{"millicores":1000,"memory_mib":1024}}"#;
    let changed = harness.call(Method::PUT, "/v1/teams/vans?expect=1", OPERATOR, body).await;
    assert_eq!(changed.code, 2000);
    assert_eq!(harness.get("/v1/jobs", VANS).await.code, 4001);
}

/// Guards against a token digest that identifies two principals.
#[tokio::test(start_paused = true)]
async fn token_digest_in_use_is_refused() {
    let harness = Bed::start().await;
    let digest =
        |token| coriandertack_operators::access::TokenDigest::of(token).as_hex().to_owned();
    for token in [VANS, OPERATOR] {
        let digest = digest(token);
        let body =
            format!(r#"{{"quota":{{"millicores":1,"memory_mib":1}},"tokens":["{digest}"]}}"#);
        let response =
            harness.call(Method::PUT, "/v1/teams/cheese?expect=1", OPERATOR, &body).await;
        assert_eq!((response.status, response.code), (422, 4020), "{token}");
    }
}

/// Guards against one team's requests using up the rate limit of other teams.
#[tokio::test(start_paused = true)]
async fn rate_limit_is_separate_for_each_team_and_refills() {
    let harness = Bed::start().await;
    let mut codes = Vec::new();
    for _ in 0..201 {
        codes.push(harness.get("/v1/jobs", VANS).await.code);
    }
    assert!(codes[..200].iter().all(|&code| code == 2000));
    assert_eq!(codes[200], 4029);
    assert_eq!(harness.get("/v1/jobs", CHEESE).await.code, 2000);
    advance(Duration::from_millis(10)).await;
    assert_eq!(harness.get("/v1/jobs", VANS).await.code, 2000);
    assert_eq!(harness.get("/v1/jobs", VANS).await.code, 4029);
}

/// Guards against input that exceeds the size or time limits.
#[tokio::test(start_paused = true)]
async fn oversized_or_slow_input_is_refused() {
    let harness = Bed::start().await;
    let large = "x".repeat(MAX_BODY_BYTES + 1);
    assert_eq!(harness.call(Method::POST, "/v1/jobs", VANS, &large).await.code, 4013);
    let query = format!("/v1/jobs?team={}", "x".repeat(4_000));
    assert_eq!(harness.get(&query, VANS).await.code, 4013);
    let name = format!("/v1/teams/{}", "x".repeat(64));
    assert_eq!(harness.get(&name, VANS).await.code, 4013);
    let chunks = futures::stream::pending::<Result<bytes::Bytes, std::io::Error>>();
    let slow = Request::builder()
        .method(Method::POST)
        .uri("/v1/jobs")
        .header("authorization", format!("Bearer {VANS}"))
        .body(Body::from_stream(chunks))
        .unwrap();
    let response = harness.send(slow).await;
    assert_eq!(
        (response.code, response.json["reason"].as_str()),
        (4000, Some("the request body did not arrive within 5 s"))
    );
}

/// Guards against a job field without a validated bound.
#[tokio::test(start_paused = true)]
async fn every_job_field_is_bounded() {
    let harness = Bed::start().await;
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
        let response = harness.call(Method::POST, "/v1/jobs", VANS, &body.to_string()).await;
        assert_eq!(response.code, code, "{field}: {}", response.text);
    }
    assert_eq!(harness.node.with(|shared| shared.state.jobs.ids.len()), 0);
}

/// Guards against a request with a misspelt or invalid `dry_run` making the change.
#[tokio::test(start_paused = true)]
async fn unknown_query_parameter_is_refused() {
    let harness = Bed::start().await;
    let response =
        harness.call(Method::POST, "/v1/jobs?dryrun=true", VANS, &job("vans", "confirm")).await;
    assert_eq!(response.code, 4000);
    let response =
        harness.call(Method::POST, "/v1/jobs?dry_run=yes", VANS, &job("vans", "confirm")).await;
    assert_eq!(response.code, 4000);
    assert_eq!(harness.node.with(|shared| shared.state.jobs.ids.len()), 0);
}

/// Guards against a response without a numbered code for an unknown route.
#[tokio::test(start_paused = true)]
async fn unknown_route_returns_not_found_code() {
    let harness = Bed::start().await;
    assert_eq!(harness.get("/v1/nothing", OPERATOR).await.code, 4004);
    assert_eq!(harness.call(Method::PATCH, "/v1/teams", OPERATOR, "").await.code, 4004);
}
