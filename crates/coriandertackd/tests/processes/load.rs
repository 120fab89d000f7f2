//! Requests that go on during every fault.

use std::{sync::Arc, time::Duration};

use {
    serde_json::{Value, json},
    tokio::{
        sync::{Mutex, watch},
        task::JoinSet,
        time::sleep,
    },
    uuid::Uuid,
};

use crate::{
    client::{Client, Told},
    cluster::VMS,
};

/// Callers that work at the same time.
const CALLERS: usize = 6;

/// Pause of a caller between two requests.
const CALL_EVERY: Duration = Duration::from_millis(40);

/// Pause between two small jobs.
const SUBMIT_EVERY: Duration = Duration::from_millis(100);

/// A request under a key and what each copy of it was told.
pub struct Keyed {
    pub key: String,
    pub body: String,
    pub told: Vec<Told>,
}

/// A job that was submitted a single time.
pub struct Probe {
    pub key: String,
    pub told: Told,
}

/// Everything that the clients were told.
#[derive(Default)]
pub struct Heard {
    pub keyed: Vec<Keyed>,
    /// Requests without a key: the content and what was told.
    pub plain: Vec<(String, Told)>,
    pub probes: Vec<Probe>,
}

/// Running clients.
pub struct Load {
    stop: watch::Sender<bool>,
    tasks: JoinSet<()>,
    heard: Arc<Mutex<Heard>>,
}

impl Load {
    pub fn start(client: &Client) -> Self {
        let stop = watch::Sender::new(false);
        let heard = Arc::default();
        let mut tasks = JoinSet::new();
        for caller in 0..CALLERS {
            tasks.spawn(call(client.clone(), caller, stop.subscribe(), Arc::clone(&heard)));
        }
        for vm in 0..VMS {
            tasks.spawn(submit(client.clone(), vm, stop.subscribe(), Arc::clone(&heard)));
        }
        Self { stop, tasks, heard }
    }

    /// Waits until every client has its last answer, and returns all of them.
    pub async fn stop(mut self) -> Heard {
        self.stop.send_replace(true);
        while let Some(ended) = self.tasks.join_next().await {
            ended.expect("no client panics");
        }
        std::mem::take(&mut *self.heard.lock().await)
    }
}

/// Calls the service through one VM after the other. Every second request has a key, and half of these are sent
/// a second time through another VM, while the first is in progress or after its answer.
async fn call(
    client: Client,
    caller: usize,
    stop: watch::Receiver<bool>,
    heard: Arc<Mutex<Heard>>,
) {
    for number in 0.. {
        if *stop.borrow() {
            return;
        }
        let vm = (caller + number) % VMS;
        let other = (vm + 1) % VMS;
        let body = format!("caller {caller} request {number}");
        let key = Uuid::now_v7().to_string();
        let send = |vm| client.call(vm, "vans.confirm", Some(&key), &body);
        let told = match number % 8 {
            1 | 3 => vec![send(vm).await],
            5 => <[Told; 2]>::from(tokio::join!(send(vm), send(other))).to_vec(),
            7 => vec![send(vm).await, send(other).await],
            _ => {
                let told = client.call(vm, "vans.confirm", None, &body).await;
                heard.lock().await.plain.push((body, told));
                sleep(CALL_EVERY).await;
                continue;
            }
        };
        heard.lock().await.keyed.push(Keyed { key, body, told });
        sleep(CALL_EVERY).await;
    }
}

/// Submits small jobs through a VM, each a single time.
async fn submit(client: Client, vm: usize, stop: watch::Receiver<bool>, heard: Arc<Mutex<Heard>>) {
    for number in 0.. {
        if *stop.borrow() {
            return;
        }
        let key = format!("probe-{vm}-{number}");
        let team = if number % 2 == 0 { "vans" } else { "herders" };
        let job = job(team, &key, "batch", 1, "run_ms=150");
        let told = client.operate(vm, hyper::Method::POST, "/v1/jobs", &job).await;
        heard.lock().await.probes.push(Probe { key, told });
        sleep(SUBMIT_EVERY).await;
    }
}

/// Returns a submission whose key is its name.
pub fn job(team: &str, name: &str, kind: &str, tasks: u32, command: &str) -> Value {
    json!({
        "team": team, "name": name, "kind": kind, "tasks": tasks, "run_ms": 0, "retries": 3,
        "need": { "millicores": 500, "memory_mib": 512 },
        "command": command, "key": name,
    })
}
