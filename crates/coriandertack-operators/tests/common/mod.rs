//! Test harness: the resource API over a fake log behind the submission channel, called without a network.

#![allow(dead_code, reason = "each test program uses only some items")]

use std::{net::SocketAddr, sync::Arc};

use {
    coriandertack_core::{
        keys::{Incarnation, Offset},
        message::Submission,
        node::{InFlightBatch, Node, PendingReply, Stage, now_ms},
        record::{Batch, Entry, Presence, Record, TeamChange, TeamSpec, VmInfo, WorkerInfo},
        resources::Resources,
        state::ApplyResult,
    },
    coriandertack_operators::{Api, Metrics, Operator, access::TokenDigest, routes},
    http_body_util::BodyExt,
    serde_json::Value,
    tokio::{
        net::TcpListener,
        sync::{mpsc, watch},
        task::JoinHandle,
        time::{Duration, Instant},
    },
    viz::{Body, Handler, Method, Request, Response, Tree, types::RouteInfo},
};

/// Token of the operator `ana`.
pub const OPERATOR: &str = "operator-token";

/// Token of the team `vans`.
pub const VANS: &str = "vans-token";

/// Token of the team `cheese`.
pub const CHEESE: &str = "cheese-token";

/// A decoded HTTP response.
#[derive(Clone, Debug)]
pub struct TestResponse {
    /// HTTP status.
    pub status: u16,
    /// Numbered result code; 0 if the response has none.
    pub code: u64,
    /// Body as JSON; null if it is not JSON.
    pub json: Value,
    /// Body as text.
    pub text: String,
    /// Value of the `ETag` header.
    pub tag: Option<String>,
}

/// The resource API under test with its fake log.
pub struct Bed {
    /// Node of the VM that serves the API.
    pub node: Arc<Node>,
    /// State shared by the handlers.
    pub api: Arc<Api>,
    /// Whether the fake log applies submissions; otherwise it holds them back.
    pub log_running: watch::Sender<bool>,
    /// Whether each request first extends the validity of the node.
    pub is_valid: bool,
    tree: Tree,
    tasks: Vec<JoinHandle<()>>,
}

impl Drop for Bed {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

impl Bed {
    /// Returns a serving VM with an operator, the teams `vans` and `cheese`, and three workers.
    pub async fn start() -> Self {
        Self::start_with(|api| api).await
    }

    /// Like [`Bed::start`], with an API that `prepare` configures.
    pub async fn start_with(prepare: impl FnOnce(Api) -> Api) -> Self {
        let info = VmInfo {
            name: "split-1".into(),
            zone: "split".into(),
            link: "127.0.0.1:7001".parse().unwrap(),
            http: "127.0.0.1:7002".parse().unwrap(),
        };
        let (node, submissions) = Node::new(info.clone(), Incarnation(1));
        let log_running = watch::Sender::new(true);
        let log = tokio::spawn(apply_submissions(
            Arc::clone(&node),
            submissions,
            log_running.subscribe(),
        ));
        node.submit_one("system", Record::Join(info)).await.unwrap();
        node.stage.send_replace(Stage::Serving);
        let digest = TokenDigest::of(OPERATOR).as_hex().to_owned();
        let operators = vec![Operator { name: "ana".into(), digest }];
        let metrics = Arc::new(Metrics::new().unwrap());
        let api = Arc::new(prepare(Api::new(Arc::clone(&node), operators, metrics)));
        let run = tokio::spawn(Arc::clone(&api).run());
        let tree = Tree::from(routes(Arc::clone(&api)));
        let harness = Self { node, api, log_running, is_valid: true, tree, tasks: vec![log, run] };
        harness.add_team("vans", VANS).await;
        harness.add_team("cheese", CHEESE).await;
        harness.append("system", Record::Workers((1..=3).map(worker).collect())).await.unwrap();
        harness
    }

    async fn add_team(&self, name: &str, token: &str) {
        let tokens = vec![TokenDigest::of(token).as_hex().to_owned()];
        let spec = Some(TeamSpec { quota: Resources::new(64_000, 131_072, 4), tokens });
        let change = TeamChange { name: name.into(), expect: 0.into(), spec };
        self.append("system", Record::Team(change)).await.unwrap();
    }

