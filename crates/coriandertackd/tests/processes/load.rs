//! Background load of calls and submissions, which continues during every fault.

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
    client::{Client, Outcome},
    cluster::VMS,
};

/// Number of concurrent callers.
const CALLERS: usize = 6;

/// Pause of each caller between two requests.
const CALL_INTERVAL: Duration = Duration::from_millis(40);

/// Pause between two submissions through the same VM.
const SUBMIT_INTERVAL: Duration = Duration::from_millis(100);

/// A keyed request, with the outcome of each copy that was sent.
pub struct KeyedCall {
    pub key: String,
    pub body: String,
    pub outcome: Vec<Outcome>,
}

/// A job that was submitted exactly once.
pub struct Probe {
    pub key: String,
    pub outcome: Outcome,
}

/// The outcomes of all requests of the load.
#[derive(Default)]
pub struct Observed {
    pub keyed: Vec<KeyedCall>,
    /// Requests without a key, as pairs of body and outcome.
    pub plain: Vec<(String, Outcome)>,
    pub probes: Vec<Probe>,
}

/// Running clients, which record the outcomes of their requests.
pub struct Load {
    stop: watch::Sender<bool>,
    tasks: JoinSet<()>,
    observed: Arc<Mutex<Observed>>,
}

impl Load {
    pub fn start(client: &Client) -> Self {
        let stop = watch::Sender::new(false);
        let observed = Arc::default();
        let mut tasks = JoinSet::new();
        for caller in 0..CALLERS {
            tasks.spawn(call(client.clone(), caller, stop.subscribe(), Arc::clone(&observed)));
        }
        for vm in 0..VMS {
            tasks.spawn(submit(client.clone(), vm, stop.subscribe(), Arc::clone(&observed)));
        }
        Self { stop, tasks, observed }
    }

    /// Stops the clients, waits for their last answers and returns all outcomes.
    pub async fn stop(mut self) -> Observed {
        self.stop.send_replace(true);
        while let Some(ended) = self.tasks.join_next().await {
            ended.expect("no client panics");
        }
        std::mem::take(&mut *self.observed.lock().await)
    }
}

/// Calls the service through each VM in turn. Every second request has a key. Half of the keyed requests are sent a
/// second time through another VM, while the first copy is in progress or after it was answered.
async fn call(
    client: Client,
    caller: usize,
    stop: watch::Receiver<bool>,
    observed: Arc<Mutex<Observed>>,
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
        let outcome = match number % 8 {
            1 | 3 => vec![send(vm).await],
            5 => <[Outcome; 2]>::from(tokio::join!(send(vm), send(other))).to_vec(),
            7 => vec![send(vm).await, send(other).await],
            _ => {
                let outcome = client.call(vm, "vans.confirm", None, &body).await;
                observed.lock().await.plain.push((body, outcome));
                sleep(CALL_INTERVAL).await;
                continue;
            }
        };
        observed.lock().await.keyed.push(KeyedCall { key, body, outcome });
        sleep(CALL_INTERVAL).await;
    }
}

/// Submits small jobs through a VM, each exactly once.
async fn submit(
    client: Client,
    vm: usize,
    stop: watch::Receiver<bool>,
    observed: Arc<Mutex<Observed>>,
) {
    for number in 0.. {
        if *stop.borrow() {
            return;
        }
        let key = format!("probe-{vm}-{number}");
        let team = if number % 2 == 0 { "vans" } else { "herders" };
        let job = job(team, &key, "batch", 1, "run_ms=150");
        let outcome = client.operate(vm, hyper::Method::POST, "/v1/jobs", &job).await;
        observed.lock().await.probes.push(Probe { key, outcome });
        sleep(SUBMIT_INTERVAL).await;
    }
}

/// Returns a submission whose idempotency key is its name.
pub fn job(team: &str, name: &str, kind: &str, tasks: u32, command: &str) -> Value {
    json!({
        "team": team, "name": name, "kind": kind, "tasks": tasks, "run_ms": 0, "retries": 3,
        "need": { "millicores": 500, "memory_mib": 512 },
        "command": command, "key": name,
    })
}
