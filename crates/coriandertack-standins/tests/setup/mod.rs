//! An HTTP client of a worker without retries or other logic of its own.

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

pub struct HttpResponse {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl HttpResponse {
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).expect("the response body is not JSON")
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

    pub async fn send(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: String,
    ) -> HttpResponse {
        let uri = format!("http://{}{path}", self.worker.address());
        let mut request = Request::builder().method(method).uri(uri);
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let response = self.http.request(request.body(body.into()).unwrap()).await.unwrap();
        let (parts, body) = response.into_parts();
        let body = body.collect().await.unwrap().to_bytes();
        HttpResponse { status: parts.status, headers: parts.headers, body }
    }

    pub async fn get_json(&self, path: &str) -> Value {
        self.send(Method::GET, path, &[], String::new()).await.json()
    }

    /// Sends commands with epoch 1 and returns the result of each.
    pub async fn send_commands(&self, commands: Value) -> Vec<String> {
        let body = json!({ "epoch": 1, "commands": commands }).to_string();
        let response = self.send(Method::POST, "/v1/commands", &[], body).await;
        assert_eq!(response.status, StatusCode::OK);
        let results = response.json()["results"].as_array().unwrap().clone();
        results.iter().map(|result| result.as_str().unwrap().to_owned()).collect()
    }

    /// Returns the time on the worker's clock.
    pub async fn now_ms(&self) -> u64 {
        self.get_json("/v1/tasks").await["now_ms"].as_u64().unwrap()
    }

    /// Returns a start command with a lease that ends `lease_ms` from now.
    pub async fn start_command(&self, lease: &str, command: &str, lease_ms: u64) -> Value {
        let until_ms = self.now_ms().await + lease_ms;
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

    /// Starts a task with a lease that ends `lease_ms` from now, and returns the result.
    pub async fn start(&self, lease: &str, command: &str, lease_ms: u64) -> String {
        let start = self.start_command(lease, command, lease_ms).await;
        self.send_commands(json!([start])).await.remove(0)
    }

    /// Waits for the end of a task and returns its cause and its run time in milliseconds.
    pub async fn wait_for_end(&self, lease: &str) -> (String, u64) {
        let mut after = 0;
        loop {
            let path = format!("/v1/events?after={after}&wait_ms=60000");
            let events = self.get_json(&path).await["events"].as_array().unwrap().clone();
            for event in &events {
                after = event["seq"].as_u64().unwrap();
                if event["type"] == "ended" && event["lease"] == lease {
                    let cause = event["cause"].as_str().unwrap().to_owned();
                    return (cause, event["run_ms"].as_u64().unwrap());
                }
            }
        }
    }

    /// Sends a caller's request with the idempotency key `key-1`.
    pub async fn send_request(&self, service: &str, id: &str, work_ms: &str) -> HttpResponse {
        let headers = [("x-request-id", id), ("x-work-ms", work_ms), ("idempotency-key", "key-1")];
        let path = format!("/serve/{service}");
        self.send(Method::POST, &path, &headers, format!("body of {id}")).await
    }
}