    /// Submits a record with the given actor and waits for the result.
    pub async fn append(&self, actor: &str, record: Record) -> ApplyResult {
        self.node.submit_one(actor, record).await
    }

    /// Sends a request with a token and a body.
    pub async fn call(
        &self,
        method: Method,
        target: &str,
        token: &str,
        body: &str,
    ) -> TestResponse {
        let request = Request::builder()
            .method(method)
            .uri(target)
            .header("authorization", format!("Bearer {token}"))
            .body(Body::Full(body.to_owned().into()))
            .unwrap();
        self.send(request).await
    }

    /// Sends a `GET` request with a token.
    pub async fn get(&self, target: &str, token: &str) -> TestResponse {
        self.call(Method::GET, target, token, "").await
    }

    /// Serves the API on a loopback port and returns its address. The node stays valid for an hour.
    pub async fn listen(&mut self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        // The test must not depend on its duration.
        self.node.extend_validity(Instant::now() + Duration::from_secs(3_600));
        let server = viz::serve(listener, routes(Arc::clone(&self.api)));
        self.tasks.push(tokio::spawn(async move { server.await.unwrap() }));
        address
    }

    /// Sends a prepared request.
    pub async fn send(&self, mut request: Request) -> TestResponse {
        if self.is_valid {
            self.node.extend_validity(Instant::now());
        }
        let path = request.uri().path().to_owned();
        let method = request.method().clone();
        let (handler, route) = self.tree.find(&method, &path).expect("the path has a route");
        request.extensions_mut().insert(Arc::new(RouteInfo {
            id: *route.id,
            pattern: route.pattern(),
            params: route.params().into(),
        }));
        let response = handler.call(request).await.expect("the handler returns a response");
        to_test_response(response).await
    }
}

async fn to_test_response(response: Response) -> TestResponse {
    let status = response.status().as_u16();
    let tag = response.headers().get("etag").map(|tag| tag.to_str().unwrap().to_owned());
    let body = response.into_body().collect().await.unwrap().to_bytes();
    let text = String::from_utf8(body.to_vec()).unwrap();
    let json: Value = serde_json::from_str(&text).unwrap_or_default();
    TestResponse { status, code: json["code"].as_u64().unwrap_or(0), json, text, tag }
}

/// Returns the worker `w{number}`.
pub fn worker(number: u32) -> WorkerInfo {
    WorkerInfo {
        name: format!("w{number}"),
        address: format!("127.0.0.1:{}", 9_000 + number).parse().unwrap(),
        zone: "split".into(),
        rack: "r1".into(),
        presence: Presence::Live,
        capacity: Resources::new(16_000, 32_768, 0),
    }
}

/// Returns the JSON of a batch job with two tasks.
pub fn job(team: &str, name: &str) -> String {
    format!(
        r#"{{"team":"{team}","name":"{name}","kind":"batch","tasks":2,
            "need":{{"millicores":500,"memory_mib":512}}}}"#
    )
}

/// Applies submissions as they arrive, while `running` is true.
async fn apply_submissions(
    node: Arc<Node>,
    mut submissions: mpsc::Receiver<Submission>,
    mut running: watch::Receiver<bool>,
) {
    let mut offset = Offset(0);
    while let Some(Submission { entries, reply }) = submissions.recv().await {
        if running.wait_for(|running| *running).await.is_err() {
            return;
        }
        offset = offset.next();
        let seq = node.with(|shared| {
            shared.in_flight.seq += 1;
            let seq = shared.in_flight.seq;
            let pending = PendingReply { entries: entries.len(), reply };
            shared.in_flight.batches.push(InFlightBatch { seq, replies: vec![pending] });
            seq
        });
        node.apply(offset, &Batch { author: node.author, seq, entries });
    }
}

/// Returns an entry with the actor `system`.
pub fn entry(record: Record) -> Entry {
    Entry { actor: "system".into(), at_ms: now_ms(), record }
}
