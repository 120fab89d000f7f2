//! A plain HTTP client of a worker.

use {
    bytes::Bytes,
    coriandertack_standins::worker::Worker,
    http_body_util::{BodyExt, Full},
    hyper::{HeaderMap, Method, Request, StatusCode},
    hyper_util::{
        client::legacy::{self, connect::HttpConnector},
        rt::TokioExecutor,
    },
    serde_json::{Value, json},
};

pub struct Client {
    http: legacy::Client<HttpConnector, Full<Bytes>>,
    worker: Worker,
}

pub struct Answer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl Answer {
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).expect("an answer in JSON")
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(|value| value.to_str().unwrap())
    }
}

impl Client {
    pub fn new(worker: &Worker) -> Self {
        let http = legacy::Client::builder(TokioExecutor::new()).build_http();
        Self { http, worker: worker.clone() }
    }

    pub async fn ask(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: String,
    ) -> Answer {
        let uri = format!("http://{}{path}", self.worker.address());
        let mut request = Request::builder().method(method).uri(uri);
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let answer = self.http.request(request.body(body.into()).unwrap()).await.unwrap();
        let (parts, body) = answer.into_parts();
        let body = body.collect().await.unwrap().to_bytes();
        Answer { status: parts.status, headers: parts.headers, body }
    }

    pub async fn get(&self, path: &str) -> Value {
        self.ask(Method::GET, path, &[], String::new()).await.json()
    }

    /// Sends commands under epoch 1 and returns the results as text.
    pub async fn command(&self, commands: Value) -> Vec<String> {
        let body = json!({ "epoch": 1, "commands": commands }).to_string();
        let answer = self.ask(Method::POST, "/v1/commands", &[], body).await;
        assert_eq!(answer.status, StatusCode::OK);
        let results = answer.json()["results"].as_array().unwrap().clone();
        results.iter().map(|result| result.as_str().unwrap().to_owned()).collect()
    }

    pub async fn now_ms(&self) -> u64 {
        self.get("/v1/tasks").await["now_ms"].as_u64().unwrap()
    }

    /// Returns a start with a lease of `term_ms`.
    pub async fn start_of(&self, lease: &str, command: &str, term_ms: u64) -> Value {
        let until_ms = self.now_ms().await + term_ms;
        json!({
            "type": "start",
            "lease": lease,
            "class": "vans.book",
            "kind": "service",
            "grant": { "millicores": 500, "memory_mib": 1_024 },
            "command": command,
            "until_ms": until_ms,
        })
    }

    /// Starts a task with a lease of `term_ms`.
    pub async fn start(&self, lease: &str, command: &str, term_ms: u64) -> String {
        let start = self.start_of(lease, command, term_ms).await;
        self.command(json!([start])).await.remove(0)
    }

    /// Waits for the end of a lease and returns its cause and run time.
    pub async fn end_of(&self, lease: &str) -> (String, u64) {
        let mut after = 0;
        loop {
            let path = format!("/v1/events?after={after}&wait_ms=60000");
            let events = self.get(&path).await["events"].as_array().unwrap().clone();
            for event in &events {
                after = event["seq"].as_u64().unwrap();
                if event["type"] == "ended" && event["lease"] == lease {
                    let cause = event["cause"].as_str().unwrap().to_owned();
                    return (cause, event["run_ms"].as_u64().unwrap());
                }
            }
        }
    }

    /// Sends a caller's request.
    pub async fn serve(&self, service: &str, id: &str, work_ms: &str) -> Answer {
        let headers = [("x-request-id", id), ("x-work-ms", work_ms), ("idempotency-key", "key-1")];
        let path = format!("/serve/{service}");
        self.ask(Method::POST, &path, &headers, format!("body of {id}")).await
    }
}
